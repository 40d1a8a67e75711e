"""Finds engines for one answer's runs and for the copies of their memory.

Owns the search and the slot that routing granted and no attempt uses yet. Relies on
routing for every choice.
"""

from collections.abc import Callable

from attrs import define, evolve

from coursekeel.answers import OpenAttempt, RequestEndpoint, Way
from coursekeel.entry.answers._requests import GenerationRequest
from coursekeel.routing import Decision, Grant, PlacementRequest
from coursekeel.runtime import Clock, RoutingTask

__all__ = ["AnswerPlacement"]

# How many engines are asked whether they answer before one is searched for.
_CANDIDATES = 3


@define(eq=False)
class AnswerPlacement:
    """Searches engines for ``request``; `stop` ends a search."""

    routing: RoutingTask
    clock: Clock
    request: GenerationRequest
    _last_request: PlacementRequest | None = None
    _search_number: int | None = None
    _granted_endpoint_id: str = ""

    def search(
        self, action: RequestEndpoint, on_decided: Callable[[Decision], None]
    ) -> None:
        """Request an engine; ``on_decided`` is called once unless stopped."""
        self._search_number = None
        self._last_request = self._placement_request(action)

        def on_decision(decision: Decision) -> None:
            self._search_number = None
            if isinstance(decision, Grant):
                self._granted_endpoint_id = decision.endpoint_id
            on_decided(decision)

        search_number = self.routing.place(self._last_request, on_decision)
        if self._granted_endpoint_id == "":
            self._search_number = search_number

    def candidates(self, action: RequestEndpoint) -> list[str]:
        """Some of the engines that a search for ``action`` may choose."""
        request = self._placement_request(action)
        return self.routing.router.endpoints.choose_to_query(
            request, self.clock.now_ms(), _CANDIDATES
        )

    def _placement_request(self, action: RequestEndpoint) -> PlacementRequest:
        request = self.request
        remaining_tokens = max(request.max_tokens - action.held_tokens, 1)
        return PlacementRequest(
            team=request.team.name,
            request_class=request.policy.name,
            rank=request.policy.rank,
            pool=request.model.name,
            cost=request.prompt_tokens + remaining_tokens,
            deadline_ms=self.clock.now_ms() + request.policy.patience_ms,
            weight=request.team.weight,
            continuing=action.continuing,
            held_tokens=action.held_tokens,
            prompt_tokens=request.prompt_tokens,
            prompt_key=request.prompt_key,
            excluded=action.excluded,
        )

    def stop(self) -> None:
        """Stop the search."""
        if self._search_number is not None:
            self.routing.withdraw(self._search_number)
            self._search_number = None

    def return_slot(self) -> None:
        """Return a granted slot that no attempt uses."""
        if self._granted_endpoint_id:
            endpoint_id, self._granted_endpoint_id = self._granted_endpoint_id, ""
            self.routing.return_unused(endpoint_id, self.request.prompt_tokens)

    def may_use(self, action: OpenAttempt) -> bool:
        """Whether the attempt's engine may run it.

        Routing has not just chosen the engine of a copy, so that one may be leaving.
        """
        return action.way is not Way.COPY or self.accepts_work(action.endpoint_id)

    def accepts_work(self, endpoint_id: str) -> bool:
        """Whether the endpoint accepts new work now."""
        return self.routing.router.may_take(endpoint_id, self.clock.now_ms())

    def take_slot(self, action: OpenAttempt) -> bool:
        """Use the granted slot, or one at the engine that keeps a copy.

        Returns whether the attempt holds a slot, which must be released with it.
        """
        if action.way is Way.COPY:
            self.routing.router.count_run_at_copy(action.endpoint_id)
            return True
        holds_slot = (
            action.way is Way.PREFILL
            and self._granted_endpoint_id == action.endpoint_id
        )
        if holds_slot:
            self._granted_endpoint_id = ""
        return holds_slot

    def choose_copy_endpoint(
        self, action: OpenAttempt, excluded_endpoints: frozenset[str]
    ) -> str:
        """Choose the endpoint to keep a copy of the run; empty if there is none."""
        if self._last_request is None:
            return ""
        excluded = self._last_request.excluded | excluded_endpoints
        copy_request = evolve(self._last_request, excluded=excluded)
        endpoints = self.routing.router.endpoints
        return endpoints.choose_for_copy(
            copy_request, action.endpoint_id, self.clock.now_ms()
        )

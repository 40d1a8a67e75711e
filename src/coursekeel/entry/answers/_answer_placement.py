"""Finds engines for one answer's runs and for the copies of their memory.

Owns the search and the slot that routing granted and no attempt uses yet. Relies on
routing for every choice.
"""

from collections.abc import Callable

from attrs import define, evolve

from coursekeel.answers import OpenAttempt, SeekEndpoint, Way
from coursekeel.entry.answers._requests import GenerationRequest
from coursekeel.routing import Decision, Grant, PlacementRequest
from coursekeel.runtime import Clock, RoutingTask

__all__ = ["AnswerPlacement"]


@define(eq=False)
class AnswerPlacement:
    """Searches engines for ``request``; `stop` ends a search."""

    routing: RoutingTask
    clock: Clock
    request: GenerationRequest
    _searched: PlacementRequest | None = None
    _number: int | None = None
    _granted: str = ""

    def search(self, action: SeekEndpoint, decided: Callable[[Decision], None]) -> None:
        """Request an engine from routing; ``decided`` is called once unless stopped."""
        self._number = None
        self._searched = self._placement_request(action)

        def on_decision(decision: Decision) -> None:
            self._number = None
            if isinstance(decision, Grant):
                self._granted = decision.endpoint_id
            decided(decision)

        number = self.routing.place(self._searched, on_decision)
        if self._granted == "":
            self._number = number

    def _placement_request(self, action: SeekEndpoint) -> PlacementRequest:
        request = self.request
        left = max(request.max_tokens - action.held_tokens, 1)
        return PlacementRequest(
            team=request.team.name,
            request_class=request.policy.name,
            rank=request.policy.rank,
            pool=request.model.name,
            cost=request.prompt_tokens + left,
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
        if self._number is not None:
            self.routing.withdraw(self._number)
            self._number = None

    def give_back(self) -> None:
        """Return a granted slot that no attempt uses."""
        if self._granted:
            endpoint_id, self._granted = self._granted, ""
            self.routing.returned(endpoint_id, self.request.prompt_tokens)

    def may_have(self, action: OpenAttempt) -> bool:
        """Whether the attempt's engine may run it.

        Routing has not just chosen the engine of a copy, so that one may be leaving.
        """
        return action.way is not Way.COPY or self.takes_work(action.endpoint_id)

    def takes_work(self, endpoint_id: str) -> bool:
        """Whether the endpoint accepts new work now."""
        return self.routing.router.may_take(endpoint_id, self.clock.now_ms())

    def take_place(self, action: OpenAttempt) -> bool:
        """Use the granted slot, or one at the engine that keeps a copy.

        Returns whether the attempt holds a slot, which must be released with it.
        """
        if action.way is Way.COPY:
            self.routing.router.sent_to_copy(action.endpoint_id)
            return True
        holds_place = action.way is Way.PREFILL and self._granted == action.endpoint_id
        if holds_place:
            self._granted = ""
        return holds_place

    def keeper(self, action: OpenAttempt, bad_endpoints: frozenset[str]) -> str:
        """Choose the endpoint to keep a copy of the run; empty if there is none."""
        if self._searched is None:
            return ""
        excluded = self._searched.excluded | bad_endpoints
        request = evolve(self._searched, excluded=excluded)
        endpoints = self.routing.router.endpoints
        return endpoints.for_copy(request, action.endpoint_id, self.clock.now_ms())

"""Place a stream's runs, and the copies of their memory, on endpoints.

Rule for a run: a few endpoints are asked for their load reports, then routing chooses.
A new request waits in the queue until `queue_deadline_ms`, or while all endpoints of
its pool are silent and may answer again; a stream that has begun waits until its own
deadline, since another instance would have to read its prompt again. Rule for a copy:
`EndpointSelector.choose_for_copy`, for resumable routes only, in pools that keep
copies.

Owns one stream's search, the zones where it lost runs, and the addresses of its copies.
"""

from collections.abc import Callable

from attrs import define, evolve, field

from coursekeel.answers import OpenAttempt, RequestEndpoint, Way
from coursekeel.forwarding import EndpointRecord, RouteKind
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._queue_deadline import queue_deadline_ms
from coursekeel.gateway.endpoints._load_reports import LoadReports
from coursekeel.routing import Decision, PlacementRequest

__all__ = ["StreamPlacement"]

# How many endpoints are asked for a load report before a stream is placed: the one that
# the prompt's hash maps to, one of another zone, one at random. It also finds crashed
# endpoints before a long prompt is sent there (docs/design/platform.md). With one, a
# stream in five of 195 instances waited for another's prompt. With 5 and 8 streams were
# 1 and 2 % shorter, but instances that have the same old reports pick the same least
# loaded endpoint, and one in twenty waited (`test_fleet_load.py`, 40 s).
_LOAD_REQUESTS = 3

# How many endpoints are asked whether they have the prompt of a resumed stream in their
# cache; on a small site, all of them. Together with `StopWindow` it took prompts read
# in vain from 0.041 to 0.026 of a day's worth (20 days with trouble, four seeds each).
_CACHED_PROMPT_REQUESTS = 16

# The cost, for fair queueing among teams, of a request without token counts; not 0.
_DEFAULT_COST_TOKENS = 1.0

_OnDecision = Callable[[Decision], None]


@define(eq=False)
class StreamPlacement:
    """Finds endpoints for one stream's runs and copies, one search at a time."""

    context: GatewayContext
    reports: LoadReports
    call: AdmittedRequest
    _request: PlacementRequest | None = None
    _searching: bool = False
    _searched_caches: bool = False
    _prompt_cached_at: frozenset[str] = frozenset()
    _request_number: int | None = None
    _lost_zones: set[str] = field(factory=set)
    _copy_addresses: dict[str, str] = field(factory=dict)

    @property
    def reports_requested(self) -> int:
        """How many endpoints were asked for a load report in the last search."""
        return len(self._request.queried) if self._request else 0

    def search(self, action: RequestEndpoint, on_decision: _OnDecision) -> None:
        """Search for an endpoint; call ``on_decision`` once unless stopped."""
        now_ms = self.context.clock.now_ms()
        request = self._request = self._placement_request(action, now_ms)
        self._searching = True
        unreached = self.context.reach.is_unreached(self.call.pool)
        if request.caller_resumes and not self._searched_caches and not unreached:
            self._searched_caches = True
            endpoints = self.context.routing.router.endpoints
            candidates = endpoints.likely_caches(
                request, now_ms, _CACHED_PROMPT_REQUESTS
            )
            self.reports.find_cached_prompt(
                candidates,
                request.prompt_key,
                lambda cached_at: self._caches_found(cached_at, on_decision),
            )
            return
        self._request_loads(on_decision)

    def _caches_found(
        self, cached_at: frozenset[str], on_decision: _OnDecision
    ) -> None:
        self._prompt_cached_at = cached_at
        if self._searching and self._request is not None:
            self._request = evolve(self._request, prompt_cached_at=cached_at)
            self._request_loads(on_decision)

    def _request_loads(self, on_decision: _OnDecision) -> None:
        assert self._request is not None
        now_ms = self.context.clock.now_ms()
        endpoints = self.context.routing.router.endpoints
        asked = (
            []
            if self.context.reach.is_unreached(self.call.pool)
            else endpoints.choose_to_query(self._request, now_ms, _LOAD_REQUESTS)
        )
        if asked:
            self.reports.request_reports(
                asked, lambda: self._reports_updated(asked, on_decision)
            )
        else:
            self._reports_updated([], on_decision)

    def _placement_request(
        self, action: RequestEndpoint, now_ms: float
    ) -> PlacementRequest:
        call, caller = self.call, self.call.caller
        resuming = action.continuing or action.held_tokens > 0
        first_search = not resuming and self._request is None
        tokens = caller.prompt_tokens + caller.output_tokens
        return PlacementRequest(
            team=call.team_name,
            request_class=call.route.name,
            rank=call.rank,
            pool=self.context.versions.pool_for(call, first_search),
            cost=float(tokens) or _DEFAULT_COST_TOKENS,
            deadline_ms=call.deadline_ms
            if resuming
            else queue_deadline_ms(call, now_ms),
            prompt_tokens=caller.prompt_tokens,
            prompt_key=caller.prompt_key or caller.request_id,
            excluded=action.excluded,
            avoided_zones=frozenset(self._lost_zones),
            caller_resumes=caller.resume_after is not None,
            prompt_cached_at=self._prompt_cached_at,
        )

    def _reports_updated(self, asked: list[str], on_decision: _OnDecision) -> None:
        if not self._searching or self._request is None:
            return
        self._request = evolve(
            self._request,
            queried=frozenset(asked),
            deadline_ms=self._deadline_in_silence_ms(self._request.deadline_ms),
        )

        def decision_made(decision: Decision) -> None:
            self._request_number = None
            self._searching = False
            on_decision(decision)

        number = self.context.routing.place(self._request, decision_made)
        # `place` may have called `decision_made` before it returned.
        self._request_number = number if self._searching else None

    def _deadline_in_silence_ms(self, deadline_ms: float) -> float:
        """Return the end of a wait that a silence of the whole pool makes longer."""
        answers_by_ms = self.reports.silent_endpoints.pool_answers_by_ms(self.call.pool)
        if answers_by_ms is None:
            return deadline_ms
        return min(max(deadline_ms, answers_by_ms), self.call.deadline_ms)

    def stop(self) -> None:
        """Cancel the search."""
        self._searching = False
        if self._request_number is not None:
            self.context.routing.withdraw(self._request_number)
            self._request_number = None

    def release_grant(self, endpoint_id: str) -> None:
        """Return a granted slot that is not used to routing."""
        self.context.routing.return_unused(endpoint_id, self.call.caller.prompt_tokens)

    def record_for(self, action: OpenAttempt) -> EndpointRecord | None:
        """Return the endpoint to send to, None if the run may not be sent there."""
        directory = self.context.site.directory
        if action.way is not Way.COPY:
            return directory.record(action.endpoint_id)
        # A copy is looked up by address: the incarnation that accepted it may be newer
        # than the one listed when it was placed. By now the endpoint may be leaving, or
        # the address may belong to another pool.
        record = directory.at_address(self._copy_addresses.get(action.endpoint_id, ""))
        if record is None or record.leaving or record.pool != self.call.pool:
            return None
        return record if self.context.versions.may_receive(record) else None

    def place_copy(self, action: OpenAttempt) -> EndpointRecord | None:
        """Choose the endpoint that keeps a copy of a run; None if there is none."""
        resumable = self.call.route.kind is RouteKind.RESUMABLE
        if not self.call.copies or not resumable or self._request is None:
            return None
        request = evolve(self._request, avoided_zones=frozenset(self._lost_zones))
        now_ms = self.context.clock.now_ms()
        endpoints = self.context.routing.router.endpoints
        copy_endpoint_id = endpoints.choose_for_copy(
            request, action.endpoint_id, now_ms
        )
        record = self.context.site.directory.record(copy_endpoint_id)
        if record is not None:
            self._copy_addresses[copy_endpoint_id] = record.address
        return record

    def run_lost(self, endpoint_id: str) -> None:
        """Report a lost run; this stream avoids the endpoint's zone from now on."""
        self.context.health.run_lost(self.call.pool, endpoint_id)
        self.avoid_zone_of(endpoint_id)

    def avoid_zone_of(self, endpoint_id: str) -> None:
        """Avoid an endpoint's zone in this stream's searches from now on."""
        record = self.context.site.directory.record(endpoint_id)
        if record is not None:
            self._lost_zones.add(record.zone)

"""Place: where a stream's runs and their copies go.

Rule for a run: a few endpoints are asked for their load, and routing chooses among
those that answer. New work waits for an endpoint as long as `queue_deadline_ms` says; a
stream that has begun waits until its time is over, since nobody else can go on with it
more cheaply. Rule for a copy: `KnownEndpoints.for_copy`, and only of streams that may
be resumed, in pools that keep copies.

Owns one stream's search, the zones where it lost runs, and the addresses of its copies.
"""

from collections.abc import Callable

from attrs import define, evolve, field

from coursekeel.answers import OpenAttempt, SeekEndpoint, Way
from coursekeel.forwarding import EndpointRecord, RouteKind
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._queue_deadline import queue_deadline_ms
from coursekeel.gateway.endpoints._load_reports import LoadReports
from coursekeel.routing import Decision, PlacementRequest

__all__ = ["StreamPlacement"]

# How many endpoints are asked for their load before a stream is placed: the prompt's
# own, one of another zone, one by lot. Questions cost 0.003 of a quiet day's worth, and
# find dead endpoints before 8,000 tokens are sent there (docs/design/platform.md). One
# in place of three lets one stream in five of 195 instances wait for another's prompt;
# 5 and 8 shorten streams by 1 and 2 in 100, but then instances with the same old
# reports meet at the emptiest, and one in twenty waits (`test_fleet_load.py`, 40 s).
_ASKED = 3

# How many are asked whether they keep the prompt of a stream that comes back: all of a
# small site's. With streams refused that a stop would cut (`StopWindow`), it took
# prompts read for nothing from 0.041 to 0.026 of a day's worth, and the mean worth from
# 0.636 to 0.665 (20 days with trouble, four seeds each). Other numbers were not tried.
_ASKED_KEPT = 16

# The cost of a request whose caller says nothing of its tokens, for fairness among
# teams: it must be more than nothing.
_UNKNOWN_COST = 1.0

_Decided = Callable[[Decision], None]


@define(eq=False)
class StreamPlacement:
    """Looks for endpoints for one stream: asks some for their load, then routing."""

    context: GatewayContext
    reports: LoadReports
    call: AdmittedRequest
    _request: PlacementRequest | None = None
    _searching: bool = False
    _asked_kept: bool = False
    _known_kept: frozenset[str] = frozenset()
    _number: int | None = None
    _lost_zones: set[str] = field(factory=set)
    _copies: dict[str, str] = field(factory=dict)

    @property
    def asked(self) -> int:
        """How many endpoints were asked for their load at the last search."""
        return len(self._request.asked) if self._request else 0

    def search(self, action: SeekEndpoint, decided: _Decided) -> None:
        """Search for an endpoint; ``decided`` is called once unless `stop` is."""
        now_ms = self.context.clock.now_ms()
        request = self._request = self._placement_request(action, now_ms)
        self._searching = True
        if request.caller_resumes and not self._asked_kept:
            self._asked_kept = True
            endpoints = self.context.routing.router.endpoints
            keepers = endpoints.may_keep(request, now_ms, _ASKED_KEPT)
            self.reports.ask_kept(
                keepers, request.prompt_key, lambda kept: self._kept_at(kept, decided)
            )
            return
        self._ask_loads(decided)

    def _kept_at(self, kept_at: frozenset[str], decided: _Decided) -> None:
        self._known_kept = kept_at
        if self._searching and self._request is not None:
            self._request = evolve(self._request, kept_at=kept_at)
            self._ask_loads(decided)

    def _ask_loads(self, decided: _Decided) -> None:
        assert self._request is not None
        now_ms = self.context.clock.now_ms()
        endpoints = self.context.routing.router.endpoints
        asked = endpoints.to_ask(self._request, now_ms, _ASKED)
        if asked:
            self.reports.ask_all(asked, lambda: self._reports_in(asked, decided))
        else:
            self._reports_in([], decided)

    def _placement_request(
        self, action: SeekEndpoint, now_ms: float
    ) -> PlacementRequest:
        call, caller = self.call, self.call.caller
        begun = action.continuing or action.held_tokens > 0
        first = not begun and self._request is None
        tokens = caller.prompt_tokens + caller.output_tokens
        return PlacementRequest(
            team=call.team_name,
            request_class=call.route.name,
            rank=call.rank,
            pool=self.context.versions.pool_for(call, first),
            cost=float(tokens) or _UNKNOWN_COST,
            deadline_ms=call.due_ms if begun else queue_deadline_ms(call, now_ms),
            prompt_tokens=caller.prompt_tokens,
            prompt_key=caller.prompt_key or caller.request_id,
            excluded=action.excluded,
            avoided_zones=frozenset(self._lost_zones),
            caller_resumes=caller.resume_after is not None,
            kept_at=self._known_kept,
        )

    def _reports_in(self, asked: list[str], decided: _Decided) -> None:
        if not self._searching or self._request is None:
            return
        self._request = evolve(self._request, asked=frozenset(asked))

        def on_decision(decision: Decision) -> None:
            self._number = None
            self._searching = False
            decided(decision)

        number = self.context.routing.place(self._request, on_decision)
        # The decision may have come already.
        self._number = number if self._searching else None

    def stop(self) -> None:
        """Search no more."""
        self._searching = False
        if self._number is not None:
            self.context.routing.withdraw(self._number)
            self._number = None

    def give_back(self, endpoint_id: str) -> None:
        """A granted place isn't used."""
        self.context.routing.returned(endpoint_id, self.call.caller.prompt_tokens)

    def record_for(self, action: OpenAttempt) -> EndpointRecord | None:
        """The endpoint to send to, None if it may not have the run."""
        directory = self.context.site.directory
        if action.way is not Way.COPY:
            return directory.record(action.endpoint_id)
        # A copy lies at an address: when it was placed, the list may still have named
        # the incarnation before the one that took it. By now the endpoint may be
        # leaving, or another pool's may have the address.
        record = directory.at_address(self._copies.get(action.endpoint_id, ""))
        if record is None or record.leaving or record.pool != self.call.pool:
            return None
        return record if self.context.versions.may_have(record) else None

    def place_copy(self, action: OpenAttempt) -> EndpointRecord | None:
        """Choose who keeps a copy of a run; None if nobody does."""
        resumable = self.call.route.kind is RouteKind.RESUMABLE
        if not self.call.copies or not resumable or self._request is None:
            return None
        request = evolve(self._request, avoided_zones=frozenset(self._lost_zones))
        now_ms = self.context.clock.now_ms()
        endpoints = self.context.routing.router.endpoints
        keeper = endpoints.for_copy(request, action.endpoint_id, now_ms)
        record = self.context.site.directory.record(keeper)
        if record is not None:
            self._copies[keeper] = record.address
        return record

    def lost(self, endpoint_id: str) -> None:
        """A run was lost there: this stream avoids its zone from now on."""
        self.context.health.lost_run(self.call.pool, endpoint_id)
        record = self.context.site.directory.record(endpoint_id)
        if record is not None:
            self._lost_zones.add(record.zone)

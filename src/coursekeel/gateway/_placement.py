"""Where a stream's runs and their copies go."""

from collections.abc import Callable

from attrs import define, evolve, field

from coursekeel.answers import OpenAttempt, SeekEndpoint, Way
from coursekeel.forwarding import EndpointRecord, RouteKind
from coursekeel.gateway._ports import Forwarded, ForwardingPorts
from coursekeel.gateway._report_task import ReportTask
from coursekeel.routing import Decision, Seek

__all__ = ["Placement"]

_ASKED = 3


_Decided = Callable[[Decision], None]


@define(eq=False)
class Placement:
    """Looks for endpoints for one stream: asks some for their load, then routing."""

    ports: ForwardingPorts
    reports: ReportTask
    call: Forwarded
    _seek: Seek | None = None
    _seeking: bool = False
    _ticket: int | None = None
    _lost_zones: set[str] = field(factory=set)
    _copies: dict[str, str] = field(factory=dict)

    @property
    def candidates(self) -> int:
        """How many endpoints were asked for their load at the last search."""
        return len(self._seek.candidates) if self._seek else 0

    def seek(self, action: SeekEndpoint, decided: _Decided) -> None:
        """Search for an endpoint; ``decided`` is called once unless `stop` is."""
        now_ms = self.ports.clock.now_ms()
        self._seek = self._made(action, now_ms)
        self._seeking = True
        asked = self.ports.routing.router.to_ask(self._seek, now_ms, _ASKED)
        if asked:
            self.reports.ask_all(asked, lambda: self._asked(asked, decided))
        else:
            self._asked([], decided)

    def _made(self, action: SeekEndpoint, now_ms: float) -> Seek:
        call, caller = self.call, self.call.caller
        continuing = action.continuing or action.held_tokens > 0
        waits_ms = call.due_ms if continuing else now_ms + call.route.target_ms / 4
        return Seek(
            ticket=0,
            team=call.team_name,
            request_class=call.route.name,
            rank=call.rank,
            model=call.pool,
            cost_tokens=float(caller.prompt_tokens + caller.output_tokens) or 1.0,
            deadline_ms=min(call.due_ms, waits_ms),
            prompt_tokens=caller.prompt_tokens,
            prompt_key=caller.prompt_key or caller.request_id,
            excluded=action.excluded,
            shunned_zones=frozenset(self._lost_zones),
            resumes=caller.resume_after is not None,
        )

    def _asked(self, asked: list[str], decided: _Decided) -> None:
        if not self._seeking or self._seek is None:
            return
        self._seek = evolve(self._seek, candidates=frozenset(asked))

        def told(decision: Decision) -> None:
            self._ticket = None
            self._seeking = False
            decided(decision)

        ticket = self.ports.routing.seek(self._seek, told)
        # The decision may have come already.
        self._ticket = ticket if self._seeking else None

    def stop(self) -> None:
        """Search no more."""
        self._seeking = False
        if self._ticket is not None:
            self.ports.routing.withdraw(self._ticket)
            self._ticket = None

    def give_back(self, endpoint_id: str) -> None:
        """A granted place isn't used."""
        self.ports.routing.returned(endpoint_id, self.call.caller.prompt_tokens)

    def record_for(self, action: OpenAttempt) -> EndpointRecord | None:
        """The endpoint to send to, None if it may not have the run."""
        directory = self.ports.directory
        if action.way is not Way.COPY:
            return directory.record(action.endpoint_id)
        # A copy lies at an address: when it was placed, the list may still have named
        # the incarnation before the one that took it. By now the endpoint may be
        # leaving, or another pool's may have the address.
        record = directory.at_address(self._copies.get(action.endpoint_id, ""))
        if record is None or record.leaving or record.pool != self.call.pool:
            return None
        return record

    def place_copy(self, action: OpenAttempt, placed: Callable[[str], None]) -> str:
        """Choose who keeps a copy of a run; return the address, tell ``placed``."""
        resumable = self.call.route.kind is RouteKind.RESUMABLE
        if not self.call.copies or not resumable or self._seek is None:
            return ""
        seek = evolve(self._seek, shunned_zones=frozenset(self._lost_zones))
        now_ms = self.ports.clock.now_ms()
        place = self.ports.routing.router.place_for_copy(
            seek, action.endpoint_id, now_ms
        )
        record = self.ports.directory.record(place)
        if record is None:
            return ""
        self._copies[place] = record.address
        placed(place)
        return record.address

    def lost(self, endpoint_id: str) -> None:
        """A run was lost there: its zone is left alone by this stream."""
        router, now_ms = self.ports.routing.router, self.ports.clock.now_ms()
        router.lost(self.call.pool, endpoint_id, now_ms)
        record = self.ports.directory.record(endpoint_id)
        if record is not None:
            self._lost_zones.add(record.zone)

"""Where requests arrive: looked up, allowed or refused, and given to their task."""

from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen

from coursekeel.forwarding import Belief, Route, RouteTable, Team
from coursekeel.gateway._adapters import CallerDialect, CallerHeaders, Table
from coursekeel.gateway._metrics import GatewayMetrics
from coursekeel.gateway._plain_task import PlainTask
from coursekeel.gateway._ports import Forwarded, ForwardingPorts
from coursekeel.gateway._reply import CallerReply
from coursekeel.gateway._report_task import ReportTask
from coursekeel.gateway._stream_task import StreamTask

__all__ = ["Desk", "StopTimes"]

_ELSEWHERE_MS = 50.0
_NOT_YET_MS = 300.0
# A stream takes some six seconds of the usual grace of eight. Seen on a played day:
# those that began 1.5 s into a stop were cut at its end, and read anew elsewhere.
_LATE_STREAM_SHARE = 0.096
_CONFIGURATION = Table.CONFIGURATION.value


@frozen
class StopTimes:
    """The moments of a stop: its start, when callers have been told, and its end.

    Until ``settled_ms`` the balancer may still send new connections here; what runs at
    ``last_ms`` is cut.
    """

    begun_ms: float
    settled_ms: float
    last_ms: float

    def leaves_time_for(self, route: Route, now_ms: float) -> bool:
        """Say whether a request that comes now can be answered before the end.

        Seen on a played day: a call on a kept connection came 7.5 s after SIGTERM, was
        passed on, and was cut 33 ms later.
        """
        if route.kind.streams:
            grace_ms = self.last_ms - self.begun_ms
            return now_ms - self.begun_ms <= _LATE_STREAM_SHARE * grace_ms
        return now_ms <= self.settled_ms or now_ms + route.timeout_ms <= self.last_ms


@define(eq=False)
class Desk:
    """Takes every caller's request of this instance."""

    ports: ForwardingPorts
    reports: ReportTask
    callers: CallerDialect
    belief: Belief
    metrics: GatewayMetrics
    table: RouteTable | None = None
    stop_times: StopTimes | None = None
    open_requests: int = 0
    _closing: Callable[[], bool] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._closing = lambda: self.stop_times is not None

    def belief_age_ms(self) -> float:
        """The age of what is known of routes and keys."""
        return self.belief.age_ms(_CONFIGURATION, self.ports.clock.now_ms())

    def belief_fits(self, call: Forwarded) -> bool:
        """Say whether a request may be sent on with what is known now.

        Looked at again before every send: a process that was frozen in between would
        act on keys that may long have been taken away.
        """
        if call.route.anonymous or call.team is None:
            return True
        if self.belief_age_ms() > self.ports.settings.timers.belief_ms:
            return False
        assert self.table is not None
        return self.table.team(call.caller.key) is not None

    def take(self, request: Any) -> None:
        """Take one whole request from Twisted's HTTP server."""
        received = [
            (name.lower(), value)
            for name, values in request.requestHeaders.getAllRawHeaders()
            for value in values
        ]
        caller = self.callers.read(received)
        self.open_requests += 1
        request.notifyFinish().addBoth(self._over)
        reply = CallerReply(request, self._closing)
        found = self._look_up(request, caller, reply)
        if found is None:
            return
        route, team = found
        call = self._forwarded(request, received, caller, route, team)
        if call is None:
            self._refuse(reply, caller, 503, "no_pool", _NOT_YET_MS)
        elif route.kind.streams:
            StreamTask(self.ports, self.reports, call, reply).start()
        else:
            PlainTask(self.ports, call, reply).start()

    def _over(self, _: object) -> None:
        self.open_requests -= 1

    def _look_up(
        self, request: Any, caller: CallerHeaders, reply: CallerReply
    ) -> "tuple[Route, Team | None] | None":
        table, timers = self.table, self.ports.settings.timers
        if table is None:
            self._refuse(reply, caller, 503, "no_configuration", _NOT_YET_MS)
            return None
        if self.open_requests > self.ports.settings.max_open_requests:
            self._refuse(reply, caller, 503, "too_many_open", _NOT_YET_MS)
            return None
        host = (request.getHeader(b"host") or b"").decode("latin-1")
        path = request.uri.split(b"?", 1)[0].decode("latin-1")
        route = table.route(host.rpartition(":")[0] or host, path)
        age_ms = self.belief_age_ms()
        current = age_ms <= timers.unknown_ms
        if route is None:
            self._refuse_unknown(reply, caller, 404, "no_route", current)
            return None
        if route.anonymous or not table.configuration.keyed:
            return self._if_in_time(route, None, caller, reply)
        if age_ms > timers.belief_ms:
            self._refuse(reply, caller, 503, "belief_old", _ELSEWHERE_MS)
            return None
        team = table.team(caller.key)
        if team is None:
            self._refuse_unknown(reply, caller, 401, "unknown_key", current)
            return None
        return self._if_in_time(route, team, caller, reply)

    def _if_in_time(
        self, route: Route, team: Team | None, caller: CallerHeaders, reply: CallerReply
    ) -> "tuple[Route, Team | None] | None":
        """What begins late in a stop would not end before it."""
        times = self.stop_times
        if times and not times.leaves_time_for(route, self.ports.clock.now_ms()):
            self._refuse(reply, caller, 503, "stopping", _ELSEWHERE_MS)
            return None
        return route, team

    def _refuse_unknown(
        self,
        reply: CallerReply,
        caller: CallerHeaders,
        status: int,
        code: str,
        current: bool,
    ) -> None:
        """What is unknown here may be known elsewhere, unless the belief is fresh."""
        if current:
            self._refuse(reply, caller, status, code, 0)
        else:
            self._refuse(reply, caller, 503, "belief_old", _ELSEWHERE_MS)

    def _refuse(
        self,
        reply: CallerReply,
        caller: CallerHeaders,
        status: int,
        code: str,
        retry_after_ms: float,
    ) -> None:
        self.metrics.refused(caller.request_id, code, status, self.belief_age_ms())
        reply.refuse(status, code, retry_after_ms)

    def _forwarded(
        self,
        request: Any,
        received: list[tuple[bytes, bytes]],
        caller: CallerHeaders,
        route: Route,
        team: Team | None,
    ) -> Forwarded | None:
        assert self.table is not None
        pool = self.table.pools.get(route.pick_pool(self.ports.random))
        if pool is None:
            return None
        now_ms = self.ports.clock.now_ms()
        within_ms = min(route.timeout_ms, caller.deadline_ms or route.timeout_ms)
        return Forwarded(
            request.method,
            request.uri,
            received,
            request.content.read(),
            caller,
            route,
            pool.name,
            pool.copies,
            team,
            now_ms,
            now_ms + within_ms,
        )

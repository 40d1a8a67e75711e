"""Admit: may this instance take a request, and for which route and team?

Rule: a request is taken if its route is known, its key is known and known freshly
enough, and the instance has room and time for it. Whatever else comes is refused at
once, since waiting makes none of these true for the caller.

Two ages of what is known of routes and keys bound the answer (both from `revoke_ms`,
see `GatewayTimers`): past `max_key_age_ms` no key is acted on, because it may have been
taken away; past `max_unknown_age_ms` a route or key that isn't known here is no longer
called unknown (404, 401), because it may be new, and another instance may know it.

A core: no sockets, no clock. Units: milliseconds of this process's clock.
"""

from http import HTTPStatus

from attrs import evolve, field, frozen

from coursekeel.forwarding import Route, RouteTable, Team
from coursekeel.gateway.admission._refusals import (
    ELSEWHERE_RETRY_MS,
    NOT_YET_RETRY_MS,
    GatewayRefusal,
)
from coursekeel.gateway.admission._stop_window import StopWindow
from coursekeel.gateway.admission._stream_lengths import StreamLengths

__all__ = ["Admission", "Admitted", "Arrival", "admit"]

_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE
_STALE_CONFIGURATION = GatewayRefusal(_UNAVAILABLE, "belief_old", ELSEWHERE_RETRY_MS)
_STOPPING = GatewayRefusal(_UNAVAILABLE, "stopping", ELSEWHERE_RETRY_MS)
_NO_ROUTES = GatewayRefusal(_UNAVAILABLE, "no_configuration", NOT_YET_RETRY_MS)
_TOO_MANY_OPEN = GatewayRefusal(_UNAVAILABLE, "too_many_open", NOT_YET_RETRY_MS)
_NO_ROUTE = GatewayRefusal(HTTPStatus.NOT_FOUND, "no_route")
_UNKNOWN_KEY = GatewayRefusal(HTTPStatus.UNAUTHORIZED, "unknown_key")


@frozen
class Arrival:
    """What admission looks at in a request; ``host`` without its port."""

    host: str
    path: str
    key: str


@frozen
class Admitted:
    """The request may be served; without a team it needed no key."""

    route: Route
    team: Team | None


@frozen
class Admission:
    """What an instance knows and bears at one moment.

    ``age_ms`` is how long ago what is known of routes and keys was last proven.
    ``open_requests`` counts the request in question. ``alone_in_zone``: no other
    instance is known in this availability zone, so that callers would come back here.
    """

    routes: RouteTable | None
    age_ms: float
    max_key_age_ms: float
    max_unknown_age_ms: float
    open_requests: int
    max_open_requests: int
    stop: StopWindow | None
    now_ms: float
    lengths: StreamLengths = field(factory=StreamLengths)
    alone_in_zone: bool = False

    @property
    def may_report_unknown(self) -> bool:
        """Say whether what isn't known here can be called unknown."""
        return self.age_ms <= self.max_unknown_age_ms


def admit(arrival: Arrival, state: Admission) -> Admitted | GatewayRefusal:
    """Take a request, or say why not."""
    if state.routes is None:
        return _NO_ROUTES
    if state.open_requests > state.max_open_requests:
        return _TOO_MANY_OPEN
    route = state.routes.route(arrival.host, arrival.path)
    if route is None:
        return _NO_ROUTE if state.may_report_unknown else _STALE_CONFIGURATION
    if route.anonymous or not state.routes.configuration.keyed:
        return _check_stop_window(Admitted(route, None), state)
    if state.age_ms > state.max_key_age_ms:
        return _STALE_CONFIGURATION
    team = state.routes.team(arrival.key)
    if team is None:
        return _UNKNOWN_KEY if state.may_report_unknown else _STALE_CONFIGURATION
    return _check_stop_window(Admitted(route, team), state)


def _check_stop_window(
    admitted: Admitted, state: Admission
) -> Admitted | GatewayRefusal:
    """A request that can't be answered before the end of a stop goes elsewhere."""
    stop, route = state.stop, admitted.route
    upper_estimate_ms = state.lengths.upper_estimate_ms(route.name)
    if stop is None or stop.has_time_for(route, state.now_ms, upper_estimate_ms):
        return admitted
    if not state.alone_in_zone:
        return _STOPPING
    settled_ms = stop.settled_ms - state.now_ms
    return evolve(_STOPPING, retry_after_ms=max(settled_ms, ELSEWHERE_RETRY_MS))

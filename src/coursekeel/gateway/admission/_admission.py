"""Admit or refuse a request, and find its route and team.

Rule: a request is admitted if its route and key are in the cached configuration, the
configuration is fresh enough, and the instance has capacity and time for it. Any other
request is refused at once.

Two limits on the configuration's age apply, both from `revoke_ms` (`GatewayTimers`).
Past `max_key_age_ms` no key is accepted, because it may have been revoked; past
`max_unknown_age_ms` a missing route or key is not reported as unknown (404, 401),
because it may be new, and another instance may have it.

A core: no sockets, no clock. Units: milliseconds of this process's clock.
"""

from http import HTTPStatus

from attrs import evolve, field, frozen

from coursekeel.forwarding import Route, RouteTable, Team
from coursekeel.gateway.admission._refusals import (
    NO_CONFIGURATION,
    NOT_READY_RETRY_MS,
    OTHER_INSTANCE_RETRY_MS,
    STOPPING,
    GatewayRefusal,
)
from coursekeel.gateway.admission._stop_window import StopWindow
from coursekeel.gateway.admission._stream_lengths import StreamDurations

__all__ = ["AdmissionState", "Admitted", "RequestKey", "admit"]

_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE
_STALE_CONFIGURATION = GatewayRefusal(
    _UNAVAILABLE, "belief_old", OTHER_INSTANCE_RETRY_MS
)
_TOO_MANY_OPEN = GatewayRefusal(_UNAVAILABLE, "too_many_open", NOT_READY_RETRY_MS)
_NO_ROUTE = GatewayRefusal(HTTPStatus.NOT_FOUND, "no_route")
_UNKNOWN_KEY = GatewayRefusal(HTTPStatus.UNAUTHORIZED, "unknown_key")


@frozen
class RequestKey:
    """The parts of a request that admission checks; ``host`` without its port."""

    host: str
    path: str
    key: str


@frozen
class Admitted:
    """The request is admitted; ``team`` is None if it needed no key."""

    route: Route
    team: Team | None


@frozen
class AdmissionState:
    """An instance's state at one time, as far as admission depends on it.

    ``age_ms`` is the time since the cached routes and keys were last confirmed by a
    store response. ``open_requests`` includes the request to admit. With
    ``alone_in_zone`` this is the only known instance of its availability zone, so that
    callers would return here.
    """

    routes: RouteTable | None
    age_ms: float
    max_key_age_ms: float
    max_unknown_age_ms: float
    open_requests: int
    max_open_requests: int
    stop: StopWindow | None
    now_ms: float
    lengths: StreamDurations = field(factory=StreamDurations)
    alone_in_zone: bool = False

    @property
    def may_report_unknown(self) -> bool:
        """Whether the configuration is fresh enough to report 404 or 401."""
        return self.age_ms <= self.max_unknown_age_ms


def admit(arrival: RequestKey, state: AdmissionState) -> Admitted | GatewayRefusal:
    """Admit a request, or return the refusal to send."""
    if state.routes is None:
        return NO_CONFIGURATION
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
    admitted: Admitted, state: AdmissionState
) -> Admitted | GatewayRefusal:
    """Refuse a request that can't be answered before the instance stops.

    If callers would return here, `Retry-After` lasts until the balancer has noticed.
    """
    stop, route = state.stop, admitted.route
    upper_estimate_ms = state.lengths.upper_estimate_ms(route.name)
    if stop is None or stop.has_time_for(route, state.now_ms, upper_estimate_ms):
        return admitted
    if not state.alone_in_zone:
        return STOPPING
    settled_ms = stop.balancer_settled_ms - state.now_ms
    return evolve(STOPPING, retry_after_ms=max(settled_ms, OTHER_INSTANCE_RETRY_MS))

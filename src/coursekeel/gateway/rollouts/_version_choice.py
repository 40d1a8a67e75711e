"""Chooses a version for each request during a roll-out, and reports its outcome.

Used by the tasks that send requests. Owns nothing. Relies on `Rollouts`, which does no
I/O, for every decision.
"""

from attrs import define, field

from coursekeel.canary import Rollouts
from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.routing import Router
from coursekeel.runtime import Clock

__all__ = ["VersionChoice"]

# Suffix of the route name under which a stream's first event is counted, apart from its
# end, since the two have different latencies.
_FIRST_EVENT_SUFFIX = "#first"


@define(eq=False)
class VersionChoice:
    """The versions that one gateway uses; without a ``router`` it has no orders."""

    clock: Clock = field(factory=Clock)
    rollouts: Rollouts = field(factory=Rollouts.none)
    router: Router | None = None

    def pool_for(self, call: AdmittedRequest, first: bool) -> str:
        """The pool to route a request to; ``first``: it was never placed before."""
        return self.rollouts.pool_for(
            call.pool, self.clock.now_ms(), first, self._has_room
        )

    def _has_room(self, pool: str) -> bool:
        if self.router is None:
            return False
        return self.router.endpoints.has_room(pool, self.clock.now_ms())

    def may_receive(self, endpoint: EndpointRecord) -> bool:
        """Whether the roll-out allows a request to be sent to the endpoint."""
        return self.rollouts.may_receive(endpoint)

    def named(self, endpoint_id: str) -> str:
        """The endpoint's version while its pool has a roll-out order; else empty."""
        return self.rollouts.version_in_rollout(endpoint_id)

    def ended(
        self, call: AdmittedRequest, endpoint_id: str, failed: bool, took_ms: float
    ) -> None:
        """Record that an answer finished, or ``failed`` to, after ``took_ms``."""
        self._record_outcome(call, call.route.name, endpoint_id, failed, took_ms)

    def first_event(
        self, call: AdmittedRequest, endpoint_id: str, took_ms: float
    ) -> None:
        """Record that a stream's first event arrived after ``took_ms``."""
        self._record_outcome(
            call, call.route.name + _FIRST_EVENT_SUFFIX, endpoint_id, False, took_ms
        )

    def lost(self, call: AdmittedRequest, endpoint_id: str) -> None:
        """Record that an endpoint lost the request: it disconnected or stalled."""
        self._record_outcome(call, call.route.name, endpoint_id, True, 0.0, lost=True)

    def _record_outcome(
        self,
        call: AdmittedRequest,
        route: str,
        endpoint_id: str,
        failed: bool,
        took_ms: float,
        lost: bool = False,
    ) -> None:
        now_ms = self.clock.now_ms()
        self.rollouts.count_end(
            call.pool, route, endpoint_id, failed, took_ms, now_ms, lost
        )

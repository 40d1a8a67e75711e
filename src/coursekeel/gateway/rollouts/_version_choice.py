"""What requests' tasks ask and tell of versions that are rolled out.

Owns nothing. Relies on `Rollouts`, a core, for every decision.
"""

from attrs import define, field

from coursekeel.canary import Rollouts
from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.routing import Router
from coursekeel.runtime import Clock

__all__ = ["VersionChoice"]

# A stream's first event and its end take different times, so they are counted apart.
_FIRST_EVENT = "#first"


@define(eq=False)
class VersionChoice:
    """One gateway's; without a ``router`` there are no orders."""

    clock: Clock = field(factory=Clock)
    rollouts: Rollouts = field(factory=Rollouts.none)
    router: Router | None = None

    def pool_for(self, call: AdmittedRequest, first: bool) -> str:
        """Where routing looks; ``first``: the request was never placed before."""
        return self.rollouts.pool_for(
            call.pool, self.clock.now_ms(), first, self._has_room
        )

    def _has_room(self, pool: str) -> bool:
        if self.router is None:
            return False
        return self.router.endpoints.has_room(pool, self.clock.now_ms())

    def may_have(self, endpoint: EndpointRecord) -> bool:
        """Say whether a request may still be sent to the endpoint."""
        return self.rollouts.may_have(endpoint)

    def named(self, endpoint_id: str) -> str:
        """The endpoint's version while its pool has an order; empty otherwise."""
        return self.rollouts.ordered_version(endpoint_id)

    def ended(
        self, call: AdmittedRequest, endpoint_id: str, failed: bool, took_ms: float
    ) -> None:
        """An endpoint gave its whole answer, or none in the time it had."""
        self._tell(call, call.route.name, endpoint_id, failed, took_ms)

    def first_event(
        self, call: AdmittedRequest, endpoint_id: str, took_ms: float
    ) -> None:
        """A stream's endpoint gave its first event."""
        self._tell(call, call.route.name + _FIRST_EVENT, endpoint_id, False, took_ms)

    def lost(self, call: AdmittedRequest, endpoint_id: str) -> None:
        """An endpoint lost the request with its connection, or fell silent."""
        self._tell(call, call.route.name, endpoint_id, True, 0.0, lost=True)

    def _tell(
        self,
        call: AdmittedRequest,
        route: str,
        endpoint_id: str,
        failed: bool,
        took_ms: float,
        lost: bool = False,
    ) -> None:
        now_ms = self.clock.now_ms()
        self.rollouts.ended(
            call.pool, route, endpoint_id, failed, took_ms, now_ms, lost
        )

"""Eject: which endpoints get nothing new because of what own requests met there.

Rule: an endpoint that a send or a question didn't reach gets nothing new for a time
that doubles with each such proof; one whose address another incarnation has is never
used again. How long stands in `EndpointDirectory`; when a whole zone is avoided stands
in `routing.FailingZones`.

Owns nothing: it tells the directory, routing and the log of the same event.
"""

from attrs import define

from coursekeel.gateway._metrics import GatewayMetrics
from coursekeel.gateway.site._known_site import KnownSite
from coursekeel.routing import Router
from coursekeel.runtime import Clock

__all__ = ["EndpointHealth"]


@define(eq=False)
class EndpointHealth:
    """Tells of endpoints that failed this instance's requests."""

    clock: Clock
    site: KnownSite
    router: Router
    metrics: GatewayMetrics

    def unreachable(self, endpoint_id: str, reason: str) -> None:
        """An endpoint didn't answer at all: it gets nothing new for a while."""
        now_ms = self.clock.now_ms()
        directory = self.site.directory
        ejected_ms = directory.failed(endpoint_id, now_ms)
        record = directory.record(endpoint_id)
        if record is not None:
            self.router.endpoints.lost(record.pool, endpoint_id, now_ms)
        self.metrics.ejected(endpoint_id, reason, ejected_ms)

    def replaced(self, endpoint_id: str) -> None:
        """Another incarnation has the endpoint's address."""
        self.metrics.ejected(endpoint_id, "replaced", 0.0)
        self.site.endpoint_replaced(endpoint_id)

    def run_lost(self, pool: str, endpoint_id: str) -> None:
        """A run was lost there; its zone may be failing."""
        self.router.endpoints.lost(pool, endpoint_id, self.clock.now_ms())

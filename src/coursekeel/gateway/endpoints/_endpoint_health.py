"""Eject endpoints that this instance's own requests found to have failed.

Rule: an endpoint that a send or a probe didn't reach gets no new work for a time that
doubles with each such failure; one whose address another incarnation has is never used
again. The times are in `EndpointDirectory`; the rule for avoiding a whole zone is in
`routing.FailingZones`.

Owns nothing: it reports each failure to the directory, routing and the log.
"""

from attrs import define

from coursekeel.gateway._metrics import GatewayMetrics
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.routing import Router
from coursekeel.runtime import Clock

__all__ = ["EndpointHealth"]


@define(eq=False)
class EndpointHealth:
    """Reports endpoints that failed this instance's requests."""

    clock: Clock
    site: SiteState
    router: Router
    metrics: GatewayMetrics

    def unreachable(self, endpoint_id: str, reason: str, least_ms: float = 0.0) -> None:
        """Eject an endpoint that couldn't be reached, for ``least_ms`` at least.

        ``reason`` is for the log.
        """
        now_ms = self.clock.now_ms()
        directory = self.site.directory
        ejected_ms = directory.eject(endpoint_id, now_ms, least_ms)
        record = directory.record(endpoint_id)
        if record is not None:
            self.router.endpoints.lost(record.pool, endpoint_id, now_ms)
        self.metrics.ejected(endpoint_id, reason, ejected_ms)

    def replaced(self, endpoint_id: str) -> None:
        """Eject an endpoint for good: another incarnation has its address."""
        self.metrics.ejected(endpoint_id, "replaced", 0.0)
        self.site.mark_replaced(endpoint_id)

    def run_lost(self, pool: str, endpoint_id: str) -> None:
        """Report a lost run to routing, as the endpoint's zone may be failing."""
        self.router.endpoints.lost(pool, endpoint_id, self.clock.now_ms())

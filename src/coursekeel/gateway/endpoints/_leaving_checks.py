"""Ask endpoints whether they are leaving, after an answer that suggests it.

Rule: an answer only hints, and the endpoint's own word decides: its report if its pool
sends reports, else two health checks. An endpoint isn't asked again for a short time.

Owns when each endpoint was asked. Relies on `LoadReports` and `EndpointProbe` for the
requests; `SiteState` gets what the endpoints say.
"""

from attrs import define, field

from coursekeel.fetch import ExchangeHead
from coursekeel.forwarding import EndpointRecord, Pool
from coursekeel.gateway._adapters import EndpointCall
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway.endpoints._endpoint_probe import (
    EndpointProbe,
    ProbeResponse,
    ProbeResult,
)
from coursekeel.gateway.endpoints._load_reports import LoadReports, ReportResult

__all__ = ["LeavingChecks"]

# Reports are some hundred ms old: one that was made just before the endpoint began to
# leave doesn't tell yet, and the next hint asks again.
_INTERVAL_MS = 300.0

# Health checks after the first that must say the same: one that fails closes a
# connection now and then as well, and what marks an endpoint as leaving is for good.
_CONFIRMATIONS = 1


@define(eq=False)
class LeavingChecks:
    """Checks of the endpoints whose answers hint that they are leaving."""

    context: GatewayContext
    reports: LoadReports
    _asked_ms: dict[str, float] = field(factory=dict)

    def answered(self, endpoint_id: str, head: ExchangeHead) -> None:
        """Ask the endpoint for its state if its answer hints that it is leaving."""
        if not self.context.endpoints.dialect.hints_at_leaving(head):
            return
        record = self.context.site.directory.record(endpoint_id)
        if record is None or record.leaving:
            return
        pool = self._pool(record)
        if pool is not None and self._may_ask(endpoint_id):
            self._ask(record, pool)

    def _pool(self, record: EndpointRecord) -> Pool | None:
        routes = self.context.site.routes
        return None if routes is None else routes.pools.get(record.pool)

    def _may_ask(self, endpoint_id: str) -> bool:
        """Whether an endpoint wasn't asked just now; if so, it counts as asked."""
        now_ms = self.context.clock.now_ms()
        self._asked_ms = {
            name: asked_ms
            for name, asked_ms in self._asked_ms.items()
            if now_ms - asked_ms < _INTERVAL_MS
        }
        reported_ms = self.reports.requested_ms(endpoint_id)
        if endpoint_id in self._asked_ms or now_ms - reported_ms < _INTERVAL_MS:
            return False
        self._asked_ms[endpoint_id] = now_ms
        return True

    def _ask(self, record: EndpointRecord, pool: Pool) -> None:
        if pool.reports:
            self.reports.request_shared_report(record.endpoint_id, _report_read)
        elif pool.health_path:
            call = self.context.endpoints.dialect.health_check(pool.health_path)
            self._check_health(record, call, _CONFIRMATIONS)

    def _check_health(
        self, record: EndpointRecord, call: EndpointCall, confirmations: int
    ) -> None:
        context = self.context
        asked_ms = context.clock.now_ms()

        def checked(result: ProbeResult) -> None:
            leaving = self._leaving(record, result)
            if leaving and confirmations > 0:
                self._check_health(record, call, confirmations - 1)
            elif leaving is not None:
                context.site.record_own_state(record.endpoint_id, leaving, asked_ms)

        timeout_ms = context.settings.timers.report_ms
        EndpointProbe(
            context.reactor, context.endpoints, record, call, timeout_ms, checked
        ).start()

    def _leaving(self, record: EndpointRecord, result: ProbeResult) -> bool | None:
        if not isinstance(result, ProbeResponse):
            return None
        dialect = self.context.endpoints.dialect
        return dialect.read_health(result.head, record.endpoint_id)


def _report_read(report: ReportResult) -> None:
    """`LoadReports` has passed on what the report says."""

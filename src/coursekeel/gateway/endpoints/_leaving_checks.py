"""Ask endpoints whether they are leaving.

Rule: the endpoint's own word decides: its report if its pool sends reports, else its
health check, which must say twice that it is leaving. An answer that suggests it only
leads to the question, and not again for a short time.

Owns when each endpoint was asked. Relies on `LoadReports` and `EndpointProbe` for the
requests; `SiteState` gets what the endpoints say.
"""

from collections.abc import Callable

from attrs import define, field

from coursekeel.fetch import ExchangeHead
from coursekeel.forwarding import EndpointRecord, Pool
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

# Share of the time for which the word of a missing endpoint counts. A busy process
# reads an answer late, and the word counts from when the endpoint was asked.
_MISSING_TIMEOUT_SHARE = 0.5


def _ignore() -> None:
    """Nobody waits for the end of the check."""


@define(eq=False)
class LeavingChecks:
    """Checks of endpoints whose answers hint at a leaving, or that the list lacks."""

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
            timeout_ms = self.context.settings.timers.report_ms
            self._check_health(record, pool, timeout_ms, _ignore)

    def ask_missing(self, endpoint_id: str, on_ended: Callable[[], None]) -> None:
        """Ask an endpoint that the list lacks; its answer may be later than usual."""
        record = self.context.site.directory.record(endpoint_id)
        pool = None if record is None else self._pool(record)
        timers = self.context.settings.timers
        timeout_ms = _MISSING_TIMEOUT_SHARE * timers.endpoints_own_state_ms
        if record is None or pool is None:
            on_ended()
        elif pool.reports:
            self.reports.request_own_state(record, timeout_ms, on_ended)
        elif pool.health_path:
            self._check_health(record, pool, timeout_ms, on_ended)
        else:
            on_ended()

    def _check_health(
        self,
        record: EndpointRecord,
        pool: Pool,
        timeout_ms: float,
        on_ended: Callable[[], None],
        confirmations: int = _CONFIRMATIONS,
    ) -> None:
        context = self.context
        asked_ms = context.clock.now_ms()

        def checked(result: ProbeResult) -> None:
            leaving = self._leaving(record, result)
            if leaving and confirmations > 0:
                self._check_health(
                    record, pool, timeout_ms, on_ended, confirmations - 1
                )
                return
            if leaving is not None:
                context.site.record_own_state(record.endpoint_id, leaving, asked_ms)
            on_ended()

        call = context.endpoints.dialect.health_check(pool.health_path)
        EndpointProbe(
            context.reactor,
            context.endpoints,
            record,
            call,
            timeout_ms,
            checked,
            tells_reach=False,
        ).start()

    def _leaving(self, record: EndpointRecord, result: ProbeResult) -> bool | None:
        if not isinstance(result, ProbeResponse):
            return None
        dialect = self.context.endpoints.dialect
        return dialect.read_health(result.head, record.endpoint_id)


def _report_read(report: ReportResult) -> None:
    """`LoadReports` has passed on what the report says."""

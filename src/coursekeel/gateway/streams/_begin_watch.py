"""Detect a run that is lost before its first event.

Rule: prefill of a long prompt takes a second or more, in which a run sends nothing, so
the endpoint's load report is requested instead. The run is lost if two reports in a row
are missing or don't list a run that they should list by then. After the first event
the core applies `silence_ms`.

Owns the timer for the next report request. Relies on `LoadReports` for the reports.
"""

from collections.abc import Callable
from typing import Any

from attrs import define

from coursekeel.gateway._adapters import EndpointReport
from coursekeel.gateway.endpoints._load_reports import LoadReports
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock
from coursekeel.units import MS_PER_SECOND

__all__ = ["FirstEventWatch"]

# Delay before the first report request, and between requests. Two requests should end
# soon after 700 ms, the usual target for gaps in a stream; each opens a connection.
_FIRST_REQUEST_MS = 450.0
_REQUEST_INTERVAL_MS = 400.0
# One missing report may be a failure of the request for it.
_MISSED_REPORTS_LIMIT = 2
# Reports lag by about 200 ms; after this time an accepted run must be listed. Without
# this rule streams waited 18 s at endpoints that never began them.
_MAX_REPORT_LAG_MS = 700.0


@define(eq=False)
class FirstEventWatch:
    """Watches one run until its first event; calls ``on_lost`` once if it is lost.

    ``on_lost`` gets the last report, None if the endpoint gave none. Reports list the
    run under ``run_id``.
    """

    reactor: Reactor
    clock: Clock
    reports: LoadReports
    endpoint_id: str
    run_id: str
    on_lost: Callable[[EndpointReport | None], None]
    _sent_ms: float = 0.0
    _watching: bool = False
    _missed_reports: int = 0
    _next_request: Any = None

    def start(self) -> None:
        """Start watching; called right after the run was sent."""
        self._sent_ms = self.clock.now_ms()
        self._watching = True
        self._schedule_request(_FIRST_REQUEST_MS)

    def stop(self) -> None:
        """Stop watching: the first event has arrived, or the run has ended."""
        self._watching = False
        request = self._next_request
        if request is not None and request.active():
            request.cancel()

    def _schedule_request(self, delay_ms: float) -> None:
        delay_s = delay_ms / MS_PER_SECOND
        self._next_request = self.reactor.callLater(delay_s, self._request_report)

    def _request_report(self) -> None:
        self.reports.request_report(self.endpoint_id, self._report_received)

    def _report_received(self, report: EndpointReport | None) -> None:
        if not self._watching:
            return
        missing = report is None or self._run_missing_from(report)
        self._missed_reports = self._missed_reports + 1 if missing else 0
        if self._missed_reports >= _MISSED_REPORTS_LIMIT:
            self._watching = False
            self.on_lost(report)
            return
        self._schedule_request(_REQUEST_INTERVAL_MS if report is not None else 0.0)

    def _run_missing_from(self, report: EndpointReport) -> bool:
        """Return True if ``report`` should list the run by now and doesn't.

        Guards against an endpoint that accepts requests and never runs them. False if
        the report has no ``prefill_pending_runs``, or counts runs that haven't started.
        """
        waited_ms = self.clock.now_ms() - self._sent_ms
        if waited_ms < _MAX_REPORT_LAG_MS or report.prefill_pending_runs is None:
            return False
        return self.run_id not in report.runs and report.prefill_pending_runs == 0

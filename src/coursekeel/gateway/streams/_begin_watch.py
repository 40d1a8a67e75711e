"""Detect a run that is overdue before its first event.

Rule: prefill of a long prompt takes a second or more, in which a run sends nothing, so
the endpoint's load report is requested instead. The run is overdue if two reports in a
row are missing, or lost if they don't list a run that they should list by then. An
endpoint that turns the request for its report away may be full, and gets more time.
After the first event `StallCheck` decides.

Owns the timer for the next report request. Relies on `LoadReports` for the reports.
"""

from collections.abc import Callable
from typing import Any

from attrs import define

from coursekeel.gateway._adapters import EndpointReport
from coursekeel.gateway.endpoints._load_reports import (
    LoadReports,
    NoReport,
    ReportResult,
)
from coursekeel.gateway.streams._silence_doubt import (
    MAX_REPORT_LAG_MS,
    NO_REPORT,
    NOT_RUNNING,
    log_overdue,
)
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
# How often in a row an endpoint may turn the request away.
_TURNED_AWAY_LIMIT = 4


@define(eq=False)
class FirstEventWatch:
    """Watches one run until its first event; reports list it under ``run_id``.

    ``on_overdue`` is called each time that the endpoint gives no report, with the ms
    for which it hasn't, ``on_lost`` once if its reports show that it doesn't run the
    request, ``on_late`` each time that a report is late.
    """

    reactor: Reactor
    clock: Clock
    reports: LoadReports
    endpoint_id: str
    run_id: str
    on_overdue: Callable[[float], None]
    on_lost: Callable[[], None]
    on_late: Callable[[], None]
    _sent_ms: float = 0.0
    _watching: bool = False
    _missed_reports: int = 0
    _unlisted_reports: int = 0
    _times_turned_away: int = 0
    _overdue_since_ms: float | None = None
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
        self.reports.request_shared_report(
            self.endpoint_id, self._report_received, self._report_late
        )

    def _report_late(self) -> None:
        if self._watching:
            self.on_late()

    def _report_received(self, result: ReportResult) -> None:
        if not self._watching:
            return
        self._count(result)
        if self._unlisted_reports >= _MISSED_REPORTS_LIMIT:
            self._watching = False
            log_overdue(self.run_id, self.endpoint_id, NOT_RUNNING, 0.0, result)
            self.on_lost()
            return
        is_first_miss = result is NoReport.SILENT and self._missed_reports == 1
        self._schedule_request(0.0 if is_first_miss else _REQUEST_INTERVAL_MS)
        if not self._is_overdue:
            self._overdue_since_ms = None
            return
        now_ms = self.clock.now_ms()
        if self._overdue_since_ms is None:
            self._overdue_since_ms = now_ms
        overdue_ms = now_ms - self._overdue_since_ms
        log_overdue(self.run_id, self.endpoint_id, NO_REPORT, overdue_ms, result)
        self.on_overdue(overdue_ms)

    def _count(self, result: ReportResult) -> None:
        """Count the results in a row that speak against the run."""
        if result is NoReport.SILENT:
            self._missed_reports += 1
        elif isinstance(result, NoReport):
            self._times_turned_away += 1
        elif self._run_missing_from(result):
            self._unlisted_reports += 1
        else:
            self._missed_reports = self._unlisted_reports = self._times_turned_away = 0

    @property
    def _is_overdue(self) -> bool:
        return (
            self._missed_reports + self._unlisted_reports >= _MISSED_REPORTS_LIMIT
            or self._times_turned_away >= _TURNED_AWAY_LIMIT
        )

    def _run_missing_from(self, report: EndpointReport) -> bool:
        """Return True if ``report`` should list the run by now and doesn't.

        Guards against an endpoint that accepts requests and never runs them. False if
        the report has no ``prefill_pending_runs``, or counts runs that haven't started.
        """
        waited_ms = self.clock.now_ms() - self._sent_ms
        if waited_ms < MAX_REPORT_LAG_MS or report.prefill_pending_runs is None:
            return False
        return self.run_id not in report.runs and report.prefill_pending_runs == 0

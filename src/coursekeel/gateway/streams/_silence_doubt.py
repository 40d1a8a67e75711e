"""Decide whether a run that stalled after its first event should be replaced.

Rule: a stall alone proves nothing, since the prefill of a long prompt stalls all runs
beside it. The endpoint's report is requested, one for all runs that stall there. The
run is to be replaced if the report doesn't come, doesn't list it, or counts events that
haven't arrived here; otherwise it is waited on, and the report is requested again after
each further `silence_ms`. Without a count of events the wait is limited.

An endpoint without free memory preempts runs: they are queued and read again, and are
not listed meanwhile. So a run that isn't listed may be one of the pending requests that
the report counts; only without any is it certainly gone.

The stream's task replaces the run only if it has a retry and an endpoint for it. Owns
what is known of one stream's stall. Relies on `LoadReports`.
"""

from collections.abc import Callable
from typing import Any

from attrs import define

from coursekeel.gateway.endpoints._load_reports import (
    LoadReports,
    NoReport,
    ReportResult,
)
from coursekeel.observe import log_event
from coursekeel.runtime import Clock

__all__ = [
    "MAX_REPORT_LAG_MS",
    "NOT_LISTED",
    "NOT_RUNNING",
    "NO_REPORT",
    "PREEMPTED",
    "StallCheck",
    "log_overdue",
]

# The reason, a log value, of a run whose endpoint gives no report.
NO_REPORT = "no_report"

# The reason of a run that its endpoint doesn't have any more.
NOT_LISTED = "not_listed"
NOT_RUNNING = "not_running"

# The reason of a run that isn't listed but may be queued again.
PREEMPTED = "preempted"

# Reports lag by about 200 ms; after this time a run must be listed.
MAX_REPORT_LAG_MS = 700.0

# How many stalls in a row without proof that the run goes on.
_MAX_STALLS = 4


@define(eq=False)
class StallCheck:
    """Checks one stream's stalled runs.

    ``position`` returns the stream's position in events. ``on_overdue`` is called for
    each report that speaks against a run: with the id of its endpoint, the reason, a
    log value, and for how long, in ms, all reports have done so. ``on_late`` is called
    with the id of an endpoint whose report is late.
    """

    clock: Clock
    reports: LoadReports
    run_id: str
    position: Callable[[], int]
    on_overdue: Callable[[str, str, float], None]
    on_late: Callable[[str], None]
    _endpoint_id: str = ""
    _stalled_at: int = -1
    _stalls: int = 0
    _events_made: int | None = None
    _overdue_since_ms: float | None = None

    def run_stalled(self, endpoint_id: str, first_event_ms: float) -> None:
        """Request the report of the endpoint of a run that stalled.

        ``first_event_ms`` is when the run's first event arrived.
        """
        position = self.position()
        if (endpoint_id, position) != (self._endpoint_id, self._stalled_at):
            self._endpoint_id, self._stalled_at = endpoint_id, position
            self._stalls, self._events_made = 0, None
            self._overdue_since_ms = None
        self._stalls += 1

        def report_received(result: ReportResult) -> None:
            if endpoint_id != self._endpoint_id or position != self.position():
                return
            reason = self._overdue_reason(result, first_event_ms)
            if not reason:
                self._overdue_since_ms = None
                return
            now_ms = self.clock.now_ms()
            if self._overdue_since_ms is None:
                self._overdue_since_ms = now_ms
            overdue_ms = now_ms - self._overdue_since_ms
            log_overdue(self.run_id, endpoint_id, reason, overdue_ms, result)
            self.on_overdue(endpoint_id, reason, overdue_ms)

        self.reports.request_shared_report(
            endpoint_id, report_received, lambda: self.on_late(endpoint_id)
        )

    def _overdue_reason(self, result: ReportResult, first_event_ms: float) -> str:
        """Return why the run should be replaced, empty if it should be waited on."""
        if result is NoReport.SILENT:
            return NO_REPORT
        if isinstance(result, NoReport):
            return self._reason_without_proof()
        if self.run_id not in result.runs:
            if self.clock.now_ms() < first_event_ms + MAX_REPORT_LAG_MS:
                return ""
            return PREEMPTED if result.prefill_pending_runs else NOT_LISTED
        events_made = result.runs[self.run_id]
        if events_made is None:
            return self._reason_without_proof()
        before, self._events_made = self._events_made, events_made
        # A resumed run may count its events from its own start or from the stream's.
        has_grown = before is not None and events_made > before
        return "events_missing" if has_grown or events_made > self._stalled_at else ""

    def _reason_without_proof(self) -> str:
        return "silent" if self._stalls >= _MAX_STALLS else ""


def log_overdue(
    run_id: str,
    endpoint_id: str,
    reason: str,
    overdue_ms: float,
    result: ReportResult,
) -> None:
    """Log a report that speaks against a run, with the requests that it counts.

    ``reported_pending`` are those queued or in prefill: the run may be one of them.
    """
    fields: dict[str, Any] = {}
    if isinstance(result, NoReport):
        fields["report"] = result.value
    else:
        fields["reported_running"] = result.running
        fields["reported_queued"] = result.queued
        fields["reported_listed"] = len(result.runs)
        fields["reported_pending"] = result.prefill_pending_runs
        fields["reported_free_tokens"] = result.free_tokens
    log_event(
        "run_overdue",
        request=run_id,
        endpoint=endpoint_id,
        reason=reason,
        overdue_ms=round(overdue_ms),
        **fields,
    )

"""Give up a run before its first event: the endpoint's report is its only sign of life.

Rule: reading a long prompt takes a second or more, in which a run is silent. It is lost
if two reports in a row are missing, or show no trace of a run that was long sent. After
its first event the core judges its silence (`silence_ms`).

Owns the questions after one run's endpoint. Relies on `LoadReports` to ask.
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

# When an endpoint is first asked after a run that hasn't begun, and then again. A pause
# of 700 ms makes a stream nearly worthless to its caller (the usual aim for gaps), so
# that two questions must fit into not much more; each costs a connection.
_FIRST_REQUEST_MS = 450.0
_REQUEST_INTERVAL_MS = 400.0  # see above
# One missing report may be the question's own fault.
_MISSED_REPORTS_LIMIT = 2
# A report lags by about 200 ms; after so long a run that was taken is in it. Without
# this rule streams waited 18 s at endpoints that never began them
# (`platform/test_translation.py`).
_MAX_REPORT_LAG_MS = 700.0


@define(eq=False)
class FirstEventWatch:
    """Watches one run until it begins; ``lost`` is called once if it must be given up.

    It gets the last report, None if there was none.
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
        """The run was sent."""
        self._sent_ms = self.clock.now_ms()
        self._watching = True
        self._schedule_request(_FIRST_REQUEST_MS)

    def stop(self) -> None:
        """The run has begun, or is over."""
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
        """Say whether the endpoint shows no trace of a run it has long been sent.

        An endpoint in good health once took requests and never ran them; the caller's
        own patience was the only end, after 18 s.
        """
        waited_ms = self.clock.now_ms() - self._sent_ms
        if waited_ms < _MAX_REPORT_LAG_MS or report.unread_runs is None:
            return False
        return self.run_id not in report.runs and report.unread_runs == 0

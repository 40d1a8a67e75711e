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

__all__ = ["BeginWatch"]

# When an endpoint is first asked after a run that hasn't begun, and then again. A pause
# of 700 ms makes a stream nearly worthless to its caller (the usual aim for gaps), so
# that two questions must fit into not much more; each costs a connection.
_FIRST_QUESTION_MS = 450.0
_NEXT_QUESTION_MS = 400.0  # see above
# One missing report may be the question's own fault.
_REPORTS_MISSED = 2
# A report lags by about 200 ms; after so long a run that was taken is in it. Without
# this rule streams waited 18 s at endpoints that never began them
# (`platform/test_translation.py`).
_SURELY_TAKEN_MS = 700.0


@define(eq=False)
class BeginWatch:
    """Watches one run until it begins; ``lost`` is called once if it must be given up.

    It gets the last report, None if there was none.
    """

    reactor: Reactor
    clock: Clock
    reports: LoadReports
    endpoint_id: str
    run_id: str
    lost: Callable[[EndpointReport | None], None]
    _sent_ms: float = 0.0
    _watching: bool = False
    _missed: int = 0
    _next_question: Any = None

    def start(self) -> None:
        """The run was sent."""
        self._sent_ms = self.clock.now_ms()
        self._watching = True
        self._ask_after(_FIRST_QUESTION_MS)

    def stop(self) -> None:
        """The run has begun, or is over."""
        self._watching = False
        question = self._next_question
        if question is not None and question.active():
            question.cancel()

    def _ask_after(self, wait_ms: float) -> None:
        wait_s = wait_ms / MS_PER_SECOND
        self._next_question = self.reactor.callLater(wait_s, self._ask)

    def _ask(self) -> None:
        self.reports.ask(self.endpoint_id, self._reported)

    def _reported(self, report: EndpointReport | None) -> None:
        if not self._watching:
            return
        missing = report is None or self._is_absent(report)
        self._missed = self._missed + 1 if missing else 0
        if self._missed >= _REPORTS_MISSED:
            self._watching = False
            self.lost(report)
            return
        self._ask_after(_NEXT_QUESTION_MS if report is not None else 0.0)

    def _is_absent(self, report: EndpointReport) -> bool:
        """Say whether the endpoint shows no trace of a run it has long been sent.

        An endpoint in good health once took requests and never ran them; the caller's
        own patience was the only end, after 18 s.
        """
        waited_ms = self.clock.now_ms() - self._sent_ms
        if waited_ms < _SURELY_TAKEN_MS or report.unread_runs is None:
            return False
        return self.run_id not in report.runs and report.unread_runs == 0

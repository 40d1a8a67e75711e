"""Decide whether a run that stalled after its first event is lost.

Rule: a run without an event for `silence_ms` is lost, unless endpoints of its pool were
recently found alive during such a stall. Then the endpoint's report is requested: the
run is lost if there is no report or the report doesn't list it. A listed run may stall
for a few times `silence_ms`, or without limit while the retry budget is spent. Reason:
on some engines the prefill of a long prompt stalls all runs beside it.

Owns the count of one stream's stalls since its last event. Relies on `LoadReports`.
"""

from collections.abc import Callable

from attrs import define

from coursekeel.gateway._adapters import EndpointReport
from coursekeel.gateway.endpoints._lived_silences import StallHistory
from coursekeel.gateway.endpoints._load_reports import LoadReports
from coursekeel.runtime import Clock

__all__ = ["StallCheck"]

# Four times `silence_ms` is longer than the gap that callers accept.
_MAX_STALLS = 4


@define(eq=False)
class StallCheck:
    """Checks one stream's stalled runs.

    ``on_lost`` is called with the id of an endpoint whose run is lost; ``may_repeat``
    returns whether the retry budget allows the stream to be sent again.
    """

    clock: Clock
    reports: LoadReports
    silences: StallHistory
    pool: str
    run_id: str
    on_lost: Callable[[str], None]
    may_repeat: Callable[[], bool]
    _position: int = -1
    _stalls: int = 0

    def runs_lost(self, endpoint_ids: list[str], position: int) -> bool:
        """Return True if the stalled runs at these endpoints are lost right now.

        Otherwise requests the endpoints' reports; ``on_lost`` may follow. ``position``
        is the stream's position in events: a change starts the count again.
        """
        if not endpoint_ids or not self.silences.recently_alive(
            self.pool, self.clock.now_ms()
        ):
            return True
        if position != self._position:
            self._position, self._stalls = position, 0
        self._stalls += 1
        if self._stalls >= _MAX_STALLS and self.may_repeat():
            return True
        for endpoint_id in endpoint_ids:
            self._request_report(endpoint_id)
        return False

    def run_abandoned(self, endpoint_id: str) -> None:
        """Find out whether the endpoint of a run abandoned as stalled is alive."""
        if self.silences.recently_alive(self.pool, self.clock.now_ms()):
            return

        def report_received(report: EndpointReport | None) -> None:
            if report is not None:
                self.silences.record_alive(self.pool, self.clock.now_ms())

        self.reports.request_report(endpoint_id, report_received)

    def _request_report(self, endpoint_id: str) -> None:
        requested_position = self._position

        def report_received(report: EndpointReport | None) -> None:
            if self._position != requested_position:
                return
            if report is None or self.run_id not in report.runs:
                self.on_lost(endpoint_id)
            else:
                self.silences.record_alive(self.pool, self.clock.now_ms())

        self.reports.request_report(endpoint_id, report_received)

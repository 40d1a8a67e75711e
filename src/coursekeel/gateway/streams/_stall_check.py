"""Doubt a run that has begun and fell silent: is its endpoint gone, or only busy?

Rule: after `silence_ms` a run is given up, unless its pool's endpoints were lately seen
to live through such a silence. Then the endpoint is asked for its report: without one
the run is given up at once, and a run that it names is waited for a few times as long,
and while no repeat is left for as long as it is named. Reason: on some engines a long
prompt that is being read holds up all that run beside it for longer than the silence
that shows others' deaths soonest. Giving those runs up cost prompts read anew, and at
last streams of sound endpoints once the retry budget was spent.

Owns what one stream asked since its last event. Relies on `LoadReports` to ask.
"""

from collections.abc import Callable

from attrs import define

from coursekeel.gateway._adapters import EndpointReport
from coursekeel.gateway.endpoints._lived_silences import LivedSilences
from coursekeel.gateway.endpoints._load_reports import LoadReports
from coursekeel.runtime import Clock

__all__ = ["StallCheck"]

# A silence of four times `silence_ms` is over the pause that callers bear anyway.
_MAX_STALLS = 4


@define(eq=False)
class StallCheck:
    """One stream's; ``gone`` is told of an endpoint that is to be given up.

    ``may_repeat`` says whether the stream could be sent again.
    """

    clock: Clock
    reports: LoadReports
    silences: LivedSilences
    pool: str
    run_id: str
    on_lost: Callable[[str], None]
    may_repeat: Callable[[], bool]
    _position: int = -1
    _stalls: int = 0

    def runs_lost(self, endpoint_ids: list[str], position: int) -> bool:
        """Say whether the runs at these endpoints are lost by their silence.

        ``position`` is the number of the stream's last event.
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
        """A run was given up as silent: learn whether its endpoint lives."""
        if self.silences.recently_alive(self.pool, self.clock.now_ms()):
            return

        def report_received(report: EndpointReport | None) -> None:
            if report is not None:
                self.silences.record_alive(self.pool, self.clock.now_ms())

        self.reports.request_report(endpoint_id, report_received)

    def _request_report(self, endpoint_id: str) -> None:
        requested_at = self._position

        def report_received(report: EndpointReport | None) -> None:
            if self._position != requested_at:
                return
            if report is None or self.run_id not in report.runs:
                self.on_lost(endpoint_id)
            else:
                self.silences.record_alive(self.pool, self.clock.now_ms())

        self.reports.request_report(endpoint_id, report_received)

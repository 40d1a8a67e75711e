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

__all__ = ["SilenceDoubt"]

# A silence of four times `silence_ms` is over the pause that callers bear anyway.
_MOST_SILENCES = 4


@define(eq=False)
class SilenceDoubt:
    """One stream's; ``gone`` is told of an endpoint that is to be given up.

    ``may_repeat`` says whether the stream could be sent again.
    """

    clock: Clock
    reports: LoadReports
    seen: LivedSilences
    pool: str
    run_id: str
    gone: Callable[[str], None]
    may_repeat: Callable[[], bool]
    _position: int = -1
    _silences: int = 0

    def counts(self, endpoint_ids: list[str], position: int) -> bool:
        """Say whether the runs at these endpoints are lost by their silence.

        ``position`` is the number of the stream's last event.
        """
        if not endpoint_ids or not self.seen.lately(self.pool, self.clock.now_ms()):
            return True
        if position != self._position:
            self._position, self._silences = position, 0
        self._silences += 1
        if self._silences >= _MOST_SILENCES and self.may_repeat():
            return True
        for each in endpoint_ids:
            self._ask(each)
        return False

    def given_up(self, endpoint_id: str) -> None:
        """A run was given up as silent: learn whether its endpoint lives."""
        if self.seen.lately(self.pool, self.clock.now_ms()):
            return

        def reported(report: EndpointReport | None) -> None:
            if report is not None:
                self.seen.lived(self.pool, self.clock.now_ms())

        self.reports.ask(endpoint_id, reported)

    def _ask(self, endpoint_id: str) -> None:
        asked_at = self._position

        def reported(report: EndpointReport | None) -> None:
            if self._position != asked_at:
                return
            if report is None or self.run_id not in report.runs:
                self.gone(endpoint_id)
            else:
                self.seen.lived(self.pool, self.clock.now_ms())

        self.reports.ask(endpoint_id, reported)

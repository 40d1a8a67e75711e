"""Delays the start of a request's next run while other copies of it take their turns.

Owns the timer of the one start that waits. Relies on `QuarantinePass` for how long.
"""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.suspects._gate import QuarantinePass
from coursekeel.units import MS_PER_SECOND

__all__ = ["HeldStart"]

# Other members may clear or bar the request while it waits.
_CHECK_INTERVAL_MS = 10.0


@define(eq=False)
class HeldStart:
    """Starts one run at a time, at once or when its request may run."""

    reactor: Reactor
    quarantine_pass: QuarantinePass
    _timer: Any = field(default=None)

    def run(self, start: Callable[[], None]) -> None:
        """Call ``start`` once the request may run; replaces a start that waits."""
        self.stop()
        self._check(start, self.quarantine_pass.gate.clock.now_ms())

    def stop(self) -> None:
        """Forget the start that waits, if any."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self, start: Callable[[], None], since_ms: float) -> None:
        was_held, self._timer = self._timer is not None, None
        hold_ms = self.quarantine_pass.hold_ms(since_ms)
        if hold_ms > 0:
            delay_s = min(hold_ms, _CHECK_INTERVAL_MS) / MS_PER_SECOND
            self._timer = self.reactor.callLater(delay_s, self._check, start, since_ms)
            return
        if was_held:
            self._log(since_ms)
        start()

    def _log(self, since_ms: float) -> None:
        gate = self.quarantine_pass.gate
        record = gate.quarantine.record(self.quarantine_pass.call.fingerprint)
        log_event(
            "run_held",
            fingerprint=self.quarantine_pass.call.fingerprint,
            held_ms=round(gate.clock.now_ms() - since_ms),
            strikes=0 if record is None else len(record.strikes),
            crashes=0 if record is None else record.separate_crashes,
        )

"""A machine that can be suspended, as far as one process can tell.

After `install` SIGUSR1 stops the process until somebody sends SIGCONT, and its steady
clock with it: what `time.monotonic` gives goes on from the moment of the stop, for
timers too, while CLOCK_BOOTTIME and the time of day count the time between.
"""

import os
import signal
import time

__all__ = ["install"]

_monotonic = time.monotonic


class _SteadyClock:
    """Stands in for `time.monotonic`."""

    def __init__(self) -> None:
        self.stood_still_s = 0.0

    def __call__(self) -> float:
        return _monotonic() - self.stood_still_s

    def suspend(self, _number: int, _frame: object) -> None:
        begun_s = _monotonic()
        os.kill(os.getpid(), signal.SIGSTOP)
        self.stood_still_s += _monotonic() - begun_s


def install() -> None:
    """Begin; called before whatever reads a clock is imported."""
    clock = _SteadyClock()
    time.monotonic = clock
    signal.signal(signal.SIGUSR1, clock.suspend)

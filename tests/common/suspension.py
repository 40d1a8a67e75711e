"""Simulates a suspension of the machine for one process.

After `install` SIGUSR1 stops the process until SIGCONT. `time.monotonic`, and so timers
too, doesn't count that time; CLOCK_BOOTTIME and the wall clock do.
"""

import os
import signal
import time

__all__ = ["install"]

_monotonic = time.monotonic


class _MonotonicClock:
    """Replaces `time.monotonic`."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        return _monotonic() - self.suspended_s

    def suspend(self, _number: int, _frame: object) -> None:
        stopped_s = _monotonic()
        os.kill(os.getpid(), signal.SIGSTOP)
        self.suspended_s += _monotonic() - stopped_s


def install() -> None:
    """Replace the clock; call it before importing modules that read one."""
    clock = _MonotonicClock()
    time.monotonic = clock
    signal.signal(signal.SIGUSR1, clock.suspend)

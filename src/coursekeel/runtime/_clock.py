"""Local monotonic time, the only time that decides anything."""

import time

from attrs import frozen

__all__ = ["Clock"]


@frozen
class Clock:
    """Milliseconds that never go back, and that go on while the process is paused."""

    def now_ms(self) -> float:
        """The present time in milliseconds since some fixed moment."""
        return time.monotonic() * 1000

    def suspended_ms(self) -> float:
        """How long the machine has been suspended since it started, in milliseconds.

        CLOCK_MONOTONIC stands still while Linux suspends a machine, and CLOCK_BOOTTIME
        doesn't (clock_gettime(2)). Always 0 where there is no CLOCK_BOOTTIME.
        """
        boottime = getattr(time, "CLOCK_BOOTTIME", None)
        if boottime is None:
            return 0.0
        return (time.clock_gettime(boottime) - time.monotonic()) * 1000

    def wall_s(self) -> int:
        """Seconds of the calendar, for keeping times only; no promise rests on it."""
        return int(time.time())

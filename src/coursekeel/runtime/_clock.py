"""Local steady time, the only time that decides anything.

Owns the choice of the system's clock. CLOCK_BOOTTIME, since CLOCK_MONOTONIC stands
still while Linux suspends a machine (clock_gettime(2)): proofs, leases and deadlines
would come back from a suspension as young as they went into it. The reactor's timers
run by CLOCK_MONOTONIC, so after a suspension they ring late, as after a pause.
"""

import time

from attrs import frozen

__all__ = ["Clock"]

_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


@frozen
class Clock:
    """Milliseconds that never go back, and that go on while the process is paused.

    Where the system has no CLOCK_BOOTTIME, a suspended machine's time isn't counted.
    """

    def now_ms(self) -> float:
        """The present time in milliseconds since some fixed moment."""
        return time.clock_gettime(_CLOCK_ID) * 1000

    def suspended_ms(self) -> float:
        """How long the machine has been suspended since it started, in milliseconds.

        Always 0 where the system has no CLOCK_BOOTTIME.
        """
        return (time.clock_gettime(_CLOCK_ID) - time.monotonic()) * 1000

    def wall_s(self) -> int:
        """Seconds of the calendar, for keeping times only; no promise rests on it."""
        return int(time.time())

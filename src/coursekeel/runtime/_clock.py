"""The local monotonic clock, the only one that decisions use.

Owns the choice of the system's clock. CLOCK_BOOTTIME, since CLOCK_MONOTONIC stops while
Linux suspends a machine (clock_gettime(2)): confirmations, leases and deadlines
wouldn't age during a suspension. The reactor's timers use CLOCK_MONOTONIC, so after a
suspension they fire late, as after a pause of the process.
"""

import time

from attrs import frozen

__all__ = ["Clock"]

_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


@frozen
class Clock:
    """A monotonic clock that also advances while the process or machine is paused.

    On systems without CLOCK_BOOTTIME, it stops while the machine is suspended.
    """

    def now_ms(self) -> float:
        """The current time in milliseconds since an arbitrary fixed time."""
        return time.clock_gettime(_CLOCK_ID) * 1000

    def suspended_ms(self) -> float:
        """How long the machine has been suspended since it started, in milliseconds.

        Always 0 where the system has no CLOCK_BOOTTIME.
        """
        return (time.clock_gettime(_CLOCK_ID) - time.monotonic()) * 1000

    def wall_s(self) -> int:
        """Wall-clock time in Unix seconds; used only for the age of stored data."""
        return int(time.time())

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

    def wall_s(self) -> int:
        """Seconds of the calendar, for keeping times only; no promise rests on it."""
        return int(time.time())

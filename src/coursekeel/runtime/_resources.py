"""Detects that a process's memory grew, and that its reactor stood still.

A process that is killed can't log its end, and its metrics are lost with it; so both
are logged when they happen.

Owns the values of the last check. A core: the caller passes times in ms and sizes in
bytes.
"""

from attrs import define

__all__ = ["MemoryWatch", "StallWatch"]

# Growth between two log lines, an eighth of the memory of the smallest machines.
_MEMORY_STEP_BYTES = 16 << 20
# Shorter delays are usual for a process that shares its processor.
_MIN_STALL_MS = 250.0


@define
class MemoryWatch:
    """Compares a process's peak memory with the last that was logged."""

    logged_bytes: int

    def has_grown(self, peak_bytes: int) -> bool:
        """Return whether the peak has grown enough since the last one to be logged."""
        if peak_bytes - self.logged_bytes < _MEMORY_STEP_BYTES:
            return False
        self.logged_bytes = peak_bytes
        return True


@define
class StallWatch:
    """Compares the time between two checks with their interval, in ms."""

    interval_ms: float
    last_ms: float

    def check(self, now_ms: float, suspended_ms: float) -> float:
        """Return for how long the reactor stood still, 0 if it didn't.

        ``suspended_ms`` is the part of the time since the last check in which the
        machine was suspended.
        """
        late_ms = now_ms - self.last_ms - self.interval_ms - suspended_ms
        self.last_ms = now_ms
        return late_ms if late_ms >= _MIN_STALL_MS else 0.0

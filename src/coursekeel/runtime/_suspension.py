"""Detects that the machine was suspended, so that it can be logged.

Owns the total suspended time at the last check. Relies on the caller to check often. A
core: the caller passes the total suspended time, in ms.
"""

from attrs import define

__all__ = ["SuspensionWatch"]

# The two clocks are read one after the other, and the process may be paused in between.
_LEAST_MS = 50.0


@define
class SuspensionWatch:
    """Compares the total suspended time with that of the previous check."""

    suspended_ms: float

    def look(self, suspended_ms: float) -> float:
        """Return the suspended time since the previous check, 0 if there was none."""
        since_ms = suspended_ms - self.suspended_ms
        self.suspended_ms = suspended_ms
        return since_ms if since_ms >= _LEAST_MS else 0.0

"""Detects that the machine was suspended, so that it can be logged.

Owns the total suspended time at the last check. Relies on the caller to check often. A
core: the caller passes the total suspended time, in ms.
"""

from attrs import define

__all__ = ["SuspensionWatch"]

# The two clocks are read one after the other, and the process may be paused in between.
_MIN_SUSPENSION_MS = 50.0


@define
class SuspensionWatch:
    """Compares the total suspended time with that of the previous check."""

    last_total_ms: float

    def check(self, total_ms: float) -> float:
        """Return the suspended time since the previous check, 0 if there was none."""
        suspended_ms = total_ms - self.last_total_ms
        self.last_total_ms = total_ms
        return suspended_ms if suspended_ms >= _MIN_SUSPENSION_MS else 0.0

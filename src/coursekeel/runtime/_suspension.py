"""Sees that the machine was suspended, so that the log tells of it.

Owns how long the machine had been suspended at the last look. Relies on whoever calls
`look` often. A core: each reading of the clocks is given, in ms.
"""

from attrs import define

__all__ = ["SuspensionWatch"]

# Both clocks are read one after the other, and a process may be paused in between.
_LEAST_MS = 50.0


@define
class SuspensionWatch:
    """Compares how long the machine was suspended by now with the look before."""

    suspended_ms: float

    def look(self, suspended_ms: float) -> float:
        """How long the machine was suspended since the last look, 0 if it wasn't."""
        since_ms = suspended_ms - self.suspended_ms
        self.suspended_ms = suspended_ms
        return since_ms if since_ms >= _LEAST_MS else 0.0

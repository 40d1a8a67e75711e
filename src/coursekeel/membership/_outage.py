"""Detection of pauses of this process, which make a store outage inconclusive.

While the store is down for everybody, no instance can adopt anything. This process can
rely on that only for time in which it ran and saw the store down: during a pause the
store may have been up.
"""

from attrs import define

__all__ = ["OutageWatch"]


@define
class OutageWatch:
    """Detects pauses longer than ``gap_ms``; `awake` is called more often than that.

    ``gap_ms`` is half a lease: no shorter pause lets a lease lapse, as it is renewed
    within six tenths of its length. Guards against an owner that resumes after a pause,
    takes its first failed call for an outage, and goes on with answers that another
    instance adopted meanwhile.
    """

    gap_ms: float
    _awake_ms: float | None = None
    _paused: bool = False

    def awake(self, now_ms: float) -> None:
        """Record that this process runs at ``now_ms``."""
        if self._awake_ms is not None and now_ms - self._awake_ms > self.gap_ms:
            self._paused = True
        self._awake_ms = now_ms

    def proven(self) -> None:
        """Record that the store confirmed the owners; earlier pauses are settled."""
        self._paused = False

    @property
    def outage_is_conclusive(self) -> bool:
        """Whether an outage of the store is conclusive: no pause since `proven`."""
        return not self._paused

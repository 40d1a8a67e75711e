"""Know whether this process was awake all along, so that an outage proves something.

While the table is out for all nobody can take anything over. That holds only for time
in which this process saw it being out: what happened while the process was paused,
nobody here knows.
"""

from attrs import define

__all__ = ["OutageWatch"]


@define
class OutageWatch:
    """Sees gaps in the life of this process; `awake` is told oftener than ``gap_ms``.

    Rule for the gap: half a lease. A lease is renewed within six tenths of its length,
    and a watcher waits out its length and margin after that, so a pause that others can
    have used is longer. Guards against: an owner that wakes takes its first failed call
    for an outage and speaks for what was adopted in its pause.
    """

    gap_ms: float
    _seen_ms: float | None = None
    _unseen: bool = False

    def awake(self, now_ms: float) -> None:
        """This process runs now."""
        if self._seen_ms is not None and now_ms - self._seen_ms > self.gap_ms:
            self._unseen = True
        self._seen_ms = now_ms

    def proven(self) -> None:
        """The table itself said who holds what: whatever went unseen is settled."""
        self._unseen = False

    @property
    def outage_counts(self) -> bool:
        """Say whether a table that can't be reached was watched without a gap."""
        return not self._unseen

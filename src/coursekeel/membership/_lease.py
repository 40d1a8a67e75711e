"""Leases in the store, timed by local monotonic clocks only.

Rule: a holder counts its lease from before it sent the request for it; a watcher counts
only time in which it read the lease unchanged. So the holder stops first, and the end
of a store outage doesn't make every lease look lapsed.
"""

from typing import Any

from attrs import define, field, frozen

from coursekeel.charts import Machine, load_chart
from coursekeel.storage import (
    Committed,
    Conflict,
    Row,
    Transaction,
    TransactOutcome,
    Unavailable,
    Unsure,
)

__all__ = ["GroupLease", "LapseWatch", "LeaseTerms"]


@frozen
class LeaseTerms:
    """How long a lease lasts, and how much longer a successor waits.

    ``margin_ms`` covers the slowest order that a holder may still have in flight.
    """

    length_ms: float
    margin_ms: float


@define
class _Watched:
    version: int
    unchanged_ms: float = 0.0
    read_ms: float = 0.0


@define
class LapseWatch:
    """Detects from repeated reads which leases are no longer renewed.

    ``step_ms`` is the usual time between reads. A longer gap counts as two steps at
    most, since the store or this process may have been stopped meanwhile.
    """

    terms: LeaseTerms
    step_ms: float
    _watched: dict[str, _Watched] = field(factory=dict)

    def record_version(self, key: str, version: int, now_ms: float) -> None:
        """Record the version of the lease's row that a read returned."""
        watched = self._watched.get(key)
        if watched is None or watched.version != version:
            self._watched[key] = _Watched(version, 0.0, now_ms)
            return
        watched.unchanged_ms += min(now_ms - watched.read_ms, 2 * self.step_ms)
        watched.read_ms = now_ms

    def is_lapsed(self, key: str) -> bool:
        """Whether the lease wasn't renewed for its length and margin."""
        watched = self._watched.get(key)
        if watched is None:
            return False
        return watched.unchanged_ms >= self.terms.length_ms + self.terms.margin_ms

    def forget(self, key: str) -> None:
        """Stop watching a lease."""
        self._watched.pop(key, None)


@define
class GroupLease:
    """One instance's lease on a row, acquired and renewed by compare-and-set.

    `acquire` and `renew` build transactions; the caller sends them and passes the
    outcome to `apply_outcome`. ``epoch`` grows each time that the lease is acquired,
    and fences what is done under it. ``version`` is that of the row.
    """

    key: str
    holder: str
    terms: LeaseTerms
    epoch: int = 0
    version: int = 0
    held_until_ms: float = float("-inf")
    _machine: Machine = field(factory=lambda: load_chart("lease").machine())
    _asked_ms: float = 0.0
    _asked_epoch: int = 0

    @property
    def state(self) -> str:
        """The state in the chart: ``free``, ``held`` or ``unsure``."""
        return self._machine.state

    def surely_held(self, now_ms: float, need_ms: float = 0.0) -> bool:
        """Whether the lease surely lasts for ``need_ms`` more."""
        return self._machine.state == "held" and now_ms + need_ms < self.held_until_ms

    def acquire(self, row: Row | None, now_ms: float) -> Transaction:
        """Acquire a free or lapsed lease; ``row`` is its row, None if there is none."""
        last_epoch = row.value["epoch"] if row else 0
        self._asked_epoch = last_epoch + 1
        return self._write(row.version if row else 0, now_ms)

    def renew(self, now_ms: float) -> Transaction:
        """Renew the lease that is held."""
        self._asked_epoch = self.epoch
        return self._write(self.version, now_ms)

    def _write(self, version: int, now_ms: float) -> Transaction:
        self._asked_ms = now_ms
        value = {"holder": self.holder, "epoch": self._asked_epoch, "free": False}
        return Transaction({self.key: version}, {self.key: value})

    def release(self) -> Transaction:
        """Release the lease early, so that a successor need not wait."""
        value = {"holder": self.holder, "epoch": self.epoch, "free": True}
        self._machine.feed("handed_back" if self.state != "free" else "refused")
        self.held_until_ms = float("-inf")
        return Transaction({self.key: self.version}, {self.key: value})

    def apply_outcome(self, outcome: TransactOutcome) -> None:
        """Apply the outcome of the last transaction."""
        match outcome:
            case Committed():
                self._acquired(outcome.versions[self.key])
            case Conflict():
                self._conflicted(outcome.rows.get(self.key))
            case Unsure():
                self._machine.feed("unsure")
            case Unavailable():
                self._machine.feed("refused" if self.state == "free" else "unsure")

    def _acquired(self, version: int) -> None:
        self._machine.feed("renewed" if self.state == "held" else "taken")
        self.version = version
        self.epoch = self._asked_epoch
        self.held_until_ms = self._asked_ms + self.terms.length_ms

    def _conflicted(self, row: Row | None) -> None:
        """Handle a conflicting write, which may be this instance's own."""
        if row is not None and self._is_own(row.value):
            self._machine.feed("renewed" if self.state == "held" else "taken")
            self.version = row.version
            self.epoch = row.value["epoch"]
            # The time of that request is unknown, so the lease counts as run out.
            self.held_until_ms = float("-inf")
            return
        self._machine.feed("refused" if self.state == "free" else "lost")
        self.held_until_ms = float("-inf")

    def _is_own(self, value: dict[str, Any]) -> bool:
        return value["holder"] == self.holder and not value["free"]

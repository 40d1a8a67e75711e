"""Leases in the table, judged by local monotonic time only.

A holder counts its lease from the moment before it asked for it, a watcher counts a
lapse only over time in which it saw the store answer. So the holder stops first, and a
store outage doesn't make every lease look lapsed when it ends.
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

    ``margin_ms`` covers the slowest order that a holder may still have under way.
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
    """Sees from repeated reads which leases are no longer renewed.

    ``step_ms`` is the usual time between reads; a longer gap counts as one step only,
    since the store, or this process, may have been away in it.
    """

    terms: LeaseTerms
    step_ms: float
    _watched: dict[str, _Watched] = field(factory=dict)

    def saw(self, key: str, version: int, now_ms: float) -> None:
        """A read showed this version of the lease's row."""
        watched = self._watched.get(key)
        if watched is None or watched.version != version:
            self._watched[key] = _Watched(version, 0.0, now_ms)
            return
        watched.unchanged_ms += min(now_ms - watched.read_ms, 2 * self.step_ms)
        watched.read_ms = now_ms

    def lapsed(self, key: str) -> bool:
        """Say whether the lease went unrenewed for its whole length and margin."""
        watched = self._watched.get(key)
        if watched is None:
            return False
        return watched.unchanged_ms >= self.terms.length_ms + self.terms.margin_ms

    def forget(self, key: str) -> None:
        """Stop watching a lease."""
        self._watched.pop(key, None)


@define
class GroupLease:
    """One instance's claim to a lease row, taken and renewed by compare-and-set.

    ``epoch`` grows with each new holding and fences what is done under it.
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
        """Where the lease stands in its chart."""
        return self._machine.state

    def surely_held(self, now_ms: float, need_ms: float = 0.0) -> bool:
        """Say whether the lease lasts for ``need_ms`` more, whatever others think."""
        return self._machine.state == "held" and now_ms + need_ms < self.held_until_ms

    def take(self, row: Row | None, now_ms: float) -> Transaction:
        """Ask for a free or lapsed lease; ``row`` is what the table holds."""
        known_epoch = row.value["epoch"] if row else 0
        self._asked_epoch = known_epoch + 1
        return self._ask(row.version if row else 0, now_ms)

    def renew(self, now_ms: float) -> Transaction:
        """Ask for the lease that is held to go on."""
        self._asked_epoch = self.epoch
        return self._ask(self.version, now_ms)

    def _ask(self, version: int, now_ms: float) -> Transaction:
        self._asked_ms = now_ms
        value = {"holder": self.holder, "epoch": self._asked_epoch, "free": False}
        return Transaction({self.key: version}, {self.key: value})

    def hand_back(self) -> Transaction:
        """Free the lease before its time, so that a successor need not wait."""
        value = {"holder": self.holder, "epoch": self.epoch, "free": True}
        self._machine.feed("handed_back" if self.state != "free" else "refused")
        self.held_until_ms = float("-inf")
        return Transaction({self.key: self.version}, {self.key: value})

    def answered(self, outcome: TransactOutcome) -> None:
        """Take the table's answer to the last request."""
        match outcome:
            case Committed():
                self._taken(outcome.versions[self.key])
            case Conflict():
                self._conflicted(outcome.rows.get(self.key))
            case Unsure():
                self._machine.feed("unsure")
            case Unavailable():
                self._machine.feed("refused" if self.state == "free" else "unsure")

    def _taken(self, version: int) -> None:
        self._machine.feed("renewed" if self.state == "held" else "taken")
        self.version = version
        self.epoch = self._asked_epoch
        self.held_until_ms = self._asked_ms + self.terms.length_ms

    def _conflicted(self, row: Row | None) -> None:
        """Another write came first; it may have been this instance's own."""
        if row is not None and self._own(row.value):
            self._machine.feed("renewed" if self.state == "held" else "taken")
            self.version = row.version
            self.epoch = row.value["epoch"]
            # When that write was asked for is no longer known: trust none of it.
            self.held_until_ms = float("-inf")
            return
        self._machine.feed("refused" if self.state == "free" else "lost")
        self.held_until_ms = float("-inf")

    def _own(self, value: dict[str, Any]) -> bool:
        return value["holder"] == self.holder and not value["free"]

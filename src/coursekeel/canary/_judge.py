"""Judge: is the new version worse than the old, by more than chance?

Rule: of each row of routes, and of all together, cumulative sums of log likelihood
ratios are kept: how much better the new version's answers agree with a version that
does some harm than with one that is as good as the old, for little, more and great
harm. They never fall below zero, so that a fault that begins late is seen as soon as
one that was there from the start. What condemns grows with the answers that are in,
since each is a chance to err. Bad answers are those that failed and those that took
several times longer than the old version's usual.

The old version's share of bad answers is that of all its answers, or of the latest if
that is worse: a burst or a fault of the whole service condemns nobody.

Owns the sums. A core.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping

from attrs import define, field

from coursekeel.canary._model import Side
from coursekeel.canary._tally import ROUTE_ROWS, RowKey, Tally

__all__ = ["Judge", "SequentialJudge", "bad_answers", "usual_limit"]

# Shares of what the old version answers well that a bad one fails. The least bounds
# what is found at all; with the others a great harm is seen after few answers.
_HARMS = (0.1, 0.3, 0.8)
# The sum that condemns, beside the logarithm of the answers: what chance alone takes a
# good version to is some thousandths. One row of several needs more.
_CONDEMNED = 4.0
_ROW_CONDEMNED = _CONDEMNED + math.log(ROUTE_ROWS)
# What is thought of the old version before it has answered.
_PRIOR_BAD = 0.5
_PRIOR_ANSWERS = 10.0
# Of what was seen lately, the part that still counts a look later.
_LATELY_KEPT = 0.7
# Several times slower: two doublings of the bucket's width are twice as long.
_SLOWER_BUCKETS = 2
# Fewer answers tell nothing of what is usual.
_LEAST_USUAL = 10


class Judge(ABC):
    """Compares the two sides' answers, each look with all that is known by then."""

    @abstractmethod
    def condemns(self, totals: Mapping[RowKey, Tally]) -> bool:
        """Say whether the new version is bad; once it is, it stays so."""


def usual_limit(old: Tally) -> int | None:
    """The bucket beyond which an answer is several times slower than usual."""
    good = old.answers - old.failed
    if good < _LEAST_USUAL:
        return None
    seen = 0
    for bucket, count in enumerate(old.latencies):
        seen += count
        if 2 * seen >= good:
            return bucket + _SLOWER_BUCKETS
    return None


def bad_answers(tally: Tally, limit: int | None) -> int:
    """Answers that failed, or took longer than a limit."""
    slow = 0 if limit is None else tally.slower_than(limit)
    return tally.failed + slow


@define
class _Count:
    """Answers, and the bad ones among them."""

    bad: float = 0.0
    answers: float = 0.0

    def add(self, other: "_Count", kept: float = 1.0) -> None:
        self.bad = kept * self.bad + other.bad
        self.answers = kept * self.answers + other.answers

    @property
    def share(self) -> float:
        """The share of bad ones, a deviation on the safe side."""
        count = self.answers + _PRIOR_ANSWERS
        mean = (self.bad + _PRIOR_BAD) / count
        return min(mean + math.sqrt(mean * (1 - mean) / count), 1.0)


@define
class _Sums:
    """The old side's shares, and the new side's sums for each harm."""

    old: _Count = field(factory=_Count)
    lately: _Count = field(factory=_Count)
    new_answers: float = 0.0
    totals: list[float] = field(factory=lambda: [0.0] * len(_HARMS))

    def look(self, old: _Count, new: _Count) -> float:
        """Take what came since the last look; gives how far it is over what chance
        would do.
        """
        self.old.add(old)
        self.lately.add(old, _LATELY_KEPT)
        self.new_answers += new.answers
        share = max(self.old.share, self.lately.share)
        self.totals = [
            max(0.0, total + _log_ratio(new, share, harm))
            for total, harm in zip(self.totals, _HARMS, strict=True)
        ]
        return max(self.totals) - math.log(1 + self.new_answers)


def _log_ratio(new: _Count, share: float, harm: float) -> float:
    harmed = share + harm * (1 - share)
    if harmed >= 1:
        return 0.0
    good = new.answers - new.bad
    of_good = good * math.log((1 - harmed) / (1 - share))
    return new.bad * math.log(harmed / share) + of_good


def _sum(totals: Mapping[RowKey, Tally], side: Side) -> Tally:
    found = Tally()
    for (_, of), tally in totals.items():
        if of is side:
            found = found.plus(tally)
    return found


@define(eq=False)
class SequentialJudge(Judge):
    """Condemns by cumulative sums."""

    _seen: dict[RowKey, Tally] = field(factory=dict)
    _rows: dict[int, _Sums] = field(factory=dict)
    _all: _Sums = field(factory=_Sums)
    _condemned: bool = False

    def condemns(self, totals: Mapping[RowKey, Tally]) -> bool:
        """Take a look."""
        all_old, all_new = _Count(), _Count()
        usual = usual_limit(_sum(totals, Side.OLD))
        for row in {number for number, _ in totals}:
            # A row with few answers is held against what is usual for all.
            limit = usual_limit(totals.get((row, Side.OLD), Tally()))
            limit = usual if limit is None else limit
            old = self._grown(totals, (row, Side.OLD), limit)
            new = self._grown(totals, (row, Side.NEW), limit)
            sums = self._rows.setdefault(row, _Sums())
            self._condemned |= sums.look(old, new) > _ROW_CONDEMNED
            all_old.add(old)
            all_new.add(new)
        self._condemned |= self._all.look(all_old, all_new) > _CONDEMNED
        return self._condemned

    def _grown(
        self, totals: Mapping[RowKey, Tally], key: RowKey, limit: int | None
    ) -> _Count:
        """What came of a row since the last look."""
        now = totals.get(key, Tally())
        since = now.minus(self._seen.get(key, Tally()))
        self._seen[key] = now
        return _Count(bad_answers(since, limit), since.answers)

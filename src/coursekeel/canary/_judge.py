"""Judge: is the new version worse than the old, by more than chance?

Rule: of each row of routes, and of all together, a cumulative sum of log likelihood
ratios is kept: how much better the new version's answers agree with a bad version than
with one that is as good as the old. It never falls below zero, so that a fault that
begins late is seen as soon as one that was there from the start. Bad answers are those
that failed and those that took several times longer than the old version's usual.

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

# A bad version fails this share of what the old one answers well, at the least.
_LEAST_HARM = 0.1
# The sum at which a version is condemned: chance alone takes one good version in some
# thousands so far. One row of routes needs more, since there are several.
_CONDEMNED = 12.0
_ROW_CONDEMNED = _CONDEMNED + math.log(ROUTE_ROWS)
# What is thought of the old version before it has answered: one bad answer of twenty.
_PRIOR_BAD = 1.0
_PRIOR_ANSWERS = 20.0
# Of what was seen lately, the part that still counts a look later.
_LATELY_KEPT = 0.7
# Several times slower: two doublings of the bucket's width are twice as long.
_SLOWER_BUCKETS = 2
# Fewer answers tell nothing of what is usual.
_LEAST_USUAL = 20


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
class _Row:
    """One row's sum, and what it was made of."""

    old: Tally = field(factory=Tally)
    new: Tally = field(factory=Tally)
    lately_bad: float = 0.0
    lately: float = 0.0
    total: float = 0.0

    def look(self, old: Tally, new: Tally) -> float:
        """Take the present counters; gives how much the sum was moved by."""
        limit = usual_limit(old)
        grown_old, grown_new = old.minus(self.old), new.minus(self.new)
        self.old, self.new = old, new
        kept = _LATELY_KEPT
        self.lately_bad = kept * self.lately_bad + bad_answers(grown_old, limit)
        self.lately = kept * self.lately + grown_old.answers
        share = max(
            _share(bad_answers(old, limit), old.answers),
            _share(self.lately_bad, self.lately),
        )
        bad = bad_answers(grown_new, limit)
        moved = _log_ratio(bad, grown_new.answers - bad, share)
        self.total = max(0.0, self.total + moved)
        return moved


def _share(bad: float, answers: float) -> float:
    """The share of bad answers, a deviation on the safe side."""
    count = answers + _PRIOR_ANSWERS
    mean = (bad + _PRIOR_BAD) / count
    return min(mean + math.sqrt(mean * (1 - mean) / count), 1.0)


def _log_ratio(bad: int, good: int, share: float) -> float:
    harmed = share + _LEAST_HARM * (1 - share)
    if harmed >= 1:
        return 0.0
    return bad * math.log(harmed / share) + good * math.log((1 - harmed) / (1 - share))


@define(eq=False)
class SequentialJudge(Judge):
    """Condemns by cumulative sums."""

    _rows: dict[int, _Row] = field(factory=dict)
    _all: float = 0.0
    _condemned: bool = False

    def condemns(self, totals: Mapping[RowKey, Tally]) -> bool:
        """Take a look."""
        moved = 0.0
        for number in {row for row, _ in totals}:
            row = self._rows.setdefault(number, _Row())
            old = totals.get((number, Side.OLD), Tally())
            new = totals.get((number, Side.NEW), Tally())
            moved += row.look(old, new)
            self._condemned |= row.total > _ROW_CONDEMNED
        self._all = max(0.0, self._all + moved)
        self._condemned |= self._all > _CONDEMNED
        return self._condemned

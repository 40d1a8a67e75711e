"""Judges by a sequential test whether the new version is worse than the old one.

Rule: for each row of routes, and for all rows together, a CUSUM test runs: cumulative
sums of log likelihood ratios, of a version that gives more bad answers against one as
good as the old. There is one sum for each of several effect sizes. A sum never falls
below zero, so that a fault that begins late is found as quickly as an early one. The
threshold grows with the number of answers, which bounds the false alarms. Bad answers
are those that failed or took more than about twice as long as the old version's median.

The old version's share of bad answers is that of all its answers, or of the recent ones
if that is higher, so that a fault of the whole service doesn't condemn the new version.

Owns the sums. Does no I/O.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping

from attrs import define, field

from coursekeel.canary._model import Side
from coursekeel.canary._tally import ROUTE_ROWS, RowKey, Tally

__all__ = ["Judge", "SequentialJudge", "bad_answers", "slow_bucket_limit"]

# The shares of the old version's good answers that a worse version makes bad. Large
# effects are found after few answers.
_EFFECT_SIZES = (0.1, 0.3, 0.8)
# Thresholds of the log likelihood ratio; the logarithm of the number of answers is
# added to them. That of a row is higher, since there are several rows. Chance alone
# condemns some thousandths of good versions.
_TOTAL_THRESHOLD = 4.0
_ROW_THRESHOLD = _TOTAL_THRESHOLD + math.log(ROUTE_ROWS)
# The prior for the old version's share of bad answers.
_PRIOR_BAD_ANSWERS = 0.5
_PRIOR_ANSWERS = 10.0
# The weight that recent answers keep at each later evaluation.
_RECENT_DECAY = 0.7
# Buckets grow by the square root of two: two of them are a factor of two.
_SLOW_BUCKETS = 2
# A median of fewer answers isn't used.
_MIN_GOOD_ANSWERS = 10


class Judge(ABC):
    """Compares the answers of the two versions."""

    @abstractmethod
    def condemns(self, totals: Mapping[RowKey, Tally]) -> bool:
        """Say whether the new version is bad; once it is, that stays.

        Called each period with the sums of all counters since the order.
        """


def slow_bucket_limit(old: Tally) -> int | None:
    """The bucket above which an answer is slow; None if there are too few answers."""
    good = old.answers - old.failed
    if good < _MIN_GOOD_ANSWERS:
        return None
    seen = 0
    for bucket, count in enumerate(old.latencies):
        seen += count
        if 2 * seen >= good:
            return bucket + _SLOW_BUCKETS
    return None


def bad_answers(tally: Tally, limit: int | None) -> int:
    """The number of answers that failed or are in a bucket above ``limit``."""
    slow = 0 if limit is None else tally.slower_than(limit)
    return tally.failed + slow


@define
class _Counts:
    """The number of answers, and of bad ones among them."""

    bad: float = 0.0
    answers: float = 0.0

    def add(self, other: "_Counts", decay: float = 1.0) -> None:
        self.bad = decay * self.bad + other.bad
        self.answers = decay * self.answers + other.answers

    @property
    def share(self) -> float:
        """The share of bad answers, estimated high by one standard deviation."""
        count = self.answers + _PRIOR_ANSWERS
        mean = (self.bad + _PRIOR_BAD_ANSWERS) / count
        return min(mean + math.sqrt(mean * (1 - mean) / count), 1.0)


@define
class _SequentialTest:
    """The old version's counts, and the new one's sum for each effect size."""

    old: _Counts = field(factory=_Counts)
    recent: _Counts = field(factory=_Counts)
    new_answers: float = 0.0
    totals: list[float] = field(factory=lambda: [0.0] * len(_EFFECT_SIZES))

    def add_answers(self, old: _Counts, new: _Counts) -> float:
        """Add the answers since the last call; returns the greatest sum.

        The logarithm of the number of answers is already subtracted from it.
        """
        self.old.add(old)
        self.recent.add(old, _RECENT_DECAY)
        self.new_answers += new.answers
        share = max(self.old.share, self.recent.share)
        self.totals = [
            max(0.0, total + _log_ratio(new, share, effect))
            for total, effect in zip(self.totals, _EFFECT_SIZES, strict=True)
        ]
        return max(self.totals) - math.log(1 + self.new_answers)


def _log_ratio(new: _Counts, share: float, effect: float) -> float:
    worse_share = share + effect * (1 - share)
    if worse_share >= 1:
        return 0.0
    good = new.answers - new.bad
    good_term = good * math.log((1 - worse_share) / (1 - share))
    return new.bad * math.log(worse_share / share) + good_term


def _total_of_side(totals: Mapping[RowKey, Tally], side: Side) -> Tally:
    total = Tally()
    for (_, tally_side), tally in totals.items():
        if tally_side is side:
            total = total.plus(tally)
    return total


@define(eq=False)
class SequentialJudge(Judge):
    """Judges by a CUSUM test for each row, and one for all rows together."""

    _last_totals: dict[RowKey, Tally] = field(factory=dict)
    _rows: dict[int, _SequentialTest] = field(factory=dict)
    _all_rows: _SequentialTest = field(factory=_SequentialTest)
    _condemned: bool = False

    def condemns(self, totals: Mapping[RowKey, Tally]) -> bool:
        """See `Judge.condemns`."""
        all_old, all_new = _Counts(), _Counts()
        common_limit = slow_bucket_limit(_total_of_side(totals, Side.OLD))
        for row in {number for number, _ in totals}:
            # A row with few answers uses the limit of all rows.
            limit = slow_bucket_limit(totals.get((row, Side.OLD), Tally()))
            limit = common_limit if limit is None else limit
            old = self._take_increase(totals, (row, Side.OLD), limit)
            new = self._take_increase(totals, (row, Side.NEW), limit)
            test = self._rows.setdefault(row, _SequentialTest())
            self._condemned |= test.add_answers(old, new) > _ROW_THRESHOLD
            all_old.add(old)
            all_new.add(new)
        self._condemned |= (
            self._all_rows.add_answers(all_old, all_new) > _TOTAL_THRESHOLD
        )
        return self._condemned

    def _take_increase(
        self, totals: Mapping[RowKey, Tally], key: RowKey, limit: int | None
    ) -> _Counts:
        """The counts of a row and side since the last call."""
        now = totals.get(key, Tally())
        since = now.minus(self._last_totals.get(key, Tally()))
        self._last_totals[key] = now
        return _Counts(bad_answers(since, limit), since.answers)

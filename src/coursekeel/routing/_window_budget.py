"""Retry: one instance's part of a bound on repeats that all instances keep together.

Rule: each request that arrives earns a part of a repeat, which lapses after the window;
a saved part of what all have beyond that comes back slowly. A repeat takes one. With
less than one left it is drawn by lot, with as much chance as is left, and all that is
left is spent however the lot falls.

Reason: in a large group every part is below one. A budget that gives whole repeats only
then gives none at all, while the group's bound is hardly used: on a day with 195
instances 81 streams lost their engine and none was resumed. The lot spends what it
risks, so that the repeats of all instances together come to no more than their parts
do, but for luck, and `RetryBudgets` leaves room for that. Earnings that lapse after a
window are the other half of the bound: what is spent in one window was earned in it or
in the one before.

A core: the time is given, in ms.
"""

from collections import deque
from random import Random

from attrs import define, field

__all__ = ["WindowBudget"]


@define
class _Earning:
    """A part of a repeat, and when it lapses."""

    part: float
    lapses_ms: float


@define(eq=False)
class WindowBudget:
    """``saved`` is what is left of this instance's part of the common reserve.

    ``per_request`` is how much of a repeat one request earns; ``most`` how much can be
    saved up, and ``refill_per_s`` how fast it comes back.
    """

    per_request: float
    window_ms: float
    random: Random
    most: float = 0.0
    refill_per_s: float = 0.0
    saved: float = 0.0
    _earned: deque[_Earning] = field(factory=deque)
    _at_ms: float | None = None

    def requested(self, now_ms: float) -> None:
        """A request arrived."""
        self._lapse(now_ms)
        self._earned.append(_Earning(self.per_request, now_ms + self.window_ms))

    def take(self, now_ms: float) -> bool:
        """Take one repeat, or draw for it if less than one is left."""
        self._lapse(now_ms)
        self._refill(now_ms)
        left = self.saved + sum(each.part for each in self._earned)
        if left >= 1:
            self._spend(1.0)
            return True
        self._earned.clear()
        self.saved = 0.0
        return self.random.random() < left

    def is_spent(self, now_ms: float) -> bool:
        """Say whether there is no whole repeat now."""
        self._lapse(now_ms)
        self._refill(now_ms)
        return self.saved + sum(each.part for each in self._earned) < 1

    def give_back(self) -> None:
        """A repeat that was taken reached nobody after all."""
        self.saved = min(self.saved + 1, max(self.most, 1.0))

    def fit(self, most: float, refill_per_s: float) -> None:
        """Change this instance's part; what is saved beyond it is given up."""
        self.most = most
        self.refill_per_s = refill_per_s
        self.saved = min(self.saved, most)

    def _spend(self, part: float) -> None:
        """What lapses first goes first."""
        while part > 0 and self._earned:
            first = self._earned[0]
            spent = min(part, first.part)
            first.part -= spent
            part -= spent
            if first.part <= 0:
                self._earned.popleft()
        self.saved -= part

    def _lapse(self, now_ms: float) -> None:
        while self._earned and self._earned[0].lapses_ms <= now_ms:
            self._earned.popleft()

    def _refill(self, now_ms: float) -> None:
        since_ms = 0.0 if self._at_ms is None else now_ms - self._at_ms
        self._at_ms = now_ms
        gained = since_ms / 1000 * self.refill_per_s
        self.saved = max(self.saved, min(self.saved + gained, self.most))

"""Retry budget of one instance: its part of a bound that all instances share.

Rule: each request that arrives earns a part of a retry, which expires after the window;
a reserve, this instance's part of the common one, refills slowly. A retry spends one.
If less than one is left, the retry is allowed at random with the remaining amount as
its probability, and that amount is spent whatever the outcome.

Reason: in a large group every instance's part is below one, so that whole retries only
would mean no retries at all. Since the draw spends what it risks, the group's retries
stay within the shared bound on average; `RetryBudgets` leaves room for the variance.

A core: the caller passes the time, in ms.
"""

from collections import deque
from random import Random

from attrs import define, field

__all__ = ["WindowBudget"]


@define
class _Earning:
    """A part of a retry, and when it expires."""

    part: float
    expires_ms: float


@define(eq=False)
class WindowBudget:
    """``saved`` is the available part of the reserve, in retries.

    ``per_request`` is the part of a retry that one request earns. ``most`` caps
    ``saved``, and ``refill_per_s`` is how fast it refills.
    """

    per_request: float
    window_ms: float
    random: Random
    most: float = 0.0
    refill_per_s: float = 0.0
    saved: float = 0.0
    _earned: deque[_Earning] = field(factory=deque)
    _refilled_ms: float | None = None

    def requested(self, now_ms: float) -> None:
        """Earn a part of a retry for a request that arrived."""
        self._expire(now_ms)
        self._earned.append(_Earning(self.per_request, now_ms + self.window_ms))

    def take(self, now_ms: float) -> bool:
        """Spend one retry, or draw at random for it if less than one is left."""
        left = self.left(now_ms)
        if left >= 1:
            self._spend(1.0)
            return True
        self._earned.clear()
        self.saved = 0.0
        return self.random.random() < left

    def take_saved(self, now_ms: float, lapses_by_ms: float) -> bool:
        """Spend a retry for a request that can wait for it.

        A part of a retry is drawn for only if some of it lapses by ``lapses_by_ms``, or
        if requests have earned none of it, since the reserve refills slowly.
        """
        left = self.left(now_ms)
        if left < 1:
            may_grow = self._earned and self._earned[0].expires_ms > lapses_by_ms
            if left <= 0 or may_grow:
                return False
        return self.take(now_ms)

    def left(self, now_ms: float) -> float:
        """Return how many retries this instance has, parts included."""
        self._expire(now_ms)
        self._refill(now_ms)
        return self.saved + sum(earning.part for earning in self._earned)

    def give_back(self) -> None:
        """Return a retry that was taken and not sent to any endpoint."""
        self.saved = min(self.saved + 1, max(self.most, 1.0))

    def fit(self, most: float, refill_per_s: float) -> None:
        """Set this instance's part of the reserve; savings above it are dropped."""
        self.most = most
        self.refill_per_s = refill_per_s
        self.saved = min(self.saved, most)

    def _spend(self, part: float) -> None:
        """Spend the earnings that expire first, then the reserve."""
        while part > 0 and self._earned:
            first = self._earned[0]
            spent = min(part, first.part)
            first.part -= spent
            part -= spent
            if first.part <= 0:
                self._earned.popleft()
        self.saved -= part

    def _expire(self, now_ms: float) -> None:
        while self._earned and self._earned[0].expires_ms <= now_ms:
            self._earned.popleft()

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = 0.0 if self._refilled_ms is None else now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        gained = elapsed_ms / 1000 * self.refill_per_s
        self.saved = max(self.saved, min(self.saved + gained, self.most))

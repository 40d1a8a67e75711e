"""A budget that keeps retries a bounded share of the work."""

from attrs import define

__all__ = ["RetryBudget"]


@define
class RetryBudget:
    """Successes earn retries; a reserve refills slowly, so that a quiet class can
    still recover.

    ``share`` is how many retries one success earns, and ``most`` how many can be
    saved up; without it, those of a hundred successes.
    """

    share: float
    reserve: float = 10.0
    refill_per_s: float = 5.0
    tokens: float = 10.0
    most: float | None = None
    _at_ms: float | None = None

    def succeeded(self) -> None:
        """A run was granted for the first time or came to its end."""
        self.tokens = min(self.tokens + self.share, self._cap)

    def take(self, now_ms: float) -> bool:
        """Take one retry if the budget has it."""
        self._refill(now_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    @property
    def _cap(self) -> float:
        if self.most is not None:
            return self.most
        return max(self.reserve, 100 * self.share)

    def _refill(self, now_ms: float) -> None:
        since_ms = 0.0 if self._at_ms is None else now_ms - self._at_ms
        self._at_ms = now_ms
        if self.tokens < self.reserve:
            gained = since_ms / 1000 * self.refill_per_s
            self.tokens = min(self.tokens + gained, self.reserve)

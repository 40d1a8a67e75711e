"""Retry: a budget that keeps repeats a bounded share of the work.

Rule: a repeat is allowed while the budget holds one. Successes earn a part of a repeat
each; a reserve comes back slowly by itself, so that a class with little traffic can
still recover. Reason: when endpoints fail, repeats without a bound multiply the load of
those that work.

A core: the time is given, in ms.
"""

from attrs import define

__all__ = ["RetryBudget"]

# Without a bound of its own a budget holds what so many successes earn. A hundred
# requests are a second or two of one instance's traffic.
_SAVED_SUCCESSES = 100


@define
class RetryBudget:
    """``retries`` are left now.

    ``per_success`` is how many one success earns, and ``most`` how many can be saved
    up; without it, those of a hundred successes. The reserve of 10 and its refill of 5
    a second let an idle class resume a few streams at once
    (`tests/cover/test_slowdown_machine.py` keeps the bound that follows).
    """

    per_success: float
    reserve: float = 10.0
    refill_per_s: float = 5.0
    retries: float = 10.0
    most: float | None = None
    _at_ms: float | None = None

    def succeeded(self) -> None:
        """A request arrived, or a run gave its first token."""
        self.retries = min(self.retries + self.per_success, self._cap)

    def take(self, now_ms: float) -> bool:
        """Take one retry if the budget has it."""
        self._refill(now_ms)
        if self.retries < 1:
            return False
        self.retries -= 1
        return True

    @property
    def _cap(self) -> float:
        if self.most is not None:
            return self.most
        return max(self.reserve, _SAVED_SUCCESSES * self.per_success)

    def _refill(self, now_ms: float) -> None:
        since_ms = 0.0 if self._at_ms is None else now_ms - self._at_ms
        self._at_ms = now_ms
        if self.retries < self.reserve:
            gained = since_ms / 1000 * self.refill_per_s
            self.retries = min(self.retries + gained, self.reserve)

"""Retry budget of one request class.

Rule: a retry is allowed while the budget holds at least one. Each success earns a part
of a retry; a small reserve refills with time, so that a class with little traffic can
still retry. Reason: when endpoints fail, unbounded retries multiply the load on those
that still work.

A core: the caller passes the time, in ms.
"""

from attrs import define

__all__ = ["RetryBudget"]

# The default cap is what this many successes earn.
_SAVED_SUCCESSES = 100


@define
class RetryBudget:
    """``available`` is the number of retries that may be spent now.

    ``earned_per_success`` is the part of a retry that one success earns. ``max_saved``
    caps what can be saved up; by default, the earnings of ``_SAVED_SUCCESSES``. The
    budget refills with time up to ``reserve``, so that an idle class can resume a few
    streams at once.
    """

    earned_per_success: float
    reserve: float = 10.0
    refill_per_s: float = 5.0
    available: float = 10.0
    max_saved: float | None = None
    _refilled_ms: float | None = None

    def succeeded(self) -> None:
        """Earn a part of a retry: a run gave its first token, or a call its answer."""
        self.available = min(self.available + self.earned_per_success, self._cap)

    def take(self, now_ms: float) -> bool:
        """Spend one retry; return False if less than one is available."""
        self._refill(now_ms)
        if self.available < 1:
            return False
        self.available -= 1
        return True

    @property
    def _cap(self) -> float:
        if self.max_saved is not None:
            return self.max_saved
        return max(self.reserve, _SAVED_SUCCESSES * self.earned_per_success)

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = 0.0 if self._refilled_ms is None else now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        if self.available < self.reserve:
            gained = elapsed_ms / 1000 * self.refill_per_s
            self.available = min(self.available + gained, self.reserve)

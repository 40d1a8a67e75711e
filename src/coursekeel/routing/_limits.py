"""Concurrency limit of one endpoint, adapted to its refusals and its queue.

Rule: the limit shrinks by a factor when the endpoint refuses a run or reports a queue,
and grows by one for each limit's worth of successes. The endpoint's slots bound it.
Reason: fairness and deadlines can't be applied to runs that wait inside an endpoint.

A core: the caller passes the time, in ms.
"""

from attrs import define

__all__ = ["ConcurrencyLimit"]

# Before an endpoint has reported its slots.
_INITIAL_LIMIT = 64.0
# With no run at all nothing would show that the endpoint accepts work again.
_MIN_LIMIT = 1.0
# Stands for "slots not reported yet"; no endpoint has so many.
_MAX_LIMIT = 4096.0
# Multiplicative decrease: stronger for a refusal, which costs the caller a try, than
# for a queue, which a report shows late.
_REFUSAL_FACTOR = 0.8
_QUEUE_FACTOR = 0.95


@define
class ConcurrencyLimit:
    """An additive-increase, multiplicative-decrease limit on one endpoint's runs.

    Instances don't coordinate their limits: each adapts its own. ``limit`` is the
    current one, ``upper_bound`` the most that it may grow to, ``running`` the number of
    runs that count against it.
    """

    limit: float = _INITIAL_LIMIT
    upper_bound: float = _MAX_LIMIT
    running: int = 0
    _next_shrink_ms: float = 0.0

    @property
    def free(self) -> bool:
        """Whether one more run may be sent."""
        return self.running < int(self.limit)

    def reported(self, slots: int, queued: int, now_ms: float, hold_ms: float) -> None:
        """Apply a load report: the endpoint's slots, and the runs queued there.

        A queue shrinks the limit, at most once in ``hold_ms``.
        """
        self.bound(slots)
        if queued and self.running:
            self._shrink(_QUEUE_FACTOR, now_ms, hold_ms)

    def bound(self, slots: int) -> None:
        """Bound the limit by the endpoint's slots; the first call sets it to them."""
        first = self.upper_bound == _MAX_LIMIT
        self.upper_bound = float(max(slots, 1))
        self.limit = self.upper_bound if first else min(self.limit, self.upper_bound)

    def started(self) -> None:
        """Count a run that was sent."""
        self.running += 1

    def ended(self) -> None:
        """Stop counting a run, whatever its outcome."""
        self.running -= 1

    def succeeded(self) -> None:
        """Grow the limit after a success, if at least half of it is in use."""
        if self.running >= self.limit / 2:
            self.limit = min(self.upper_bound, self.limit + 1 / max(self.limit, 1.0))

    def refused(self, now_ms: float, hold_ms: float) -> None:
        """Shrink the limit after a refusal, at most once in ``hold_ms``."""
        self._shrink(_REFUSAL_FACTOR, now_ms, hold_ms)

    def _shrink(self, factor: float, now_ms: float, hold_ms: float) -> None:
        if now_ms < self._next_shrink_ms:
            return
        self._next_shrink_ms = now_ms + hold_ms
        self.limit = max(_MIN_LIMIT, min(self.limit, self.running) * factor)

"""The begun streams of one pool that wait for a retry.

Rule: the one that has waited longest gets the next retry of this instance's part of the
budget. It is a whole one (`WindowBudget.take_saved`); a smaller part is drawn for only
when it would be lost, or when requests earn no more. While any stream waits, no other
request gets a retry.

Reason: a stream that has begun can't be refused, only cut. A retry that isn't there now
may be earned soon, and the pool gets no more of them than the budget allows. Nothing is
held meanwhile but the caller's connection and request, so that the bound on open
requests bounds the queue too.

Owns the order and the timer that looks for retries.
"""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from coursekeel.gateway._retry_budgets import RetryBudgets
from coursekeel.reactor import Reactor
from coursekeel.routing import WindowBudget
from coursekeel.runtime import Clock
from coursekeel.units import MS_PER_SECOND

__all__ = ["RetryQueue", "RetryQueues"]

# How often a queue that isn't empty looks for a retry.
_CHECK_INTERVAL_MS = 100.0

# A part of a retry that lapses within this time is drawn for. It is more than one
# interval, as the timer may be late.
_LAPSES_SOON_MS = 300.0


@define(eq=False)
class RetryQueue:
    """Streams that wait for a retry of ``budget``, by the object that waits."""

    reactor: Reactor
    clock: Clock
    budget: Callable[[], WindowBudget]
    _waiting: dict[object, Callable[[], None]] = field(factory=dict)
    _timer: Any = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiter: object, on_retry: Callable[[], None]) -> None:
        """Call ``on_retry`` once when ``waiter`` has got a retry.

        No effect if it waits already.
        """
        self._waiting.setdefault(waiter, on_retry)
        self._schedule()

    def remove(self, waiter: object) -> None:
        """Wait no longer; no effect if ``waiter`` doesn't wait."""
        self._waiting.pop(waiter, None)

    def _schedule(self) -> None:
        if self._timer is None and self._waiting:
            delay_s = _CHECK_INTERVAL_MS / MS_PER_SECOND
            self._timer = self.reactor.callLater(delay_s, self._check)

    def _check(self) -> None:
        self._timer = None
        while self._waiting:
            now_ms = self.clock.now_ms()
            if not self.budget().take_saved(now_ms, now_ms + _LAPSES_SOON_MS):
                break
            on_retry = self._waiting.pop(next(iter(self._waiting)))
            on_retry()
        self._schedule()


@define(eq=False)
class RetryQueues:
    """The queues of all pools."""

    reactor: Reactor
    clock: Clock
    budgets: RetryBudgets
    _by_pool: dict[str, RetryQueue] = field(factory=dict)

    def of(self, pool: str) -> RetryQueue:
        """The queue of the streams that wait for a retry to a pool."""
        queue = self._by_pool.get(pool)
        if queue is None:
            queue = RetryQueue(self.reactor, self.clock, lambda: self.budgets.of(pool))
            self._by_pool[pool] = queue
        return queue

    @property
    def waiting(self) -> int:
        """The number of streams that wait, in all pools."""
        return sum(len(queue) for queue in self._by_pool.values())

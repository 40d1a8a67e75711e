"""The deadlines of all open requests, on one timer.

Rule: each request has one deadline, which is reached in whatever state the request is.
The clock is read at least once a second while one is pending: the reactor's timers
don't count the time for which the machine was suspended. A stop moves all deadlines to
its end, so that requests that are still open then are ended, not dropped.

Owns the timer and the pending deadlines. Times are in ms on the process's clock.
"""

import heapq
import math
from collections.abc import Callable
from itertools import count
from typing import Any

from attrs import define, field

from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock
from coursekeel.units import MS_PER_SECOND

__all__ = ["Deadline", "DeadlineTimers"]

_MAX_WAIT_MS = 1_000.0


@define(eq=False)
class Deadline:
    """A pending deadline; ``on_reached`` is None once it was reached or cancelled."""

    at_ms: float
    on_reached: Callable[[], None] | None

    def cancel(self) -> None:
        """Forget the deadline, and what its callback refers to."""
        self.on_reached = None


@define(eq=False)
class DeadlineTimers:
    """Calls each deadline's callback once, at its time or soon after."""

    reactor: Reactor
    clock: Clock
    _pending: list[tuple[float, int, Deadline]] = field(factory=list)
    _numbers: "count[int]" = field(factory=count)
    _timer: Any = None
    _latest_ms: float = math.inf

    def add(self, at_ms: float, on_reached: Callable[[], None]) -> Deadline:
        """Call ``on_reached`` at ``at_ms``, later in this turn if that has passed."""
        at_ms = min(at_ms, self._latest_ms)
        deadline = Deadline(at_ms, on_reached)
        heapq.heappush(self._pending, (at_ms, next(self._numbers), deadline))
        if self._pending[0][2] is deadline:
            self._set_timer()
        return deadline

    def reach_all_by(self, latest_ms: float) -> None:
        """Reach every deadline by ``latest_ms``, also those that are added later."""
        self._latest_ms = latest_ms
        for _, _, deadline in self._pending:
            deadline.at_ms = min(deadline.at_ms, latest_ms)
        self._pending = [
            (deadline.at_ms, number, deadline) for _, number, deadline in self._pending
        ]
        heapq.heapify(self._pending)
        if self._pending:
            self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        left_ms = self._pending[0][0] - self.clock.now_ms()
        wait_ms = min(max(left_ms, 0.0), _MAX_WAIT_MS)
        self._timer = self.reactor.callLater(wait_ms / MS_PER_SECOND, self._fire)

    def _fire(self) -> None:
        self._timer = None
        now_ms = self.clock.now_ms()
        try:
            while self._pending and self._pending[0][0] <= now_ms:
                deadline = heapq.heappop(self._pending)[2]
                on_reached, deadline.on_reached = deadline.on_reached, None
                if on_reached is not None:
                    on_reached()
            self._drop_cancelled()
        finally:
            if self._pending and self._timer is None:
                self._set_timer()

    def _drop_cancelled(self) -> None:
        while self._pending and self._pending[0][2].on_reached is None:
            heapq.heappop(self._pending)

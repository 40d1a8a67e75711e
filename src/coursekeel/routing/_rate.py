"""How fast a queue moves, which says how long a new request would wait."""

from attrs import define

__all__ = ["QueueRate"]

# How much of the average each grant that took time replaces. About twenty grants, a
# second of a busy queue.
_NEWEST_SHARE = 0.05


@define
class QueueRate:
    """How fast a queue moves: averaged cost over averaged time.

    Averaging each grant's own rate instead lets one pair of grants in the same moment
    count for many; the estimate came out several times too high and nothing was
    refused before its deadline.
    """

    cost: float = 0.0
    interval_ms: float = 0.0
    _pending_cost: float = 0.0
    _at_ms: float | None = None

    @property
    def cost_per_ms(self) -> float:
        """Cost of granted requests a millisecond, 0 while nothing is known."""
        return self.cost / self.interval_ms if self.interval_ms else 0.0

    def moved(self, cost: float, now_ms: float) -> None:
        """A request of this cost left the queue by a grant."""
        since_ms = 0.0 if self._at_ms is None else now_ms - self._at_ms
        started = self._at_ms is not None
        self._at_ms = now_ms
        if not started:
            return
        self._pending_cost += cost
        if since_ms <= 0:
            return
        share = _NEWEST_SHARE if self.interval_ms else 1.0
        self.cost += share * (self._pending_cost - self.cost)
        self.interval_ms += share * (since_ms - self.interval_ms)
        self._pending_cost = 0.0

    def pause(self) -> None:
        """The queue is empty: what passes until it fills again is no waiting time."""
        self._at_ms = None
        self._pending_cost = 0.0

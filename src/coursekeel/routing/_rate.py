"""Estimate of how fast a queue is served, from which waiting times are predicted."""

from attrs import define

__all__ = ["QueueRate"]

# Weight of the newest sample in the moving averages.
_NEWEST_WEIGHT = 0.05


@define
class QueueRate:
    """Rate at which a queue is served: mean cost over mean interval between grants.

    Cost and interval are averaged apart: the rate of two grants in the same
    millisecond is unbounded, and averaging such rates overestimates the speed.
    """

    mean_cost: float = 0.0
    mean_interval_ms: float = 0.0
    _pending_cost: float = 0.0
    _last_grant_ms: float | None = None

    @property
    def cost_per_ms(self) -> float:
        """Cost of granted requests per millisecond; 0 before the first sample."""
        return self.mean_cost / self.mean_interval_ms if self.mean_interval_ms else 0.0

    def record_grant(self, cost: float, now_ms: float) -> None:
        """Record that a request of this cost was granted from the queue."""
        since_ms = 0.0 if self._last_grant_ms is None else now_ms - self._last_grant_ms
        started = self._last_grant_ms is not None
        self._last_grant_ms = now_ms
        if not started:
            return
        self._pending_cost += cost
        if since_ms <= 0:
            return
        weight = _NEWEST_WEIGHT if self.mean_interval_ms else 1.0
        self.mean_cost += weight * (self._pending_cost - self.mean_cost)
        self.mean_interval_ms += weight * (since_ms - self.mean_interval_ms)
        self._pending_cost = 0.0

    def pause(self) -> None:
        """Record that the queue is empty; the time until it fills again is left out."""
        self._last_grant_ms = None
        self._pending_cost = 0.0

"""Detection of a failing availability zone.

Rule: when several endpoints of a zone are lost within a short window, new work and
copies avoid the zone while other zones have room. Reason: power and networks fail by
zone, so the zone's other endpoints will probably be lost as well, and a copy placed
there with them.

A core: the caller passes the time, in ms.
"""

from attrs import define, field

__all__ = ["FailingZones"]


@define
class FailingZones:
    """Recent losses by zone, for the endpoints of one pool.

    A zone that loses ``min_endpoints`` within ``window_ms`` is avoided for
    ``avoid_ms`` after the last loss.
    """

    min_endpoints: int = 2
    window_ms: float = 1_000.0
    avoid_ms: float = 1_500.0
    _losses: dict[str, dict[str, float]] = field(factory=dict)
    _avoid_until_ms: dict[str, float] = field(factory=dict)

    def record_loss(self, zone: str, endpoint_id: str, now_ms: float) -> None:
        """Record that an endpoint of the zone crashed, or lost a run."""
        losses = self._losses.setdefault(zone, {})
        losses[endpoint_id] = now_ms
        for name in [n for n, at in losses.items() if now_ms - at > self.window_ms]:
            del losses[name]
        if len(losses) >= self.min_endpoints:
            self._avoid_until_ms[zone] = now_ms + self.avoid_ms

    def is_avoided(self, zone: str, now_ms: float) -> bool:
        """Whether the zone is to be avoided now."""
        return now_ms < self._avoid_until_ms.get(zone, float("-inf"))

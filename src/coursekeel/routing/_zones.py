"""Avoid: tell an availability zone that is failing from one endpoint that fails.

Rule: when several endpoints of a zone were lost within a moment, the zone is avoided
for new work and for copies, as long as other zones have room. Reason: power and
networks fail by zone, and then its endpoints die one after the other: without the rule
a copy's own copy would be placed in the zone that has just died.

A core: the time is given, in ms.
"""

from attrs import define, field

__all__ = ["FailingZones"]


@define
class FailingZones:
    """Losses by zone, for the endpoints of one pool.

    After losses of ``at_least`` endpoints within ``together_ms`` the zone is avoided
    for ``avoided_ms``.
    """

    at_least: int = 2
    together_ms: float = 1_000.0
    avoided_ms: float = 1_500.0
    _losses: dict[str, dict[str, float]] = field(factory=dict)
    _until_ms: dict[str, float] = field(factory=dict)

    def lost(self, zone: str, endpoint_id: str, now_ms: float) -> None:
        """An endpoint of the zone was found dead, or lost a run."""
        losses = self._losses.setdefault(zone, {})
        losses[endpoint_id] = now_ms
        for name in [n for n, at in losses.items() if now_ms - at > self.together_ms]:
            del losses[name]
        if len(losses) >= self.at_least:
            self._until_ms[zone] = now_ms + self.avoided_ms

    def avoided(self, zone: str, now_ms: float) -> bool:
        """Say whether the zone is better left alone now."""
        return now_ms < self._until_ms.get(zone, float("-inf"))

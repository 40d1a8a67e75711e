"""Tell an availability zone that is failing from one endpoint that fails."""

from attrs import define, field

__all__ = ["ZoneTrouble"]


@define
class ZoneTrouble:
    """Losses by zone, for the endpoints of one model or pool.

    Power and networks fail by zone, and then its endpoints die one after the other
    within moments. After losses of ``at_least`` of them within ``together_ms`` the zone
    is shunned for ``shunned_ms``, so that neither new work nor copies of running work
    go to those that aren't known to be dead yet.
    """

    at_least: int = 2
    together_ms: float = 1_000.0
    shunned_ms: float = 1_500.0
    _losses: dict[str, dict[str, float]] = field(factory=dict)
    _until_ms: dict[str, float] = field(factory=dict)

    def lost(self, zone: str, endpoint_id: str, now_ms: float) -> None:
        """An endpoint of the zone was found dead, or lost a run."""
        losses = self._losses.setdefault(zone, {})
        losses[endpoint_id] = now_ms
        for name in [n for n, at in losses.items() if now_ms - at > self.together_ms]:
            del losses[name]
        if len(losses) >= self.at_least:
            self._until_ms[zone] = now_ms + self.shunned_ms

    def shunned(self, zone: str, now_ms: float) -> bool:
        """Say whether the zone is better left alone now."""
        return now_ms < self._until_ms.get(zone, float("-inf"))

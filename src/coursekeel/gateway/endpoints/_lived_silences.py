"""Pools whose endpoints were recently found alive while their runs stalled.

Owns the time of the last such report, by pool. A core: times are arguments, in ms.
"""

import math

from attrs import define, field

__all__ = ["StallHistory"]

# How long such a report counts: bursts of long prompts last some seconds.
_RECENT_MS = 30_000.0


@define(eq=False)
class StallHistory:
    """When an endpoint of each pool was last found alive during a stall."""

    _alive_ms: dict[str, float] = field(factory=dict)

    def record_alive(self, pool: str, now_ms: float) -> None:
        """Record that an endpoint gave its report after a run there had stalled."""
        self._alive_ms[pool] = now_ms

    def recently_alive(self, pool: str, now_ms: float) -> bool:
        """Return whether a stall alone is no proof of a crash in this pool."""
        return now_ms - self._alive_ms.get(pool, -math.inf) < _RECENT_MS

"""Which pools' endpoints were lately seen to live through silences of their runs.

Owns when that was. A core: each moment is given, in ms.
"""

import math

from attrs import define, field

__all__ = ["LivedSilences"]

# How long what was seen of a pool counts: bursts of prompts last some seconds.
_RECENT_MS = 30_000.0


@define(eq=False)
class LivedSilences:
    """When each pool's endpoints were last seen to live through a silence."""

    _alive_ms: dict[str, float] = field(factory=dict)

    def record_alive(self, pool: str, now_ms: float) -> None:
        """An endpoint gave its report after a run there was silent for too long."""
        self._alive_ms[pool] = now_ms

    def recently_alive(self, pool: str, now_ms: float) -> bool:
        """Say whether silence alone shows no death there."""
        return now_ms - self._alive_ms.get(pool, -math.inf) < _RECENT_MS

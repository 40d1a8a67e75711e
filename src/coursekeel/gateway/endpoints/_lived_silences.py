"""Which pools' endpoints were lately seen to live through silences of their runs.

Owns when that was. A core: each moment is given, in ms.
"""

import math

from attrs import define, field

__all__ = ["LivedSilences"]

# How long what was seen of a pool counts: bursts of prompts last some seconds.
_REMEMBERED_MS = 30_000.0


@define(eq=False)
class LivedSilences:
    """When each pool's endpoints were last seen to live through a silence."""

    _seen_ms: dict[str, float] = field(factory=dict)

    def lived(self, pool: str, now_ms: float) -> None:
        """An endpoint gave its report after a run there was silent for too long."""
        self._seen_ms[pool] = now_ms

    def lately(self, pool: str, now_ms: float) -> bool:
        """Say whether silence alone shows no death there."""
        return now_ms - self._seen_ms.get(pool, -math.inf) < _REMEMBERED_MS

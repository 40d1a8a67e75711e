"""Parts of prompts that endpoints lately answered, so that they crash none.

Rule: a request has several parts, and all but one of them may be in sound requests too.
A part that an endpoint began to answer within the last seconds isn't blamed for a
crash: what crashes endpoints crashes each of them before the first output.

Owns the time of each part's last answer, bounded in number. Times are in ms. Does no
I/O.
"""

from collections.abc import Iterable

from attrs import define, field

__all__ = ["SoundParts"]

# Longer than sound requests of a busy part are apart at one instance. A part that
# begins to crash endpoints is blamed so much later.
_SOUND_MS = 3_000.0
# More shared parts than one instance answers in that time.
_MAX_PARTS = 4_096


@define(eq=False)
class SoundParts:
    """The parts that were answered lately at this instance."""

    _answered_ms: dict[str, float] = field(factory=dict)

    def answered(self, parts: Iterable[str], now_ms: float) -> None:
        """Record that an endpoint answered a request with these parts."""
        for part in parts:
            self._answered_ms.pop(part, None)
            self._answered_ms[part] = now_ms
        while len(self._answered_ms) > _MAX_PARTS:
            del self._answered_ms[next(iter(self._answered_ms))]

    def is_sound(self, part: str, now_ms: float) -> bool:
        """Whether the part was answered lately."""
        answered_ms = self._answered_ms.get(part)
        return answered_ms is not None and now_ms - answered_ms < _SOUND_MS

"""Which member a request is relayed to.

Rule: any live member may serve; one that said that it can't serve the pool either, or
that gave no answer, is passed over for a while. Members that served lately are
preferred once there are a few of them, so that a large group need not be asked one by
one, and a part of the requests still goes to others, so that the load spreads.

Owns what each member said last, by pool. A core: the caller passes the time, in ms.
"""

from collections.abc import Collection
from random import Random

from attrs import define, field

__all__ = ["RelayMembers"]

# How long a member that couldn't serve is passed over: about the time in which a
# partition heals unnoticed.
_PASSED_OVER_MS = 500.0
# How long a member that served is preferred.
_SERVED_LATELY_MS = 5_000.0
# Fewer members that serve would carry all the load of those that don't reach the pool.
_MIN_PREFERRED = 3
# Share of the requests that go to any member even so.
_EXPLORING_SHARE = 0.2
# Bounds the memory that a changing group can use.
_MAX_KNOWN = 5_000


@define(eq=False)
class RelayMembers:
    """Chooses members by what they said; ``random`` spreads the requests."""

    random: Random
    _passed_over_ms: dict[tuple[str, str], float] = field(factory=dict)
    _served_ms: dict[tuple[str, str], float] = field(factory=dict)

    def choose(
        self, pool: str, alive: Collection[str], tried: Collection[str], now_ms: float
    ) -> str:
        """A member to relay a request to; empty if none may serve it.

        ``alive`` are the live members without this one, ``tried`` those that the
        request was relayed to before.
        """
        usable = sorted(
            member
            for member in alive
            if member not in tried and not self._is_passed_over(pool, member, now_ms)
        )
        if not usable:
            return ""
        served = [each for each in usable if self._served_lately(pool, each, now_ms)]
        exploring = self.random.random() < _EXPLORING_SHARE
        if len(served) >= _MIN_PREFERRED and not exploring:
            return self.random.choice(served)
        return self.random.choice(usable)

    def served(self, pool: str, member: str, now_ms: float) -> None:
        """Record that a member serves the pool."""
        self._passed_over_ms.pop((pool, member), None)
        self._served_ms[pool, member] = now_ms
        _bound(self._served_ms)

    def pass_over(self, pool: str, member: str, now_ms: float) -> None:
        """Record that a member can't serve the pool now, or gave no answer."""
        self._served_ms.pop((pool, member), None)
        self._passed_over_ms[pool, member] = now_ms
        _bound(self._passed_over_ms)

    def _is_passed_over(self, pool: str, member: str, now_ms: float) -> bool:
        at_ms = self._passed_over_ms.get((pool, member), float("-inf"))
        return now_ms - at_ms < _PASSED_OVER_MS

    def _served_lately(self, pool: str, member: str, now_ms: float) -> bool:
        at_ms = self._served_ms.get((pool, member), float("-inf"))
        return now_ms - at_ms < _SERVED_LATELY_MS


def _bound(times_ms: dict[tuple[str, str], float]) -> None:
    """Drop the entries that were added first; a later word is added anew."""
    while len(times_ms) > _MAX_KNOWN:
        del times_ms[next(iter(times_ms))]

"""Whether this instance reaches the endpoints of each pool.

Rule: a pool is unreached once connections to several of its endpoints failed in a row,
or to all of them if it has fewer, and none to any other was made in between. One that
is made ends that. It doesn't matter whether the links or the endpoints have failed:
either way a member may know better, and one that doesn't refuses at once.

Owns the failures since each pool's last connection. A core: the caller passes the time,
in ms.
"""

from attrs import define, field, frozen

__all__ = ["PoolReach", "ReachEvent"]

# Endpoints of a pool seldom fail together, so so many in a row tell of the links.
_ENDPOINTS_TO_TELL = 3
# Older failures tell nothing about now. Longer than the longest ejection, after which
# an endpoint is tried again.
_FAILURE_KEPT_MS = 8_000.0


@frozen
class ReachEvent:
    """A pool became unreached, or was reached again after ``lasted_ms``.

    ``failed`` are the endpoints whose connections told so.
    """

    pool: str
    reached: bool
    lasted_ms: float = 0.0
    failed: tuple[str, ...] = ()


@define
class _Failures:
    """Failed endpoints since the last connection, with the time of each failure."""

    at_ms: dict[str, float] = field(factory=dict)
    unreached_since_ms: float | None = None


@define(eq=False)
class PoolReach:
    """The pools that this instance doesn't reach now; ``events`` are for the log."""

    events: list[ReachEvent] = field(factory=list)
    _pools: dict[str, _Failures] = field(factory=dict)

    @property
    def unreached(self) -> list[str]:
        """The pools that aren't reached now."""
        return [
            pool
            for pool, failures in self._pools.items()
            if failures.unreached_since_ms is not None
        ]

    def is_unreached(self, pool: str) -> bool:
        """Whether requests for the pool should go another way."""
        failures = self._pools.get(pool)
        return failures is not None and failures.unreached_since_ms is not None

    def connected(self, pool: str, now_ms: float) -> bool:
        """Record a connection to an endpoint; returns whether the pool is back."""
        failures = self._pools.pop(pool, None)
        if failures is None or failures.unreached_since_ms is None:
            return False
        lasted_ms = now_ms - failures.unreached_since_ms
        self.events.append(ReachEvent(pool, True, lasted_ms))
        return True

    def failed(self, pool: str, endpoint_id: str, listed: int, now_ms: float) -> bool:
        """Record a failed connection to one of a pool's ``listed`` endpoints.

        Returns whether the pool has become unreached by it.
        """
        failures = self._pools.setdefault(pool, _Failures())
        failures.at_ms[endpoint_id] = now_ms
        for name, at_ms in list(failures.at_ms.items()):
            if now_ms - at_ms > _FAILURE_KEPT_MS:
                del failures.at_ms[name]
        if failures.unreached_since_ms is not None:
            return False
        if len(failures.at_ms) < min(_ENDPOINTS_TO_TELL, max(listed, 1)):
            return False
        failures.unreached_since_ms = now_ms
        named = tuple(sorted(failures.at_ms))
        self.events.append(ReachEvent(pool, False, failed=named))
        return True

    def forget(self, pool: str) -> None:
        """Forget a pool that has no endpoints any more."""
        self._pools.pop(pool, None)

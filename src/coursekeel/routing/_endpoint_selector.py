"""The configured endpoints, and the choice of one for a request.

Owns each endpoint's load, the endpoints of each pool, and the failing zones. Relies on
``may_take`` for configuration, health and draining.
"""

from collections.abc import Callable, Iterable
from random import Random

from attrs import define, evolve, field

from coursekeel.routing._load import EndpointLoad
from coursekeel.routing._messages import PlacementRequest
from coursekeel.routing._reading import PrefillSpeed
from coursekeel.routing._score import affinity, choose, preferred
from coursekeel.routing._send_gate import OpenGate, SendGate
from coursekeel.routing._zones import FailingZones

__all__ = ["EndpointSelector"]


@define(eq=False)
class EndpointSelector:
    """A core: the caller passes the time, in ms.

    ``zone`` is this instance's own. ``may_take(endpoint_id, now_ms)`` returns whether
    the endpoint may take new work; ``gate`` whether one that limits its requests may
    be sent another now.
    """

    zone: str
    random: Random
    may_take: Callable[[str, float], bool]
    gate: SendGate = field(factory=OpenGate)
    _loads: dict[str, EndpointLoad] = field(factory=dict)
    _by_pool: dict[str, list[str]] = field(factory=dict)
    _failing_zones: dict[str, FailingZones] = field(factory=dict)
    _prefill_speeds: dict[str, PrefillSpeed] = field(factory=dict)

    def configure(
        self,
        by_pool: dict[str, list[str]],
        zones: dict[str, str],
        slots: dict[str, int] | None = None,
    ) -> None:
        """Set the endpoints of each pool; the loads of those that remain are kept.

        ``zones`` and ``slots`` are by endpoint id; 0 slots set no bound on the runs.
        """
        self._by_pool = by_pool
        names = {name for ids in by_pool.values() for name in ids}
        self._loads = {
            name: self._loads.get(name) or EndpointLoad(name) for name in names
        }
        for pool, members in by_pool.items():
            speed = self._prefill_speeds.setdefault(pool, PrefillSpeed())
            for name in members:
                self._loads[name].reading = speed
        for name, load in self._loads.items():
            load.zone = zones.get(name, "")
            if slots and slots.get(name):
                load.limit.bound(slots[name])

    def load(self, endpoint_id: str) -> EndpointLoad | None:
        """The endpoint's load; None if it isn't configured."""
        return self._loads.get(endpoint_id)

    def serves(self, pool: str) -> bool:
        """Whether the pool has any endpoint, available or not."""
        return bool(self._by_pool.get(pool))

    def has_room(self, pool: str, now_ms: float) -> bool:
        """Whether an available endpoint of the pool is below its limit."""
        return any(load.limit.free for load in self._available(pool, now_ms))

    def lost(self, pool: str, endpoint_id: str, now_ms: float) -> None:
        """Record that an endpoint crashed or lost a run; its zone may be failing."""
        load = self._loads.get(endpoint_id)
        if load is not None:
            self._failing_zones_of(pool).record_loss(load.zone, endpoint_id, now_ms)

    # Choosing.

    def choose(
        self, request: PlacementRequest, now_ms: float, in_need: bool
    ) -> EndpointLoad | None:
        """The best endpoint with room and a permit, if it needs one; None without.

        ``in_need`` allows one that the request excludes if no other has room.
        """
        available = self._available(request.pool, now_ms)
        free = self._permitted([load for load in available if load.limit.free], now_ms)
        eligible = self._eligible(request, free, now_ms)
        if not eligible and in_need:
            eligible = free
        eligible = self._due(eligible, now_ms) or eligible
        return choose(eligible, request, self.zone, self.random) if eligible else None

    def _permitted(
        self, loads: Iterable[EndpointLoad], now_ms: float
    ) -> list[EndpointLoad]:
        """Those that need no permit or have one; permits are asked for the others."""
        limited = self.gate.limited
        return [
            load
            for load in loads
            if load.endpoint_id not in limited
            or self.gate.has_permit(load.endpoint_id, now_ms)
        ]

    def _due(self, loads: list[EndpointLoad], now_ms: float) -> list[EndpointLoad]:
        """Those with a permit whose limit may have ended unnoticed."""
        limited = self.gate.limited
        if not limited:
            return []
        return [
            load
            for load in loads
            if load.endpoint_id in limited
            and self.gate.is_due(load.endpoint_id, now_ms)
        ]

    def limited(self, pool: str) -> list[str]:
        """The pool's endpoints that need a permit for each request."""
        limited = self.gate.limited
        return [name for name in self._by_pool.get(pool, []) if name in limited]

    def permit_turn_ms(self, pool: str, now_ms: float) -> float:
        """How long until a request may expect a permit; 0 if it may not need to wait.

        That is so unless all available endpoints of the pool need one.
        """
        limited = self.gate.limited
        if not limited:
            return 0.0
        names = [load.endpoint_id for load in self._available(pool, now_ms)]
        if any(name not in limited for name in names):
            return 0.0
        return min((self.gate.turn_ms(name, now_ms) for name in names), default=0.0)

    def choose_to_query(
        self, request: PlacementRequest, now_ms: float, count: int
    ) -> list[str]:
        """Up to ``count`` endpoints whose load to query before placing the request.

        The prompt's preferred endpoint and some at random, the first of them in another
        zone if possible, since a copy of the run will be kept there.
        """
        permitted = self._permitted(self._available(request.pool, now_ms), now_ms)
        usable = self._eligible(request, permitted, now_ms)
        if len(usable) <= count:
            return [load.endpoint_id for load in usable]
        kept = [
            endpoint
            for endpoint in usable
            if endpoint.endpoint_id in request.prompt_cached_at
        ]
        own = kept[0] if kept else preferred(usable, request.prompt_key)
        others = [load for load in usable if load is not own]
        self.random.shuffle(others)
        others.sort(key=lambda load: load.zone == own.zone)
        far, rest = others[:1], others[1:]
        self.random.shuffle(rest)
        return [load.endpoint_id for load in [own, *far, *rest[: count - 2]]]

    def likely_caches(
        self, request: PlacementRequest, now_ms: float, count: int
    ) -> list[str]:
        """Up to ``count`` endpoints to query whether they have the prompt cached."""
        unlimited = self._unlimited(self._available(request.pool, now_ms))
        usable = self._eligible(request, unlimited, now_ms)
        ranked = sorted(
            usable, key=lambda load: -affinity(request.prompt_key, load.endpoint_id)
        )
        return [load.endpoint_id for load in ranked[:count]]

    def choose_for_copy(
        self, request: PlacementRequest, endpoint_id: str, now_ms: float
    ) -> str:
        """The endpoint to keep a copy of the run at ``endpoint_id``; empty if none.

        Rule: the best in another zone than the run's, since the endpoints of one zone
        fail together; one of the same zone if no other is eligible. Prompt affinity
        doesn't count, since a copy needs no prefill. One that limits its requests may
        not take the run over when it must, so it keeps a copy only if all do.
        """
        run_at = self._loads.get(endpoint_id)
        available = list(self._available(request.pool, now_ms))
        others = [load for load in available if load.endpoint_id != endpoint_id]
        others = self._unlimited(others) or others
        usable = self._eligible(request, others, now_ms)
        far = [load for load in usable if run_at is None or load.zone != run_at.zone]
        candidates = far or usable
        if not candidates:
            return ""
        asked = [load for load in candidates if load.endpoint_id in request.queried]
        without_prompt = evolve(request, prompt_key="")
        # The copy is sent by the run's endpoint, so this instance's zone doesn't count.
        best = choose(asked or candidates, without_prompt, "", self.random)
        return best.endpoint_id

    def _available(self, pool: str, now_ms: float) -> Iterable[EndpointLoad]:
        names = self._by_pool.get(pool, [])
        return (self._loads[name] for name in names if self.may_take(name, now_ms))

    def _unlimited(self, loads: Iterable[EndpointLoad]) -> list[EndpointLoad]:
        limited = self.gate.limited
        return [load for load in loads if load.endpoint_id not in limited]

    def _eligible(
        self, request: PlacementRequest, loads: Iterable[EndpointLoad], now_ms: float
    ) -> list[EndpointLoad]:
        """Those that the request doesn't exclude, outside failing zones if possible."""
        allowed = [load for load in loads if load.endpoint_id not in request.excluded]
        failing = self._failing_zones_of(request.pool)
        outside = [
            load
            for load in allowed
            if load.zone not in request.avoided_zones
            and not failing.is_avoided(load.zone, now_ms)
        ]
        return outside or allowed

    def _failing_zones_of(self, pool: str) -> FailingZones:
        return self._failing_zones.setdefault(pool, FailingZones())

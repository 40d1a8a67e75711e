"""The endpoints that routing knows, and which of them a request may go to.

Owns each endpoint's load, which endpoints serve which pool, and which zones are
failing. Relies on ``may_take``, behind which stand configuration, health and leaving.
"""

from collections.abc import Callable, Iterable
from random import Random

from attrs import define, evolve, field

from coursekeel.routing._load import EndpointLoad
from coursekeel.routing._messages import PlacementRequest
from coursekeel.routing._reading import ReadingSpeed
from coursekeel.routing._score import affinity, choose, preferred
from coursekeel.routing._zones import FailingZones

__all__ = ["KnownEndpoints"]


@define(eq=False)
class KnownEndpoints:
    """A core: each moment is given, in ms.

    ``may_take`` says whether an endpoint may take new work at a moment.
    """

    zone: str
    random: Random
    may_take: Callable[[str, float], bool]
    _loads: dict[str, EndpointLoad] = field(factory=dict)
    _by_pool: dict[str, list[str]] = field(factory=dict)
    _failing_zones: dict[str, FailingZones] = field(factory=dict)
    _reading: dict[str, ReadingSpeed] = field(factory=dict)

    def configure(
        self,
        by_pool: dict[str, list[str]],
        zones: dict[str, str],
        slots: dict[str, int] | None = None,
    ) -> None:
        """Take the endpoints of each pool; loads known already are kept.

        ``slots`` bounds the runs at endpoints that say how many they work on at once.
        """
        self._by_pool = by_pool
        names = {name for each in by_pool.values() for name in each}
        self._loads = {
            name: self._loads.get(name) or EndpointLoad(name) for name in names
        }
        for pool, members in by_pool.items():
            speed = self._reading.setdefault(pool, ReadingSpeed())
            for name in members:
                self._loads[name].reading = speed
        for name, load in self._loads.items():
            load.zone = zones.get(name, "")
            if slots and slots.get(name):
                load.limit.bound(slots[name])

    def load(self, endpoint_id: str) -> EndpointLoad | None:
        """What is known of an endpoint's load."""
        return self._loads.get(endpoint_id)

    def serves(self, pool: str) -> bool:
        """Say whether any endpoint is known for the pool, able or not."""
        return bool(self._by_pool.get(pool))

    def has_room(self, pool: str, now_ms: float) -> bool:
        """Say whether one of the pool's endpoints could take a request now."""
        return any(load.limit.free for load in self._able(pool, now_ms))

    def lost(self, pool: str, endpoint_id: str, now_ms: float) -> None:
        """An endpoint was found dead, or lost a run; its zone may be failing."""
        load = self._loads.get(endpoint_id)
        if load is not None:
            self._zones_of(pool).lost(load.zone, endpoint_id, now_ms)

    # Choosing.

    def choose(
        self, request: PlacementRequest, now_ms: float, in_need: bool
    ) -> EndpointLoad | None:
        """The best endpoint with room.

        One that the request should avoid is chosen only ``in_need``, when no other is
        left.
        """
        able = self._able(request.pool, now_ms)
        free = [load for load in able if load.limit.free]
        wanted = self._wanted(request, free, now_ms)
        if not wanted and in_need:
            wanted = free
        return choose(wanted, request, self.zone, self.random) if wanted else None

    def to_ask(self, request: PlacementRequest, now_ms: float, count: int) -> list[str]:
        """Endpoints whose load is worth asking for before this request is placed.

        The prompt's own endpoint and some at random, the first of them in another
        availability zone, since a copy of the run will be kept there.
        """
        usable = self._wanted(request, self._able(request.pool, now_ms), now_ms)
        if len(usable) <= count:
            return [load.endpoint_id for load in usable]
        kept = [each for each in usable if each.endpoint_id in request.kept_at]
        own = kept[0] if kept else preferred(usable, request.prompt_key)
        others = [load for load in usable if load is not own]
        self.random.shuffle(others)
        others.sort(key=lambda load: load.zone == own.zone)
        far, rest = others[:1], others[1:]
        self.random.shuffle(rest)
        return [load.endpoint_id for load in [own, *far, *rest[: count - 2]]]

    def may_keep(
        self, request: PlacementRequest, now_ms: float, count: int
    ) -> list[str]:
        """Endpoints worth asking whether they keep the request's prompt."""
        usable = self._wanted(request, self._able(request.pool, now_ms), now_ms)
        ranked = sorted(
            usable, key=lambda each: -affinity(request.prompt_key, each.endpoint_id)
        )
        return [each.endpoint_id for each in ranked[:count]]

    def for_copy(
        self, request: PlacementRequest, endpoint_id: str, now_ms: float
    ) -> str:
        """Place a copy: the endpoint to keep one of a run; empty if there is none.

        Rule: the best in another availability zone than the run's, because endpoints of
        one zone die together; one of the same zone if no other has room. The prompt's
        own endpoint has no head start, since a copy reads no prompt.
        """
        run_at = self._loads.get(endpoint_id)
        able = self._able(request.pool, now_ms)
        others = [each for each in able if each.endpoint_id != endpoint_id]
        usable = self._wanted(request, others, now_ms)
        far = [each for each in usable if run_at is None or each.zone != run_at.zone]
        places = far or usable
        if not places:
            return ""
        asked = [each for each in places if each.endpoint_id in request.asked]
        without_prompt = evolve(request, prompt_key="")
        # No zone is nearer than another to the run that sends the copy.
        best = choose(asked or places, without_prompt, "", self.random)
        return best.endpoint_id

    def _able(self, pool: str, now_ms: float) -> Iterable[EndpointLoad]:
        names = self._by_pool.get(pool, [])
        return (self._loads[name] for name in names if self.may_take(name, now_ms))

    def _wanted(
        self, request: PlacementRequest, loads: Iterable[EndpointLoad], now_ms: float
    ) -> list[EndpointLoad]:
        """Those that the request may go to, outside failing zones if it can be."""
        allowed = [each for each in loads if each.endpoint_id not in request.excluded]
        failing = self._zones_of(request.pool)
        sound = [
            each
            for each in allowed
            if each.zone not in request.avoided_zones
            and not failing.avoided(each.zone, now_ms)
        ]
        return sound or allowed

    def _zones_of(self, pool: str) -> FailingZones:
        return self._failing_zones.setdefault(pool, FailingZones())

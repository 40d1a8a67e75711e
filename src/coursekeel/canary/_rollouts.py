"""Which version of a pool a request may go to, and what is counted of it.

Rule: without an order every version that the list of endpoints names may serve, a new
one once this instance has read all orders up to the moment at which the list first
named it: an order that was given before it is then known. With an order, endpoints of
the target get only what a conducting member's last ruling allows, and nothing without
a ruling of the last moments, since a verdict may have been missed. A version that no
order names and that wasn't there before the order gets nothing.

A request is tried at the new version once, when it is first placed, and only if there
is room for it at once; whatever is sent again goes to the old one.

The new version is tried at as many of its endpoints as it has a share of requests, so
that each bears about what an old one does: some versions fail only under load.

Owns each pool's order, phase and counters of this instance. A core.
"""

import math
from collections.abc import Callable, Iterable
from random import Random

import xxhash
from attrs import define, field

from coursekeel.canary._messages import RolloutReport, Ruling
from coursekeel.canary._model import CanaryBounds, Phase, RolloutOrder, Side
from coursekeel.canary._tally import RowKey, Tally, row_of
from coursekeel.forwarding import EndpointRecord, StoreMoment

__all__ = ["PoolRollout", "Rollouts"]

# A ruling counts for so many of the periods in which reports are sent: two may be lost.
_RULING_PERIODS = 3
# Fewer endpoints than this make one's crash look like the version's fault.
_LEAST_TRIED = 2
# Runs that one endpoint loses within this time are lost by one cause.
_ONE_LOSS_MS = 1_000.0
# Bits of the number that tells this life of the process from others.
_LIFE_BITS = 48


@define(eq=False)
class PoolRollout:
    """One pool's order as this instance obeys it."""

    order: RolloutOrder
    moment: StoreMoment
    began_ms: float
    phase: Phase = Phase.TRYING
    share: float = 0.0
    heard_ms: float = -math.inf
    tallies: dict[RowKey, Tally] = field(factory=dict)
    lost_ms: dict[str, float] = field(factory=dict)

    @property
    def tried_pool(self) -> str:
        """What routing calls the new version's endpoints until the order is over."""
        return f"{self.order.pool}@{self.order.target}"

    def obeys(self, ruling: Ruling) -> bool:
        """Say whether a ruling is of this order, and not of one before it."""
        return ruling.target == self.order.target and ruling.moment >= self.moment


@define(eq=False)
class Rollouts:
    """The orders of all pools; ``period_ms`` says how often conductors are heard."""

    bounds: CanaryBounds
    random: Random
    period_ms: Callable[[], float]
    by_pool: dict[str, PoolRollout] = field(factory=dict)
    life: int = field(init=False)
    _in_force: dict[str, set[str]] = field(factory=dict)
    _guessed: set[str] = field(factory=set)
    _taken_back: dict[str, set[str]] = field(factory=dict)
    _orders_read: StoreMoment | None = None
    _version_of: dict[str, str] = field(factory=dict)
    _new_endpoints: dict[str, list[str]] = field(factory=dict)
    _old_endpoints: dict[str, list[str]] = field(factory=dict)
    _waits: bool = False

    @classmethod
    def none(cls) -> "Rollouts":
        """Those of an instance that reads no orders."""
        return cls(CanaryBounds(), Random(0), lambda: 0.0)

    def __attrs_post_init__(self) -> None:
        self.life = self.random.getrandbits(_LIFE_BITS)

    # Orders.

    def ordered(
        self, order: RolloutOrder, moment: StoreMoment, now_ms: float
    ) -> PoolRollout | None:
        """Take an order; None if it is the one that is obeyed already.

        One that is written again in a later era of the store is the same one.
        """
        known = self.by_pool.get(order.pool)
        if known is not None and known.order == order:
            same = known.moment.era < moment.era or not known.phase.final
            if same or moment <= known.moment:
                known.moment = max(known.moment, moment)
                return None
        begun = PoolRollout(order, moment, now_ms)
        self.by_pool[order.pool] = begun
        self._in_force.setdefault(order.pool, set())
        self._taken_back.get(order.pool, set()).discard(order.target)
        return begun

    def withdrawn(self, kept: Iterable[str]) -> None:
        """Only these pools have an order; what others had is over as it stands."""
        for pool in set(self.by_pool) - set(kept):
            self.withdrawn_one(pool)

    def withdrawn_one(self, pool: str) -> None:
        """A pool has no order any more; what wasn't completed is taken back."""
        rollout = self.by_pool.pop(pool, None)
        self._new_endpoints.pop(pool, None)
        self._old_endpoints.pop(pool, None)
        if rollout is None or rollout.phase is Phase.COMPLETED:
            return
        if rollout.order.target not in self._in_force[pool]:
            self._taken_back.setdefault(pool, set()).add(rollout.order.target)

    def orders_read(self, moment: StoreMoment) -> bool:
        """Orders are known up to a moment; True if endpoints waited for that."""
        self._orders_read = moment
        return self._waits

    # Endpoints.

    def split(
        self,
        pools: dict[str, list[str]],
        record_of: Callable[[str], tuple[EndpointRecord, StoreMoment]],
    ) -> dict[str, list[str]]:
        """The endpoints that may serve, by what routing calls their pool."""
        self._waits = False
        self._version_of = {}
        split: dict[str, list[str]] = {}
        for pool, names in pools.items():
            known = {name: record_of(name) for name in names}
            versions = {name: record.version for name, (record, _) in known.items()}
            self._version_of |= versions
            if pool in self.by_pool:
                split |= self._split_ordered(self.by_pool[pool], versions)
            else:
                moments = {name: moment for name, (_, moment) in known.items()}
                split[pool] = self._without_order(pool, versions, moments)
        return split

    def _without_order(
        self, pool: str, versions: dict[str, str], moments: dict[str, StoreMoment]
    ) -> list[str]:
        known, read = self._in_force.setdefault(pool, set()), self._orders_read
        if not known:
            known |= set(versions.values())
        for name, version in versions.items():
            if read is not None and moments[name] <= read:
                known.add(version)
        known -= self._taken_back.get(pool, set())
        serving = [name for name, version in versions.items() if version in known]
        self._waits |= len(serving) < len(versions)
        return serving

    def _split_ordered(
        self, rollout: PoolRollout, versions: dict[str, str]
    ) -> dict[str, list[str]]:
        pool, target = rollout.order.pool, rollout.order.target
        in_force = self._in_force[pool]
        if not in_force:
            in_force |= set(versions.values()) - {target}
            self._guessed.add(pool)
        new = sorted(name for name, version in versions.items() if version == target)
        old = [n for n, v in versions.items() if v in in_force and v != target]
        self._new_endpoints[pool], self._old_endpoints[pool] = new, old
        if rollout.phase is Phase.ROLLED_BACK:
            in_force.discard(target)
            return {pool: old}
        if rollout.phase is Phase.COMPLETED:
            self._in_force[pool] = {target}
            return {pool: new}
        if not old or (rollout.phase is Phase.CLOSING and new):
            # Where the old version has no endpoint left only the new one can serve.
            return {pool: new, rollout.tried_pool: new}
        return {pool: old, rollout.tried_pool: self._tried(rollout, new, len(old))}

    def _tried(self, rollout: PoolRollout, new: list[str], old: int) -> list[str]:
        count = max(math.ceil(self.bounds.share * old), _LEAST_TRIED)
        return sorted(new, key=_weight)[:count]

    def has_new(self, pool: str) -> bool:
        """Say whether the order's target has endpoints."""
        return bool(self._new_endpoints.get(pool))

    # Requests.

    def pool_for(
        self, pool: str, now_ms: float, first: bool, has_room: Callable[[str], bool]
    ) -> str:
        """Where routing looks for an endpoint of a request to ``pool``."""
        rollout = self.by_pool.get(pool)
        if rollout is None or rollout.phase is not Phase.TRYING or not first:
            return pool
        if now_ms - rollout.heard_ms > _RULING_PERIODS * self.period_ms():
            return pool
        if self.random.random() >= rollout.share or not has_room(rollout.tried_pool):
            return pool
        return rollout.tried_pool

    def may_have(self, endpoint: EndpointRecord) -> bool:
        """Say whether a request may still be sent to the endpoint."""
        rollout = self.by_pool.get(endpoint.pool)
        if rollout is None:
            return True
        new = endpoint.version == rollout.order.target
        if rollout.phase is Phase.ROLLED_BACK:
            return not new
        return new or rollout.phase is Phase.TRYING or not self.has_new(endpoint.pool)

    def ordered_version(self, endpoint_id: str) -> str:
        """An endpoint's version, if its pool has an order; empty otherwise."""
        if not self.by_pool:
            return ""
        version = self._version_of.get(endpoint_id, "")
        sides = (*self._old_endpoints.values(), *self._new_endpoints.values())
        return version if any(endpoint_id in each for each in sides) else ""

    def ended(
        self,
        pool: str,
        route: str,
        endpoint_id: str,
        failed: bool,
        took_ms: float,
        now_ms: float,
        lost: bool = False,
    ) -> None:
        """A request ended at an endpoint; ``lost``: with its connection."""
        rollout = self.by_pool.get(pool)
        version = self._version_of.get(endpoint_id)
        if rollout is None or rollout.phase.final or version is None:
            return
        if lost and not self._is_a_loss(rollout, endpoint_id, now_ms):
            return
        side = Side.NEW if version == rollout.order.target else Side.OLD
        key = (row_of(route), side)
        tally = rollout.tallies.get(key, Tally())
        rollout.tallies[key] = tally.ended(failed, took_ms)

    def _is_a_loss(self, rollout: PoolRollout, endpoint_id: str, now_ms: float) -> bool:
        """Say whether the endpoint loses this run by itself, not with others."""
        before_ms = rollout.lost_ms.get(endpoint_id, -math.inf)
        if now_ms - before_ms < _ONE_LOSS_MS:
            return False
        rollout.lost_ms[endpoint_id] = now_ms
        return True

    # What members say.

    def heard(self, ruling: Ruling, now_ms: float) -> bool:
        """Take a ruling; True if it changes which endpoints may serve."""
        rollout = self.by_pool.get(ruling.pool)
        if rollout is None or not rollout.obeys(ruling):
            return False
        rollout.began_ms = min(rollout.began_ms, now_ms - ruling.elapsed_ms)
        learned = self._learn_in_force(ruling)
        if ruling.phase is Phase.TRYING:
            rollout.share, rollout.heard_ms = ruling.share, now_ms
        if ruling.phase.rank <= rollout.phase.rank:
            return learned
        rollout.phase = ruling.phase
        return True

    def _learn_in_force(self, ruling: Ruling) -> bool:
        """Who started after an order can only guess what was in force before it."""
        if ruling.pool not in self._guessed or not ruling.in_force:
            return False
        self._guessed.discard(ruling.pool)
        self._in_force[ruling.pool] = set(ruling.in_force)
        return True

    def known_in_force(self, pool: str) -> tuple[str, ...]:
        """The versions in force before a pool's order; none if that is a guess."""
        if pool in self._guessed:
            return ()
        return tuple(sorted(self._in_force.get(pool, ())))

    def report(
        self, pool: str, own: str, old_runs: int, now_ms: float
    ) -> RolloutReport:
        """What this instance has counted of a pool's roll-out so far."""
        rollout = self.by_pool[pool]
        return RolloutReport(
            own,
            pool,
            rollout.order.target,
            rollout.moment,
            rollout.phase,
            now_ms - rollout.began_ms,
            self.life,
            old_runs,
            tuple(rollout.tallies.items()),
        )

    def old_endpoints(self, pool: str) -> list[str]:
        """The endpoints whose version the order replaces."""
        return self._old_endpoints.get(pool, [])


def _weight(endpoint_id: str) -> int:
    """The same order of endpoints at all instances."""
    return xxhash.xxh64_intdigest(endpoint_id.encode())

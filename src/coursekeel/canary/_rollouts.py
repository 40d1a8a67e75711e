"""Selects the version of a pool that a request may go to, and counts the answers.

Rule: without an order, every version in the list of endpoints may serve. A version that
appears later may serve once this instance has read all orders up to the store position
of one of its endpoints, since an earlier order may apply to it. With an order, the
target version gets only the share that a conductor's recent decision allows; without a
recent one it gets nothing, since a rollback may have been missed. Versions that are
neither the target nor were in force before the order get nothing.

A request may go to the new version only when it is first placed, and only if there is
room at once; if it is sent again, it goes to the old version.

The number of new endpoints in use is in proportion to the share of requests, so that
each gets a usual load: some versions fail only under load.

Owns each pool's order and phase, and this instance's counters. Does no I/O.
"""

import math
from collections.abc import Callable, Iterable
from random import Random

import xxhash
from attrs import define, field

from coursekeel.canary._messages import RolloutDecision, RolloutReport
from coursekeel.canary._model import CanaryBounds, Phase, RolloutOrder, Side
from coursekeel.canary._tally import RowKey, Tally, row_for_route
from coursekeel.forwarding import EndpointRecord, StorePosition

__all__ = ["PoolRollout", "Rollouts"]

# A decision is valid for this many report periods, so that two may be lost.
_DECISION_VALID_PERIODS = 3
# With fewer, the crash of one endpoint would look like a fault of the version.
_MIN_NEW_ENDPOINTS = 2
# Runs that an endpoint loses within this time have one cause and count once.
_SAME_CAUSE_MS = 1_000.0
_INCARNATION_BITS = 48


@define(eq=False)
class PoolRollout:
    """One pool's rollout as this instance applies it.

    ``position`` is the order's store position, ``began_ms`` when it was given, and
    ``decided_ms`` when the last decision on ``share`` arrived. ``lost_ms`` is when each
    endpoint's last counted loss of a run was, by endpoint id.
    """

    order: RolloutOrder
    position: StorePosition
    began_ms: float
    phase: Phase = Phase.TRYING
    share: float = 0.0
    decided_ms: float = -math.inf
    tallies: dict[RowKey, Tally] = field(factory=dict)
    lost_ms: dict[str, float] = field(factory=dict)

    @property
    def canary_pool(self) -> str:
        """The pool name of the new endpoints in routing, during the rollout."""
        return f"{self.order.pool}@{self.order.target}"

    def accepts(self, decision: RolloutDecision) -> bool:
        """Say whether a decision is of this order, not of an earlier one."""
        return (
            decision.target == self.order.target and decision.position >= self.position
        )


@define(eq=False)
class Rollouts:
    """The rollouts of all pools, by pool.

    ``period_ms`` returns the interval at which conductors send decisions.
    """

    bounds: CanaryBounds
    random: Random
    period_ms: Callable[[], float]
    by_pool: dict[str, PoolRollout] = field(factory=dict)
    process_incarnation: int = field(init=False)
    _in_force: dict[str, set[str]] = field(factory=dict)
    _guessed_in_force: set[str] = field(factory=set)
    _withdrawn_versions: dict[str, set[str]] = field(factory=dict)
    _orders_position: StorePosition | None = None
    _version_of: dict[str, str] = field(factory=dict)
    _new_endpoints: dict[str, list[str]] = field(factory=dict)
    _old_endpoints: dict[str, list[str]] = field(factory=dict)
    _endpoints_waiting: bool = False

    @classmethod
    def none(cls) -> "Rollouts":
        """For an instance that reads no orders."""
        return cls(CanaryBounds(), Random(0), lambda: 0.0)

    def __attrs_post_init__(self) -> None:
        self.process_incarnation = self.random.getrandbits(_INCARNATION_BITS)

    # Orders.

    def set_order(
        self, order: RolloutOrder, position: StorePosition, now_ms: float
    ) -> PoolRollout | None:
        """Begin an order's rollout; None if the order is already applied.

        ``position`` is its store position. The same order, written again after a
        restore of the store (a later era), doesn't begin again.
        """
        known = self.by_pool.get(order.pool)
        if known is not None and known.order == order:
            same = known.position.era < position.era or not known.phase.final
            if same or position <= known.position:
                known.position = max(known.position, position)
                return None
        rollout = PoolRollout(order, position, now_ms)
        self.by_pool[order.pool] = rollout
        self._in_force.setdefault(order.pool, set())
        self._withdrawn_versions.get(order.pool, set()).discard(order.target)
        return rollout

    def withdraw_all_except(self, kept: Iterable[str]) -> None:
        """Withdraw the orders of all pools but those in ``kept``."""
        for pool in set(self.by_pool) - set(kept):
            self.withdraw(pool)

    def withdraw(self, pool: str) -> None:
        """Withdraw a pool's order.

        Its version gets nothing more, unless it was in force before or was completed.
        """
        rollout = self.by_pool.pop(pool, None)
        self._new_endpoints.pop(pool, None)
        self._old_endpoints.pop(pool, None)
        if rollout is None or rollout.phase is Phase.COMPLETED:
            return
        if rollout.order.target not in self._in_force[pool]:
            self._withdrawn_versions.setdefault(pool, set()).add(rollout.order.target)

    def set_orders_position(self, position: StorePosition) -> bool:
        """Note that all orders up to a store position were read.

        Returns whether endpoints wait for that; the caller then calls `split` again.
        """
        self._orders_position = position
        return self._endpoints_waiting

    # Endpoints.

    def split(
        self,
        pools: dict[str, list[str]],
        record_of: Callable[[str], tuple[EndpointRecord, StorePosition]],
    ) -> dict[str, list[str]]:
        """The endpoints that may serve, by the pool name that routing uses.

        ``pools`` are all listed endpoints by pool, ``record_of`` returns an endpoint's
        record and its store position.
        """
        self._endpoints_waiting = False
        self._version_of = {}
        split: dict[str, list[str]] = {}
        for pool, names in pools.items():
            records = {name: record_of(name) for name in names}
            versions = {name: record.version for name, (record, _) in records.items()}
            self._version_of |= versions
            if pool in self.by_pool:
                split |= self._split_with_order(self.by_pool[pool], versions)
            else:
                positions = {name: position for name, (_, position) in records.items()}
                split[pool] = self._split_without_order(pool, versions, positions)
        return split

    def _split_without_order(
        self, pool: str, versions: dict[str, str], positions: dict[str, StorePosition]
    ) -> list[str]:
        in_force, read_until = (
            self._in_force.setdefault(pool, set()),
            self._orders_position,
        )
        if not in_force:
            in_force |= set(versions.values())
        for name, version in versions.items():
            if read_until is not None and positions[name] <= read_until:
                in_force.add(version)
        in_force -= self._withdrawn_versions.get(pool, set())
        serving = [name for name, version in versions.items() if version in in_force]
        self._endpoints_waiting |= len(serving) < len(versions)
        return serving

    def _split_with_order(
        self, rollout: PoolRollout, versions: dict[str, str]
    ) -> dict[str, list[str]]:
        pool, target = rollout.order.pool, rollout.order.target
        in_force = self._in_force[pool]
        if not in_force:
            in_force |= set(versions.values()) - {target}
            self._guessed_in_force.add(pool)
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
            return {pool: new, rollout.canary_pool: new}
        return {
            pool: old,
            rollout.canary_pool: self._select_new(rollout, new, len(old)),
        }

    def _select_new(self, rollout: PoolRollout, new: list[str], old: int) -> list[str]:
        count = max(math.ceil(self.bounds.share * old), _MIN_NEW_ENDPOINTS)
        return sorted(new, key=_hash_of)[:count]

    def has_new(self, pool: str) -> bool:
        """Say whether the target version of the pool's order has endpoints."""
        return bool(self._new_endpoints.get(pool))

    # Requests.

    def pool_for(
        self, pool: str, now_ms: float, first: bool, has_room: Callable[[str], bool]
    ) -> str:
        """The pool name that routing must use for a request to ``pool``.

        ``first`` says that the request wasn't placed before, ``has_room`` whether a
        pool can take a request at once.
        """
        rollout = self.by_pool.get(pool)
        if rollout is None or rollout.phase is not Phase.TRYING or not first:
            return pool
        if now_ms - rollout.decided_ms > _DECISION_VALID_PERIODS * self.period_ms():
            return pool
        if self.random.random() >= rollout.share or not has_room(rollout.canary_pool):
            return pool
        return rollout.canary_pool

    def may_receive(self, endpoint: EndpointRecord) -> bool:
        """Say whether the endpoint may get requests now."""
        rollout = self.by_pool.get(endpoint.pool)
        if rollout is None:
            return True
        new = endpoint.version == rollout.order.target
        if rollout.phase is Phase.ROLLED_BACK:
            return not new
        return new or rollout.phase is Phase.TRYING or not self.has_new(endpoint.pool)

    def version_in_rollout(self, endpoint_id: str) -> str:
        """The endpoint's version if its pool has an order, else an empty string."""
        if not self.by_pool:
            return ""
        version = self._version_of.get(endpoint_id, "")
        sides = (*self._old_endpoints.values(), *self._new_endpoints.values())
        return version if any(endpoint_id in side for side in sides) else ""

    def count_end(
        self,
        pool: str,
        route: str,
        endpoint_id: str,
        failed: bool,
        took_ms: float,
        now_ms: float,
        lost: bool = False,
    ) -> None:
        """Count the end of a request at an endpoint.

        ``took_ms`` counts if it didn't fail; ``lost`` says that the run was lost with
        its connection.
        """
        rollout = self.by_pool.get(pool)
        version = self._version_of.get(endpoint_id)
        if rollout is None or rollout.phase.final or version is None:
            return
        if lost and not self._is_separate_loss(rollout, endpoint_id, now_ms):
            return
        side = Side.NEW if version == rollout.order.target else Side.OLD
        key = (row_for_route(route), side)
        tally = rollout.tallies.get(key, Tally())
        rollout.tallies[key] = tally.with_answer(failed, took_ms)

    def _is_separate_loss(
        self, rollout: PoolRollout, endpoint_id: str, now_ms: float
    ) -> bool:
        """Say whether this loss isn't part of one that was just counted."""
        last_ms = rollout.lost_ms.get(endpoint_id, -math.inf)
        if now_ms - last_ms < _SAME_CAUSE_MS:
            return False
        rollout.lost_ms[endpoint_id] = now_ms
        return True

    # Decisions and reports.

    def apply_decision(self, decision: RolloutDecision, now_ms: float) -> bool:
        """Apply a conductor's decision; True if other endpoints may serve now."""
        rollout = self.by_pool.get(decision.pool)
        if rollout is None or not rollout.accepts(decision):
            return False
        rollout.began_ms = min(rollout.began_ms, now_ms - decision.elapsed_ms)
        changed = self._adopt_in_force(decision)
        if decision.phase is Phase.TRYING:
            rollout.share, rollout.decided_ms = decision.share, now_ms
        if decision.phase.rank <= rollout.phase.rank:
            return changed
        rollout.phase = decision.phase
        return True

    def _adopt_in_force(self, decision: RolloutDecision) -> bool:
        """Replace the versions in force by the decision's, if they were only guessed.

        An instance that started after the order has to guess them.
        """
        if decision.pool not in self._guessed_in_force or not decision.in_force:
            return False
        self._guessed_in_force.discard(decision.pool)
        self._in_force[decision.pool] = set(decision.in_force)
        return True

    def confirmed_in_force(self, pool: str) -> tuple[str, ...]:
        """The versions in force before a pool's order; empty if they are a guess."""
        if pool in self._guessed_in_force:
            return ()
        return tuple(sorted(self._in_force.get(pool, ())))

    def report(
        self, pool: str, own: str, old_runs: int, now_ms: float
    ) -> RolloutReport:
        """This instance's report of a pool's rollout; ``own`` is its address."""
        rollout = self.by_pool[pool]
        return RolloutReport(
            own,
            pool,
            rollout.order.target,
            rollout.position,
            rollout.phase,
            now_ms - rollout.began_ms,
            self.process_incarnation,
            old_runs,
            tuple(rollout.tallies.items()),
        )

    def old_endpoints(self, pool: str) -> list[str]:
        """The endpoints of the versions that the order replaces."""
        return self._old_endpoints.get(pool, [])


def _hash_of(endpoint_id: str) -> int:
    """A number by which all instances order endpoints alike."""
    return xxhash.xxh64_intdigest(endpoint_id.encode())

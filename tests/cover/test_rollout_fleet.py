"""A fleet's roll-out keeps its bounds while messages are lost and instances fail.

Each instance is a `CanaryTask` on one simulated clock; datagrams are lost at random,
an instance freezes, the leading conductor is killed, one starts midway, and the store
may be down. Requests are sent to random instances.
"""

import math
from random import Random
from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock as FakeReactor

from coursekeel.canary import (
    CanaryBounds,
    Phase,
    RecordConflict,
    RecordFailed,
    RolloutOrder,
    RolloutRecord,
    RolloutRecords,
    Rollouts,
    RolloutState,
    decode_rollout,
)
from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway.rollouts._rollout_task import CanaryTask, report_period_ms
from tests.common.moments import position_at

BOUNDS = CanaryBounds()
STEP_MS = 50
POOL, TARGET = "p", "v2"


class StoreRecord(RolloutRecords):
    """The stored roll-out record, written by compare-and-set."""

    def __init__(self) -> None:
        self.record = RolloutRecord(None, "", position_at(0))
        self.is_down = False
        self.states: list[RolloutState] = []

    async def read(self, pool, timeout_ms):
        return RecordFailed("store is down") if self.is_down else self.record

    async def write(self, order, state, before, timeout_ms):
        if self.is_down:
            return RecordFailed("store is down")
        if before != self.record:
            return RecordConflict()
        moment = position_at(self.record.moment.version + 10)
        self.record = RolloutRecord(state, order.target, moment)
        self.states.append(state)
        return self.record


class Instance:
    """One member, which may be frozen or killed."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.fleet, self.name = fleet, name
        self.awake = True
        self.alive = True
        clock = Mock(now_ms=lambda: fleet.now_ms)
        self.rollouts = Rollouts(BOUNDS, Random(fleet.random.random()), fleet.period_ms)
        swim = Mock(own=name, group="g")
        swim.members_for = fleet.members_for
        swim.alive = lambda: fleet.members()
        swim.others = lambda: [member for member in fleet.members() if member != name]
        self.site = Mock(update_routing=self.split)
        router = Mock(load=lambda _: None)
        self.task = CanaryTask(
            fleet.reactor,
            clock,
            swim,
            self.rollouts,
            self.site,
            router,
            fleet.store,
            1_000,
            fleet.period_ms,
            lambda to, data: fleet.send(name, to, data),
        )
        # A frozen process runs no periodic work.
        tick = self.task._tick
        self.task._ticks.work = lambda: tick() if self.runs else _nothing()

    @property
    def runs(self) -> bool:
        return self.alive and self.awake

    def split(self) -> None:
        self.rollouts.split(
            {POOL: list(ENDPOINTS)}, lambda e: (ENDPOINTS[e], position_at(1))
        )

    def order(self, moment) -> None:
        self.rollouts.set_order(
            RolloutOrder(POOL, TARGET, self.fleet.duration_ms),
            moment,
            self.fleet.now_ms,
        )
        self.split()
        self.task.ordered()

    def serve(self, bad: bool) -> bool:
        """Serve one request; True if it went to the new version."""
        fleet, now_ms = self.fleet, self.fleet.now_ms
        pool = self.rollouts.pool_for(POOL, now_ms, True, lambda _: True)
        closing = self.rollouts.by_pool[POOL].phase in (Phase.CLOSING, Phase.COMPLETED)
        new = pool != POOL or closing
        endpoint = fleet.random.choice(NEW if new else OLD)
        failed = fleet.random.random() < (fleet.failure_share if new and bad else 0.02)
        self.rollouts.count_end(POOL, "r", endpoint, failed, 100.0, now_ms)
        fleet.bad_ms += [now_ms] if new and bad and failed else []
        return new


async def _nothing() -> None:
    """The tick of a frozen process."""


OLD, NEW = ["a1", "a2", "a3"], ["b1", "b2", "b3"]
ENDPOINTS = {
    name: EndpointRecord(name, POOL, "h", 1, "z", 4, False, version)
    for names, version in ((OLD, "v1"), (NEW, TARGET))
    for name in names
}


class Fleet:
    """All instances, and the network between them."""

    def __init__(
        self,
        size: int,
        seed: int,
        duration_ms: float = 20_000,
        failure_share: float = 1.0,
        loss_share: float = 0.1,
    ) -> None:
        self.reactor, self.random = FakeReactor(), Random(seed)
        self.duration_ms, self.failure_share, self.loss_share = (
            duration_ms,
            failure_share,
            loss_share,
        )
        self.store = StoreRecord()
        self.size = size
        self.requests = self.exposed = 0
        self.exposed_ms: list[float] = []
        self.bad_ms: list[float] = []
        self.instances = {f"i{n}": Instance(self, f"i{n}") for n in range(size)}

    @property
    def now_ms(self) -> float:
        return self.reactor.seconds() * 1000

    def period_ms(self) -> float:
        return report_period_ms(self.size, BOUNDS.rollback_ms)

    def members(self) -> list[str]:
        return [name for name, each in self.instances.items() if each.alive]

    def members_for(self, _name: str, count: int) -> list[str]:
        return sorted(self.members())[:count]

    def send(self, sender: str, to: str, data: bytes) -> None:
        group, message = decode_rollout(data)
        assert (group, message.sender) == ("g", sender)
        if self.random.random() >= self.loss_share:
            wait_s = self.random.uniform(0, 0.04)
            self.reactor.callLater(wait_s, self._deliver, to, message)

    def _deliver(self, to: str, message) -> None:
        other = self.instances.get(to)
        if other is None or not other.alive:
            return
        if other.awake:
            other.task.received(message)
        else:
            self.reactor.callLater(STEP_MS / 1000, self._deliver, to, message)

    def order(self) -> None:
        for each in self.instances.values():
            self.reactor.callLater(
                self.random.uniform(0, 1), each.order, position_at(1)
            )

    def run(self, for_ms: float, rate_s: float, bad: bool = True) -> None:
        for _ in range(int(for_ms / STEP_MS)):
            self.reactor.advance(STEP_MS / 1000)
            awake = [
                each
                for each in self.instances.values()
                if each.runs and POOL in each.rollouts.by_pool
            ]
            for _ in range(_random_count(rate_s * STEP_MS / 1000, self.random)):
                self.requests += 1
                if awake and self.random.choice(awake).serve(bad):
                    self.exposed += 1
                    self.exposed_ms.append(self.now_ms)

    def phases(self) -> set[Phase]:
        return {
            each.rollouts.by_pool[POOL].phase
            for each in self.instances.values()
            if each.runs
        }


def _random_count(mean: float, random: Random) -> int:
    return math.floor(mean) + (random.random() < mean % 1)


def assert_bounds(fleet: Fleet) -> None:
    assert fleet.exposed <= BOUNDS.share * fleet.requests + BOUNDS.slack
    if len(fleet.bad_ms) >= 50:
        assert fleet.exposed_ms[-1] <= fleet.bad_ms[49] + BOUNDS.rollback_ms


@pytest.mark.parametrize(
    "size, failure_share", [(3, 0.3), (3, 1.0), (73, 0.3), (380, 1.0)]
)
def test_a_bad_version_is_rolled_back_within_its_bounds(size, failure_share):
    """A tenth of all datagrams is lost, one instance freezes, the leading conductor is
    killed, and one instance starts midway."""
    fleet = Fleet(size, seed=size, failure_share=failure_share)
    fleet.order()
    fleet.run(1_500, rate_s=100)
    fleet.instances["i1"].awake = False
    fleet.run(1_000, rate_s=100)
    fleet.instances["i0"].alive = False
    started = fleet.instances["i0b"] = Instance(fleet, "i0b")
    started.order(position_at(1))
    fleet.run(2_000, rate_s=100)
    fleet.instances["i1"].awake = True
    fleet.run(9_000 if size < 380 else 4_000, rate_s=100)
    assert_bounds(fleet)
    assert fleet.phases() == {Phase.ROLLED_BACK}
    assert fleet.store.record.state is RolloutState.ROLLED_BACK
    for each in fleet.instances.values():
        conducted = each.task._conducted.get(POOL)
        if each.runs and conducted is not None:
            assert conducted.conductor.phase is Phase.ROLLED_BACK


@pytest.mark.parametrize("size", [3, 73])
def test_a_good_version_is_completed_in_time_though_the_leader_is_killed(size):
    fleet = Fleet(size, seed=size, duration_ms=12_000)
    fleet.order()
    fleet.run(3_000, rate_s=100, bad=False)
    fleet.instances["i0"].alive = False
    fleet.run(10_000, rate_s=100, bad=False)
    assert fleet.store.record.state is RolloutState.COMPLETED
    assert fleet.phases() == {Phase.COMPLETED}
    assert fleet.store.states[-1] is RolloutState.COMPLETED


def test_a_bad_version_is_rolled_back_while_the_store_is_down():
    fleet = Fleet(9, seed=4)
    fleet.order()
    fleet.run(2_000, rate_s=50, bad=False)
    fleet.store.is_down = True
    fleet.run(8_000, rate_s=50)
    assert fleet.phases() == {Phase.ROLLED_BACK}
    assert fleet.store.record.state is RolloutState.RUNNING
    fleet.store.is_down = False
    fleet.run(2_000, rate_s=50)
    assert fleet.store.record.state is RolloutState.ROLLED_BACK
    assert_bounds(fleet)


def test_the_new_version_gets_no_request_before_the_record_is_read():
    """Guards against overriding a final state that the store may already hold."""
    fleet = Fleet(3, seed=4)
    fleet.store.is_down = True
    fleet.order()
    fleet.run(6_000, rate_s=50)
    assert fleet.exposed == 0


def test_instances_that_all_restart_apply_the_recorded_final_state():
    fleet = Fleet(5, seed=2)
    fleet.order()
    fleet.run(10_000, rate_s=100)
    assert fleet.phases() == {Phase.ROLLED_BACK}
    exposed = fleet.exposed
    fleet.instances = {f"j{n}": Instance(fleet, f"j{n}") for n in range(5)}
    fleet.order()
    fleet.run(5_000, rate_s=100)
    assert fleet.exposed == exposed
    assert fleet.phases() == {Phase.ROLLED_BACK}


@pytest.mark.parametrize("seed", range(20))
def test_conductors_that_lose_most_messages_end_in_one_state(seed):
    """Two members conduct and lose most messages; the first recorded final state
    applies to all."""
    fleet = Fleet(4, seed=seed, duration_ms=8_000, failure_share=0.25, loss_share=0.6)
    fleet.order()
    fleet.run(12_000, rate_s=60)
    fleet.loss_share = 0.0
    fleet.run(6_000, rate_s=60)
    final = fleet.store.record.state
    assert final is not RolloutState.RUNNING
    assert fleet.phases() == {Phase(final.value)}
    finals = [each for each in fleet.store.states if each is not RolloutState.RUNNING]
    assert len(set(finals)) == 1

"""Carries roll-outs on: reports and rulings between members, and the operators' record.

Each period every instance reports what it has counted to the members that conduct a
roll-out (`Swim.chosen`), and each of these answers with its ruling. A verdict is told
to all members at once. Without an address for peers an instance conducts by itself.

Owns the conductors of this instance and what it knows of their records. Relies on
`Conductor` and `Rollouts`, cores, for every decision.
"""

import logging
from collections.abc import Callable

from attrs import define, field

from coursekeel.canary import (
    CONDUCTORS,
    Conductor,
    Phase,
    PoolRollout,
    RecordFailed,
    RolloutMessage,
    RolloutRecord,
    RolloutRecords,
    RolloutReport,
    Rollouts,
    RolloutState,
    Ruling,
    encode_report,
    encode_ruling,
)
from coursekeel.gateway.site._known_site import KnownSite
from coursekeel.group import Swim
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.routing import Router
from coursekeel.runtime import Clock, Periodic, spawn

__all__ = ["CanaryTask", "report_period_ms"]

_Send = Callable[[str, bytes], None]

# How often a fleet reports: one that conducts for 380 members takes 330 reports a
# second.
_LEAST_PERIOD_MS = 500.0
_PERIOD_A_MEMBER_MS = 3.0
# Of the time until a condemned version gets nothing more: a report, a verdict that is
# lost once, and the next ruling fit in.
_PERIODS_TO_ROLL_BACK = 4
# The name of an instance without an address for peers.
_ALONE = ""


def report_period_ms(members: int, rollback_ms: float) -> float:
    """How often an instance of so many reports."""
    wanted_ms = max(_LEAST_PERIOD_MS, _PERIOD_A_MEMBER_MS * members)
    return min(wanted_ms, rollback_ms / _PERIODS_TO_ROLL_BACK)


@define(eq=False)
class _Conducted:
    """A roll-out that this instance conducts, and its record once it was read."""

    conductor: Conductor
    record: RolloutRecord | None = None
    read_before: bool = False
    writing: bool = False


@define(eq=False)
class CanaryTask:
    """One instance's part in all roll-outs; ``send`` gives a datagram to a member."""

    reactor: Reactor
    clock: Clock
    swim: Swim
    rollouts: Rollouts
    site: KnownSite
    router: Router
    records: RolloutRecords
    timeout_ms: float
    period_ms: Callable[[], float]
    send: _Send
    _conducted: dict[str, _Conducted] = field(factory=dict)
    _ticks: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._ticks = Periodic(self.reactor, "rollouts", self.period_ms(), self._tick)

    @property
    def own(self) -> str:
        """This instance among the members."""
        return self.swim.own or _ALONE

    def stop(self) -> None:
        """Report and rule no more."""
        self._ticks.stop()

    def ordered(self) -> None:
        """An order was taken."""
        self._ticks.interval_ms = self.period_ms()
        self._ticks.start()

    def store_restored(self) -> None:
        """The store may have forgotten what was recorded."""
        for each in self._conducted.values():
            each.record = None
        if self._conducted:
            self._ticks.start()

    # Each period.

    async def _tick(self) -> None:
        self._ticks.interval_ms = self.period_ms()
        for pool, rollout in list(self.rollouts.by_pool.items()):
            self._report(pool, rollout)
            self._conduct(pool, rollout)
        if not any(self._is_open(each) for each in self.rollouts.by_pool.values()):
            self._ticks.stop()

    def _is_open(self, rollout: PoolRollout) -> bool:
        conducted = self._conducted.get(rollout.order.pool)
        recorded = conducted is None or self._is_recorded(conducted)
        return not rollout.phase.final or not recorded

    def _conductors(self, pool: str) -> list[str]:
        if not self.swim.own:
            return [_ALONE]
        return self.swim.chosen(f"rollout/{pool}", CONDUCTORS)

    def _report(self, pool: str, rollout: PoolRollout) -> None:
        if rollout.phase.final:
            return
        report = self.rollouts.report(
            pool, self.own, self._old_runs(pool), self.clock.now_ms()
        )
        conductors = self._conductors(pool)
        if self.own in conductors:
            conducted = self._conducted_of(rollout)
            conducted.conductor.report(report, self.clock.now_ms())
        others = [each for each in conductors if each != self.own]
        for data in encode_report(self.swim.group, report) if others else ():
            for address in others:
                self.send(address, data)

    def _old_runs(self, pool: str) -> int:
        loads = [self.router.load(e) for e in self.rollouts.old_endpoints(pool)]
        return sum(each.limit.running for each in loads if each is not None)

    def _conducted_of(self, rollout: PoolRollout) -> _Conducted:
        """This instance's conductor of an order; a later order has another one."""
        pool = rollout.order.pool
        known = self._conducted.get(pool)
        if known is not None and known.conductor.order == rollout.order:
            later_era = rollout.moment.era > known.conductor.moment.era
            if later_era or known.conductor.moment == rollout.moment:
                known.conductor.moment = rollout.moment
                return known
        conductor = Conductor(
            rollout.order, rollout.moment, self.rollouts.bounds, rollout.began_ms
        )
        self._conducted[pool] = _Conducted(conductor)
        return self._conducted[pool]

    def _conduct(self, pool: str, rollout: PoolRollout) -> None:
        conductors = self._conductors(pool)
        if self.own not in conductors:
            return
        conducted = self._conducted_of(rollout)
        conductor, before = conducted.conductor, conducted.conductor.phase
        if conducted.read_before:
            leading = conductors[0] == self.own
            has_new = self.rollouts.has_new(pool)
            conductor.look(self.clock.now_ms(), leading, has_new)
            self._rule(conducted, before)
        if not conducted.writing and not self._is_recorded(conducted):
            conducted.writing = True
            spawn(self._keep_record(conducted), "rollout_record", self.reactor)

    def _rule(self, conducted: _Conducted, before: Phase) -> None:
        """Obey the own ruling; one that changes the phase is told to all at once."""
        conductor = conducted.conductor
        ruling = self._ruling(conducted)
        self._heard(ruling)
        if conductor.phase is before:
            return
        log_event(
            "rollout_judged",
            pool=ruling.pool,
            target=ruling.target,
            phase=ruling.phase.value,
            reason=conductor.reason,
            elapsed_ms=round(ruling.elapsed_ms),
        )
        for address in self.swim.others():
            self.send(address, encode_ruling(self.swim.group, ruling))

    def _ruling(self, conducted: _Conducted) -> Ruling:
        conductor = conducted.conductor
        in_force = self.rollouts.known_in_force(conductor.order.pool)
        return conductor.ruling(self.own, self.clock.now_ms(), in_force)

    # What members say.

    def received(self, message: RolloutMessage) -> None:
        """Take a member's message."""
        if message.sender not in self.swim.others():
            return
        if isinstance(message, Ruling):
            self._heard(message)
        else:
            self._take_report(message)

    def _heard(self, ruling: Ruling) -> None:
        conducted = self._conducted.get(ruling.pool)
        if conducted is not None and ruling.phase.final:
            self._other_judged(conducted.conductor, ruling)
        if not self.rollouts.heard(ruling, self.clock.now_ms()):
            return
        log_event(
            "rollout_phase",
            pool=ruling.pool,
            target=ruling.target,
            phase=ruling.phase.value,
            conductor=ruling.sender,
        )
        self.site.tell_routing()

    def _other_judged(self, conductor: Conductor, ruling: Ruling) -> None:
        """The other conductor's final word is this one's too."""
        ours = ruling.target == conductor.order.target
        if ours and ruling.moment >= conductor.moment:
            conductor.found(RolloutState(ruling.phase.value))

    def _take_report(self, report: RolloutReport) -> None:
        rollout = self.rollouts.by_pool.get(report.pool)
        if rollout is None or report.target != rollout.order.target:
            return
        if report.moment < rollout.moment:
            return
        conducted = self._conducted_of(rollout)
        if self.own in self._conductors(report.pool):
            conducted.conductor.report(report, self.clock.now_ms())
            if self._is_open(rollout):
                self._ticks.start()
        if conducted.read_before:
            ruling = encode_ruling(self.swim.group, self._ruling(conducted))
            self.send(report.sender, ruling)

    # The record.

    def _wanted(self, conducted: _Conducted) -> RolloutState:
        now_ms = self.clock.now_ms()
        members = self.swim.alive() if self.swim.own else [_ALONE]
        return conducted.conductor.wanted(now_ms, members)

    def _is_recorded(self, conducted: _Conducted) -> bool:
        record, conductor = conducted.record, conducted.conductor
        if record is None or not record.answers(conductor.order, conductor.moment):
            return False
        return record.state is self._wanted(conducted)

    async def _keep_record(self, conducted: _Conducted) -> None:
        try:
            before = conducted.conductor.phase
            if conducted.record is None:
                await self._read_record(conducted)
            if conducted.record is not None and not self._is_recorded(conducted):
                await self._write_record(conducted, conducted.record)
            if conducted.read_before:
                self._rule(conducted, before)
        finally:
            conducted.writing = False

    async def _read_record(self, conducted: _Conducted) -> None:
        conductor = conducted.conductor
        record = await self.records.read(conductor.order.pool, self.timeout_ms)
        if isinstance(record, RecordFailed):
            log_event("rollout_unread", reason=record.reason)
            return
        conducted.record, conducted.read_before = record, True
        ours = record.answers(conductor.order, conductor.moment)
        if ours and record.state is not None:
            conductor.found(record.state)

    async def _write_record(self, conducted: _Conducted, before: RolloutRecord) -> None:
        conductor, wanted = conducted.conductor, self._wanted(conducted)
        conductors = self._conductors(conductor.order.pool)
        if wanted is not RolloutState.ROLLED_BACK and conductors[0] != self.own:
            # The other conductor writes it; what it wrote is read at the next look.
            conducted.record = None
            return
        written = await self.records.write(
            conductor.order, wanted, before, self.timeout_ms
        )
        if not isinstance(written, RolloutRecord):
            conducted.record = None
            log_event("rollout_unwritten", logging.WARNING, outcome=written)
            return
        conducted.record = written
        conductor.recorded(wanted)
        log_event("rollout_recorded", pool=conductor.order.pool, state=wanted.value)

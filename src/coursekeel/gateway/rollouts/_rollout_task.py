"""Runs roll-outs: exchanges reports and decisions, and writes the stored record.

In each period every instance sends its counts to the members that conduct a roll-out
(`Swim.members_for`), and each of these responds with its decision. A decision that
changes the phase is sent to all members at once. Without a peer address an instance
conducts alone.

Owns the conductors of this instance and its copies of their records. Relies on
`Conductor` and `Rollouts`, which do no I/O, for every decision.
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
    RolloutDecision,
    RolloutMessage,
    RolloutRecord,
    RolloutRecords,
    RolloutReport,
    Rollouts,
    RolloutState,
    encode_decision,
    encode_report,
)
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.group import Swim
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.routing import Router
from coursekeel.runtime import Clock, Periodic, spawn

__all__ = ["CanaryTask", "report_period_ms"]

_SendDatagram = Callable[[str, bytes], None]

# The report period grows with the group, which bounds the rate of reports that a
# conductor receives: 330 a second from 380 members.
_MIN_PERIOD_MS = 500.0
_PERIOD_PER_MEMBER_MS = 3.0
# Report periods within the limit for a rollback: enough for a report, a decision that
# is lost once, and the next decision.
_PERIODS_PER_ROLLBACK = 4
# The name of an instance without a peer address.
_NO_PEER_ADDRESS = ""


def report_period_ms(members: int, rollback_ms: float) -> float:
    """The period of an instance's reports in a group of ``members``."""
    period_ms = max(_MIN_PERIOD_MS, _PERIOD_PER_MEMBER_MS * members)
    return min(period_ms, rollback_ms / _PERIODS_PER_ROLLBACK)


@define(eq=False)
class _Conducted:
    """A roll-out that this instance conducts, and its record once it was read.

    ``record_was_read`` stays set when ``record`` is dropped to be read again.
    """

    conductor: Conductor
    record: RolloutRecord | None = None
    record_was_read: bool = False
    writing: bool = False


@define(eq=False)
class CanaryTask:
    """One instance's part in all roll-outs; ``send`` sends a datagram to a member."""

    reactor: Reactor
    clock: Clock
    swim: Swim
    rollouts: Rollouts
    site: SiteState
    router: Router
    records: RolloutRecords
    timeout_ms: float
    period_ms: Callable[[], float]
    send: _SendDatagram
    _conducted: dict[str, _Conducted] = field(factory=dict)
    _ticks: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._ticks = Periodic(self.reactor, "rollouts", self.period_ms(), self._tick)

    @property
    def own(self) -> str:
        """This instance's name among the members."""
        return self.swim.own or _NO_PEER_ADDRESS

    def stop(self) -> None:
        """Send no more reports and decisions."""
        self._ticks.stop()

    def ordered(self) -> None:
        """Start the periodic reports; called when an order was applied."""
        self._ticks.interval_ms = self.period_ms()
        self._ticks.start()

    def store_restored(self) -> None:
        """Read the records again: a restored store may lack them."""
        for conducted in self._conducted.values():
            conducted.record = None
        if self._conducted:
            self._ticks.start()

    # Each period.

    async def _tick(self) -> None:
        self._ticks.interval_ms = self.period_ms()
        for pool, rollout in list(self.rollouts.by_pool.items()):
            self._report(pool, rollout)
            self._conduct(pool, rollout)
        if not any(self._is_unfinished(r) for r in self.rollouts.by_pool.values()):
            self._ticks.stop()

    def _is_unfinished(self, rollout: PoolRollout) -> bool:
        conducted = self._conducted.get(rollout.order.pool)
        recorded = conducted is None or self._record_is_current(conducted)
        return not rollout.phase.final or not recorded

    def _conductors(self, pool: str) -> list[str]:
        if not self.swim.own:
            return [_NO_PEER_ADDRESS]
        return self.swim.members_for(f"rollout/{pool}", CONDUCTORS)

    def _report(self, pool: str, rollout: PoolRollout) -> None:
        if rollout.phase.final:
            return
        report = self.rollouts.report(
            pool, self.own, self._old_runs(pool), self.clock.now_ms()
        )
        conductors = self._conductors(pool)
        if self.own in conductors:
            conducted = self._conducted_of(rollout)
            conducted.conductor.add_report(report, self.clock.now_ms())
        others = [member for member in conductors if member != self.own]
        for data in encode_report(self.swim.group, report) if others else ():
            for address in others:
                self.send(address, data)

    def _old_runs(self, pool: str) -> int:
        loads = [self.router.load(e) for e in self.rollouts.old_endpoints(pool)]
        return sum(load.limit.running for load in loads if load is not None)

    def _conducted_of(self, rollout: PoolRollout) -> _Conducted:
        """This instance's conductor of an order; a later order gets a new one."""
        pool = rollout.order.pool
        current = self._conducted.get(pool)
        if current is not None and current.conductor.order == rollout.order:
            later_era = rollout.position.era > current.conductor.position.era
            if later_era or current.conductor.position == rollout.position:
                current.conductor.position = rollout.position
                return current
        conductor = Conductor(
            rollout.order, rollout.position, self.rollouts.bounds, rollout.began_ms
        )
        self._conducted[pool] = _Conducted(conductor)
        return self._conducted[pool]

    def _conduct(self, pool: str, rollout: PoolRollout) -> None:
        conductors = self._conductors(pool)
        if self.own not in conductors:
            return
        conducted = self._conducted_of(rollout)
        conductor, before = conducted.conductor, conducted.conductor.phase
        if conducted.record_was_read:
            leading = conductors[0] == self.own
            has_new = self.rollouts.has_new(pool)
            conductor.evaluate(self.clock.now_ms(), leading, has_new)
            self._apply_own_decision(conducted, before)
        if not conducted.writing and not self._record_is_current(conducted):
            conducted.writing = True
            spawn(self._sync_record(conducted), "rollout_record", self.reactor)

    def _apply_own_decision(self, conducted: _Conducted, before: Phase) -> None:
        """Apply this instance's own decision; send it to all if the phase changed."""
        conductor = conducted.conductor
        decision = self._decision(conducted)
        self._apply_decision(decision)
        if conductor.phase is before:
            return
        log_event(
            "rollout_judged",
            pool=decision.pool,
            target=decision.target,
            phase=decision.phase.value,
            reason=conductor.reason,
            elapsed_ms=round(decision.elapsed_ms),
        )
        for address in self.swim.others():
            self.send(address, encode_decision(self.swim.group, decision))

    def _decision(self, conducted: _Conducted) -> RolloutDecision:
        conductor = conducted.conductor
        in_force = self.rollouts.confirmed_in_force(conductor.order.pool)
        return conductor.decision(self.own, self.clock.now_ms(), in_force)

    # Messages of members.

    def received(self, message: RolloutMessage) -> None:
        """Process a report or decision of a member."""
        if message.sender not in self.swim.others():
            return
        if isinstance(message, RolloutDecision):
            self._apply_decision(message)
        else:
            self._receive_report(message)

    def _apply_decision(self, decision: RolloutDecision) -> None:
        conducted = self._conducted.get(decision.pool)
        if conducted is not None and decision.phase.final:
            self._adopt_final_phase(conducted.conductor, decision)
        if not self.rollouts.apply_decision(decision, self.clock.now_ms()):
            return
        log_event(
            "rollout_phase",
            pool=decision.pool,
            target=decision.target,
            phase=decision.phase.value,
            conductor=decision.sender,
        )
        self.site.update_routing()

    def _adopt_final_phase(
        self, conductor: Conductor, decision: RolloutDecision
    ) -> None:
        """Adopt the final phase of the other conductor."""
        same_target = decision.target == conductor.order.target
        if same_target and decision.position >= conductor.position:
            conductor.adopt_final_state(RolloutState(decision.phase.value))

    def _receive_report(self, report: RolloutReport) -> None:
        rollout = self.rollouts.by_pool.get(report.pool)
        if rollout is None or report.target != rollout.order.target:
            return
        if report.position < rollout.position:
            return
        conducted = self._conducted_of(rollout)
        if self.own in self._conductors(report.pool):
            conducted.conductor.add_report(report, self.clock.now_ms())
            if self._is_unfinished(rollout):
                self._ticks.start()
        if conducted.record_was_read:
            decision = encode_decision(self.swim.group, self._decision(conducted))
            self.send(report.sender, decision)

    # The record.

    def _state_to_record(self, conducted: _Conducted) -> RolloutState:
        now_ms = self.clock.now_ms()
        members = self.swim.alive() if self.swim.own else [_NO_PEER_ADDRESS]
        return conducted.conductor.desired_state(now_ms, members)

    def _record_is_current(self, conducted: _Conducted) -> bool:
        record, conductor = conducted.record, conducted.conductor
        if record is None or not record.is_for(conductor.order, conductor.position):
            return False
        return record.state is self._state_to_record(conducted)

    async def _sync_record(self, conducted: _Conducted) -> None:
        try:
            before = conducted.conductor.phase
            if conducted.record is None:
                await self._read_record(conducted)
            if conducted.record is not None and not self._record_is_current(conducted):
                await self._write_record(conducted, conducted.record)
            if conducted.record_was_read:
                self._apply_own_decision(conducted, before)
        finally:
            conducted.writing = False

    async def _read_record(self, conducted: _Conducted) -> None:
        conductor = conducted.conductor
        record = await self.records.read(conductor.order.pool, self.timeout_ms)
        if isinstance(record, RecordFailed):
            log_event("rollout_unread", reason=record.reason)
            return
        conducted.record, conducted.record_was_read = record, True
        is_current = record.is_for(conductor.order, conductor.position)
        if is_current and record.state is not None:
            conductor.adopt_final_state(record.state)

    async def _write_record(self, conducted: _Conducted, before: RolloutRecord) -> None:
        conductor, state = conducted.conductor, self._state_to_record(conducted)
        conductors = self._conductors(conductor.order.pool)
        if state is not RolloutState.ROLLED_BACK and conductors[0] != self.own:
            # The other conductor writes it; this one reads it again in the next period.
            conducted.record = None
            return
        written = await self.records.write(
            conductor.order, state, before, self.timeout_ms
        )
        if not isinstance(written, RolloutRecord):
            conducted.record = None
            log_event("rollout_unwritten", logging.WARNING, outcome=written)
            return
        conducted.record = written
        conductor.state_written(state)
        log_event("rollout_recorded", pool=conductor.order.pool, state=state.value)

"""Controls one rollout: the new version's share of requests, and the outcome.

Rule: the new version first gets a share of the new requests, which starts low and stays
below the operators' bound, since a version may become bad at any time. If it is judged
bad, it is rolled back at once, even while the store is unavailable. Otherwise it gets
all new requests in the closing phase, so that the old version's runs finish before its
endpoints stop. They stop when the record says `completed`, so the phase changes only
after that is written.

Two members, chosen by hashing, each conduct a rollout by the reports of all instances.
Only the first begins the closing phase and completes; either may roll back. A member
that replaces one learns the elapsed time and all counters from the next reports.

Owns the instances' last reports. Times are in ms. Does no I/O.
"""

from collections.abc import Collection

from attrs import define, field, frozen

from coursekeel.canary._judge import Judge, SequentialJudge
from coursekeel.canary._messages import RolloutDecision, RolloutReport
from coursekeel.canary._model import (
    CanaryBounds,
    Phase,
    RolloutOrder,
    RolloutState,
    Side,
)
from coursekeel.canary._tally import Evidence
from coursekeel.charts import Machine, load_chart
from coursekeel.forwarding import StorePosition

__all__ = ["CONDUCTORS", "Conductor"]

# Members that conduct one rollout: one may have crashed or be partitioned.
CONDUCTORS = 2
# Below the bound on the share, to leave room for random variation and repeats.
_SHARE_SAFETY_FACTOR = 0.8
# Part of the slack, spread over the requests expected before the closing phase, so that
# a pool with few requests still gets answers to judge by.
_SLACK_SAFETY_FACTOR = 0.5
_MAX_SHARE = 0.5
# The share is lower until one of these is reached.
_INITIAL_ANSWERS = 20
_INITIAL_MS = 2_000.0
_INITIAL_SHARE_FACTOR = 0.25
# The end of the rollout's time: the closing phase, in which the old version's runs
# finish, and then the time to write the record.
_CLOSING_FRACTION = 1 / 3
_MAX_CLOSING_MS = 8_000.0
_RECORD_FRACTION = 0.1
_MAX_RECORD_MS = 1_000.0


@frozen
class _InstanceState:
    """What an instance last reported of its own state."""

    phase: Phase
    old_runs: int


@define(eq=False)
class Conductor:
    """One member's control of one order's rollout.

    ``position`` is the order's store position. ``began_ms`` is when the order was
    given, which may be before this process started. ``reason`` says why the version was
    rolled back, for the log.
    """

    order: RolloutOrder
    position: StorePosition
    bounds: CanaryBounds
    began_ms: float
    judge: Judge = field(factory=SequentialJudge)
    evidence: Evidence = field(factory=Evidence)
    reason: str = ""
    _machine: Machine = field(factory=lambda: load_chart("rollout").machine())
    _states: dict[str, _InstanceState] = field(factory=dict)

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return Phase(self._machine.state)

    def add_report(self, report: RolloutReport, now_ms: float) -> None:
        """Add an instance's report of this order."""
        self.began_ms = min(self.began_ms, now_ms - report.elapsed_ms)
        self._states[report.sender] = _InstanceState(report.phase, report.old_runs)
        self.evidence.update(report.sender, report.process_incarnation, report.rows)
        if report.phase is Phase.ROLLED_BACK:
            self._roll_back("reported")

    def evaluate(self, now_ms: float, leading: bool, has_new: bool) -> None:
        """Judge the version by the reports so far, and move to the next phase if due.

        ``leading`` says that this member is the first conductor, ``has_new`` that the
        target version has endpoints.
        """
        if self.phase.final:
            return
        if self.judge.condemns(self.evidence.totals):
            self._roll_back("worse")
        elif leading and self._elapsed_ms(now_ms) >= self._closing_at_ms:
            if has_new:
                self._machine.feed("passed")
            elif self._elapsed_ms(now_ms) >= self._complete_by_ms:
                self._roll_back("no_endpoints")

    def _roll_back(self, reason: str) -> None:
        if self._machine.takes("condemned") and not self.phase.final:
            self._machine.feed("condemned")
            self.reason = reason

    def desired_state(self, now_ms: float, members: Collection[str]) -> RolloutState:
        """The state that the record should have now; ``members`` are those alive."""
        if self.phase is Phase.ROLLED_BACK:
            return RolloutState.ROLLED_BACK
        if self.phase is Phase.COMPLETED or self._may_complete(now_ms, members):
            return RolloutState.COMPLETED
        return RolloutState.RUNNING

    def _may_complete(self, now_ms: float, members: Collection[str]) -> bool:
        """Say whether the old version has no runs left, or the time is over."""
        if self.phase is not Phase.CLOSING:
            return False
        if self._elapsed_ms(now_ms) >= self._complete_by_ms:
            return True
        states = [self._states.get(member) for member in members]
        return all(
            state is not None and state.phase is Phase.CLOSING and not state.old_runs
            for state in states
        )

    def state_written(self, state: RolloutState) -> None:
        """Handle that this member wrote the state to the record."""
        if state is RolloutState.COMPLETED and self._machine.takes(
            "recorded_completed"
        ):
            self._machine.feed("recorded_completed")

    def adopt_final_state(self, state: RolloutState) -> None:
        """Adopt a final state that another member recorded or decided."""
        chart_input = f"found_{state.value}"
        if state is not RolloutState.RUNNING and self._machine.takes(chart_input):
            self._machine.feed(chart_input)
            self.reason = self.reason or "recorded"

    def decision(
        self, own: str, now_ms: float, in_force: tuple[str, ...] = ()
    ) -> RolloutDecision:
        """The decision to send to all instances; ``own`` is this member.

        The versions ``in_force`` are those before the order.
        """
        return RolloutDecision(
            own,
            self.order.pool,
            self.order.target,
            self.position,
            self.phase,
            self._share(now_ms),
            self._elapsed_ms(now_ms),
            in_force,
        )

    def _share(self, now_ms: float) -> float:
        usual_share = _SHARE_SAFETY_FACTOR * self.bounds.share
        elapsed_ms = self._elapsed_ms(now_ms)
        new_answers = self.evidence.answers(Side.NEW)
        if new_answers < _INITIAL_ANSWERS and elapsed_ms < _INITIAL_MS:
            return _INITIAL_SHARE_FACTOR * usual_share
        answers = new_answers + self.evidence.answers(Side.OLD)
        expected = answers * self._closing_at_ms / max(elapsed_ms, _INITIAL_MS)
        extra_share = _SLACK_SAFETY_FACTOR * self.bounds.slack / max(expected, 1.0)
        return min(usual_share + extra_share, _MAX_SHARE)

    def _elapsed_ms(self, now_ms: float) -> float:
        return now_ms - self.began_ms

    @property
    def _complete_by_ms(self) -> float:
        duration_ms = self.order.duration_ms
        return duration_ms - min(_RECORD_FRACTION * duration_ms, _MAX_RECORD_MS)

    @property
    def _closing_at_ms(self) -> float:
        closing_ms = min(_CLOSING_FRACTION * self.order.duration_ms, _MAX_CLOSING_MS)
        return self._complete_by_ms - closing_ms

"""Conduct a roll-out: how much the new version may get, and when it is over.

Rule: until the last part of the time a share of new requests goes to the new version,
little at first. The share stays below the operators' bound to the end, since a version
may turn bad at any moment. Condemned, it is taken back at once, also while the store is
away. Not condemned, it gets all new requests in the last part, so that the
old version's runs end before its endpoints stop; that happens when the record says
`completed`, so it is written first and believed then.

Two members chosen by hashing each conduct from what all instances report; the first of
them says when to close and to complete, the other would condemn as well. Whoever takes
over from one that is gone hears of the time that has passed and of all counters within
one report.

Owns what instances reported. A core: each moment is given, in ms.
"""

from collections.abc import Collection

from attrs import define, field, frozen

from coursekeel.canary._judge import Judge, SequentialJudge
from coursekeel.canary._messages import RolloutReport, Ruling
from coursekeel.canary._model import (
    CanaryBounds,
    Phase,
    RolloutOrder,
    RolloutState,
    Side,
)
from coursekeel.canary._tally import Evidence
from coursekeel.charts import Machine, load_chart
from coursekeel.forwarding import StoreMoment

__all__ = ["CONDUCTORS", "Conductor"]

# Members that conduct one roll-out: one may be gone or cut off.
CONDUCTORS = 2
# Of the bound on the share; the rest is for luck and for repeats.
_SHARE_USED = 0.8
# Of the slack, spread over the requests that are expected while the version is tried:
# without it a pool with few requests would be judged by none.
_SLACK_USED = 0.5
_MOST_SHARE = 0.5
# Until so many answers are in, and the pool's rate is known, a part of the share.
_FIRST_ANSWERS = 20
_FIRST_MS = 2_000.0
_FIRST_PART = 0.25
# The last part of the time, in which the old version's runs end, and what is left for
# the record: streams of the users' sites take 5 to 7 s.
_CLOSING_PART = 1 / 3
_CLOSING_MOST_MS = 8_000.0
_RECORD_PART = 0.1
_RECORD_MOST_MS = 1_000.0


@frozen
class _Seen:
    """An instance's last report."""

    phase: Phase
    old_runs: int


@define(eq=False)
class Conductor:
    """One member's judgement of one order; ``began_ms`` may lie before its own start.

    ``reason`` says why a version was taken back.
    """

    order: RolloutOrder
    moment: StoreMoment
    bounds: CanaryBounds
    began_ms: float
    judge: Judge = field(factory=SequentialJudge)
    evidence: Evidence = field(factory=Evidence)
    reason: str = ""
    _machine: Machine = field(factory=lambda: load_chart("rollout").machine())
    _seen: dict[str, _Seen] = field(factory=dict)

    @property
    def phase(self) -> Phase:
        """How far the roll-out is."""
        return Phase(self._machine.state)

    def report(self, report: RolloutReport, now_ms: float) -> None:
        """Take an instance's report of this order."""
        self.began_ms = min(self.began_ms, now_ms - report.elapsed_ms)
        self._seen[report.sender] = _Seen(report.phase, report.old_runs)
        self.evidence.take(report.sender, report.life, report.rows)
        if report.phase is Phase.ROLLED_BACK:
            self._condemn("reported")

    def look(self, now_ms: float, leading: bool, has_new: bool) -> None:
        """Judge by what is known now; ``has_new``: the target has endpoints."""
        if self.phase.final:
            return
        if self.judge.condemns(self.evidence.totals):
            self._condemn("worse")
        elif leading and self._elapsed(now_ms) >= self._closing_at_ms:
            if has_new:
                self._machine.feed("passed")
            elif self._elapsed(now_ms) >= self._complete_by_ms:
                self._condemn("no_endpoints")

    def _condemn(self, reason: str) -> None:
        if self._machine.takes("condemned") and not self.phase.final:
            self._machine.feed("condemned")
            self.reason = reason

    def wanted(self, now_ms: float, members: Collection[str]) -> RolloutState:
        """What the record should say now."""
        if self.phase is Phase.ROLLED_BACK:
            return RolloutState.ROLLED_BACK
        if self.phase is Phase.COMPLETED or self._may_complete(now_ms, members):
            return RolloutState.COMPLETED
        return RolloutState.RUNNING

    def _may_complete(self, now_ms: float, members: Collection[str]) -> bool:
        """Say whether nothing runs at the old version any more, or no time is left."""
        if self.phase is not Phase.CLOSING:
            return False
        if self._elapsed(now_ms) >= self._complete_by_ms:
            return True
        seen = [self._seen.get(each) for each in members]
        return all(
            each is not None and each.phase is Phase.CLOSING and not each.old_runs
            for each in seen
        )

    def recorded(self, state: RolloutState) -> None:
        """The record says so, by this member's own write."""
        if state is RolloutState.COMPLETED and self._machine.takes(
            "recorded_completed"
        ):
            self._machine.feed("recorded_completed")

    def found(self, state: RolloutState) -> None:
        """Another member wrote a final state; the first one counts."""
        name = f"found_{state.value}"
        if state is not RolloutState.RUNNING and self._machine.takes(name):
            self._machine.feed(name)
            self.reason = self.reason or "recorded"

    def ruling(self, own: str, now_ms: float, in_force: tuple[str, ...] = ()) -> Ruling:
        """What instances are told."""
        return Ruling(
            own,
            self.order.pool,
            self.order.target,
            self.moment,
            self.phase,
            self._share(now_ms),
            self._elapsed(now_ms),
            in_force,
        )

    def _share(self, now_ms: float) -> float:
        usual = _SHARE_USED * self.bounds.share
        elapsed_ms = self._elapsed(now_ms)
        tried = self.evidence.answers(Side.NEW)
        if tried < _FIRST_ANSWERS and elapsed_ms < _FIRST_MS:
            return _FIRST_PART * usual
        answers = tried + self.evidence.answers(Side.OLD)
        expected = answers * self._closing_at_ms / max(elapsed_ms, _FIRST_MS)
        of_slack = _SLACK_USED * self.bounds.slack / max(expected, 1.0)
        return min(usual + of_slack, _MOST_SHARE)

    def _elapsed(self, now_ms: float) -> float:
        return now_ms - self.began_ms

    @property
    def _complete_by_ms(self) -> float:
        duration_ms = self.order.duration_ms
        return duration_ms - min(_RECORD_PART * duration_ms, _RECORD_MOST_MS)

    @property
    def _closing_at_ms(self) -> float:
        closing_ms = min(_CLOSING_PART * self.order.duration_ms, _CLOSING_MOST_MS)
        return self._complete_by_ms - closing_ms

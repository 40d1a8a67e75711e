"""Three judges on the same generated roll-outs: who condemns whom, when, at what cost.

Each roll-out is a `Conductor` whose reports are drawn: requests by a rate, failures by
a share that the old version has too, latencies by a spread of half. A bad version fails
a further share or takes some times longer, from the start or late, on all routes or on
one of ten. Exposure is what it got until the verdict, over the bound of 0.1 of all
requests and 50. `python -m bench.rollout [RUNS]`.
"""

import math
import sys
from bisect import bisect
from collections.abc import Mapping
from itertools import accumulate
from random import Random

from attrs import define, evolve, field, frozen

from coursekeel.canary import (
    CanaryBounds,
    Conductor,
    Judge,
    Phase,
    RolloutOrder,
    RolloutReport,
    RowKey,
    SequentialJudge,
    Side,
    Tally,
)
from coursekeel.canary._judge import bad_answers, slow_bucket_limit
from coursekeel.canary._tally import ROUTE_ROWS, latency_bucket
from coursekeel.forwarding import StorePosition

__all__ = ["JUDGES", "Case", "ThresholdJudge", "WindowJudge", "measure", "play"]

ORDER = RolloutOrder("p", "v2", 12_000)
BOUNDS = CanaryBounds()
_PERIOD_MS = 500.0
_USUAL_MS = 100.0
_SPREAD = 0.5
_ROUTES = 10


@frozen
class Case:
    """One kind of roll-out; ``fails`` and ``slower`` are the new version's."""

    name: str
    rate_s: float = 100.0
    natural: float = 0.02
    fails: float = 0.0
    slower: float = 1.0
    one_route: bool = False
    late: bool = False

    @property
    def bad(self) -> bool:
        return self.fails > 0 or self.slower > 1


@define(eq=False)
class ThresholdJudge(Judge):
    """Fixed thresholds: of thirty answers, twice the old share and a twentieth."""

    _condemned: bool = False

    def condemns(self, totals: Mapping[RowKey, Tally]) -> bool:
        for row in {number for number, _ in totals}:
            old = totals.get((row, Side.OLD), Tally())
            new = totals.get((row, Side.NEW), Tally())
            limit = slow_bucket_limit(old)
            if new.answers >= 30 and old.answers >= 30:
                usual = bad_answers(old, limit) / old.answers
                share = bad_answers(new, limit) / new.answers
                self._condemned |= share > 2 * usual + 0.05
        return self._condemned


@define(eq=False)
class WindowJudge(Judge):
    """The two shares of the last looks, four deviations apart."""

    _seen: list[dict[RowKey, Tally]] = field(factory=list)
    _condemned: bool = False

    def condemns(self, totals: Mapping[RowKey, Tally]) -> bool:
        self._seen.append(dict(totals))
        before = self._seen[-8] if len(self._seen) >= 8 else {}
        for row in {number for number, _ in totals}:
            sides = []
            limit = slow_bucket_limit(totals.get((row, Side.OLD), Tally()))
            for side in Side:
                key = row, side
                now = totals.get(key, Tally())
                lately = now.minus(before.get(key, Tally()))
                sides.append((bad_answers(lately, limit), lately.answers))
            self._condemned |= _apart(*sides) > 4
        return self._condemned


def _apart(old: tuple[int, int], new: tuple[int, int]) -> float:
    (bad, answers), (new_bad, new_answers) = old, new
    if not answers or not new_answers:
        return 0.0
    mean = (bad + new_bad + 1) / (answers + new_answers + 2)
    deviation = math.sqrt(mean * (1 - mean) * (1 / answers + 1 / new_answers))
    return (new_bad / new_answers - bad / answers) / deviation


JUDGES = {
    "sequential": SequentialJudge,
    "thresholds": ThresholdJudge,
    "window": WindowJudge,
}


def _latencies(slower: float) -> list[float]:
    """The odds of each bucket, added up, of answers that take so many times longer."""
    random, counts = Random(5), [0] * len(Tally().latencies)
    for _ in range(20_000):
        took_ms = _USUAL_MS * slower * random.lognormvariate(0, _SPREAD)
        counts[latency_bucket(took_ms)] += 1
    return [each / 20_000 for each in accumulate(counts)]


_ODDS = {each: _latencies(each) for each in (1.0, 2.0, 3.0, 5.0, 10.0)}


@define(eq=False)
class _Fleet:
    """All instances together; their reports come one period later."""

    case: Case
    random: Random
    tallies: dict[RowKey, Tally] = field(factory=dict)
    exposed: int = 0
    bad: int = 0
    requests: int = 0

    def answer(self, side: Side, late: bool) -> None:
        case, random = self.case, self.random
        route = random.randrange(_ROUTES)
        hit = side is Side.NEW and (not case.one_route or route == 0)
        hit = hit and (late or not case.late)
        fails = case.natural + (case.fails * (1 - case.natural) if hit else 0.0)
        failed = random.random() < fails
        key = route % ROUTE_ROWS, side
        tally = self.tallies.get(key, Tally())
        if failed:
            counts = tally.latencies
        else:
            odds = _ODDS[case.slower if hit else 1.0]
            bucket = bisect(odds, random.random())
            taken = list(tally.latencies)
            taken[min(bucket, len(taken) - 1)] += 1
            counts = tuple(taken)
        self.tallies[key] = Tally(tally.answers + 1, tally.failed + failed, counts)
        self.requests += 1
        self.exposed += side is Side.NEW
        self.bad += hit and (failed or case.slower > 1)


def play(case: Case, judge: Judge, random: Random) -> dict:
    """One roll-out to its end."""
    conductor = Conductor(ORDER, StorePosition(0, 1), BOUNDS, 0.0, judge)
    fleet = _Fleet(case, random)
    now_ms, verdict_ms = 0.0, math.inf
    while now_ms < ORDER.duration_ms and not conductor.phase.final:
        decision = conductor.decision("i", now_ms)
        trying = decision.phase is Phase.TRYING
        rows = tuple(fleet.tallies.items())
        late = now_ms >= ORDER.duration_ms / 3
        for _ in range(_drawn(case.rate_s * _PERIOD_MS / 1_000, random)):
            new = not trying or random.random() < decision.share
            fleet.answer(Side.NEW if new else Side.OLD, late)
        now_ms += _PERIOD_MS
        conductor.add_report(
            RolloutReport(
                "i", "p", "v2", StorePosition(0, 1), decision.phase, now_ms, 1, 0, rows
            ),
            now_ms,
        )
        conductor.evaluate(now_ms, leading=True, has_new=True)
        if conductor.phase is Phase.ROLLED_BACK:
            verdict_ms = now_ms
        elif conductor.phase is Phase.CLOSING:
            break
    most = BOUNDS.share * case.rate_s * ORDER.duration_ms / 1_000 + BOUNDS.slack
    return {
        "condemned": conductor.phase is Phase.ROLLED_BACK,
        "verdict_ms": verdict_ms,
        "exposed": fleet.exposed,
        "bad": fleet.bad,
        "over": fleet.exposed > most,
    }


def _drawn(mean: float, random: Random) -> int:
    """How many requests come in a period."""
    return int(mean) + (random.random() < mean % 1)


CASES = [
    Case("good"),
    Case("good, fails 0.14", natural=0.14),
    Case("good, 20/s", rate_s=20),
    *(Case(f"fails {share}", fails=share) for share in (0.02, 0.05, 0.1, 0.3, 1.0)),
    Case("fails 0.1 beside 0.14", natural=0.14, fails=0.1),
    *(Case(f"{x:.0f} times slower", slower=x) for x in (2.0, 3.0, 5.0, 10.0)),
    Case("fails 0.5 on one route of ten", fails=0.5, one_route=True),
    Case("fails 0.3, late", fails=0.3, late=True),
    *(Case(f"fails 0.3, {r}/s", fails=0.3, rate_s=r) for r in (0.5, 5, 20, 200)),
    *(Case(f"3 times slower, {r}/s", slower=3.0, rate_s=r) for r in (0.5, 5, 20, 200)),
]


def measure(runs: int = 200) -> list[dict]:
    rows = []
    for case in CASES:
        for name, judge in JUDGES.items():
            # The same seed of each run for all judges.
            played = [play(evolve(case), judge(), Random(n)) for n in range(runs)]
            condemned = [each for each in played if each["condemned"]]
            verdicts = sorted(each["verdict_ms"] for each in condemned)
            exposed = sorted(each["exposed"] for each in played)
            rows.append(
                {
                    "case": case.name,
                    "judge": name,
                    "runs": runs,
                    "bad_version": case.bad,
                    "condemned": round(len(condemned) / runs, 3),
                    "verdict_ms_p50": verdicts[len(verdicts) // 2] if verdicts else 0,
                    "exposed_p95": exposed[int(0.95 * runs)],
                    "bad_answers_p95": sorted(each["bad"] for each in played)[
                        int(0.95 * runs)
                    ],
                    "over_bound": sum(each["over"] for each in played),
                }
            )
    return rows


if __name__ == "__main__":
    for row in measure(int(sys.argv[1]) if len(sys.argv) > 1 else 200):
        print(row, flush=True)

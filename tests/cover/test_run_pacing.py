"""How long runs of suspect requests wait, so that their copies don't run in step."""

import heapq
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.quarantine import Quarantine, Sign
from coursekeel.suspects import PacingSettings, RunPacing, WantedRun

SETTINGS = PacingSettings(probe_ms=50, news_ms=30)
MEMBERS = [f"m{number}" for number in range(9)]


def pacing_of(member: str, members=MEMBERS) -> RunPacing:
    others = [other for other in members if other != member]
    return RunPacing(Quarantine(), member, lambda: others, SETTINGS)


def strike(pacing: RunPacing, *times_ms: float) -> None:
    for at_ms in times_ms:
        pacing.quarantine.add_strike("f", f"e{at_ms}", Sign.BEGAN, at_ms)


def hold_ms(
    pacing: RunPacing, now_ms: float, since_ms: float | None = None, holder: int = 1
) -> float:
    run = WantedRun("f", holder, now_ms if since_ms is None else since_ms)
    return pacing.hold_ms(run, now_ms)


def test_a_request_waits_for_the_probe_of_its_lost_endpoint():
    pacing = pacing_of("m0")
    pacing.run_lost("f", 100)
    assert hold_ms(pacing, 110) == 40
    assert hold_ms(pacing, 150) == 0
    pacing.run_lost("f", 200)
    pacing.settled("f")
    assert hold_ms(pacing, 201) == 0
    assert not pacing.is_waiting


def test_after_a_crash_it_waits_for_news_of_other_members():
    pacing = pacing_of("m0")
    pacing.endpoint_crashed("f", 100)
    strike(pacing, 100)
    assert hold_ms(pacing, 100) == 30
    assert hold_ms(pacing, 130) == 0


@pytest.mark.parametrize("times_ms", [(0,), (0, 100)])
def test_a_request_whose_crashes_are_separate_takes_no_turns(times_ms):
    for member in MEMBERS:
        pacing = pacing_of(member)
        strike(pacing, *times_ms)
        assert hold_ms(pacing, 200) == 0


def test_after_coinciding_crashes_members_start_copies_one_after_another():
    holds = []
    for member in MEMBERS:
        pacing = pacing_of(member)
        strike(pacing, 0, 5, 10)
        holds.append(hold_ms(pacing, 100))
    assert sorted(holds) == [150 * turn for turn in range(9)]


def test_the_turns_of_a_large_group_end_within_two_seconds():
    members = [f"m{number}" for number in range(380)]
    holds = []
    for member in members:
        pacing = pacing_of(member, members)
        strike(pacing, 0, 5)
        holds.append(hold_ms(pacing, 100))
    assert len(set(holds)) == 380
    assert max(holds) <= 2_000


def test_a_further_strike_begins_the_wait_anew():
    pacing = next(p for p in map(pacing_of, MEMBERS) if not _is_first(p))
    strike(pacing, 0, 5)
    before_ms = hold_ms(pacing, 10)
    strike(pacing, 110)
    assert hold_ms(pacing, 110, since_ms=10) == before_ms


def _is_first(pacing: RunPacing) -> bool:
    strike(pacing, 0, 5)
    return hold_ms(pacing, 10) == 0


def test_copies_at_one_member_start_a_turn_apart():
    pacing = pacing_of("m0", members=["m0"])
    strike(pacing, 0, 5, 10)
    assert hold_ms(pacing, 20, holder=1) == 0
    pacing.run_started("f", 1, 20)
    assert hold_ms(pacing, 30, holder=1) == 0
    assert hold_ms(pacing, 30, holder=2) == 140


def test_a_cleared_or_barred_request_does_not_wait():
    pacing = next(p for p in map(pacing_of, MEMBERS) if not _is_first(p))
    pacing.quarantine.clear("f", 20)
    assert hold_ms(pacing, 20) == 0
    strike(pacing, 100, 200, 300, 305)
    assert pacing.quarantine.is_barred("f")
    assert hold_ms(pacing, 310) == 0


class World:
    """Members that run copies of one request, which crashes each of its endpoints.

    All copies start at the same moment. News and probes take a few ms each.
    """

    def __init__(self, seed: int, copies: list[int], paced: bool) -> None:
        self.random, self.paced = Random(seed), paced
        self.members = [pacing_of(f"m{n}", MEMBERS) for n in range(len(copies))]
        self.crash_after_ms = self.random.uniform(54, 121)
        self.crashes = 0
        self.events: list = []
        for number, copies_here in enumerate(copies):
            for holder in range(copies_here):
                self.at(self.random.uniform(0, 5), self.want, number, holder)
        while self.events:
            now_ms, _, work, arguments = heapq.heappop(self.events)
            work(now_ms, *arguments)

    def at(self, time_ms: float, work, *arguments) -> None:
        heapq.heappush(self.events, (time_ms, self.random.random(), work, arguments))

    def want(self, now_ms: float, number: int, holder: int, since_ms=None) -> None:
        pacing = self.members[number]
        since_ms = now_ms if since_ms is None else since_ms
        if pacing.quarantine.is_barred("f"):
            return
        run = WantedRun("f", holder, since_ms)
        held_ms = pacing.hold_ms(run, now_ms) if self.paced else 0
        if held_ms > 0:
            self.at(now_ms + min(held_ms, 10), self.want, number, holder, since_ms)
            return
        pacing.run_started("f", holder, now_ms)
        crash_ms = now_ms + self.crash_after_ms + self.random.uniform(0, 5)
        self.at(crash_ms, self.lose, number, holder)

    def lose(self, now_ms: float, number: int, holder: int) -> None:
        self.crashes += 1
        self.members[number].run_lost("f", now_ms)
        probe_ms = now_ms + self.random.uniform(1, 20)
        self.at(probe_ms, self.strike, number, f"e{self.crashes}", now_ms)
        self.at(now_ms, self.want, number, holder)

    def strike(self, now_ms: float, number: int, endpoint: str, lost_ms) -> None:
        pacing = self.members[number]
        pacing.endpoint_crashed("f", now_ms)
        pacing.quarantine.add_strike("f", endpoint, Sign.BEGAN, lost_ms)
        record = pacing.quarantine.record("f")
        for other in self.members:
            if other is not pacing:
                self.at(now_ms + self.random.uniform(1, 15), self.learn, other, record)

    def learn(self, now_ms: float, other: RunPacing, record) -> None:
        other.quarantine.merge(record, now_ms)


@given(
    st.integers(0, 2**32),
    st.lists(st.integers(1, 3), min_size=1, max_size=9),
)
def test_copies_that_start_at_once_crash_one_endpoint_each_and_three_more(seed, copies):
    assert World(seed, copies, paced=True).crashes <= sum(copies) + 3


def test_unpaced_copies_that_start_at_once_crash_more():
    crashes = [World(seed, [1, 1, 1], paced=False).crashes for seed in range(20)]
    assert max(crashes) > 6

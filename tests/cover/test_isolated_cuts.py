"""Which cut runs count against their request, and that bad endpoints bar nobody."""

from random import Random
from unittest.mock import Mock

import pytest
from attrs import frozen
from hypothesis import given, settings
from hypothesis import strategies as st

from coursekeel.quarantine import Quarantine, Sign
from coursekeel.suspects import IsolatedCuts, QuarantineGate, QuarantinePass, Suspect

CUT_BAR_MS = 2_000.0
PLAY_S = 25


@frozen
class Request:
    """A request, by its fingerprint."""

    fingerprint: str
    part_fingerprints: tuple[str, ...] = ()


class Member:
    """One member's gate; ``others`` learn what it records."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.others: list[Member] = []
        clock = Mock(now_ms=lambda: self.now_ms)
        self.quarantine = Quarantine()
        self.gate = QuarantineGate(clock, self.quarantine, self.send, Mock())

    def send(self, records) -> None:
        for other in self.others:
            for record in records:
                other.quarantine.merge(record, self.now_ms)

    def cut(self, endpoint: str, fingerprint: str, at_ms: float) -> None:
        self.now_ms = at_ms
        suspect = Suspect(fingerprint, Sign.BEGAN, at_ms, closed=True)
        self.gate.run_cut(Request(fingerprint), endpoint)
        self.gate.report_alive(endpoint, [suspect])

    def answer(self, fingerprint: str, at_ms: float) -> None:
        self.now_ms = at_ms
        self.gate.report_success(Request(fingerprint))

    def barred_ms(self, fingerprint: str) -> float:
        return self.gate.barred_ms(Request(fingerprint))


def group(count: int = 3) -> list[Member]:
    members = [Member() for _ in range(count)]
    for member in members:
        member.others = [other for other in members if other is not member]
    return members


def test_three_cuts_at_endpoints_that_live_bar_a_request_for_a_short_time():
    [member] = group(1)
    for number in range(3):
        assert member.barred_ms("f") == 0
        member.cut(f"e{number}", "f", number * 100)
    assert member.barred_ms("f") == CUT_BAR_MS
    assert member.barred_ms("another") == 0


def test_cuts_at_several_members_bar_it_at_all():
    one, other, third = group()
    one.cut("e0", "f", 0)
    one.cut("e1", "f", 100)
    other.cut("e2", "f", 900)
    assert [m.barred_ms("f") > 0 for m in (one, other, third)] == [True] * 3


def test_after_the_bar_one_member_tries_it_and_a_further_cut_bars_it_longer():
    one, other, _ = group()
    for number in range(3):
        one.cut(f"e{number}", "f", number * 100)
    one.now_ms = other.now_ms = 200 + CUT_BAR_MS
    assert one.gate.begin_trial(Request("f")) is not None
    assert other.barred_ms("f") > CUT_BAR_MS
    one.cut("e3", "f", one.now_ms + 100)
    assert one.barred_ms("f") == 10 * CUT_BAR_MS


def test_an_answer_clears_a_request_at_all_members():
    one, other, _ = group()
    for number in range(3):
        one.cut(f"e{number}", "f", number * 100)
    other.answer("f", 400)
    assert one.barred_ms("f") == 0
    one.cut("e4", "f", 500)
    one.cut("e5", "f", 600)
    assert one.barred_ms("f") == 0


def test_runs_that_are_cut_together_speak_for_a_crash():
    [member] = group(1)
    for number in range(3):
        member.cut(f"e{number}", f"beside {number}", number * 2_000)
        member.cut(f"e{number}", "f", number * 2_000 + 5)
    assert member.barred_ms("f") > 0


def test_cuts_at_an_endpoint_that_cut_others_before_count_against_nobody():
    [member] = group(1)
    for number in range(9):
        member.cut(f"e{number}", f"before {number}", number * 2_000)
        member.cut(f"e{number}", "f", number * 2_000 + 1_500)
    assert member.barred_ms("f") == 0


def test_cuts_at_several_endpoints_at_once_count_against_nobody():
    """The member's own link is bad, or many endpoints are."""
    [member] = group(1)
    for number in range(9):
        member.cut(f"x{number}", f"elsewhere {number}", number * 2_000)
        member.cut(f"e{number}", "f", number * 2_000 + 100)
    assert member.barred_ms("f") == 0


def test_a_first_cut_is_forgotten_after_a_minute():
    cuts = IsolatedCuts()
    for number, at_ms in enumerate((0, 61_000)):
        suspect = Suspect("f", Sign.BEGAN, at_ms, closed=True)
        cuts.add(f"e{number}", "f", at_ms)
        assert cuts.strikes_of(f"e{number}", suspect, ()) == []


class BadEndpoints:
    """A group's requests of a while, of which bad endpoints cut a share.

    Each request is tried at up to three endpoints; ``crashing`` is cut at all of them,
    with all that runs there.
    """

    def __init__(
        self, seed: int, per_second: int, bad: int, share: float, crashing: str = ""
    ) -> None:
        random = Random(seed)
        self.members = group()
        self.arrivals: list[float] = []
        bad_endpoints = random.sample(range(27), bad)
        now_ms, self.barred = 0.0, set()
        for number in range(PLAY_S * per_second):
            now_ms += random.expovariate(per_second) * 1_000
            member = random.choice(self.members)
            is_crashing = crashing and number % per_second == 0
            name = crashing if is_crashing else f"request {number}"
            tries_ms = now_ms
            permission = QuarantinePass(member.gate, Request(name))
            for endpoint in random.sample(range(27), 3):
                member.now_ms = max(member.now_ms, tries_ms)
                if not permission.may_send():
                    self.barred.add(name)
                    break
                if is_crashing:
                    self.arrivals.append(tries_ms)
                elif endpoint not in bad_endpoints or random.random() > share:
                    member.answer(name, tries_ms)
                    break
                member.cut(f"e{endpoint}", name, tries_ms)
                tries_ms += random.uniform(10, 100)


@pytest.mark.parametrize(("bad", "share"), [(4, 0.4), (9, 0.4), (27, 0.5), (3, 1.0)])
@given(st.integers(0, 2**32), st.integers(5, 40))
@settings(max_examples=20)
def test_endpoints_that_reset_runs_bar_no_innocent_request(
    bad, share, seed, per_second
):
    assert BadEndpoints(seed, per_second, bad, share).barred == set()


@given(st.integers(0, 2**32), st.integers(5, 40))
@settings(max_examples=20)
def test_a_request_that_is_cut_everywhere_reaches_few_more_endpoints(seed, per_second):
    """It comes again each second."""
    play = BadEndpoints(seed, per_second, 0, 0.0, crashing="crashing")
    assert play.barred == {"crashing"}
    late = [at_ms for at_ms in play.arrivals if at_ms > play.arrivals[2] + 3_000]
    assert len(late) <= 3

"""Evidence for new work, silence, leases and being cut off."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from coursekeel.endpoints import EvidenceBook, LeavingMark, SilenceWatch
from coursekeel.membership import GroupLease, Isolation, LapseWatch, LeaseTerms
from coursekeel.storage import Committed, Row, Unsure
from tests.common.examples import schedules, until_broken
from tests.common.fake_platform import FakePlatform

FRESH_MS = 1_000.0
INCARNATIONS = st.sampled_from(["i-1", "i-2", "i-3"])


class EvidenceMachine(RuleBasedStateMachine):
    """Words about one endpoint arrive late, in any order, from anyone."""

    book_class: type = EvidenceBook

    def __init__(self):
        super().__init__()
        self.book = self.book_class(FRESH_MS)
        self.now_ms = 0.0
        self.left: set[str] = set()
        self.replaced: set[str] = set()
        self.current = ""
        self.seen_ms = float("-inf")
        self.listed_leaving = False

    @rule(incarnation=INCARNATIONS, leaving=st.booleans(), age_ms=st.floats(0, 3_000))
    def own_word(self, incarnation, leaving, age_ms):
        taken = self.book.saw("e", incarnation, leaving, self.now_ms - age_ms)
        if self.book_class is EvidenceBook:
            assert taken == (incarnation not in self.replaced)
        if incarnation in self.replaced:
            return
        if self.current not in ("", incarnation):
            self.replaced.add(self.current)
        self.current = incarnation
        self.seen_ms = max(self.seen_ms, self.now_ms - age_ms)
        if leaving or self.listed_leaving:
            self.left.add(incarnation)

    @rule(leaving=st.booleans())
    def list_is_read(self, leaving):
        self.book.listed("e", leaving)
        self.listed_leaving = leaving
        if leaving and self.current:
            self.left.add(self.current)

    @rule(incarnation=INCARNATIONS)
    def peer_hints(self, incarnation):
        self.book.hinted(LeavingMark("e", incarnation))
        self.left.add(incarnation)

    @rule()
    def refuses_connections(self):
        self.book.lost("e")
        self.seen_ms = float("-inf")

    @rule(ms=st.floats(0, 2_000))
    def time_passes(self, ms):
        self.now_ms += ms

    @invariant()
    def new_work_needs_fresh_evidence_of_not_leaving(self):
        if self.book.may_take_new_work("e", self.now_ms):
            assert self.current not in self.left
            assert not self.listed_leaving
            assert self.now_ms - self.seen_ms <= FRESH_MS


class NaiveBook:
    """Believes whatever was said last, by whomever and however long ago."""

    def __init__(self, fresh_ms):
        self.serving = False

    def saw(self, endpoint_id, incarnation, leaving, asked_ms):
        self.serving = not leaving
        return True

    def listed(self, endpoint_id, leaving):
        self.serving = not leaving

    def hinted(self, mark):
        self.serving = False

    def lost(self, endpoint_id):
        self.serving = False

    def may_take_new_work(self, endpoint_id, now_ms):
        return self.serving


class NaiveEvidenceMachine(EvidenceMachine):
    book_class = NaiveBook


def test_the_naive_version_gives_a_leaving_endpoint_new_work():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveEvidenceMachine, settings=until_broken())


def test_a_leaving_endpoint_gets_no_new_work_whatever_arrives_late():
    run_state_machine_as_test(EvidenceMachine, settings=schedules(300))


def watched(endpoints, until_ms=1_000.0):
    silence = SilenceWatch()
    for name in endpoints:
        silence.opened(name, 0.0)
    now_ms = 0.0
    while now_ms < until_ms:
        now_ms += 20.0
        for name in endpoints:
            silence.heard(name, now_ms)
        silence.review(now_ms, now_ms + 20.0)
    return silence, now_ms


def reviews(silence, now_ms, for_ms, heard=()):
    found = []
    end_ms = now_ms + for_ms
    while now_ms < end_ms:
        now_ms += 20.0
        for name in heard:
            silence.heard(name, now_ms)
        found += silence.review(now_ms, now_ms + 20.0)
    return found


def test_one_silent_endpoint_is_named_once():
    silence, now_ms = watched("abcdef")
    assert reviews(silence, now_ms, 2_000, heard="bcdef") == ["a"]


def test_a_fleet_that_slows_down_is_not_taken_for_dead():
    silence, now_ms = watched("abcdef")
    assert reviews(silence, now_ms, 2_000, heard="f") == []
    assert silence.slow_downs > 0


def test_our_own_pause_judges_nobody():
    silence, now_ms = watched("abcdef")
    assert silence.review(now_ms + 5_000, now_ms + 5_020) == []


TERMS = LeaseTerms(length_ms=1_000, margin_ms=200)


class LeaseMachine(RuleBasedStateMachine):
    """Two instances, one lease, a table that loses answers; each may be paused."""

    lease_class: type = GroupLease

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.now_ms = 0.0
        self.leases = [self.lease_class("lease", name, TERMS) for name in "ab"]
        self.watches = [LapseWatch(TERMS, 100.0) for _ in "ab"]

    @rule(index=st.integers(0, 1), lost=st.booleans())
    def works(self, index, lost):
        lease, watch = self.leases[index], self.watches[index]
        row: Row | None = self.platform.rows.get("lease")
        if lease.state == "held":
            self.write(lease, lease.renew(self.now_ms), lost)
            return
        if row is not None:
            watch.saw("lease", row.version, self.now_ms)
        if row is None or row.value["free"] or watch.lapsed("lease"):
            self.write(lease, lease.take(row, self.now_ms), lost)

    def write(self, lease, transaction, lost):
        outcome = self.platform.apply(transaction)
        lease.answered(Unsure("lost") if lost else outcome)
        if isinstance(outcome, Committed) and not lost:
            assert lease.state == "held"

    @rule(index=st.integers(0, 1), rounds=st.integers(1, 20))
    def works_while_the_other_is_paused(self, index, rounds):
        """Long enough for the other's lease to lapse, which single steps never were."""
        for _ in range(rounds):
            self.now_ms += 90
            self.works(index, lost=False)

    @rule(index=st.integers(0, 1))
    def hands_back(self, index):
        lease = self.leases[index]
        if lease.state == "held":
            self.platform.apply(lease.hand_back())

    @rule(ms=st.floats(1, 90))
    def time_passes(self, ms):
        self.now_ms += ms

    @rule()
    def a_pause(self):
        self.now_ms += 5_000

    @invariant()
    def at_most_one_is_sure_of_it(self):
        sure = [each for each in self.leases if each.surely_held(self.now_ms)]
        assert len(sure) <= 1
        epochs = [each.epoch for each in sure]
        if sure:
            assert epochs[0] == self.platform.rows["lease"].value["epoch"]


class NaiveLease(GroupLease):
    """Holds the lease until somebody says otherwise."""

    def surely_held(self, now_ms, need_ms=0.0):
        return self.state == "held"


class NaiveLeaseMachine(LeaseMachine):
    lease_class = NaiveLease


def test_the_naive_version_has_two_holders_at_once():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveLeaseMachine, settings=until_broken(60))


def test_two_holders_are_never_both_sure():
    run_state_machine_as_test(LeaseMachine, settings=schedules(300, steps=60))


def test_an_outage_makes_no_lease_look_lapsed():
    watch = LapseWatch(TERMS, step_ms=100.0)
    watch.saw("lease", 1, 0.0)
    watch.saw("lease", 1, 60_000.0)
    assert not watch.lapsed("lease")


def test_an_instance_that_was_paused_is_isolated_until_it_reaches_somebody():
    isolation = Isolation(limit_ms=500)
    assert isolation.isolated(0.0)
    isolation.reached(0.0)
    assert not isolation.isolated(400.0)
    assert isolation.isolated(10_000.0)

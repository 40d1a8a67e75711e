"""Evidence for new work, silence detection, leases and isolation."""

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
from tests.common.examples import schedules, until_failure
from tests.common.fake_platform import FakePlatform

FRESH_MS = 1_000.0
INCARNATIONS = st.sampled_from(["i-1", "i-2", "i-3"])


class EvidenceMachine(RuleBasedStateMachine):
    """Reports about one endpoint arrive late, in any order and from any source."""

    book_class: type = EvidenceBook

    def __init__(self):
        super().__init__()
        self.book = self.book_class(FRESH_MS)
        self.now_ms = 0.0
        self.left_incarnations: set[str] = set()
        self.replaced_incarnations: set[str] = set()
        self.current = ""
        self.seen_ms = float("-inf")
        self.listed_leaving = False
        self.unlisted = False

    @rule(incarnation=INCARNATIONS, leaving=st.booleans(), age_ms=st.floats(0, 3_000))
    def receive_status(self, incarnation, leaving, age_ms):
        accepted = self.book.record_status(
            "e", incarnation, leaving, self.now_ms - age_ms
        )
        if self.book_class is EvidenceBook:
            assert accepted == (incarnation not in self.replaced_incarnations)
        if incarnation in self.replaced_incarnations:
            return
        if self.current not in ("", incarnation):
            self.replaced_incarnations.add(self.current)
        self.current = incarnation
        self.seen_ms = max(self.seen_ms, self.now_ms - age_ms)
        if leaving or self.listed_leaving:
            self.left_incarnations.add(incarnation)

    @rule(leaving=st.booleans())
    def read_list(self, leaving):
        self.book.record_listed("e", leaving)
        self.listed_leaving = leaving
        self.unlisted = False
        if leaving and self.current:
            self.left_incarnations.add(self.current)

    @rule()
    def read_list_without_it(self):
        self.book.record_unlisted("e")
        self.listed_leaving = False
        self.unlisted = True

    @rule(incarnation=INCARNATIONS)
    def receive_leaving_mark(self, incarnation):
        self.book.record_mark(LeavingMark("e", incarnation))
        self.left_incarnations.add(incarnation)

    @rule()
    def refuse_connection(self):
        self.book.record_refused("e")
        self.seen_ms = float("-inf")

    @rule(ms=st.floats(0, 2_000))
    def advance_time(self, ms):
        self.now_ms += ms

    @invariant()
    def new_work_requires_fresh_evidence(self):
        if self.book.may_take_new_work("e", self.now_ms):
            assert self.current not in self.left_incarnations
            assert not self.listed_leaving
            assert not self.unlisted
            assert self.now_ms - self.seen_ms <= FRESH_MS

    @invariant()
    def a_sound_endpoint_takes_new_work(self):
        if self.book_class is not EvidenceBook:
            return
        left = self.listed_leaving or self.current in self.left_incarnations
        fresh = self.now_ms - self.seen_ms <= FRESH_MS
        if fresh and self.current and not left and not self.unlisted:
            assert self.book.may_take_new_work("e", self.now_ms)


class LatestReportBook:
    """Follows the latest report, of any source and age."""

    def __init__(self, fresh_ms):
        self.serving = False

    def record_status(self, endpoint_id, incarnation, leaving, asked_ms):
        self.serving = not leaving
        return True

    def record_listed(self, endpoint_id, leaving):
        self.serving = not leaving

    def record_unlisted(self, endpoint_id):
        self.serving = False

    def record_mark(self, mark):
        self.serving = False

    def record_refused(self, endpoint_id):
        self.serving = False

    def may_take_new_work(self, endpoint_id, now_ms):
        return self.serving


class LatestReportMachine(EvidenceMachine):
    book_class = LatestReportBook


def test_an_evidence_book_without_rules_gives_a_leaving_endpoint_new_work():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(LatestReportMachine, settings=until_failure())


def test_a_leaving_endpoint_gets_no_new_work_despite_late_reports():
    run_state_machine_as_test(EvidenceMachine, settings=schedules(300))


def test_an_endpoint_that_is_listed_again_takes_new_work():
    book = EvidenceBook(FRESH_MS)
    book.record_status("e", "i-1", False, 0.0)
    book.record_unlisted("e")
    assert not book.may_take_new_work("e", 1.0)
    assert book.leaving_marks() == []
    book.record_listed("e", False)
    assert book.may_take_new_work("e", 2.0)


def test_an_endpoint_that_was_marked_stays_so_while_the_list_lacks_it():
    book = EvidenceBook(FRESH_MS)
    book.record_status("e", "i-1", False, 0.0)
    book.record_listed("e", True)
    book.record_unlisted("e")
    book.record_listed("e", False)
    assert not book.may_take_new_work("e", 1.0)


def run_active_streams(endpoints, until_ms=1_000.0):
    silence = SilenceWatch()
    for name in endpoints:
        silence.add_stream(name, 0.0)
    now_ms = 0.0
    while now_ms < until_ms:
        now_ms += 20.0
        for name in endpoints:
            silence.record_tokens(name, now_ms)
        silence.newly_silent(now_ms, now_ms + 20.0)
    return silence, now_ms


def collect_silent(silence, now_ms, for_ms, active=()):
    silent = []
    end_ms = now_ms + for_ms
    while now_ms < end_ms:
        now_ms += 20.0
        for name in active:
            silence.record_tokens(name, now_ms)
        silent += silence.newly_silent(now_ms, now_ms + 20.0)
    return silent


def test_a_silent_endpoint_is_reported_once():
    silence, now_ms = run_active_streams("abcdef")
    assert collect_silent(silence, now_ms, 2_000, active="bcdef") == ["a"]


def test_a_slow_down_of_most_endpoints_reports_none():
    silence, now_ms = run_active_streams("abcdef")
    assert collect_silent(silence, now_ms, 2_000, active="f") == []
    assert silence.slow_downs > 0


def test_a_late_review_reports_no_endpoint():
    silence, now_ms = run_active_streams("abcdef")
    assert silence.newly_silent(now_ms + 5_000, now_ms + 5_020) == []


TERMS = LeaseTerms(length_ms=1_000, margin_ms=200)


class LeaseMachine(RuleBasedStateMachine):
    """Two instances that may pause, one lease, and a table that loses responses."""

    lease_class: type = GroupLease

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.now_ms = 0.0
        self.leases = [self.lease_class("lease", name, TERMS) for name in "ab"]
        self.watches = [LapseWatch(TERMS, 100.0) for _ in "ab"]

    @rule(index=st.integers(0, 1), lost=st.booleans())
    def run_one(self, index, lost):
        lease, watch = self.leases[index], self.watches[index]
        row: Row | None = self.platform.rows.get("lease")
        if lease.state == "held":
            self.write(lease, lease.renew(self.now_ms), lost)
            return
        if row is not None:
            watch.record_version("lease", row.version, self.now_ms)
        if row is None or row.value["free"] or watch.is_lapsed("lease"):
            self.write(lease, lease.acquire(row, self.now_ms), lost)

    def write(self, lease, transaction, lost):
        outcome = self.platform.apply(transaction)
        lease.apply_outcome(Unsure("lost") if lost else outcome)
        if isinstance(outcome, Committed) and not lost:
            assert lease.state == "held"

    @rule(index=st.integers(0, 1), rounds=st.integers(1, 20))
    def run_while_the_other_is_paused(self, index, rounds):
        """Run long enough for the other's lease to lapse, which single steps don't."""
        for _ in range(rounds):
            self.now_ms += 90
            self.run_one(index, lost=False)

    @rule(index=st.integers(0, 1))
    def release(self, index):
        lease = self.leases[index]
        if lease.state == "held":
            self.platform.apply(lease.release())

    @rule(ms=st.floats(1, 90))
    def advance_time(self, ms):
        self.now_ms += ms

    @rule()
    def pause_all(self):
        self.now_ms += 5_000

    @invariant()
    def at_most_one_surely_holds_the_lease(self):
        held = [lease for lease in self.leases if lease.surely_held(self.now_ms)]
        assert len(held) <= 1
        epochs = [lease.epoch for lease in held]
        if held:
            assert epochs[0] == self.platform.rows["lease"].value["epoch"]


class NonExpiringLease(GroupLease):
    """Holds the lease without expiry."""

    def surely_held(self, now_ms, need_ms=0.0):
        return self.state == "held"


class NonExpiringLeaseMachine(LeaseMachine):
    lease_class = NonExpiringLease


def test_a_lease_without_expiry_has_two_holders_at_once():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NonExpiringLeaseMachine, settings=until_failure(60))


def test_at_most_one_instance_surely_holds_the_lease():
    run_state_machine_as_test(LeaseMachine, settings=schedules(300, steps=60))


def test_a_store_outage_does_not_make_a_lease_lapse():
    watch = LapseWatch(TERMS, step_ms=100.0)
    watch.record_version("lease", 1, 0.0)
    watch.record_version("lease", 1, 60_000.0)
    assert not watch.is_lapsed("lease")


def test_a_paused_instance_is_isolated_until_it_reaches_another():
    isolation = Isolation(limit_ms=500)
    assert isolation.isolated(0.0)
    isolation.record_response(0.0)
    assert not isolation.isolated(400.0)
    assert isolation.isolated(10_000.0)

"""Routes, belief and its age, the directory of endpoints, numbered events."""

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from coursekeel.answers import OfferKind
from coursekeel.forwarding import (
    EndpointDirectory,
    EndpointRecord,
    EventLedger,
    ForwardingConfiguration,
    Freshness,
    PoolShare,
    Route,
    RouteKind,
    RouteTable,
    StoreClock,
    StoreMoment,
    Team,
    event_number,
    key_digest,
    proven_moment_ms,
    split_events,
)
from tests.common.moments import at

ONE_POOL = (PoolShare("p"),)


def route(prefix: str, host: str = "a.example", pools=ONE_POOL) -> Route:
    return Route(prefix, host, prefix, RouteKind.SINGLE, pools)


def table(*prefixes: str, teams=()) -> RouteTable:
    routes = tuple(route(each) for each in prefixes)
    return RouteTable(ForwardingConfiguration(1, routes, (), teams))


# Routes.


@given(
    st.lists(st.text("ab", min_size=1, max_size=2), max_size=6),
    st.lists(st.text("ab", min_size=1, max_size=2), min_size=1, max_size=4),
)
def test_the_longest_prefix_is_the_one_that_a_scan_finds(names, path_parts):
    prefixes = {"/" + "/".join(names[:end]) + "/" for end in range(1, len(names) + 1)}
    path = "/" + "/".join(path_parts)
    fitting = [each for each in prefixes if path.startswith(each)]
    found = table(*prefixes).route("a.example", path)
    assert (found.path_prefix if found else None) == max(fitting, key=len, default=None)


def test_a_route_of_another_host_is_not_found():
    assert table("/x/").route("b.example", "/x/1") is None
    assert table("/x/").route("A.EXAMPLE", "/x/1") is not None


def test_a_key_names_its_team_only_while_the_configuration_holds_it():
    with_key = table(teams=(Team("ikeja", (key_digest("k1"), key_digest("k2"))),))
    assert with_key.team("k2").name == "ikeja"
    assert with_key.team("k3") is None
    assert table().team("k1") is None


def test_a_pool_of_weight_0_is_never_picked():
    split = route("/x/", pools=(PoolShare("p", 0), PoolShare("q", 1)))
    assert {split.pick_pool(Random(seed)) for seed in range(20)} == {"q"}
    assert route("/x/", pools=()).pick_pool(Random(1)) == ""


# Freshness.


def test_a_reading_proves_the_moment_it_was_asked_for():
    assert proven_moment_ms(100.0, 180.0, 0.0) == 100.0


def test_an_empty_answer_that_was_held_proves_the_end_of_the_hold():
    assert 2_090 <= proven_moment_ms(100.0, 2_105.0, 2_000.0) <= 2_100


def test_a_hold_that_ended_early_proves_no_more_than_its_beginning():
    assert proven_moment_ms(100.0, 600.0, 2_000.0) == 100.0


def test_an_answer_from_the_past_proves_only_the_past():
    clock = StoreClock()
    assert clock.latest_ms(0, 1_000.0, 5_004.0) == 5_004.0
    drift_ms = 0.001 * 4_000.0
    assert 6_004.0 <= clock.latest_ms(0, 2_000.0, 9_004.0) <= 6_004.0 + drift_ms


def test_an_answer_was_made_no_earlier_than_its_question_nor_than_the_clock_tells():
    clock = StoreClock()
    assert clock.earliest_ms(0, 1_000.0, 5_000.0) == 5_000.0
    assert 5_499.9 <= clock.earliest_ms(0, 1_500.0, 5_100.0) <= 5_500.0
    assert clock.earliest_ms(1, 9_000.0, 5_200.0) == 5_200.0


class _BeliefUnderFaults(RuleBasedStateMachine):
    """A store whose truth changes, a reader that is frozen and answered late.

    Whatever happens, what the reader holds was true at a moment no older than the age
    it names.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 10_000.0
        self.freshness = Freshness()
        self.clock = StoreClock()
        self.changed_ms = [0.0]
        self.held_version: int | None = None

    @rule(wait_ms=st.floats(1, 5_000))
    def time_passes(self, wait_ms):
        self.now_ms += wait_ms

    @rule()
    def the_truth_changes(self):
        self.changed_ms.append(self.now_ms)

    @rule(
        there_ms=st.floats(0, 500),
        hold_ms=st.sampled_from([0.0, 2_000.0]),
        back_ms=st.floats(0, 500),
        frozen_ms=st.sampled_from([0.0, 0.0, 4_000.0]),
    )
    def the_store_is_asked(self, there_ms, hold_ms, back_ms, frozen_ms):
        sent_ms = self.now_ms
        version = len(self.changed_ms) - 1
        fresh = hold_ms and self.held_version == version
        made_ms = sent_ms + there_ms + (hold_ms if fresh else 0.0)
        self.now_ms = made_ms + back_ms + frozen_ms
        self.held_version = version
        held_ms = hold_ms if fresh else 0.0
        moment_ms = proven_moment_ms(sent_ms, self.now_ms, held_ms)
        store_ms = made_ms - 7_777.0
        latest_ms = self.clock.latest_ms(0, store_ms, self.now_ms)
        earliest_ms = self.clock.earliest_ms(0, store_ms, sent_ms)
        self.freshness.proved("t", min(moment_ms, earliest_ms, latest_ms))

    @invariant()
    def what_is_held_was_true_no_longer_ago_than_its_age(self):
        age_ms = self.freshness.age_ms("t", self.now_ms)
        if self.held_version is None:
            assert math.isinf(age_ms)
            return
        overtaken = self.changed_ms[self.held_version + 1 :]
        if overtaken:
            assert self.now_ms - age_ms <= overtaken[0]


TestFreshnessUnderFaults = _BeliefUnderFaults.TestCase


# The directory.


def endpoint(name: str, port: int = 1, leaving: bool = False) -> EndpointRecord:
    return EndpointRecord(name, "p", "10.0.0.1", port, "z", 4, leaving)


def test_an_older_row_changes_nothing():
    directory = EndpointDirectory()
    directory.put(endpoint("a", leaving=True), at(7))
    directory.put(endpoint("a"), at(6))
    assert not directory.may_take("a", 0.0)


def test_a_leaving_or_gone_endpoint_takes_nothing():
    directory = EndpointDirectory()
    directory.put(endpoint("a"), at(1))
    assert directory.may_take("a", 0.0)
    directory.put(endpoint("a", leaving=True), at(2))
    assert not directory.may_take("a", 0.0)
    directory.remove("a", at(3))
    assert not directory.may_take("a", 0.0)


def test_of_two_incarnations_at_an_address_the_newer_is_served():
    directory = EndpointDirectory()
    directory.put(endpoint("new"), at(9))
    directory.put(endpoint("old"), at(4))
    directory.put(endpoint("other", port=2), at(1))
    assert sorted(directory.pools()["p"]) == ["new", "other"]


def test_a_whole_list_takes_away_what_it_does_not_name():
    directory = EndpointDirectory()
    directory.put(endpoint("a"), at(1))
    directory.replace_all([(endpoint("b", port=2), at(2))])
    assert directory.pools() == {"p": ["b"]}


def test_entries_that_lapsed_in_an_outage_serve_until_the_list_settles():
    directory = EndpointDirectory()
    directory.put(endpoint("a"), at(1))
    directory.put(endpoint("b", port=2), at(2))
    directory.store_returned()
    directory.remove("a", at(3))
    directory.replace_all([])
    assert sorted(directory.pools()["p"]) == ["a", "b"]
    assert directory.may_take("a", 0.0)
    directory.put(endpoint("b", port=2), at(4))
    assert directory.settle() == ["a"]
    assert directory.pools() == {"p": ["b"]}
    directory.remove("b", at(5))
    assert directory.pools() == {}


def test_an_endpoint_that_was_leaving_when_its_entry_lapsed_is_gone():
    directory = EndpointDirectory()
    directory.put(endpoint("a", leaving=True), at(1))
    directory.store_returned()
    directory.remove("a", at(2))
    assert directory.record("a") is None


def test_own_evidence_holds_for_an_entry_that_lapsed():
    directory = EndpointDirectory()
    directory.put(endpoint("a"), at(1))
    directory.store_returned()
    directory.remove("a", at(2))
    directory.failed("a", 0.0)
    assert not directory.may_take("a", 1.0)


def test_an_ejection_doubles_while_proofs_follow_each_other():
    directory = EndpointDirectory()
    directory.put(endpoint("a"), at(1))
    first = directory.failed("a", 0.0)
    assert not directory.may_take("a", first - 1)
    assert directory.may_take("a", first)
    second = directory.failed("a", first)
    assert second == 2 * first
    assert directory.failed("a", 60_000.0) == first


def test_a_failure_while_ejected_adds_nothing():
    directory = EndpointDirectory()
    directory.put(endpoint("a"), at(1))
    first = directory.failed("a", 0.0)
    assert directory.failed("a", 10.0) == first - 10.0


def test_a_replaced_incarnation_is_never_trusted_again():
    directory = EndpointDirectory()
    directory.put(endpoint("a"), at(1))
    directory.replaced("a")
    assert not directory.may_take("a", 1e9)


# Numbered events.


def event(number: int) -> bytes:
    return b"id: %d\ndata: x%d\n\n" % (number, number)


@given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(1, 5)), max_size=12),
)
def test_each_event_stands_once_and_in_order(offers):
    ledger = EventLedger()
    taken = b""
    for start, count in offers:
        numbers = list(range(start + 1, start + 1 + count))
        held = ledger.next_position
        offer = ledger.offer(start, numbers, [event(each) for each in numbers])
        assert (offer.kind is OfferKind.GAP) == (start > held)
        taken += ledger.take()
    assert taken == b"".join(event(each + 1) for each in range(ledger.next_position))


def test_a_ledger_goes_on_from_what_the_caller_holds():
    ledger = EventLedger(12)
    assert ledger.offer(11, [12], [event(12)]).kind is OfferKind.REPEATED
    assert ledger.offer(12, [13], [event(13)]).kind is OfferKind.EXTENDED
    assert ledger.take() == event(13)


@given(st.integers(0, 6), st.data())
def test_events_come_whole_however_the_bytes_are_cut(count, data):
    whole = b"".join(event(each) for each in range(count))
    buffer, got = bytearray(), []
    while whole:
        cut = data.draw(st.integers(1, len(whole)))
        buffer += whole[:cut]
        whole = whole[cut:]
        got += split_events(buffer)
    assert got == [event(each) for each in range(count)]
    assert not buffer


def test_a_torn_event_stays_in_the_buffer():
    buffer = bytearray(event(1) + b"id: 2\nda")
    assert split_events(buffer) == [event(1)]
    assert bytes(buffer) == b"id: 2\nda"


def test_an_event_may_begin_with_another_line():
    assert event_number(b"weight-versions: 3\nid: 4\ndata: x\n\n") == 4
    assert event_number(b"data: x\n\n") is None


# The store comes back from an older copy.


def test_versions_that_are_given_out_again_count_as_later():
    directory = EndpointDirectory()
    directory.put(endpoint("a"), at(412))
    directory.put(endpoint("a", leaving=True), at(12, era=1))
    assert not directory.may_take("a", 0.0)
    directory.put(endpoint("a"), at(413))
    assert not directory.may_take("a", 0.0), "a late word of the era before"


def test_a_copy_brings_nothing_back_to_life_and_takes_nothing_away_at_once():
    directory = EndpointDirectory()
    for port, name in enumerate(("lives", "lacked", "leaves", "gone"), 1):
        directory.put(endpoint(name, port), at(port))
    directory.put(endpoint("leaves", 3, leaving=True), at(8))
    directory.remove("gone", at(9))
    copy = [
        (endpoint(name, port), at(port, era=1))
        for port, name in ((1, "lives"), (3, "leaves"), (4, "gone"))
    ]
    directory.restore(copy)
    taking = [
        each
        for each in ("lives", "lacked", "leaves", "gone")
        if directory.may_take(each, 0.0)
    ]
    assert taking == ["lives", "lacked"]
    assert directory.settle() == ["lacked"]


def test_an_endpoint_that_registers_after_a_restore_is_served_whatever_was_known():
    directory = EndpointDirectory()
    directory.put(endpoint("a"), at(3))
    directory.remove("a", at(4))
    directory.restore([(endpoint("a"), at(3, era=1))])
    directory.put(endpoint("a"), at(4, era=1))
    assert directory.may_take("a", 0.0)


def test_a_restored_stores_clock_is_learned_anew():
    clock = StoreClock()
    assert clock.latest_ms(0, 9_000.0, 9_004.0) == 9_004.0
    assert clock.latest_ms(1, 1_000.0, 9_504.0) == 9_504.0


def test_a_moment_is_written_and_read():
    assert StoreMoment.parse(str(at(412, era=3))) == at(412, era=3)
    for text in ("412", "x.1", "1.", "-1.2"):
        with pytest.raises(ValueError):
            StoreMoment.parse(text)


@pytest.mark.parametrize("drift", [-1e-4, 1e-4])
def test_clocks_that_drift_apart_for_a_day_still_tell_when_an_answer_was_made(drift):
    """A hundredth of a percent is usual for clocks that nobody sets (8.6 s a day). The
    bounds of the clocks' difference must not outlive what they were taken from."""
    clock = StoreClock()
    for second in range(24 * 3_600):
        made_ms = second * 1_000.0
        store_ms = 77_000.0 + made_ms * (1 + drift)
        earliest_ms = clock.earliest_ms(0, store_ms, made_ms - 5.0)
        latest_ms = clock.latest_ms(0, store_ms, made_ms + 5.0)
        assert made_ms - 30.0 <= earliest_ms <= made_ms <= latest_ms <= made_ms + 30.0


@pytest.mark.parametrize("jump_ms", [-6_000.0, 6_000.0])
def test_a_store_whose_clock_stood_still_or_jumped_is_believed_again_in_time(jump_ms):
    """Its machine was suspended, say. A single answer may come from a copy that lags;
    what all answers say for longer than that is the store's clock."""
    clock = StoreClock()

    def ask(made_ms: float, jumped_ms: float) -> tuple[float, float]:
        store_ms = 77_000.0 + made_ms + jumped_ms
        earliest_ms = clock.earliest_ms(0, store_ms, made_ms - 5.0)
        return earliest_ms - made_ms, clock.latest_ms(
            0, store_ms, made_ms + 5.0
        ) - made_ms

    for second in range(60):
        ask(second * 1_000.0, 0.0)
    for second in range(60, 120):
        told = ask(second * 1_000.0, jump_ms)
    assert told == (pytest.approx(0.0, abs=60.0), pytest.approx(0.0, abs=60.0))


def test_a_copy_that_lags_for_some_seconds_is_not_taken_for_the_stores_clock():
    clock = StoreClock()
    for second in range(60):
        made_ms, lags_ms = second * 1_000.0, 5_000.0 if 20 <= second < 32 else 0.0
        store_ms = 77_000.0 + made_ms - lags_ms
        clock.earliest_ms(0, store_ms, made_ms - 5.0)
        latest_ms = clock.latest_ms(0, store_ms, made_ms + 5.0)
        assert latest_ms <= made_ms - lags_ms + 60.0

"""Routes, freshness of cached store state, endpoint directory, event streams."""

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from coursekeel.answers import OfferOutcome
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
    StorePosition,
    Team,
    confirmed_time_ms,
    event_number,
    key_digest,
    split_events,
)
from tests.common.moments import position_at

ONE_POOL = (PoolShare("p"),)


def make_route(prefix: str, host: str = "a.example", pools=ONE_POOL) -> Route:
    return Route(prefix, host, prefix, RouteKind.SINGLE, pools)


def make_table(*prefixes: str, teams=()) -> RouteTable:
    routes = tuple(make_route(prefix) for prefix in prefixes)
    return RouteTable(ForwardingConfiguration(1, routes, (), teams))


# Routes.


@given(
    st.lists(st.text("ab", min_size=1, max_size=2), max_size=6),
    st.lists(st.text("ab", min_size=1, max_size=2), min_size=1, max_size=4),
)
def test_route_lookup_finds_the_longest_prefix(names, path_parts):
    prefixes = {"/" + "/".join(names[:end]) + "/" for end in range(1, len(names) + 1)}
    path = "/" + "/".join(path_parts)
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    match = make_table(*prefixes).route("a.example", path)
    assert (match.path_prefix if match else None) == max(
        matching, key=len, default=None
    )


def test_route_lookup_matches_the_host_ignoring_case():
    assert make_table("/x/").route("b.example", "/x/1") is None
    assert make_table("/x/").route("A.EXAMPLE", "/x/1") is not None


def test_a_key_maps_to_its_team_only_while_configured():
    with_key = make_table(teams=(Team("ikeja", (key_digest("k1"), key_digest("k2"))),))
    assert with_key.team("k2").name == "ikeja"
    assert with_key.team("k3") is None
    assert make_table().team("k1") is None


def test_a_pool_with_weight_0_is_never_picked():
    split = make_route("/x/", pools=(PoolShare("p", 0), PoolShare("q", 1)))
    assert {split.pick_pool(Random(seed)) for seed in range(20)} == {"q"}
    assert make_route("/x/", pools=()).pick_pool(Random(1)) == ""


# Freshness.


def test_a_read_confirms_the_time_at_which_it_was_sent():
    assert confirmed_time_ms(100.0, 180.0, 0.0) == 100.0


def test_an_empty_long_poll_confirms_the_end_of_the_hold():
    assert 2_090 <= confirmed_time_ms(100.0, 2_105.0, 2_000.0) <= 2_100


def test_a_long_poll_that_ended_early_confirms_only_its_start():
    assert confirmed_time_ms(100.0, 600.0, 2_000.0) == 100.0


def test_a_delayed_response_confirms_only_the_time_it_was_made():
    clock = StoreClock()
    assert clock.latest_ms(0, 1_000.0, 5_004.0) == 5_004.0
    drift_ms = 0.001 * 4_000.0
    assert 6_004.0 <= clock.latest_ms(0, 2_000.0, 9_004.0) <= 6_004.0 + drift_ms


def test_earliest_response_time_is_bounded_by_the_request_and_the_offset():
    clock = StoreClock()
    assert clock.earliest_ms(0, 1_000.0, 5_000.0) == 5_000.0
    assert 5_499.9 <= clock.earliest_ms(0, 1_500.0, 5_100.0) <= 5_500.0
    assert clock.earliest_ms(1, 9_000.0, 5_200.0) == 5_200.0


class _FreshnessUnderFaults(RuleBasedStateMachine):
    """A store whose state changes, and a reader with pauses and late responses.

    The reader's cached state was current at a time no longer ago than its age.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 10_000.0
        self.freshness = Freshness()
        self.clock = StoreClock()
        self.changed_ms = [0.0]
        self.cached_version: int | None = None

    @rule(wait_ms=st.floats(1, 5_000))
    def advance_time(self, wait_ms):
        self.now_ms += wait_ms

    @rule()
    def change_the_state(self):
        self.changed_ms.append(self.now_ms)

    @rule(
        request_delay_ms=st.floats(0, 500),
        hold_ms=st.sampled_from([0.0, 2_000.0]),
        response_delay_ms=st.floats(0, 500),
        pause_ms=st.sampled_from([0.0, 0.0, 4_000.0]),
    )
    def read_from_the_store(
        self, request_delay_ms, hold_ms, response_delay_ms, pause_ms
    ):
        sent_ms = self.now_ms
        version = len(self.changed_ms) - 1
        fresh = hold_ms and self.cached_version == version
        made_ms = sent_ms + request_delay_ms + (hold_ms if fresh else 0.0)
        self.now_ms = made_ms + response_delay_ms + pause_ms
        self.cached_version = version
        held_ms = hold_ms if fresh else 0.0
        moment_ms = confirmed_time_ms(sent_ms, self.now_ms, held_ms)
        store_ms = made_ms - 7_777.0
        latest_ms = self.clock.latest_ms(0, store_ms, self.now_ms)
        earliest_ms = self.clock.earliest_ms(0, store_ms, sent_ms)
        self.freshness.record_confirmation("t", min(moment_ms, earliest_ms, latest_ms))

    @invariant()
    def cached_state_was_current_within_its_age(self):
        age_ms = self.freshness.age_ms("t", self.now_ms)
        if self.cached_version is None:
            assert math.isinf(age_ms)
            return
        later_changes = self.changed_ms[self.cached_version + 1 :]
        if later_changes:
            assert self.now_ms - age_ms <= later_changes[0]


TestFreshnessUnderFaults = _FreshnessUnderFaults.TestCase


# Endpoint directory.


def make_record(name: str, port: int = 1, leaving: bool = False) -> EndpointRecord:
    return EndpointRecord(name, "p", "10.0.0.1", port, "z", 4, leaving)


def test_an_older_record_is_ignored():
    directory = EndpointDirectory()
    directory.put(make_record("a", leaving=True), position_at(7))
    directory.put(make_record("a"), position_at(6))
    assert not directory.may_take("a", 0.0)


def test_a_leaving_or_removed_endpoint_takes_no_work():
    directory = EndpointDirectory()
    directory.put(make_record("a"), position_at(1))
    assert directory.may_take("a", 0.0)
    directory.put(make_record("a", leaving=True), position_at(2))
    assert not directory.may_take("a", 0.0)
    directory.remove("a", position_at(3), 0.0)
    assert not directory.may_take("a", 0.0)


def test_the_newer_of_two_incarnations_at_an_address_is_used():
    directory = EndpointDirectory()
    directory.put(make_record("new"), position_at(9))
    directory.put(make_record("old"), position_at(4))
    directory.put(make_record("other", port=2), position_at(1))
    assert sorted(directory.pools()["p"]) == ["new", "other"]


def test_a_whole_list_removes_what_it_does_not_name():
    directory = EndpointDirectory()
    directory.put(make_record("a"), position_at(1))
    directory.replace_all(
        [(make_record("b", port=2), position_at(2))], position_at(2), 0.0
    )
    assert directory.pools() == {"p": ["b"]}


def test_endpoints_missing_after_an_outage_serve_until_settled():
    directory = EndpointDirectory()
    directory.put(make_record("a"), position_at(1))
    directory.put(make_record("b", port=2), position_at(2))
    directory.begin_recovery(0.0)
    directory.remove("a", position_at(3), 0.0)
    directory.replace_all([], position_at(3), 0.0)
    assert sorted(directory.pools()["p"]) == ["a", "b"]
    assert directory.may_take("a", 0.0)
    directory.put(make_record("b", port=2), position_at(4))
    assert directory.remove_missing(1_499.0, 0.0) == []
    assert directory.remove_missing(1_500.0, 0.0) == ["a"]
    assert directory.pools() == {"p": ["b"]}
    directory.remove("b", position_at(5), 2_000.0)
    assert directory.pools() == {}


def test_an_endpoint_is_missing_since_the_first_list_without_it():
    """Guards against a time that starts again with each outage."""
    directory = EndpointDirectory()
    directory.put(make_record("a"), position_at(1))
    directory.begin_recovery(0.0)
    directory.remove("a", position_at(2), 100.0)
    directory.begin_recovery(1_000.0)
    directory.replace_all([], position_at(3), 1_100.0)
    directory.restore([], position_at(1, era=1), 1_200.0)
    assert directory.missing.since_ms("a") == 100.0
    directory.put(make_record("a"), position_at(2, era=1))
    assert directory.missing.since_ms("a") is None


def test_a_leaving_endpoint_missing_after_an_outage_is_removed():
    directory = EndpointDirectory()
    directory.put(make_record("a", leaving=True), position_at(1))
    directory.begin_recovery(0.0)
    directory.remove("a", position_at(2), 0.0)
    assert directory.record("a") is None


def test_a_missing_endpoint_can_be_ejected():
    directory = EndpointDirectory()
    directory.put(make_record("a"), position_at(1))
    directory.begin_recovery(0.0)
    directory.remove("a", position_at(2), 0.0)
    directory.eject("a", 0.0)
    assert not directory.may_take("a", 1.0)


def test_ejection_time_doubles_for_successive_failures():
    directory = EndpointDirectory()
    directory.put(make_record("a"), position_at(1))
    first = directory.eject("a", 0.0)
    assert not directory.may_take("a", first - 1)
    assert directory.may_take("a", first)
    second = directory.eject("a", first)
    assert second == 2 * first
    assert directory.eject("a", 60_000.0) == first


def test_a_first_ejection_lasts_as_long_as_asked_for_at_least():
    directory = EndpointDirectory()
    directory.put(make_record("a"), position_at(1))
    assert directory.eject("a", 0.0, least_ms=2_200.0) == 2_200.0
    directory.end_ejection("a")
    assert directory.may_take("a", 1.0)
    assert directory.eject("a", 1.0) < 2_200.0


def test_a_failure_while_ejected_does_not_extend_the_ejection():
    directory = EndpointDirectory()
    directory.put(make_record("a"), position_at(1))
    first = directory.eject("a", 0.0)
    assert directory.eject("a", 10.0) == first - 10.0


def test_a_replaced_incarnation_is_never_used_again():
    directory = EndpointDirectory()
    directory.put(make_record("a"), position_at(1))
    directory.mark_replaced("a")
    assert not directory.may_take("a", 1e9)


# Event streams.


def event(number: int) -> bytes:
    return b"id: %d\ndata: x%d\n\n" % (number, number)


@given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(1, 5)), max_size=12),
)
def test_each_event_is_accepted_once_and_in_order(offers):
    ledger = EventLedger()
    accepted = b""
    for start, count in offers:
        numbers = list(range(start + 1, start + 1 + count))
        held = ledger.next_position
        offer = ledger.offer(start, numbers, [event(number) for number in numbers])
        assert (offer.kind is OfferOutcome.GAP) == (start > held)
        accepted += ledger.take()
    assert accepted == b"".join(event(n + 1) for n in range(ledger.next_position))


def test_a_ledger_resumes_after_the_callers_last_event():
    ledger = EventLedger(12)
    assert ledger.offer(11, [12], [event(12)]).kind is OfferOutcome.REPEATED
    assert ledger.offer(12, [13], [event(13)]).kind is OfferOutcome.EXTENDED
    assert ledger.take() == event(13)


@given(st.integers(0, 6), st.data())
def test_events_are_split_whole_whatever_the_chunks(count, data):
    whole = b"".join(event(n) for n in range(count))
    buffer, events = bytearray(), []
    while whole:
        cut = data.draw(st.integers(1, len(whole)))
        buffer += whole[:cut]
        whole = whole[cut:]
        events += split_events(buffer)
    assert events == [event(n) for n in range(count)]
    assert not buffer


def test_an_unfinished_event_stays_in_the_buffer():
    buffer = bytearray(event(1) + b"id: 2\nda")
    assert split_events(buffer) == [event(1)]
    assert bytes(buffer) == b"id: 2\nda"


def test_the_event_number_is_found_after_other_lines():
    assert event_number(b"weight-versions: 3\nid: 4\ndata: x\n\n") == 4
    assert event_number(b"data: x\n\n") is None


# A store that is restored from an older copy.


def test_a_version_of_a_later_era_is_newer():
    directory = EndpointDirectory()
    directory.put(make_record("a"), position_at(412))
    directory.put(make_record("a", leaving=True), position_at(12, era=1))
    assert not directory.may_take("a", 0.0)
    directory.put(make_record("a"), position_at(413))
    assert not directory.may_take("a", 0.0), "a late update of the earlier era"


def test_a_restore_neither_revives_nor_removes_endpoints_at_once():
    directory = EndpointDirectory()
    for port, name in enumerate(("lives", "lacked", "leaves", "gone"), 1):
        directory.put(make_record(name, port), position_at(port))
    directory.put(make_record("leaves", 3, leaving=True), position_at(8))
    directory.remove("gone", position_at(9), 0.0)
    copy = [
        (make_record(name, port), position_at(port, era=1))
        for port, name in ((1, "lives"), (3, "leaves"), (4, "gone"))
    ]
    directory.restore(copy, position_at(4, era=1), 0.0)
    available = [
        endpoint_id
        for endpoint_id in ("lives", "lacked", "leaves", "gone")
        if directory.may_take(endpoint_id, 0.0)
    ]
    assert available == ["lives", "lacked"]
    assert directory.remove_missing(1_500.0, 0.0) == ["lacked"]


def test_an_endpoint_that_registers_after_a_restore_is_served():
    directory = EndpointDirectory()
    directory.put(make_record("a"), position_at(3))
    directory.remove("a", position_at(4), 0.0)
    directory.restore(
        [(make_record("a"), position_at(3, era=1))], position_at(3, era=1), 0.0
    )
    directory.put(make_record("a"), position_at(4, era=1))
    assert directory.may_take("a", 0.0)


def test_clock_bounds_are_reset_in_a_new_era():
    clock = StoreClock()
    assert clock.latest_ms(0, 9_000.0, 9_004.0) == 9_004.0
    assert clock.latest_ms(1, 1_000.0, 9_504.0) == 9_504.0


def test_a_store_position_round_trips_as_text():
    assert StorePosition.parse(str(position_at(412, era=3))) == position_at(412, era=3)
    for text in ("412", "x.1", "1.", "-1.2"):
        with pytest.raises(ValueError):
            StorePosition.parse(text)


@pytest.mark.parametrize("drift", [-1e-4, 1e-4])
def test_clock_bounds_stay_tight_while_clocks_drift_for_a_day(drift):
    """Guards against offset bounds that are kept for good: 0.01 % of drift, usual for
    free-running clocks, adds up to 8.6 s a day."""
    clock = StoreClock()
    for second in range(24 * 3_600):
        made_ms = second * 1_000.0
        store_ms = 77_000.0 + made_ms * (1 + drift)
        earliest_ms = clock.earliest_ms(0, store_ms, made_ms - 5.0)
        latest_ms = clock.latest_ms(0, store_ms, made_ms + 5.0)
        assert made_ms - 30.0 <= earliest_ms <= made_ms <= latest_ms <= made_ms + 30.0


@pytest.mark.parametrize("jump_ms", [-6_000.0, 6_000.0])
def test_clock_bounds_recover_after_the_stores_clock_jumps(jump_ms):
    """A store machine that was suspended, for example. A single such response may come
    from a lagging replica."""
    clock = StoreClock()

    def bounds_error(made_ms: float, jumped_ms: float) -> tuple[float, float]:
        store_ms = 77_000.0 + made_ms + jumped_ms
        earliest_ms = clock.earliest_ms(0, store_ms, made_ms - 5.0)
        return earliest_ms - made_ms, clock.latest_ms(
            0, store_ms, made_ms + 5.0
        ) - made_ms

    for second in range(60):
        bounds_error(second * 1_000.0, 0.0)
    for second in range(60, 120):
        errors = bounds_error(second * 1_000.0, jump_ms)
    assert errors == (pytest.approx(0.0, abs=60.0), pytest.approx(0.0, abs=60.0))


def test_a_short_replica_lag_does_not_reset_the_clock_bounds():
    clock = StoreClock()
    for second in range(60):
        made_ms, lags_ms = second * 1_000.0, 5_000.0 if 20 <= second < 32 else 0.0
        store_ms = 77_000.0 + made_ms - lags_ms
        clock.earliest_ms(0, store_ms, made_ms - 5.0)
        latest_ms = clock.latest_ms(0, store_ms, made_ms + 5.0)
        assert latest_ms <= made_ms - lags_ms + 60.0

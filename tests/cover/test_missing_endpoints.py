"""Endpoints that the list lacks after outages, in any order of what may follow."""

import math

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from coursekeel.forwarding import (
    EndpointDirectory,
    EndpointRecord,
    MissingEndpoints,
    RecoveryTimes,
    StorePosition,
)
from tests.common.examples import schedules

NAMES = ("a", "b", "c")
BOUND_MS = 1_500.0
OWN_STATE_MS = 800.0
TIMES = RecoveryTimes(2_000.0, BOUND_MS, OWN_STATE_MS)


def record(name: str) -> EndpointRecord:
    return EndpointRecord(name, "p", f"h{NAMES.index(name[0])}", 1, "z", 4)


class MissingEndpointsMachine(RuleBasedStateMachine):
    """Rows go and come back, and lists are read after outages and restores."""

    def __init__(self) -> None:
        super().__init__()
        self.directory = EndpointDirectory(MissingEndpoints(lambda: TIMES))
        self.now_ms = 0.0
        self.era, self.version = 0, 0
        self.rows: dict[str, tuple[EndpointRecord, StorePosition]] = {}
        self.copies: list[dict[str, tuple[EndpointRecord, StorePosition]]] = [{}]
        # When a list without the endpoint was read first, and not written since.
        self.lacked_since_ms: dict[str, float] = {}
        # When it was last asked since then and said that it serves.
        self.said_serving_ms: dict[str, float] = {}
        for name in NAMES:
            self.write(name)

    def next_position(self) -> StorePosition:
        self.version += 1
        return StorePosition(self.era, self.version)

    @rule(name=st.sampled_from(NAMES))
    def write(self, name: str) -> None:
        self.rows[name] = record(name), self.next_position()
        self.directory.put(*self.rows[name])
        self.lacked_since_ms.pop(name, None)
        self.said_serving_ms.pop(name, None)

    @rule(name=st.sampled_from(NAMES))
    def remove_row(self, name: str) -> None:
        """A change tells that a row is gone."""
        self.rows.pop(name, None)
        self.directory.remove(name, self.next_position(), self.now_ms)
        self.lacked_since_ms.setdefault(name, self.now_ms)

    @rule(gone=st.sets(st.sampled_from(NAMES)))
    def read_whole_list(self, gone: set[str]) -> None:
        for name in gone & self.rows.keys():
            del self.rows[name]
        position = self.next_position()
        self.directory.replace_all(self.rows.values(), position, self.now_ms)
        self.note_lacked()

    def note_lacked(self) -> None:
        for name in set(NAMES) - self.rows.keys():
            self.lacked_since_ms.setdefault(name, self.now_ms)

    @rule()
    def take_copy(self) -> None:
        self.copies.append(dict(self.rows))

    @rule(copy=st.integers(0, 9))
    def restore_store(self, copy: int) -> None:
        self.era += 1
        kept = self.copies[copy % len(self.copies)]
        self.rows = {
            name: (row, StorePosition(self.era, position.version))
            for name, (row, position) in kept.items()
        }
        position = StorePosition(self.era, self.version)
        self.directory.restore(self.rows.values(), position, self.now_ms)
        self.note_lacked()

    @rule()
    def end_outage(self) -> None:
        self.directory.begin_recovery(self.now_ms)

    @rule(name=st.sampled_from(NAMES))
    def adopt_successor(self, name: str) -> None:
        self.directory.adopt(name, f"{name}2", self.now_ms)

    @rule()
    def review(self) -> None:
        self.directory.remove_missing(self.now_ms, -math.inf)

    @rule()
    def review_a_settled_list(self) -> None:
        """The list is confirmed now, long enough after the last outage."""
        self.directory.remove_missing(self.now_ms, self.now_ms)

    @rule(name=st.sampled_from(NAMES), age_ms=st.sampled_from([0.0, 300.0, 2_000.0]))
    def say_serving(self, name: str, age_ms: float) -> None:
        """An endpoint that was asked some time ago says that it serves."""
        asked_ms = self.now_ms - age_ms
        self.directory.missing.record_serving(name, asked_ms)
        since_ms = self.lacked_since_ms.get(name)
        if since_ms is not None and asked_ms >= since_ms:
            said_ms = max(asked_ms, self.said_serving_ms.get(name, -math.inf))
            self.said_serving_ms[name] = said_ms

    @rule(ms=st.sampled_from([1.0, 200.0, 800.0, 1_499.0, 1_500.0, 2_500.0]))
    def advance_time(self, ms: float) -> None:
        self.now_ms += ms

    @invariant()
    def a_lacked_endpoint_is_used_for_one_bounded_time(self) -> None:
        for name, since_ms in self.lacked_since_ms.items():
            said_ms = self.said_serving_ms.get(name, -math.inf)
            if self.now_ms >= max(since_ms + BOUND_MS, said_ms + OWN_STATE_MS):
                assert not self.directory.may_take(name, self.now_ms)
                assert self.directory.serving_record(name, self.now_ms) is None

    @invariant()
    def a_listed_endpoint_is_used(self) -> None:
        for name in self.rows.keys() - self.lacked_since_ms.keys():
            assert self.directory.may_take(name, self.now_ms)

    @invariant()
    def an_adopted_endpoint_is_used_for_one_bounded_time_after_an_outage(self) -> None:
        for name in set(self.directory.missing.ids()) - set(NAMES):
            since_ms = self.directory.missing.since_ms(name)
            if self.now_ms >= since_ms + BOUND_MS:
                assert not self.directory.may_take(name, self.now_ms)


def test_no_order_of_outages_and_reads_extends_the_use_of_a_missing_endpoint():
    run_state_machine_as_test(MissingEndpointsMachine, settings=schedules(400))


def test_an_adopted_endpoint_is_used_no_longer_by_a_second_outage():
    directory = EndpointDirectory(MissingEndpoints(lambda: TIMES))
    directory.put(record("a"), StorePosition(0, 1))
    directory.adopt("a", "a2", 0.0)
    directory.begin_recovery(100.0)
    directory.begin_recovery(1_100.0)
    assert directory.may_take("a2", 100.0 + BOUND_MS - 1.0)
    assert not directory.may_take("a2", 100.0 + BOUND_MS)


def test_a_restored_copy_that_names_a_missing_endpoint_does_not_bring_it_back():
    directory = EndpointDirectory(MissingEndpoints(lambda: TIMES))
    row = record("a"), StorePosition(0, 3)
    directory.put(*row)
    directory.begin_recovery(0.0)
    directory.remove("a", StorePosition(0, 5), 0.0)
    copy = record("a"), StorePosition(1, 3)
    directory.restore([copy], StorePosition(1, 3), 100.0)
    directory.replace_all([copy], StorePosition(1, 3), 200.0)
    assert not directory.may_take("a", BOUND_MS)
    directory.put(record("a"), StorePosition(1, 4))
    assert directory.may_take("a", BOUND_MS)


def make_missing() -> EndpointDirectory:
    """A directory that lacks "a" as of 100 ms, after an outage that ended at 0."""
    directory = EndpointDirectory(MissingEndpoints(lambda: TIMES))
    directory.put(record("a"), StorePosition(0, 1))
    directory.begin_recovery(0.0)
    directory.remove("a", StorePosition(0, 2), 100.0)
    return directory


def test_an_endpoint_that_says_it_serves_is_used_while_outages_follow():
    """Guards against refusing requests while sound endpoints can't register again."""
    directory = make_missing()
    for asked_ms in range(1_000, 9_000, 500):
        directory.missing.record_serving("a", float(asked_ms))
        directory.begin_recovery(float(asked_ms))
        assert directory.remove_missing(asked_ms + 400.0, float(asked_ms)) == []
        assert directory.may_take("a", asked_ms + 400.0)
    assert not directory.may_take("a", 8_500.0 + OWN_STATE_MS)


def test_a_word_from_before_the_list_lacked_an_endpoint_does_not_keep_it():
    directory = make_missing()
    directory.missing.record_serving("a", 99.0)
    assert not directory.may_take("a", 100.0 + BOUND_MS)


def test_a_word_after_its_time_was_over_does_not_bring_an_endpoint_back():
    directory = make_missing()
    directory.missing.record_serving("a", 100.0 + BOUND_MS)
    assert not directory.may_take("a", 100.0 + BOUND_MS)


def test_an_endpoint_that_says_it_serves_is_gone_once_the_store_has_stayed():
    directory = make_missing()
    directory.missing.record_serving("a", 1_400.0)
    directory.missing.record_serving("a", 1_900.0)
    assert directory.remove_missing(2_000.0, 1_999.0) == []
    assert directory.remove_missing(2_100.0, 2_000.0) == ["a"]

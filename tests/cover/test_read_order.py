"""What is known of the store's tables never goes back by a read that is behind."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.forwarding import (
    EndpointDirectory,
    EndpointRecord,
    ReadOrder,
    ReadVerdict,
)
from tests.common.moments import position_at

NAMES = ["a", "b", "c"]


def record(name: str, leaving: bool = False) -> EndpointRecord:
    return EndpointRecord(name, "p", f"h:{NAMES.index(name) + 1}", "z", leaving=leaving)


def order_at(version: int, era: int = 0, received_ms: float = 1_000.0) -> ReadOrder:
    order = ReadOrder()
    order.applied(position_at(version, era), received_ms)
    return order


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("made_by_ms", [999.0, -math.inf])
def test_a_response_below_the_position_in_force_is_behind(whole, made_by_ms):
    verdict = order_at(9).judge(position_at(8), whole, made_by_ms)
    assert verdict is ReadVerdict.BEHIND


def test_a_store_without_eras_that_was_restored_is_known_by_its_clock():
    order = order_at(9)
    assert order.judge(position_at(8), True, 1_001.0) is ReadVerdict.RESTORED
    assert order.judge(position_at(8), False, 1_001.0) is ReadVerdict.BEHIND


@pytest.mark.parametrize(
    ("era", "whole", "verdict"),
    [
        (0, True, ReadVerdict.ERA_FELL),
        (0, False, ReadVerdict.ERA_FELL),
        (1, True, ReadVerdict.APPLY),
        (2, True, ReadVerdict.RESTORED),
        (2, False, ReadVerdict.READ_WHOLE),
    ],
)
def test_only_a_later_era_may_go_back(era, whole, verdict):
    version = 9 if era == 1 else 3
    assert order_at(9, era=1).judge(position_at(version, era), whole, 0.0) is verdict


def test_a_position_confirmed_again_keeps_the_time_at_which_it_was_received():
    """Guards against taking a restored store's response for one that is behind."""
    order = order_at(9, received_ms=1_000.0)
    order.applied(position_at(9), 60_000.0)
    assert order.judge(position_at(8), True, 50_000.0) is ReadVerdict.RESTORED


def test_an_older_list_neither_drops_nor_revives_endpoints():
    directory = EndpointDirectory()
    directory.put(record("a"), position_at(1))
    directory.put(record("b"), position_at(2))
    directory.remove("b", position_at(6), 0.0)
    directory.put(record("c"), position_at(7))
    older = [(record("a"), position_at(1)), (record("b"), position_at(2))]
    directory.replace_all(older, position_at(5), 0.0)
    assert sorted(directory.pools()["p"]) == ["a", "c"]


def test_an_endpoint_listed_again_after_its_removal_is_used():
    directory = EndpointDirectory()
    directory.put(record("a"), position_at(1))
    directory.replace_all([], position_at(4), 0.0)
    directory.put(record("a"), position_at(4))
    assert directory.record("a") is None
    directory.put(record("a"), position_at(5))
    assert directory.may_take("a", 0.0)


def test_a_list_read_twice_after_a_restore_revives_no_endpoint():
    directory = EndpointDirectory()
    directory.put(record("a"), position_at(5))
    directory.put(record("b", leaving=True), position_at(6))
    directory.remove("a", position_at(7), 0.0)
    copy = [(record(name), position_at(3, era=1)) for name in ("a", "b")]
    directory.restore(copy, position_at(4, era=1), 0.0)
    directory.replace_all(copy, position_at(4, era=1), 0.0)
    assert not directory.may_take("a", 0.0)
    assert not directory.may_take("b", 0.0)


def test_an_endpoint_that_registers_in_a_restored_store_without_eras_is_used():
    """Guards against ignoring it, as its version is below that of its removal."""
    directory = EndpointDirectory()
    directory.put(record("a"), position_at(5))
    directory.remove("a", position_at(9), 0.0)
    directory.restore([], position_at(3), 0.0)
    directory.put(record("a"), position_at(4))
    assert directory.may_take("a", 0.0)


writes = st.tuples(st.sampled_from(NAMES), st.sampled_from(["up", "leaving", "gone"]))


@given(st.lists(writes, min_size=1), st.randoms(use_true_random=False))
def test_any_mix_of_reads_that_are_behind_leaves_the_newest_state(changes, random):
    """The changes arrive in order; between them whole lists of earlier positions."""
    directory, rows, lists = EndpointDirectory(), {}, []
    for version, (name, state) in enumerate(changes, 1):
        position = position_at(version)
        if state == "gone":
            rows.pop(name, None)
            directory.remove(name, position, 0.0)
        else:
            rows[name] = (record(name, state == "leaving"), position)
            directory.put(*rows[name])
        lists.append((list(rows.values()), position))
        directory.replace_all(*random.choice(lists), 0.0)
        expected = {each: row.leaving for each, (row, _) in rows.items()}
        assert directory.leaving_by_id() == expected


@pytest.mark.parametrize("listed_first", [True, False])
def test_an_endpoint_that_said_it_leaves_takes_no_work_under_any_later_row(
    listed_first,
):
    directory = EndpointDirectory()
    if listed_first:
        directory.put(record("a"), position_at(1))
    assert directory.mark_leaving("a") is listed_first
    assert not directory.mark_leaving("a")
    directory.put(record("a"), position_at(2))
    assert not directory.may_take("a", 0.0)
    directory.remove("a", position_at(3), 0.0)
    directory.put(record("a"), position_at(4))
    assert not directory.may_take("a", 0.0)


def test_an_endpoint_that_said_it_leaves_is_not_kept_after_an_outage():
    directory = EndpointDirectory()
    directory.put(record("a"), position_at(1))
    directory.mark_leaving("a")
    directory.begin_recovery(0.0)
    directory.remove("a", position_at(2), 0.0)
    assert directory.record("a") is None


def test_a_successor_that_said_it_leaves_is_adopted_as_leaving():
    directory = EndpointDirectory()
    directory.put(record("a"), position_at(1))
    directory.mark_leaving("b")
    adopted = directory.adopt("a", "b", 0.0)
    assert adopted is not None
    assert adopted.leaving
    assert not directory.may_take("b", 0.0)


def test_the_mark_of_an_endpoint_that_is_listed_outlasts_those_of_endpoints_gone():
    directory = EndpointDirectory()
    directory.put(record("a"), position_at(1))
    directory.mark_leaving("a")
    for number in range(5_000):
        directory.mark_leaving(f"gone-{number}")
    directory.put(record("a"), position_at(2))
    assert not directory.may_take("a", 0.0)


steps = st.tuples(
    st.sampled_from(NAMES),
    st.sampled_from(["up", "gone", "said", "list", "restore", "outage", "settled"]),
)


@given(st.lists(steps, min_size=1), st.randoms(use_true_random=False))
def test_nothing_makes_an_endpoint_takeable_that_said_it_leaves(changes, random):
    """Rows, whole lists of any position, restores, outages: none undoes its word."""
    directory, rows, said = EndpointDirectory(), {}, set()
    lists, era = [([], position_at(0))], 0
    for version, (name, step) in enumerate(changes, 1):
        position = position_at(version, era)
        if step == "up":
            rows[name] = (record(name), position)
            directory.put(*rows[name])
        elif step == "gone":
            rows.pop(name, None)
            directory.remove(name, position, 0.0)
        elif step == "said":
            said.add(name)
            directory.mark_leaving(name)
        elif step == "list":
            directory.replace_all(*random.choice(lists), 0.0)
        elif step == "restore":
            era += 1
            directory.restore(random.choice(lists)[0], position_at(version, era), 0.0)
        elif step == "outage":
            directory.begin_recovery(0.0)
        else:
            directory.remove_missing(2_000.0, 0.0)
        lists.append((list(rows.values()), position_at(version, era)))
        assert not any(directory.may_take(each, 0.0) for each in said)
        assert not {each.endpoint_id for each in directory.in_pool("p")} & said

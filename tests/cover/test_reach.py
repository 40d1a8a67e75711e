"""Which pools an instance reaches, and which member serves those that it doesn't."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.reach import PoolReach, RelayMembers

POOL = "plain"


def failing(reach: PoolReach, endpoints: list[str], listed: int, now_ms: float) -> bool:
    """Record a failed connection to each endpoint; whether one made a difference."""
    outcomes = [reach.failed(POOL, each, listed, now_ms) for each in endpoints]
    return any(outcomes)


def test_a_pool_is_unreached_once_three_of_its_endpoints_failed():
    reach = PoolReach()
    assert not failing(reach, ["a", "a", "b"], 9, 0.0)
    assert not reach.is_unreached(POOL)
    assert failing(reach, ["c"], 9, 1.0)
    assert reach.is_unreached(POOL)
    assert not reach.is_unreached("another")


@pytest.mark.parametrize("listed", [1, 2])
def test_a_small_pool_is_unreached_once_all_its_endpoints_failed(listed):
    reach = PoolReach()
    assert failing(reach, ["a", "b"][:listed], listed, 0.0)


def test_a_connection_between_failures_shows_that_the_links_work():
    reach = PoolReach()
    failing(reach, ["a", "b"], 9, 0.0)
    assert not reach.connected(POOL, 1.0)
    assert not failing(reach, ["c", "a"], 9, 2.0)


def test_old_failures_do_not_count():
    reach = PoolReach()
    failing(reach, ["a", "b"], 9, 0.0)
    assert not failing(reach, ["c"], 9, 20_000.0)


def test_one_connection_brings_a_pool_back_and_tells_for_how_long_it_was_away():
    reach = PoolReach()
    failing(reach, ["a", "b", "c"], 9, 100.0)
    assert reach.connected(POOL, 600.0)
    assert not reach.is_unreached(POOL)
    assert [event.reached for event in reach.events] == [False, True]
    assert reach.events[0].failed == ("a", "b", "c")
    assert reach.events[1].lasted_ms == 500.0


@given(
    st.lists(
        st.tuples(st.sampled_from(["a", "b", "c", "d", "ok"]), st.integers(0, 3_000)),
        max_size=60,
    )
)
def test_a_pool_is_unreached_only_after_failures_without_a_connection(steps):
    reach, now_ms = PoolReach(), 0.0
    failed: set[str] = set()
    for endpoint, wait_ms in steps:
        now_ms += wait_ms
        if endpoint == "ok":
            reach.connected(POOL, now_ms)
            failed.clear()
            assert not reach.is_unreached(POOL)
        else:
            reach.failed(POOL, endpoint, 4, now_ms)
            failed.add(endpoint)
            assert len(failed) >= 3 or not reach.is_unreached(POOL)


MEMBERS = [f"10.0.0.{number}:7215" for number in range(9)]


def test_requests_spread_over_all_members():
    members, counts = RelayMembers(Random(1)), dict.fromkeys(MEMBERS, 0)
    for number in range(900):
        counts[members.choose(POOL, MEMBERS, (), float(number))] += 1
    assert min(counts.values()) > 50


def test_a_member_that_can_not_serve_is_passed_over_for_a_while():
    members = RelayMembers(Random(1))
    members.pass_over(POOL, MEMBERS[0], 0.0)
    assert members.choose(POOL, MEMBERS[:1], (), 100.0) == ""
    assert members.choose("another", MEMBERS[:1], (), 100.0) == MEMBERS[0]
    assert members.choose(POOL, MEMBERS[:1], (), 10_000.0) == MEMBERS[0]


def test_a_request_is_never_relayed_to_one_member_twice():
    members = RelayMembers(Random(1))
    assert members.choose(POOL, MEMBERS[:2], MEMBERS[:1], 0.0) == MEMBERS[1]
    assert members.choose(POOL, MEMBERS[:2], MEMBERS[:2], 0.0) == ""


@pytest.mark.parametrize("count", [9, 73, 195, 380])
def test_most_requests_find_a_member_that_serves_when_two_thirds_do_not(count):
    """With at most six members asked for each request, as the gateway does."""
    alive = [f"10.0.{n // 250}.{n % 250}:7215" for n in range(count)]
    serving = set(alive[: count // 3])
    members, found = RelayMembers(Random(count)), 0
    for number in range(200):
        now_ms, tried = number * 125.0, []
        while len(tried) < 6:
            member = members.choose(POOL, alive, tried, now_ms)
            if not member:
                break
            tried.append(member)
            if member in serving:
                members.served(POOL, member, now_ms)
                found += 1
                break
            members.pass_over(POOL, member, now_ms)
    assert found >= 200 * 0.95

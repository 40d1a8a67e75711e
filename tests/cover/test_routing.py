"""Queues, limits, retry budgets and refusals of the routing core."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.routing import (
    ConcurrencyLimit,
    FairQueue,
    Grant,
    LoadReport,
    PlacementRequest,
    Refuse,
    RetryBudget,
    Router,
    RouterSettings,
    subset,
)


def make_request(number, team="a", cost=10.0, deadline_ms=1e9, **more):
    return PlacementRequest(team, "c", 1, "m", cost, deadline_ms, number=number, **more)


def make_router(endpoints=("x", "y"), slots=1, queue_limit=100, closed=()):
    router = Router(
        "z",
        Random(1),
        lambda name, _: name not in closed,
        RouterSettings(queue_limit=queue_limit),
    )
    router.endpoints.configure({"m": list(endpoints)}, dict.fromkeys(endpoints, "z"))
    for name in endpoints:
        router.apply_report(LoadReport(name, 0, 0, slots, 0.0), 0.0)
    return router


def granted_numbers(decisions):
    return [item.number for item in decisions if isinstance(item, Grant)]


def test_grants_as_many_runs_as_the_endpoints_have_slots():
    router = make_router(slots=2)
    numbers = [granted_numbers(router.place(make_request(n), 0.0)) for n in range(6)]
    assert sum(map(len, numbers)) == 4
    assert router.waiting == 2
    assert granted_numbers(router.release("x", 10.0, 1.0)) == [4]


def test_an_endpoint_that_may_not_take_work_gets_no_grant():
    router = make_router(closed=("x",))
    (grant,) = router.place(make_request(1), 0.0)
    assert grant.endpoint_id == "y"


def test_continuing_requests_go_first_ordered_by_held_tokens():
    router = make_router(endpoints=("x",))
    router.place(make_request(1), 0.0)
    router.place(make_request(2), 0.0)
    router.place(make_request(3, continuing=True, held_tokens=5), 0.0)
    router.place(make_request(4, continuing=True, held_tokens=9), 0.0)
    assert granted_numbers(router.release("x", 1.0, 1.0)) == [4]
    assert granted_numbers(router.release("x", 1.0, 2.0)) == [3]
    assert granted_numbers(router.release("x", 1.0, 3.0)) == [2]


def test_an_excluded_endpoint_is_used_after_the_wait_if_no_other_has_room():
    router = make_router(endpoints=("x",), slots=5)
    avoiding = make_request(1, continuing=True, excluded=frozenset("x"))
    assert router.place(avoiding, 0.0) == []
    assert granted_numbers(router.review(2_000.0)) == [1]


def test_many_continuing_requests_are_limited_by_the_retry_budget():
    router = make_router(endpoints=("x",), slots=100)
    for n in range(50):
        router.place(make_request(n, continuing=True, held_tokens=n), 0.0)
    assert router.load("x").limit.running == 10
    router.review(1_000.0)
    assert 10 < router.load("x").limit.running < 20


def test_a_request_with_too_long_a_predicted_wait_is_refused():
    router = make_router(endpoints=("x",))
    for n in range(20):
        router.place(make_request(n), 0.0)
    for n in range(6):
        router.release("x", 100.0, 100.0 * (n + 1))
    (refusal,) = router.place(make_request(90, deadline_ms=700.0), 600.0)
    assert isinstance(refusal, Refuse)
    assert refusal.code == "too_late"
    assert refusal.retry_after_ms >= 500


def test_idle_time_does_not_lower_the_predicted_rate():
    router = make_router(endpoints=("x",))
    for n in range(5):
        router.place(make_request(n), n * 60_000.0)
        router.release("x", 10.0, n * 60_000.0 + 10)
    now_ms = 1e6
    decisions = [
        router.place(make_request(n, deadline_ms=now_ms + 500), now_ms) for n in (7, 8)
    ]
    assert not any(isinstance(item, Refuse) for row in decisions for item in row)


def test_a_full_queue_and_a_passed_deadline_are_refused():
    router = make_router(endpoints=("x",), queue_limit=1)
    router.place(make_request(1), 0.0)
    router.place(make_request(2, deadline_ms=100.0), 0.0)
    (full,) = router.place(make_request(3), 0.0)
    assert full.code == "queue_full"
    (late,) = router.review(200.0)
    assert (late.number, late.code) == (2, "too_late")


def test_a_request_for_a_pool_without_endpoints_is_refused():
    router = make_router(endpoints=())
    (refusal,) = router.place(make_request(1), 0.0)
    assert refusal.code == "no_endpoint"


def test_a_prompt_goes_to_its_preferred_endpoint_until_that_is_busy():
    router = make_router(endpoints=("w", "x", "y", "z"), slots=4)
    names = [
        router.place(make_request(n, prompt_key="p", prompt_tokens=5_000), 0.0)[
            0
        ].endpoint_id
        for n in range(6)
    ]
    assert len(set(names[:4])) == 1
    assert len(set(names)) > 1


@given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 900)), max_size=40))
def test_the_fair_queue_returns_each_request_once(waiting):
    queue = FairQueue()
    for number, (team, cost) in enumerate(waiting):
        queue.add(make_request(number, team, float(cost)))
    popped = []
    while (head := queue.head()) is not None:
        assert queue.head() is head
        queue.pop(head)
        popped.append(head.number)
    assert sorted(popped) == list(range(len(waiting)))
    assert queue.waiting == 0


def grant_by_single_quanta(waiting, quantum=512.0):
    """The numbers of (team, cost) pairs in the order of plain deficit round robin."""
    turns, queues, deficits, order = [], {}, {}, []
    for number, (team, cost) in enumerate(waiting):
        if team not in queues:
            turns.append(team)
            queues[team], deficits[team] = [], 0.0
        queues[team].append((number, cost))
    while turns:
        team = turns[0]
        number, cost = queues[team][0]
        if deficits[team] < cost:
            deficits[team] += quantum
            turns.append(turns.pop(0))
            continue
        deficits[team] -= cost
        order.append(number)
        queues[team].pop(0)
        if not queues[team]:
            turns.pop(0)
    return order


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 9_000)), max_size=20))
def test_the_fair_queue_grants_in_the_order_of_deficit_round_robin(waiting):
    queue, order = FairQueue(), []
    for number, (team, cost) in enumerate(waiting):
        queue.add(make_request(number, team, float(cost)))
    while (head := queue.head()) is not None:
        queue.pop(head)
        order.append(head.number)
    assert order == grant_by_single_quanta(waiting)


@pytest.mark.parametrize("cost", [2e8, 1e12, 1e20, 1e300])
def test_a_request_of_any_cost_is_granted_after_the_others_of_its_turn(cost):
    """Guards against a loop as long as the cost that a caller names."""
    queue = FairQueue()
    queue.add(make_request(0, "large", cost))
    queue.add(make_request(1, "small", 512.0))
    for number in (1, 0):
        head = queue.head()
        queue.pop(head)
        assert head.number == number
    assert queue.head() is None


def test_a_flooding_team_does_not_delay_another():
    queue = FairQueue()
    for number in range(100):
        queue.add(make_request(number, "large", 512.0))
    queue.add(make_request(100, "small", 512.0))
    popped = []
    for _ in range(3):
        head = queue.head()
        queue.pop(head)
        popped.append(head.team)
    assert "small" in popped


@given(st.lists(st.sampled_from(["started", "succeeded", "refused", "queued"])))
def test_the_concurrency_limit_stays_within_its_bounds(steps):
    limit = ConcurrencyLimit()
    limit.reported(16, 0, 0.0, 0.0)
    for now_ms, step in enumerate(steps):
        match step:
            case "started":
                limit.started()
            case "succeeded":
                limit.succeeded()
            case "refused":
                limit.refused(now_ms, 0.0)
            case "queued":
                limit.reported(16, 3, now_ms, 0.0)
        assert 1 <= limit.limit <= 16


def test_retries_come_from_successes_and_a_slow_refill():
    budget = RetryBudget(earned_per_success=0.5, reserve=2.0, refill_per_s=1.0)
    spent = sum(budget.take(0.0) for _ in range(50))
    assert spent == 10
    budget.succeeded()
    budget.succeeded()
    assert budget.take(0.0)
    assert not budget.take(0.0)
    assert budget.take(1_100.0)


@given(st.integers(1, 30), st.integers(1, 12))
def test_a_subset_has_its_size_and_prefers_its_own_zone(count, size):
    endpoints = [(f"e{n}", "abc"[n % 3]) for n in range(count)]
    chosen = subset(endpoints, "entry-1", "a", size)
    assert len(chosen) == len(set(chosen)) == min(size, count)
    near = sum(zone == "a" for _, zone in endpoints)
    mine = sum(dict(endpoints)[name] == "a" for name in chosen)
    assert mine >= min(near, (size + 1) // 2)

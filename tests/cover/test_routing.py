"""Queues, limits, budgets and refusals of the routing core."""

from random import Random

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


def wanted(number, team="a", cost=10.0, deadline_ms=1e9, **more):
    return PlacementRequest(team, "c", 1, "m", cost, deadline_ms, number=number, **more)


def router(endpoints=("x", "y"), slots=1, queue_limit=100, closed=()):
    made = Router(
        "z",
        Random(1),
        lambda name, _: name not in closed,
        RouterSettings(queue_limit=queue_limit),
    )
    made.endpoints.configure({"m": list(endpoints)}, dict.fromkeys(endpoints, "z"))
    for name in endpoints:
        made.reported(LoadReport(name, 0, 0, slots, 0.0), 0.0)
    return made


def granted(decisions):
    return [each.number for each in decisions if isinstance(each, Grant)]


def test_grants_as_many_as_endpoints_say_they_take():
    made = router(slots=2)
    numbers = [granted(made.place(wanted(n), 0.0)) for n in range(6)]
    assert sum(map(len, numbers)) == 4
    assert made.waiting == 2
    assert granted(made.released("x", 10.0, 1.0)) == [4]


def test_an_endpoint_without_evidence_gets_nothing():
    made = router(closed=("x",))
    (grant,) = made.place(wanted(1), 0.0)
    assert grant.endpoint_id == "y"


def test_a_continuing_request_goes_first_and_the_longest_before_it():
    made = router(endpoints=("x",))
    made.place(wanted(1), 0.0)
    made.place(wanted(2), 0.0)
    made.place(wanted(3, continuing=True, held_tokens=5), 0.0)
    made.place(wanted(4, continuing=True, held_tokens=9), 0.0)
    assert granted(made.released("x", 1.0, 1.0)) == [4]
    assert granted(made.released("x", 1.0, 2.0)) == [3]
    assert granted(made.released("x", 1.0, 3.0)) == [2]


def test_the_endpoint_to_avoid_is_taken_only_when_no_other_is_left():
    made = router(endpoints=("x",), slots=5)
    avoiding = wanted(1, continuing=True, excluded=frozenset("x"))
    assert made.place(avoiding, 0.0) == []
    assert granted(made.review(2_000.0)) == [1]


def test_a_mass_of_resumptions_is_paced_by_the_budget():
    made = router(endpoints=("x",), slots=100)
    for n in range(50):
        made.place(wanted(n, continuing=True, held_tokens=n), 0.0)
    assert made.load("x").limit.running == 10
    made.review(1_000.0)
    assert 10 < made.load("x").limit.running < 20


def test_what_cannot_be_served_in_time_is_refused_at_once():
    made = router(endpoints=("x",))
    for n in range(20):
        made.place(wanted(n), 0.0)
    for n in range(6):
        made.released("x", 100.0, 100.0 * (n + 1))
    (refusal,) = made.place(wanted(90, deadline_ms=700.0), 600.0)
    assert isinstance(refusal, Refuse)
    assert refusal.code == "too_late"
    assert refusal.retry_after_ms >= 500


def test_a_quiet_hour_does_not_make_the_first_burst_look_hopeless():
    made = router(endpoints=("x",))
    for n in range(5):
        made.place(wanted(n), n * 60_000.0)
        made.released("x", 10.0, n * 60_000.0 + 10)
    now_ms = 1e6
    decisions = [
        made.place(wanted(n, deadline_ms=now_ms + 500), now_ms) for n in (7, 8)
    ]
    assert not any(isinstance(each, Refuse) for row in decisions for each in row)


def test_a_full_queue_refuses_and_a_passed_deadline_too():
    made = router(endpoints=("x",), queue_limit=1)
    made.place(wanted(1), 0.0)
    made.place(wanted(2, deadline_ms=100.0), 0.0)
    (full,) = made.place(wanted(3), 0.0)
    assert full.code == "queue_full"
    (late,) = made.review(200.0)
    assert (late.number, late.code) == (2, "too_late")


def test_a_model_without_endpoints_is_refused_at_once():
    made = router(endpoints=())
    (refusal,) = made.place(wanted(1), 0.0)
    assert refusal.code == "no_endpoint"


def test_a_prompt_goes_to_the_same_endpoint_until_that_is_busy():
    made = router(endpoints=("w", "x", "y", "z"), slots=4)
    names = [
        made.place(wanted(n, prompt_key="p", prompt_tokens=5_000), 0.0)[0].endpoint_id
        for n in range(6)
    ]
    assert len(set(names[:4])) == 1
    assert len(set(names)) > 1


@given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 900)), max_size=40))
def test_the_fair_queue_loses_and_doubles_nothing(waiting):
    queue = FairQueue()
    for number, (team, cost) in enumerate(waiting):
        queue.add(wanted(number, team, float(cost)))
    taken = []
    while (head := queue.head()) is not None:
        assert queue.head() is head
        queue.pop(head)
        taken.append(head.number)
    assert sorted(taken) == list(range(len(waiting)))
    assert queue.waiting == 0


def test_a_flooding_team_delays_itself():
    queue = FairQueue()
    for number in range(100):
        queue.add(wanted(number, "large", 512.0))
    queue.add(wanted(100, "small", 512.0))
    taken = []
    for _ in range(3):
        head = queue.head()
        queue.pop(head)
        taken.append(head.team)
    assert "small" in taken


@given(st.lists(st.sampled_from(["started", "succeeded", "refused", "queued"])))
def test_the_learned_limit_stays_within_its_bounds(steps):
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


def test_retries_are_a_share_of_successes_and_a_slow_refill():
    budget = RetryBudget(per_success=0.5, reserve=2.0, refill_per_s=1.0)
    spent = sum(budget.take(0.0) for _ in range(50))
    assert spent == 10
    budget.succeeded()
    budget.succeeded()
    assert budget.take(0.0)
    assert not budget.take(0.0)
    assert budget.take(1_100.0)


@given(st.integers(1, 30), st.integers(1, 12))
def test_a_subset_is_of_its_size_and_leans_to_its_own_zone(count, size):
    endpoints = [(f"e{n}", "abc"[n % 3]) for n in range(count)]
    chosen = subset(endpoints, "entry-1", "a", size)
    assert len(chosen) == len(set(chosen)) == min(size, count)
    near = sum(zone == "a" for _, zone in endpoints)
    mine = sum(dict(endpoints)[name] == "a" for name in chosen)
    assert mine >= min(near, (size + 1) // 2)

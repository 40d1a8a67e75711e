"""Instances that don't talk keep a bound on repeats that holds for all of them."""

from hypothesis import given, settings
from hypothesis import strategies as st

from coursekeel.gateway._retry_budgets import shared_budget
from coursekeel.settings import RetryShare

SHARE = RetryShare(ratio=0.8, slack=150, window_s=10)
STEP_MS = 250
STEPS_A_WINDOW = 40


@settings(max_examples=60)
@given(
    instances=st.integers(1, 14),
    quiet=st.integers(0, 60),
    load=st.lists(st.integers(0, 12), min_size=8, max_size=60),
)
def test_no_window_has_more_repeats_than_the_bound(instances, quiet, load):
    """Everything fails at once, and every instance repeats whatever it may."""
    budgets = [shared_budget(SHARE) for _ in range(instances)]
    requests: list[int] = []
    repeats: list[int] = []
    for step, count in enumerate([0] * quiet + load):
        now_ms = float(step * STEP_MS)
        sent = 0
        for index in range(count):
            budgets[index % instances].succeeded()
        for budget in budgets:
            while budget.take(now_ms):
                sent += 1
        requests.append(count)
        repeats.append(sent)
    for end in range(1, len(repeats) + 1):
        window = slice(max(0, end - STEPS_A_WINDOW), end)
        bound = SHARE.ratio * sum(requests[window]) + SHARE.slack
        assert sum(repeats[window]) <= bound


def test_an_instance_can_repeat_a_few_even_when_it_has_served_nothing():
    budget = shared_budget(SHARE)
    taken = 0
    while budget.take(0.0):
        taken += 1
    assert taken >= 7
    assert budget.take(10_000.0)

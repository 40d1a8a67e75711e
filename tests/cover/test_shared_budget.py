"""Retries of all instances together stay within the shared retry budget."""

from random import Random
from unittest.mock import Mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coursekeel.gateway._retry_budgets import (
    RetryBudgets,
    SendAccount,
    instance_budget,
)
from coursekeel.routing import WindowBudget
from coursekeel.settings import RetryBudgetSettings

SHARE = RetryBudgetSettings(ratio=0.8, slack=150, window_s=10)
STEP_MS = 250
STEPS_A_WINDOW = 40


def assert_no_window_exceeds_the_budget(requests: list[int], retries: list[int]):
    for end in range(1, len(retries) + 1):
        window = slice(max(0, end - STEPS_A_WINDOW), end)
        bound = SHARE.ratio * sum(requests[window]) + SHARE.slack
        assert sum(retries[window]) <= bound


@settings(max_examples=60)
@given(
    instances=st.integers(1, 14),
    quiet=st.integers(0, 60),
    load=st.lists(st.integers(0, 12), min_size=8, max_size=60),
)
def test_no_window_exceeds_the_budget(instances, quiet, load):
    """All requests fail, and every instance sends all the retries it may."""
    budgets = [instance_budget(SHARE, Random(seed)) for seed in range(instances)]
    requests: list[int] = []
    retries: list[int] = []
    for step, count in enumerate([0] * quiet + load):
        now_ms = float(step * STEP_MS)
        sent = 0
        for index in range(count):
            budgets[index % instances].requested(now_ms)
        for budget in budgets:
            while budget.take(now_ms):
                sent += 1
        requests.append(count)
        retries.append(sent)
    assert_no_window_exceeds_the_budget(requests, retries)


def test_an_instance_without_requests_can_send_a_few_retries():
    budget = instance_budget(SHARE, Random(1))
    taken = 0
    while budget.take(0.0):
        taken += 1
    assert taken >= 7
    assert budget.take(10_000.0)


class Member:
    """One instance; ``known`` is the number of members that it has found."""

    def __init__(self, known: int, seed: int = 0, up_ms: float = 10_000.0) -> None:
        self.known = known
        self.now_ms = 0.0
        settings_now = Mock()
        settings_now.now.retries = SHARE
        clock = Mock(now_ms=lambda: self.now_ms)
        self.budgets = RetryBudgets(
            settings_now, lambda: self.known, Random(seed), clock
        )
        self.now_ms = up_ms

    @property
    def budget(self):
        return self.budgets.of("p")


@settings(max_examples=60)
@given(
    members=st.integers(2, 40),
    joining=st.integers(0, 3),
    joins_at=st.integers(0, 40),
    leaving=st.integers(0, 3),
    load=st.lists(st.integers(0, 12), min_size=8, max_size=60),
)
def test_no_window_exceeds_the_budget_while_members_join_and_leave(
    members, joining, joins_at, leaving, load
):
    """A new member finds the others, and is found, two seconds after its start. Lost
    members still count, since they may be serving on the other side of a partition."""
    group = [Member(members, seed) for seed in range(members)]
    requests: list[int] = []
    retries: list[int] = []
    for step, count in enumerate([0] * 40 + load):
        if step == joins_at:
            group += [Member(1, 1_000 + seed, 0.0) for seed in range(joining)]
        if step == joins_at + 8:
            for member in group:
                member.known = members + joining
        if step == joins_at + 20:
            del group[: min(leaving, members - 1)]
        sent = 0
        for index in range(count):
            group[index % len(group)].budget.requested(float(step * STEP_MS))
        for member in group:
            while member.budget.take(float(step * STEP_MS)):
                sent += 1
        requests.append(count)
        retries.append(sent)
    assert_no_window_exceeds_the_budget(requests, retries)


def test_a_members_part_is_smaller_in_a_larger_group():
    large, small = Member(74), Member(6)
    assert large.budget.most * 74 <= SHARE.slack
    assert small.budget.most * 6 <= SHARE.slack
    assert small.budget.most > instance_budget(SHARE, Random(1)).most


class Fleet:
    """A group of instances; counts the requests and retries of every step."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = Random(seed)
        self.members = [Member(size, self.random.random()) for _ in range(size)]
        self.requests: list[int] = []
        self.retries: list[int] = []

    def run_step(self, arrivals: int, share_lost: float, tries: int = 4) -> None:
        """Requests arrive at random members; a share of them ask for retries."""
        now_ms = float(len(self.requests) * STEP_MS)
        sent = 0
        for _ in range(arrivals):
            member = self.random.choice(self.members)
            member.budget.requested(now_ms)
            if self.random.random() < share_lost:
                for _ in range(tries):
                    sent += member.budget.take(now_ms)
        self.requests.append(arrivals)
        self.retries.append(sent)

    def take_saved(self) -> None:
        """Streams that wait at every instance take all the retries they may."""
        now_ms = float(len(self.requests) * STEP_MS)
        for member in self.members:
            while member.budget.take_saved(now_ms, now_ms + STEP_MS):
                self.retries[-1] += 1

    def exhaust(self) -> None:
        """Every instance sends all the retries it may."""
        now_ms = float(len(self.requests) * STEP_MS)
        for member in self.members:
            while member.budget.take(now_ms):
                self.retries[-1] += 1


SIZES = [3, 9, 30, 74, 97, 195, 380]


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("arrivals", [1, 4, 30, 200])
def test_no_window_exceeds_the_budget_when_all_requests_fail(size, arrivals):
    fleet = Fleet(size, seed=size + arrivals)
    for _ in range(2 * STEPS_A_WINDOW):
        fleet.run_step(arrivals, share_lost=0.0)
    for _ in range(2 * STEPS_A_WINDOW):
        fleet.run_step(arrivals, share_lost=1.0)
    fleet.exhaust()
    for _ in range(STEPS_A_WINDOW):
        fleet.run_step(0, share_lost=0.0)
        fleet.exhaust()
    assert_no_window_exceeds_the_larger_budget_of_two(fleet)


def assert_no_window_exceeds_the_larger_budget_of_two(fleet: Fleet):
    """Compares with this window's requests or the previous one's: a retry may be sent
    a window after the request that earned it."""
    for end in range(1, len(fleet.retries) + 1):
        start = max(0, end - STEPS_A_WINDOW)
        before = max(0, start - STEPS_A_WINDOW)
        own = sum(fleet.requests[start:end])
        most = max(own, sum(fleet.requests[before:start]))
        assert sum(fleet.retries[start:end]) <= SHARE.ratio * most + SHARE.slack


@pytest.mark.parametrize("size", SIZES)
def test_no_window_exceeds_the_budget_when_half_of_a_group_restarts(size):
    """All budgets are spent at the restart. The restarted members find the others one
    by one, and all send every retry they may."""
    fleet = Fleet(size, seed=size)
    for _ in range(STEPS_A_WINDOW):
        fleet.run_step(4, share_lost=0.0)
    fleet.exhaust()
    restarted = [Member(1, 5_000 + seed, 0.0) for seed in range(size * 55 // 100)]
    fleet.members[: len(restarted)] = restarted
    for step in range(STEPS_A_WINDOW):
        for member in restarted:
            member.known = min(size, 1 + step * size // 8)
        fleet.run_step(4, share_lost=1.0)
        fleet.exhaust()
    assert_no_window_exceeds_the_larger_budget_of_two(fleet)


@pytest.mark.parametrize("quiet_steps", [0, 20, STEPS_A_WINDOW - 1])
@pytest.mark.parametrize("size", SIZES)
def test_no_window_exceeds_the_budget_when_all_members_restart(size, quiet_steps):
    """All budgets are spent at the restart. The members find each other at once; the
    first failures come some time later."""
    fleet = Fleet(size, seed=size)
    for _ in range(STEPS_A_WINDOW):
        fleet.run_step(4, share_lost=0.0)
    fleet.exhaust()
    fleet.members = [Member(size, 7_000 + seed, 0.0) for seed in range(size)]
    for step in range(2 * STEPS_A_WINDOW):
        for member in fleet.members:
            member.now_ms = float(step * STEP_MS)
        fleet.run_step(4, share_lost=float(step >= quiet_steps))
        if step >= quiet_steps:
            fleet.exhaust()
    assert_no_window_exceeds_the_larger_budget_of_two(fleet)


@pytest.mark.parametrize("size", SIZES)
def test_no_window_exceeds_the_budget_in_a_partitioned_group(size):
    """Both sides still count the members that they lost."""
    fleet = Fleet(size, seed=size)
    for _ in range(STEPS_A_WINDOW):
        fleet.run_step(6, share_lost=0.2)
    for member in fleet.members[: size // 3]:
        member.known = size
    for _ in range(2 * STEPS_A_WINDOW):
        fleet.run_step(6, share_lost=1.0)
        fleet.exhaust()
    assert_no_window_exceeds_the_larger_budget_of_two(fleet)


@pytest.mark.parametrize("size", [74, 195, 380])
def test_most_lost_streams_are_retried_in_a_large_group(size):
    """Each instance's part is less than one retry, so that whole retries only would
    mean none at all."""
    fleet = Fleet(size, seed=7)
    lost = 0
    for step in range(12 * STEPS_A_WINDOW):
        fails = step % 20 == 19
        fleet.run_step(4, share_lost=1.0 if fails else 0.0, tries=1)
        lost += 4 * fails
    assert sum(fleet.retries) >= 0.6 * lost


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("size", [9, 73, 195])
@pytest.mark.parametrize("arrivals", [1, 4, 30])
def test_no_window_exceeds_the_budget_while_many_streams_wait(size, arrivals, restarts):
    """Each instance has streams that wait, and takes each retry as soon as it may."""
    for seed in range(5):
        fleet = Fleet(size, seed)
        for _ in range(STEPS_A_WINDOW):
            fleet.run_step(arrivals, share_lost=0.0)
        fleet.exhaust()
        for step in range(3 * STEPS_A_WINDOW):
            if restarts and step == STEPS_A_WINDOW:
                fleet.members = [Member(size, seed, 0.0) for seed in range(size)]
            for member in fleet.members:
                member.now_ms = float(step * STEP_MS)
            fleet.run_step(arrivals, share_lost=0.5)
            fleet.take_saved()
        assert_no_window_exceeds_the_larger_budget_of_two(fleet)


def test_a_waiting_stream_gets_a_whole_retry_or_a_draw_for_what_would_lapse():
    budget = WindowBudget(0.4, 10_000.0, Random(3))
    for now_ms in (0.0, 1_000.0):
        budget.requested(now_ms)
        assert not budget.take_saved(now_ms, now_ms + 100)
    budget.requested(2_000.0)
    assert budget.take_saved(2_000.0, 2_100.0)
    drawn = 0
    for window in range(1_000):
        budget = WindowBudget(0.4, 10_000.0, Random(window))
        budget.requested(0.0)
        assert not budget.take_saved(9_800.0, 9_900.0)
        drawn += budget.take_saved(9_950.0, 10_050.0)
    assert 350 <= drawn <= 450


def test_no_request_gets_a_retry_while_others_wait_for_one():
    waiting = [True]
    budget = WindowBudget(0.0, 10_000.0, Random(3), most=1, saved=1)
    account = SendAccount(budget, lambda: bool(waiting))
    assert account.may_send(0.0)
    assert not account.may_send(0.0)
    waiting.clear()
    assert account.may_send(0.0)


def test_a_member_has_its_reserve_after_running_for_a_window():
    member = Member(9, up_ms=0.0)
    assert not member.budget.take(0.0)
    member.now_ms = 9_999.0
    assert member.budget.saved < 1
    member.now_ms = 10_000.0
    taken = 0
    while member.budget.take(10_000.0):
        taken += 1
    assert taken >= 7


def test_a_random_draw_spends_what_is_left_whatever_its_outcome():
    budget = WindowBudget(0.4, 10_000.0, Random(3))
    allowed = 0
    for window in range(1_000):
        budget.requested(window * 20_000.0)
        allowed += budget.take(window * 20_000.0)
        assert not budget.take(window * 20_000.0)
    assert 350 <= allowed <= 450


def test_earnings_of_requests_expire_after_a_window():
    budget = WindowBudget(0.5, 10_000.0, Random(3))
    budget.requested(0.0)
    budget.requested(1.0)
    assert not budget.take(10_001.0)


def test_a_send_that_reached_no_endpoint_costs_nothing():
    account = SendAccount(WindowBudget(0.0, 10_000.0, Random(3), most=1, saved=1))
    assert account.may_send(0.0)
    account.not_sent()
    assert account.may_send(0.0)
    assert account.may_send(0.0)
    account.not_sent()
    assert account.may_send(0.0)
    assert not account.may_send(0.0)


def test_a_reserved_retry_is_taken_once_and_returned_if_not_used():
    account = SendAccount(WindowBudget(0.0, 10_000.0, Random(3), most=1, saved=1))
    assert account.may_send(0.0)
    for _ in range(3):
        assert account.reserve(0.0)
    account.release()
    account.release()
    assert account.reserve(0.0)
    assert account.may_send(0.0)
    account.release()
    assert not account.reserve(0.0)
    assert not account.may_send(0.0)

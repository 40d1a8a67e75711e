"""Retry budgets of a gateway, one for each pool.

Rule: a send after one that may have reached an endpoint takes a retry from the budget
of the request's pool (`routing.WindowBudget`); if there is none, the request isn't sent
again. A send that certainly reached no endpoint costs nothing.

All instances together may send ``ratio`` of a pool's requests plus ``slack`` retries in
a window (`RetryBudgetSettings`). Each instance has a part of that:

- its own requests earn it slightly less than half of the ratio, since retries spent in
  one window may have been earned in that window or in the one before;
- the slack is divided by the number of group members, including recently lost ones,
  since both halves of a partitioned group spend. A tenth of the part refills over a
  window; the rest is a reserve. The reserve is empty until the process has run for a
  window, since many instances may restart at once after spending their parts. An
  instance without an address for peers divides by `_DEFAULT_INSTANCES` and has its
  reserve at once.

A fraction of a retry is allowed at random; a part of the slack covers the variance.

Reason: a fault that hits many requests at once must not double the load on the
remaining endpoints. `Router` has budgets too, but checks them only for requests marked
as continuing, which only the entry sends.
"""

from collections.abc import Callable
from math import sqrt
from random import Random

from attrs import define, field

from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.routing import WindowBudget
from coursekeel.runtime import Clock
from coursekeel.settings import RetryBudgetSettings
from coursekeel.units import MS_PER_SECOND

__all__ = ["RetryBudgets", "SendAccount", "instance_budget", "resize_budget"]

# For an instance without an address for peers; more than a small site has.
_DEFAULT_INSTANCES = 14

# For an instance that has found no members yet, while the others divide all of the
# slack among themselves.
_INSTANCES_BEFORE_DISCOVERY = 50

# Share of an instance's part that refills over the window; the rest is its reserve. A
# small share lets a single instance send more retries at once: with 0.1 a lone stream
# of 19 instances (slack 20) or of 195 (slack 150) is sent again with a probability of
# 0.89 and 0.92, with 0.25 and parts set aside for joining 0.70 and 0.78 (worked out).
_REFILLED_SHARE = 0.1

# Share of the ratio that a request earns at its instance. At most half, since earnings
# of two windows may be spent in one; less, to cover the variance of random retries.
# With half, 9 instances that all restarted passed a bound of 278 by one
# (`test_shared_budget.py`).
_EARNED_SHARE = 0.45

# Retries kept back from the slack, times the square root of the number of instances:
# four standard deviations of one random draw at even odds by each instance. At most
# this share of the slack.
_VARIANCE_FACTOR = 2.0
_MAX_VARIANCE_SHARE = 0.5


@define
class RetryBudgets:
    """The retry budgets of one instance, one for each pool.

    ``members`` returns the number of instances that share them, None without an address
    for peers.
    """

    settings: LiveSettings
    members: Callable[[], int | None]
    random: Random
    clock: Clock
    _reserve_from_ms: float = field(init=False)
    _has_reserve: bool = False
    _by_pool: dict[str, WindowBudget] = field(factory=dict)
    _last_instance_count: int = 0

    def __attrs_post_init__(self) -> None:
        window_ms = self.settings.now.retries.window_s * MS_PER_SECOND
        self._reserve_from_ms = self.clock.now_ms() + window_ms

    def of(self, pool: str) -> WindowBudget:
        """The budget of retries that this instance may send to a pool."""
        members = self.members()
        instances = _instance_count(members)
        if not self._has_reserve:
            self._fill_reserves_when_due(members)
        if instances != self._last_instance_count:
            self._last_instance_count = instances
            for existing in self._by_pool.values():
                resize_budget(existing, self.settings.now.retries, instances)
        budget = self._by_pool.get(pool)
        if budget is None:
            share = self.settings.now.retries
            budget = instance_budget(share, self.random, instances)
            if not self._has_reserve:
                budget.saved = 0.0
            self._by_pool[pool] = budget
        return budget

    def _fill_reserves_when_due(self, members: int | None) -> None:
        """Fill the reserves once this process has run for a window."""
        has_no_peers = members is None
        self._has_reserve = has_no_peers or self.clock.now_ms() >= self._reserve_from_ms
        if self._has_reserve:
            for budget in self._by_pool.values():
                budget.saved = budget.most


def _nobody_waits() -> bool:
    return False


@define
class SendAccount:
    """Counts the sends of one request and takes its retries from ``budget``.

    While ``others_wait`` for a retry (`RetryQueue`), there is none.
    """

    budget: WindowBudget
    others_wait: Callable[[], bool] = _nobody_waits
    _sends: int = 0
    _has_reserved: bool = False

    def reserve(self, now_ms: float) -> bool:
        """Take the retry for the next send now; return whether there is one."""
        if not self._has_reserved and not self.others_wait():
            self._has_reserved = self.budget.take(now_ms)
        return self._has_reserved

    @property
    def has_reserved(self) -> bool:
        """Whether the retry for the next send was taken."""
        return self._has_reserved

    def retry_given(self) -> None:
        """Keep a retry that was taken from the budget for the next send."""
        self._has_reserved = True

    def release(self) -> bool:
        """Return a retry that was reserved and isn't needed, if there is one."""
        had_reserved, self._has_reserved = self._has_reserved, False
        if had_reserved:
            self.budget.give_back()
        return had_reserved

    def may_send(self, now_ms: float) -> bool:
        """Whether the request may be sent (again); if so, the send is counted."""
        if self._sends and not self.reserve(now_ms):
            return False
        self._has_reserved = False
        self._sends += 1
        return True

    def not_sent(self) -> None:
        """Return the cost of the last send, which reached no endpoint."""
        self._sends -= 1
        if self._sends:
            self.budget.give_back()


def _instance_count(members: int | None) -> int:
    if members is None:
        return _DEFAULT_INSTANCES
    if members <= 1:
        return _INSTANCES_BEFORE_DISCOVERY
    return members


def instance_budget(
    share: RetryBudgetSettings, random: Random, instances: int = _DEFAULT_INSTANCES
) -> WindowBudget:
    """One instance's part of a budget that all instances share.

    The reserve starts at the part of one of `_DEFAULT_INSTANCES` at most, and refills
    from there.
    """
    budget = WindowBudget(
        _EARNED_SHARE * share.ratio, share.window_s * MS_PER_SECOND, random
    )
    resize_budget(budget, share, instances)
    budget.saved = min(budget.most, _max_reserve(share, _DEFAULT_INSTANCES))
    return budget


def resize_budget(
    budget: WindowBudget, share: RetryBudgetSettings, instances: int
) -> None:
    """Set a budget's part for a number of instances; savings above it are dropped."""
    refill_per_s = _REFILLED_SHARE * _slack_part(share, instances) / share.window_s
    budget.fit(_max_reserve(share, instances), refill_per_s)


def _max_reserve(share: RetryBudgetSettings, instances: int) -> float:
    return (1 - _REFILLED_SHARE) * _slack_part(share, instances)


def _slack_part(share: RetryBudgetSettings, instances: int) -> float:
    kept_back = min(
        _VARIANCE_FACTOR * sqrt(instances), _MAX_VARIANCE_SHARE * share.slack
    )
    return (share.slack - kept_back) / instances

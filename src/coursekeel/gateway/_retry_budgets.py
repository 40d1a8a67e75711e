"""Retry: may this instance send a request once more?

Rule: a send after one that may have arrived takes a repeat from the budget of the
request's pool (`routing.WindowBudget`); without one the request isn't sent again. A
send that surely reached no endpoint costs nothing.

The users bound repeats by a ratio of a pool's requests plus a slack in a window, over
all instances together (`RetryShare`). Each instance keeps a part:

- it earns a little less than half of the ratio by its own requests. What is spent in
  a window was earned in it or in the one before, so that the ratio holds of the larger;
- its part of the slack is one of as many as there are members in its group; a tenth of
  it comes back over the window and the rest can be saved up. Members that were lost
  lately count, since a group that is split spends in both halves. One that began less
  than a window ago has nothing saved: it may be one of many that begin again at once,
  whose earlier lives spent their parts in the same window. One that can't know others
  takes one of `_PLANNED_INSTANCES`, at once.

Parts of less than one are drawn for, so some of the slack is left for luck.

Reason: a fault that hits many requests at once must not double the load of those that
still work. This is the budget that binds in a gateway. The one that `Router` keeps for
each class (0.2 a success) is asked only for requests marked as continuing, which no
gateway sends; it binds in the entry.
"""

from collections.abc import Callable
from math import sqrt
from random import Random

from attrs import define, field

from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.routing import WindowBudget
from coursekeel.runtime import Clock
from coursekeel.settings import RetryShare
from coursekeel.units import MS_PER_SECOND

__all__ = ["RetryBudgets", "SendAccount", "fit_budget", "shared_budget"]

# For an instance without an address for peers. A little above the instances of a small
# site, with its spares.
_PLANNED_INSTANCES = 14

# For one that has just begun, while the others have shared all among themselves: what
# comes back to it is next to nothing until it knows them.
_UNKNOWN_INSTANCES = 50

# How much of an instance's part comes back over the window; the rest is there at the
# start. The less, the more a single instance can send again at once: with 0.1 a lone
# stream of 19 instances (slack 20) or of 195 (slack 150) is sent again with odds of
# 0.89 and 0.92; with 0.25 and parts set aside for joining, 0.70 and 0.78 (worked out).
_REFILLED_SHARE = 0.1

# Of the ratio's repeats, the part that a request earns at the instance that sees it.
# Half is the most, since two windows' earnings may be spent in one; a tenth of that is
# left for the luck of the lots that are drawn for earnings. With half, 9 instances of
# which all began anew passed a bound of 278 by one (`test_shared_budget.py`).
_OWN_SHARE = 0.45

# Of the slack, so much by the square root of the instances is left for luck: four
# standard deviations of as many lots, each at even odds. At most half of the slack.
_LUCK = 2.0
_MOST_LUCK_SHARE = 0.5  # see above


@define
class RetryBudgets:
    """One budget for each pool.

    ``members`` says how many instances share them, None if that can't be known.
    """

    settings: LiveSettings
    members: Callable[[], int | None]
    random: Random
    clock: Clock
    _saves_from_ms: float = field(init=False)
    _saves: bool = False
    _by_pool: dict[str, WindowBudget] = field(factory=dict)
    _shared_by: int = 0

    def __attrs_post_init__(self) -> None:
        window_ms = self.settings.now.retries.window_s * MS_PER_SECOND
        self._saves_from_ms = self.clock.now_ms() + window_ms

    def of(self, pool: str) -> WindowBudget:
        """The repeats that this instance may send to a pool."""
        members = self.members()
        instances = _instances(members)
        if not self._saves:
            self._begin_to_save(members)
        if instances != self._shared_by:
            self._shared_by = instances
            for each in self._by_pool.values():
                fit_budget(each, self.settings.now.retries, instances)
        budget = self._by_pool.get(pool)
        if budget is None:
            share = self.settings.now.retries
            budget = shared_budget(share, self.random, instances)
            if not self._saves:
                budget.saved = 0.0
            self._by_pool[pool] = budget
        return budget

    def _begin_to_save(self, members: int | None) -> None:
        """Once this process has run for a window, its part is there."""
        alone = members is None
        self._saves = alone or self.clock.now_ms() >= self._saves_from_ms
        if self._saves:
            for each in self._by_pool.values():
                each.saved = each.most


@define
class SendAccount:
    """The sends of one request, and what they cost ``budget``."""

    budget: WindowBudget
    _arrivals: int = 0

    def may_send(self, now_ms: float) -> bool:
        """Say whether one more send may be made; it then counts as made."""
        if self._arrivals and not self.budget.take(now_ms):
            return False
        self._arrivals += 1
        return True

    def not_sent(self) -> None:
        """A send that was made reached no endpoint."""
        self._arrivals -= 1
        if self._arrivals:
            self.budget.give_back()


def _instances(members: int | None) -> int:
    if members is None:
        return _PLANNED_INSTANCES
    if members <= 1:
        return _UNKNOWN_INSTANCES
    return members


def shared_budget(
    share: RetryShare, random: Random, instances: int = _PLANNED_INSTANCES
) -> WindowBudget:
    """One instance's part of a budget that holds for all instances together.

    It begins with the least that any size of the group would give it: what it may save
    up comes back with time.
    """
    budget = WindowBudget(
        _OWN_SHARE * share.ratio, share.window_s * MS_PER_SECOND, random
    )
    fit_budget(budget, share, instances)
    budget.saved = min(budget.most, _saved(share, _PLANNED_INSTANCES))
    return budget


def fit_budget(budget: WindowBudget, share: RetryShare, instances: int) -> None:
    """Make a budget one of so many parts; what is over the new cap is given up."""
    refill_per_s = _REFILLED_SHARE * _part(share, instances) / share.window_s
    budget.fit(_saved(share, instances), refill_per_s)


def _saved(share: RetryShare, instances: int) -> float:
    return (1 - _REFILLED_SHARE) * _part(share, instances)


def _part(share: RetryShare, instances: int) -> float:
    luck = min(_LUCK * sqrt(instances), _MOST_LUCK_SHARE * share.slack)
    return (share.slack - luck) / instances

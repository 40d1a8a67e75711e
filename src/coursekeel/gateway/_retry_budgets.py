"""Retry: may this instance send a request once more?

Rule: a send after the first takes one from the budget of the request's pool; without
one the request isn't sent again. Every request that arrives earns a part of a send.

The users bound repeats by a ratio of a pool's requests plus a slack in a window, over
all instances together (`RetryShare`). Instances don't talk, so each keeps a part:

- it earns half of the ratio by its own requests;
- its part of the slack is one of `_PLANNED_INSTANCES`, of which a quarter comes back
  over the window and the rest can be saved up.

Reason: a fault that hits many requests at once must not double the load of those that
still work. This is the budget that binds in a gateway. The one that `Router` keeps for
each class (0.2 a success) is asked only for requests marked as continuing, which no
gateway sends; it binds in the entry.
"""

from attrs import define, field

from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.routing import RetryBudget
from coursekeel.settings import RetryShare

__all__ = ["RetryBudgets", "shared_budget"]

# An instance can't know how many others share a pool. Each site of the first milestone
# has nine and three spares; chosen a little above, not measured. A site with more
# passes the slack in the worst case (question 4 of docs/design/platform.md), one with
# fewer repeats less than it might.
_PLANNED_INSTANCES = 14

# How much of an instance's part comes back over the window; the rest is there at the
# start. Chosen, not measured; kept by tests/cover/test_shared_budget.py.
_REFILLED_SHARE = 0.25

# Of the ratio's repeats, the part that a request earns at the instance that sees it.
# Chosen, not measured.
_OWN_SHARE = 0.5


@define
class RetryBudgets:
    """One budget for each pool, made from the share in force at its first use."""

    settings: LiveSettings
    _by_pool: dict[str, RetryBudget] = field(factory=dict)

    def of(self, pool: str) -> RetryBudget:
        """The repeats that this instance may send to a pool."""
        budget = self._by_pool.get(pool)
        if budget is None:
            budget = self._by_pool[pool] = shared_budget(self.settings.now.retries)
        return budget


def shared_budget(share: RetryShare) -> RetryBudget:
    """One instance's part of a budget that holds for all instances together."""
    part = share.slack / _PLANNED_INSTANCES
    refilled = _REFILLED_SHARE * part
    saved = part - refilled
    return RetryBudget(
        _OWN_SHARE * share.ratio,
        reserve=saved,
        refill_per_s=refilled / share.window_s,
        retries=saved,
        most=saved,
    )

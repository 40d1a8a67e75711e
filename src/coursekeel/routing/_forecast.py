"""Refuse: is it sure enough that a request can't be served in its time?

Rule: a request is refused when it comes if no endpoint is known for its pool, if too
many wait already, or if its queue moves so slowly that it would wait for most of its
time; and while it waits, once its time is over. `Retry-After` is the wait that is
expected, spread by lot so that not all come at once. Reason: a caller that is refused
at once can go elsewhere, one that waits in vain can't.

Owns how fast each pool's queue moves. A core: each moment is given, in ms. Measured
(docs/bench-summary.md, `python -m bench.policy`): with a rate averaged over each
grant's own speed, refusals came only at the deadline.
"""

import math
from random import Random

from attrs import define, field, frozen

from coursekeel.routing._messages import PlacementRequest, Refuse
from coursekeel.routing._queue import FairQueue
from coursekeel.routing._rate import QueueRate

__all__ = ["Forecast", "RefusalTerms"]

# How much of a request's time its wait may take and still leave it hope: the forecast
# errs by a fifth or so, and the request must be sent and answered as well.
_HOPEFUL_SHARE = 0.8

# The time to come back is up to so much longer, by lot.
_SPREAD_SHARE = 0.25


@frozen
class RefusalTerms:
    """Bounds on what waits (`queue_limit`, requests a queue) and on `Retry-After`."""

    queue_limit: int
    retry_after_least_ms: float
    retry_after_most_ms: float


@define(eq=False)
class Forecast:
    """Judges waiting requests; ``refused`` counts those that were turned away."""

    random: Random
    terms: RefusalTerms
    refused: int = 0
    _rates: dict[str, QueueRate] = field(factory=dict)

    def refusal(
        self, request: PlacementRequest, queue: FairQueue, served: bool, now_ms: float
    ) -> Refuse | None:
        """Refuse a new request, or None; ``served``: some endpoint serves its pool."""
        if not served:
            return self._refuse(request, "no_endpoint", self.terms.retry_after_most_ms)
        wait_ms = self._wait_ms(request, queue)
        if queue.waiting >= self.terms.queue_limit:
            return self._refuse(request, "queue_full", wait_ms)
        if wait_ms > _HOPEFUL_SHARE * (request.deadline_ms - now_ms):
            return self._refuse(request, "too_late", wait_ms)
        return None

    def overdue(self, queue: FairQueue, now_ms: float) -> list[Refuse]:
        """Take those out of the queue whose time is over, and refuse them."""
        refusals = []
        for request in queue.expired(now_ms):
            queue.remove(request.number)
            wait_ms = self._wait_ms(request, queue)
            refusals.append(self._refuse(request, "too_late", wait_ms))
        return refusals

    def granted(
        self, request: PlacementRequest, queue: FairQueue, now_ms: float
    ) -> None:
        """A request has left the queue by a grant: learn how fast the queue moves.

        Grants without a queue tell how much was asked for, not how much is possible;
        learning from them made the first burst after a quiet hour look hopeless.
        """
        if queue.waiting:
            rate = self._rates.setdefault(request.pool, QueueRate())
            rate.moved(request.cost, now_ms)
        elif request.pool in self._rates:
            self._rates[request.pool].pause()

    def _wait_ms(self, request: PlacementRequest, queue: FairQueue) -> float:
        """How long this request would wait, judged by how fast its queue has moved."""
        rate = self._rates.get(request.pool)
        if not queue.waiting or rate is None or not rate.cost_per_ms:
            return 0.0
        return queue.ahead_of(request.team) / rate.cost_per_ms

    def _refuse(self, request: PlacementRequest, code: str, wait_ms: float) -> Refuse:
        self.refused += 1
        return Refuse(request.number, code, self._retry_after_ms(wait_ms))

    def _retry_after_ms(self, wait_ms: float) -> int:
        spread = 1 + _SPREAD_SHARE * self.random.random()
        least_ms = max(wait_ms, self.terms.retry_after_least_ms)
        return math.ceil(min(least_ms * spread, self.terms.retry_after_most_ms))

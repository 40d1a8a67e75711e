"""Refusal of requests that can't be served before their deadline.

Rule: a new request is refused if its pool has no endpoint, if too many wait already, or
if its predicted wait takes most of its time; a waiting request is refused at its
deadline. `Retry-After` is the predicted wait with random jitter, so that callers don't
return all at once. Reason: a caller that is refused early can go elsewhere.

Owns how fast each pool's queue is served. A core: the caller passes the time, in ms.
"""

import math
from random import Random

from attrs import define, field, frozen

from coursekeel.routing._messages import PlacementRequest, Refuse
from coursekeel.routing._queue import FairQueue
from coursekeel.routing._rate import QueueRate

__all__ = [
    "ENDPOINT_LIMIT_CODE",
    "POOL_UNREACHED_CODE",
    "AdmissionControl",
    "RefusalLimits",
]

# The code of a refusal because every endpoint of the pool limits its requests.
ENDPOINT_LIMIT_CODE = "endpoint_limit"

# The code of a refusal because this instance can't connect to the pool's endpoints.
POOL_UNREACHED_CODE = "pool_unreached"

# Share of a request's remaining time that its wait may take. The rest is for sending
# and answering it, and for the error of the prediction.
_MAX_WAIT_SHARE = 0.8

# `Retry-After` is lengthened by a random share up to this one.
_JITTER_SHARE = 0.25


@frozen
class RefusalLimits:
    """Bounds on the requests waiting in one queue and on `Retry-After`."""

    queue_limit: int
    retry_after_least_ms: float
    retry_after_most_ms: float


@define(eq=False)
class AdmissionControl:
    """Decides for `Router` which requests to refuse; ``refused`` counts them."""

    random: Random
    limits: RefusalLimits
    refused: int = 0
    _rates: dict[str, QueueRate] = field(factory=dict)

    def check_new(
        self, request: PlacementRequest, queue: FairQueue, served: bool, now_ms: float
    ) -> Refuse | None:
        """Refuse a new request, or return None to let it wait in ``queue``.

        ``served`` says whether its pool has any endpoint.
        """
        if not served:
            return self._refuse(request, "no_endpoint", self.limits.retry_after_most_ms)
        wait_ms = self._wait_ms(request, queue)
        if queue.waiting >= self.limits.queue_limit:
            return self._refuse(request, "queue_full", wait_ms)
        if wait_ms > _MAX_WAIT_SHARE * (request.deadline_ms - now_ms):
            return self._refuse(request, "too_late", wait_ms)
        return None

    def refuse_expired(self, queue: FairQueue, now_ms: float) -> list[Refuse]:
        """Remove the requests whose deadline has passed, and refuse them."""
        refusals = []
        for request in queue.expired(now_ms):
            queue.remove(request.number)
            wait_ms = self._wait_ms(request, queue)
            refusals.append(self._refuse(request, "too_late", wait_ms))
        return refusals

    def refuse_limited(
        self, queue: FairQueue, turn_ms: float, now_ms: float
    ) -> list[Refuse]:
        """Refuse the requests whose deadline is before they may expect a permit."""
        refusals = []
        for request in queue.requests() if turn_ms > 0 else ():
            if now_ms + turn_ms > request.deadline_ms:
                queue.remove(request.number)
                retry_after_ms = math.ceil(turn_ms * self._jitter_factor())
                self.refused += 1
                refusals.append(
                    Refuse(request.number, ENDPOINT_LIMIT_CODE, retry_after_ms)
                )
        return refusals

    def refuse_unreached(self, request: PlacementRequest) -> Refuse:
        """Refuse a request for a pool that this instance can't connect to."""
        return self._refuse(request, POOL_UNREACHED_CODE, 0.0)

    def record_grant(
        self, request: PlacementRequest, queue: FairQueue, now_ms: float
    ) -> None:
        """Update the pool's rate after a request was granted and left the queue.

        Only grants from a queue that is still busy count: without a backlog they show
        the demand and not the capacity.
        """
        if queue.waiting:
            rate = self._rates.setdefault(request.pool, QueueRate())
            rate.record_grant(request.cost, now_ms)
        elif request.pool in self._rates:
            self._rates[request.pool].pause()

    def _wait_ms(self, request: PlacementRequest, queue: FairQueue) -> float:
        """Predict the request's wait from the queue's rate; 0 if that is unknown."""
        rate = self._rates.get(request.pool)
        if not queue.waiting or rate is None or not rate.cost_per_ms:
            return 0.0
        return queue.cost_ahead_of(request.team) / rate.cost_per_ms

    def _refuse(self, request: PlacementRequest, code: str, wait_ms: float) -> Refuse:
        self.refused += 1
        return Refuse(request.number, code, self._retry_after_ms(wait_ms))

    def _retry_after_ms(self, wait_ms: float) -> int:
        least_ms = max(wait_ms, self.limits.retry_after_least_ms)
        most_ms = self.limits.retry_after_most_ms
        return math.ceil(min(least_ms * self._jitter_factor(), most_ms))

    def _jitter_factor(self) -> float:
        return 1 + _JITTER_SHARE * self.random.random()

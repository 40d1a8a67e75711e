"""How long a request that hasn't begun may wait in the queue for an endpoint.

Rule: a quarter of its route's target latency, and never past the request's deadline.
Reason: the rest of the target is for the answer itself; a request that waits longer
misses the target, and its caller's retry may reach an instance with free endpoints.

A core: the time is an argument, in ms.
"""

from coursekeel.gateway._request import AdmittedRequest

__all__ = ["queue_deadline_ms"]

# Share of the route's target latency.
_QUEUE_SHARE_OF_TARGET = 0.25


def queue_deadline_ms(call: AdmittedRequest, now_ms: float) -> float:
    """Return the time in ms, on this process's clock, when a wait ends in a refusal."""
    return min(call.deadline_ms, now_ms + _QUEUE_SHARE_OF_TARGET * call.route.target_ms)

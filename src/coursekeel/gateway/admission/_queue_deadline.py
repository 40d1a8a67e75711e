"""Wait: how long a request that hasn't begun may wait for an endpoint.

Rule: a quarter of the latency that its route aims at, and never past its own end.
Reason: the rest of the aim is for the answer itself; a request that waits longer misses
the aim anyway, and its caller's next try may meet an instance with room. A try with
other shares on `quiet-1` and `scale-1` would tell whether a quarter is right.

A core: the moment is given, in ms.
"""

from coursekeel.gateway._request import AdmittedRequest

__all__ = ["queue_deadline_ms"]

# Of the route's latency aim.
_QUEUE_SHARE_OF_TARGET = 0.25


def queue_deadline_ms(call: AdmittedRequest, now_ms: float) -> float:
    """The moment after which the request is refused if it still waits."""
    return min(call.due_ms, now_ms + _QUEUE_SHARE_OF_TARGET * call.route.target_ms)

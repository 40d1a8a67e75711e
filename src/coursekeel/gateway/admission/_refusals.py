"""What a caller is told when its request is refused or can't be answered whole.

Rule: the status tells the truth about whether the request has run, and `Retry-After`
says when trying again may help the caller. 503 is said only of a request that surely
has not run, so that the caller may send it again whatever it does. A request that may
have run ends with 504 when its time is over, with 502 otherwise. Routing's own refusals
come with the wait that its queue predicts (`routing/_forecast.py`).

Owns every `Retry-After` that the gateway itself says. Where another instance can serve,
they are short: the balancer sends the next try to any instance, and an endpoint that
died is known to be dead within a fraction of a second. Where the cause is common to all
instances they are a part of the time that the caller has, spread by lot.
"""

from http import HTTPStatus
from random import Random

from attrs import frozen

from coursekeel.answers import RunState

__all__ = [
    "ELSEWHERE_RETRY_MS",
    "NOT_YET_RETRY_MS",
    "STOPS_ENDPOINTS",
    "STREAM_RETRY_MS",
    "WHOLE_RETRY_MS",
    "GatewayRefusal",
    "outage_wait_ms",
    "refusal_after_loss",
    "refusal_retry_ms",
    "refusal_without_endpoint",
]

# The code of the reply to a barred request; callers know it from answers given up
# because their runs died one after the other (`answers/_recovery.py`).
STOPS_ENDPOINTS = "request_stops_engines"

# Another instance can most likely serve it now: this one's keys are too old, it is
# stopping, or it has spent its own part of a retry budget.
ELSEWHERE_RETRY_MS = 50.0

# Nothing was found for a whole answer, or its time ran out before it was sent. A share
# of the 0.3 to 1 s that such routes aim at.
WHOLE_RETRY_MS = 100.0

# The same for a stream, whose first event may take seconds anyway.
STREAM_RETRY_MS = 150.0

# The instance itself isn't able to serve yet or any more: no configuration, no pool of
# that name, too many requests open. About as long as a configuration takes to be read
# (the pause after a failed read is 150 to 600 ms).
NOT_YET_RETRY_MS = 300.0

# Where the cause is common to all: no instance that has just started knows the
# configuration, or no endpoint of the pool is listed. Callers come back a few times at
# the most, and an outage takes seconds: so much of the time that a caller has, but no
# longer than a list takes to settle after an outage, and by lot between three quarters
# and five quarters of it. Days on which all instances start while the store is away had
# 0.637 in place of 0.597 with 0.3 and 1 s (four seeds; the share itself is chosen).
_OUTAGE_SHARE = 0.1
_MAX_OUTAGE_WAIT_MS = 2_500.0  # see above
_OUTAGE_SPREAD = 0.5  # see above


_SHARED_CAUSE_CODES = frozenset({"no_configuration", "no_endpoint"})


def refusal_retry_ms(
    code: str, usual_ms: float, time_ms: float | None, random: Random
) -> float:
    """When a caller with ``time_ms`` may be served; ``usual_ms`` by other causes."""
    if code not in _SHARED_CAUSE_CODES:
        return usual_ms
    spread = 1 - _OUTAGE_SPREAD / 2 + _OUTAGE_SPREAD * random.random()
    return max(NOT_YET_RETRY_MS, outage_wait_ms(time_ms) * spread)


def outage_wait_ms(time_ms: float | None) -> float:
    """How much of its ``time_ms`` a caller may wait for what no instance can do now."""
    return min(_OUTAGE_SHARE * (time_ms or 0.0), _MAX_OUTAGE_WAIT_MS)


@frozen
class GatewayRefusal:
    """A reply of the gateway's own; with ``retry_after_ms`` 0 without `Retry-After`.

    ``code`` is the body, and the outcome in the log and the metrics. The codes
    `belief_old` (what is known of keys is too old) and `no_pool` are older than the
    names used in here, and callers know them.
    """

    status: int
    code: str
    retry_after_ms: float = 0.0


def refusal_without_endpoint(
    run: RunState, code: str, retry_after_ms: float
) -> GatewayRefusal:
    """The reply to a request for which there is no endpoint, or no repeat, now.

    Even one that may have run is told when to come back: its caller asks for the rest
    of a stream by the number of the last event, which runs nothing twice.
    """
    if run is RunState.NOT_RUN:
        return GatewayRefusal(HTTPStatus.SERVICE_UNAVAILABLE, code, retry_after_ms)
    return GatewayRefusal(HTTPStatus.BAD_GATEWAY, code, retry_after_ms)


def refusal_after_loss(
    run: RunState, code: str, retry_after_ms: float
) -> GatewayRefusal:
    """The reply to a request whose answer was lost or is overdue (code `timeout`)."""
    if run is RunState.NOT_RUN:
        return GatewayRefusal(HTTPStatus.SERVICE_UNAVAILABLE, code, retry_after_ms)
    if code == "timeout":
        return GatewayRefusal(HTTPStatus.GATEWAY_TIMEOUT, code)
    return GatewayRefusal(HTTPStatus.BAD_GATEWAY, code)

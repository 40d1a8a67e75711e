"""The gateway's own refusals: status, code and `Retry-After`.

Rule: 503 means that the request has certainly not run, so that the caller may always
send it again. A request that may have run ends with 504 at its deadline, with 502
otherwise. `Retry-After` is when a retry may succeed. Routing's own refusals carry the
wait that its queue predicts (`routing/_forecast.py`).

Owns every `Retry-After` that the gateway itself sets. They are short where another
instance can serve the retry, which the balancer sends to any instance. Where the cause
is common to all instances, they are a share of the caller's time, with random spread.
"""

from http import HTTPStatus
from random import Random

from attrs import frozen

from coursekeel.answers import RunState

__all__ = [
    "NOT_READY_RETRY_MS",
    "NO_CONFIGURATION",
    "OTHER_INSTANCE_RETRY_MS",
    "REQUEST_BARRED_CODE",
    "STOPPING",
    "STREAM_RETRY_MS",
    "WHOLE_RETRY_MS",
    "GatewayRefusal",
    "outage_wait_ms",
    "refusal_after_loss",
    "refusal_retry_ms",
    "refusal_without_endpoint",
]

# The code of the reply to a barred request; the same as for answers that end because
# their runs crashed one after the other (`answers/_recovery.py`).
REQUEST_BARRED_CODE = "request_stops_engines"

# Another instance can probably serve the request now: this one's configuration is too
# old, it is stopping, or its share of the retry budget is spent.
OTHER_INSTANCE_RETRY_MS = 50.0

# No endpoint for a whole answer, or its deadline passed before it was sent. A fraction
# of such routes' target latency of 0.3 to 1 s.
WHOLE_RETRY_MS = 100.0

# The same for a stream, whose first event may take seconds anyway.
STREAM_RETRY_MS = 150.0

# The instance itself can't serve now: no configuration, no pool of that name, too many
# open requests. About the time that reading a configuration takes (the delay after a
# failed read is 150 to 600 ms).
NOT_READY_RETRY_MS = 300.0

# For causes common to all instances: no configuration after a start, no endpoint of the
# pool listed, or none that any instance asked can connect to. Callers retry only a few
# times, and an outage takes seconds. So the wait is a share of the caller's time, at
# most the time that lists take to settle after an outage, with a random spread of 75 %
# to 125 %. Days on which all instances start while the store is away had a worth of
# 0.637 in place of 0.597 with 0.3 and 1 s (four seeds).
_OUTAGE_SHARE = 0.1
_MAX_OUTAGE_WAIT_MS = 2_500.0
_OUTAGE_SPREAD = 0.5

_SHARED_CAUSE_CODES = frozenset({"no_configuration", "no_endpoint", "pool_unreached"})


def refusal_retry_ms(
    code: str, usual_ms: float, time_ms: float | None, random: Random
) -> float:
    """Return `Retry-After` in ms for a refusal ``code``.

    ``usual_ms`` unless the cause is common to all instances; ``time_ms`` is the time
    that the caller has left, None if unknown.
    """
    if code not in _SHARED_CAUSE_CODES:
        return usual_ms
    spread = 1 - _OUTAGE_SPREAD / 2 + _OUTAGE_SPREAD * random.random()
    return max(NOT_READY_RETRY_MS, outage_wait_ms(time_ms) * spread)


def outage_wait_ms(time_ms: float | None) -> float:
    """Return how much of its ``time_ms`` a caller may wait during an outage for all."""
    return min(_OUTAGE_SHARE * (time_ms or 0.0), _MAX_OUTAGE_WAIT_MS)


@frozen
class GatewayRefusal:
    """A reply of the gateway itself; no `Retry-After` if ``retry_after_ms`` is 0.

    ``code`` is the body, and the outcome in the log and the metrics. The code
    `belief_old` means that the cached configuration is too old.
    """

    status: int
    code: str
    retry_after_ms: float = 0.0


# Whatever else might be wrong with a request: a configuration may allow it.
NO_CONFIGURATION = GatewayRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "no_configuration", NOT_READY_RETRY_MS
)

# This instance stops before it could answer, and the request has not run.
STOPPING = GatewayRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "stopping", OTHER_INSTANCE_RETRY_MS
)


def refusal_without_endpoint(
    run: RunState, code: str, retry_after_ms: float
) -> GatewayRefusal:
    """Return the reply to a stream that has no endpoint, or no retry budget, now.

    A stream that may have run gets `Retry-After` as well: its caller asks for the rest
    by the number of the last event, which runs nothing twice.
    """
    if run is RunState.NOT_RUN:
        return GatewayRefusal(HTTPStatus.SERVICE_UNAVAILABLE, code, retry_after_ms)
    return GatewayRefusal(HTTPStatus.BAD_GATEWAY, code, retry_after_ms)


def refusal_after_loss(
    run: RunState, code: str, retry_after_ms: float
) -> GatewayRefusal:
    """Return the reply to a request whose answer was lost or late (code `timeout`)."""
    if run is RunState.NOT_RUN:
        return GatewayRefusal(HTTPStatus.SERVICE_UNAVAILABLE, code, retry_after_ms)
    if code == "timeout":
        return GatewayRefusal(HTTPStatus.GATEWAY_TIMEOUT, code)
    return GatewayRefusal(HTTPStatus.BAD_GATEWAY, code)

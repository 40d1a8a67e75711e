"""Events that an answer's core handles, and actions that it returns to its shell.

Both are plain values, so that a recorded list of events replays an answer exactly.
"""

from enum import Enum
from typing import Any

from attrs import frozen

__all__ = [
    "Action",
    "AnswerFenced",
    "AttemptEnded",
    "CancelAttempt",
    "Cancelled",
    "Complete",
    "CopyPlaced",
    "DeadlineReached",
    "Deliver",
    "EndpointGranted",
    "EndpointStalled",
    "Event",
    "FinishArrived",
    "HeadArrived",
    "Interrupt",
    "Loss",
    "NoEndpointFree",
    "OpenAttempt",
    "ReadingResumed",
    "RequestEndpoint",
    "RunState",
    "SetAlarm",
    "Started",
    "StopSending",
    "StreamHead",
    "Tick",
    "TokensArrived",
    "Way",
]


class Way(Enum):
    """How an attempt starts or resumes a generation, cheapest first.

    ``OWN_STREAM`` reads an engine's run again, ``COPY`` continues from a copy of the
    run's KV cache, and ``PREFILL`` starts a run with the prompt and the held tokens.
    """

    OWN_STREAM = "own_stream"
    COPY = "copy"
    PREFILL = "prefill"


class Loss(Enum):
    """How an attempt ended without a finish marker."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    CUT = "cut"
    GONE = "gone"
    CLOSED_EARLY = "closed_early"


class RunState(Enum):
    """Whether a request ran; `NOT_RUN` and `RAN` are guarantees to the caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


@frozen
class StreamHead:
    """The head that an engine sends before a stream's first token.

    ``incarnation`` identifies the engine's process start.
    """

    run_id: str
    label: str
    model: str
    adapter: str
    version: str
    incarnation: str
    from_position: int


@frozen
class Started:
    """The answer starts, or resumes after the tokens that its ledger holds.

    An entry that adopts an answer names the run in its newest journal entry, which is
    then read again. The fields are empty for a new answer.
    """

    endpoint_id: str = ""
    run_id: str = ""
    label: str = ""


@frozen
class EndpointGranted:
    """Routing chose an endpoint."""

    endpoint_id: str


@frozen
class CopyPlaced:
    """The attempt's endpoint copies the run's KV cache to ``endpoint_id``."""

    attempt: int
    endpoint_id: str


@frozen
class NoEndpointFree:
    """Routing refused an endpoint; suspected runs that are open are waited on."""

    retry_after_ms: int


@frozen
class DeadlineReached:
    """The request's time is over, whatever state its answer is in."""


@frozen
class HeadArrived:
    """The head of an attempt's stream arrived."""

    attempt: int
    head: StreamHead


@frozen
class TokensArrived:
    """An engine sent pieces (tokens or numbered events) from ``position`` on.

    Every line carries its ``run_id``, so that a line of another run is recognized.
    """

    attempt: int
    run_id: str
    position: int
    tokens: list[int]
    texts: list[Any]


@frozen
class FinishArrived:
    """An engine sent its finish marker; ``position`` is that after the last token."""

    attempt: int
    run_id: str
    position: int
    reason: str


@frozen
class AttemptEnded:
    """An attempt's stream ended without a finish marker."""

    attempt: int
    loss: Loss


@frozen
class EndpointStalled:
    """An endpoint stalled on all its streams, or doesn't respond.

    ``may_use_copy``: the endpoint that keeps the copy of its run may go on with it now.
    """

    endpoint_id: str
    may_use_copy: bool = True


@frozen
class ReadingResumed:
    """This process had stopped reading, so no stream was stalled in that time."""


@frozen
class Tick:
    """The time of the last `SetAlarm` was reached."""


@frozen
class AnswerFenced:
    """Another entry owns the answer now."""


@frozen
class Cancelled:
    """The caller or an operator cancelled the answer."""


Event = (
    Started
    | EndpointGranted
    | CopyPlaced
    | NoEndpointFree
    | DeadlineReached
    | HeadArrived
    | TokensArrived
    | FinishArrived
    | AttemptEnded
    | EndpointStalled
    | ReadingResumed
    | Tick
    | AnswerFenced
    | Cancelled
)


@frozen
class RequestEndpoint:
    """Request an endpoint from routing that isn't among ``excluded``.

    ``continuing`` says that the answer had an attempt before, and ``held_tokens`` how
    many tokens a new run has to prefill beside the prompt.
    """

    excluded: frozenset[str]
    continuing: bool
    held_tokens: int


@frozen
class OpenAttempt:
    """Open a stream from ``from_position`` on.

    ``run_id`` is the run to read again with `Way.OWN_STREAM`, or the one whose copy the
    endpoint keeps with `Way.COPY`.
    """

    attempt: int
    endpoint_id: str
    way: Way
    from_position: int
    run_id: str = ""


@frozen
class CancelAttempt:
    """Close a stream.

    ``stops_run`` also stops the engine's run. A fenced owner must not stop it, because
    its successor may be reading the same run.
    """

    attempt: int
    stops_run: bool = True


@frozen
class Deliver:
    """Send the pieces up to position ``end`` to the caller."""

    end: int


@frozen
class Complete:
    """The answer is complete; ``reason`` is the engine's finish reason."""

    reason: str


@frozen
class Interrupt:
    """The answer can't be finished; the error to report to the caller."""

    code: str
    run: RunState
    held_tokens: int
    retry_after_ms: int


@frozen
class StopSending:
    """This process must send nothing more of the answer."""


@frozen
class SetAlarm:
    """Send `Tick` at ``at_ms``; it replaces an earlier alarm."""

    at_ms: float


Action = (
    RequestEndpoint
    | OpenAttempt
    | CancelAttempt
    | Deliver
    | Complete
    | Interrupt
    | StopSending
    | SetAlarm
)

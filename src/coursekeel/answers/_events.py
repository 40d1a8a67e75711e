"""What an answer is told, and what it asks its shell to do.

Events and actions are plain values, so that a recorded list of events replays an
answer's life exactly.
"""

from enum import Enum
from typing import Any

from attrs import frozen

__all__ = [
    "Action",
    "AttemptEnded",
    "CancelAttempt",
    "Cancelled",
    "Complete",
    "CopyPlaced",
    "Deliver",
    "EndpointSilent",
    "Event",
    "Fenced",
    "FinishArrived",
    "Granted",
    "HeadArrived",
    "Interrupt",
    "Loss",
    "NothingFree",
    "OpenAttempt",
    "ReadingResumed",
    "RunState",
    "SeekEndpoint",
    "SetAlarm",
    "Started",
    "StopWork",
    "StreamHead",
    "Tick",
    "TokensArrived",
    "Way",
]


class Way(Enum):
    """How an attempt takes a generation up, cheapest first."""

    OWN_STREAM = "own_stream"
    COPY = "copy"
    PREFILL = "prefill"


class Loss(Enum):
    """How an attempt came to its end without a finish marker."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    CUT = "cut"
    GONE = "gone"
    CLOSED_EARLY = "closed_early"


class RunState(Enum):
    """What is known of whether a request was run; each word is a promise."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


@frozen
class StreamHead:
    """What an engine says of a stream before its first token."""

    run_id: str
    label: str
    model: str
    adapter: str
    version: str
    incarnation: str
    from_position: int


@frozen
class Started:
    """The answer is to begin, or to go on from the tokens its ledger holds.

    An adopter names the engine run that the journal last spoke of, to be taken up.
    """

    endpoint_id: str = ""
    run_id: str = ""
    label: str = ""


@frozen
class Granted:
    """Routing chose an endpoint."""

    endpoint_id: str


@frozen
class CopyPlaced:
    """The attempt's endpoint sends a copy of the run's memory to another endpoint."""

    attempt: int
    endpoint_id: str


@frozen
class NothingFree:
    """Routing has no endpoint now; it will grant one later if patience lasts."""

    retry_after_ms: int


@frozen
class HeadArrived:
    """A stream opened."""

    attempt: int
    head: StreamHead


@frozen
class TokensArrived:
    """An engine sent pieces (tokens, or numbered events) at ``position`` and after.

    ``run_id`` comes with every line, so that a line of another run is known for one.
    """

    attempt: int
    run_id: str
    position: int
    tokens: list[int]
    texts: list[Any]


@frozen
class FinishArrived:
    """An engine's own finish marker, at the position after the last token."""

    attempt: int
    run_id: str
    position: int
    reason: str


@frozen
class AttemptEnded:
    """A stream ended without a finish marker."""

    attempt: int
    loss: Loss


@frozen
class EndpointSilent:
    """The whole endpoint went silent, judged over all its streams."""

    endpoint_id: str


@frozen
class ReadingResumed:
    """This entry had stopped reading, so the silence until now says nothing."""


@frozen
class Tick:
    """The alarm that the answer set has come."""


@frozen
class Fenced:
    """Another entry owns the answer now."""


@frozen
class Cancelled:
    """The caller, or an operator, gave the answer up."""


Event = (
    Started
    | Granted
    | CopyPlaced
    | NothingFree
    | HeadArrived
    | TokensArrived
    | FinishArrived
    | AttemptEnded
    | EndpointSilent
    | ReadingResumed
    | Tick
    | Fenced
    | Cancelled
)


@frozen
class SeekEndpoint:
    """Ask routing for an endpoint that isn't among ``excluded``."""

    excluded: frozenset[str]
    continuing: bool
    held_tokens: int


@frozen
class OpenAttempt:
    """Open a stream.

    With `Way.OWN_STREAM` take up the engine's run ``run_id``; with `Way.COPY` the copy
    that the endpoint keeps of that run.
    """

    attempt: int
    endpoint_id: str
    way: Way
    from_position: int
    run_id: str = ""


@frozen
class CancelAttempt:
    """Close a stream.

    ``stops_run`` tells the engine to stop as well; a fenced owner must not, because
    its successor may have taken up that very run.
    """

    attempt: int
    stops_run: bool = True


@frozen
class Deliver:
    """The ledger grew up to ``end``."""

    end: int


@frozen
class Complete:
    """The answer is whole."""

    reason: str


@frozen
class Interrupt:
    """The answer can't be finished; its final word, given at once."""

    code: str
    run: RunState
    held_tokens: int
    retry_after_ms: int


@frozen
class StopWork:
    """This entry must send nothing more of the answer to anyone."""


@frozen
class SetAlarm:
    """Send `Tick` at ``at_ms``; it replaces an earlier alarm."""

    at_ms: float


Action = (
    SeekEndpoint
    | OpenAttempt
    | CancelAttempt
    | Deliver
    | Complete
    | Interrupt
    | StopWork
    | SetAlarm
)

"""What a call's core is told, and what it asks for."""

from enum import Enum

from attrs import frozen

from coursekeel.answers import RunState
from coursekeel.calls._claims import ClaimRow
from coursekeel.calls._reply import ServiceReply
from coursekeel.storage import Rows, TransactOutcome, Unavailable

__all__ = [
    "Begin",
    "CallAction",
    "CallEvent",
    "CallPolicy",
    "CallReply",
    "ClaimAnswered",
    "ReadBack",
    "ReadBackAnswered",
    "Record",
    "Recorded",
    "Reply",
    "Send",
    "SendEnded",
    "SendOutcome",
    "WriteClaim",
]


@frozen
class CallPolicy:
    """How often an endpoint may be tried, by whether the route may be repeated.

    ``tries`` bounds the endpoints that are sent the call, and ``unreached_tries``
    those that can't be reached while one looks for the first.
    """

    repeatable: bool
    tries: int = 3
    unreached_tries: int = 3
    retry_after_ms: int = 2_000


class SendOutcome(Enum):
    """How a send ended that brought no reply.

    A call that was turned away reached an endpoint, which says it didn't run.
    """

    NOT_SENT = "not_sent"
    TURNED_AWAY = "turned_away"
    MAYBE_SENT = "maybe_sent"
    NO_ENDPOINT = "no_endpoint"


@frozen
class Begin:
    """The call arrived."""


@frozen
class ClaimAnswered:
    """The table answered the claim, or didn't."""

    outcome: TransactOutcome


@frozen
class ReadBackAnswered:
    """The claim's row was read after an unsure write."""

    outcome: Rows | Unavailable


@frozen
class SendEnded:
    """The send came to its end."""

    outcome: ServiceReply | SendOutcome


@frozen
class Recorded:
    """The call's result was written, or could not be."""

    outcome: TransactOutcome


CallEvent = Begin | ClaimAnswered | ReadBackAnswered | SendEnded | Recorded


@frozen
class WriteClaim:
    """Insert this row if no row stands under its key."""

    row: ClaimRow


@frozen
class ReadBack:
    """Read the row under the key."""

    key: str


@frozen
class Send:
    """Send the call, to an endpoint that wasn't tried yet if there is one."""


@frozen
class Record:
    """Replace the claim at ``version`` by this row."""

    row: ClaimRow
    version: int


@frozen
class CallReply:
    """The final word to the caller: the service's reply, or a truthful refusal."""

    run: RunState
    code: str = ""
    reply: ServiceReply | None = None
    retry_after_ms: int = 0
    repeated: bool = False


@frozen
class Reply:
    """Answer the caller."""

    reply: CallReply


CallAction = WriteClaim | ReadBack | Send | Record | Reply

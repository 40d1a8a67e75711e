"""Events that a call's core handles, and actions that it returns to its shell."""

from enum import Enum

from attrs import frozen

from coursekeel.answers import RunState
from coursekeel.calls._claims import ClaimRow
from coursekeel.calls._reply import ServiceReply
from coursekeel.storage import Rows, TransactOutcome, Unavailable

__all__ = [
    "CallAction",
    "CallArrived",
    "CallEvent",
    "CallPolicy",
    "CallReply",
    "ClaimRead",
    "ClaimWritten",
    "OutcomeRecorded",
    "ReadClaim",
    "Record",
    "SendCall",
    "SendEnded",
    "SendOutcome",
    "SendReply",
    "WriteClaim",
]


@frozen
class CallPolicy:
    """Limits on the tries of one call.

    ``repeatable`` allows a second send after one that may have run. ``tries`` bounds
    the sends that reached an endpoint or may have, and ``unreached_tries`` those that
    certainly reached none.
    """

    repeatable: bool
    tries: int = 3
    unreached_tries: int = 3
    retry_after_ms: int = 2_000


class SendOutcome(Enum):
    """How a send without a reply ended.

    With ``TURNED_AWAY`` the endpoint reported that it didn't run the call.
    """

    NOT_SENT = "not_sent"
    TURNED_AWAY = "turned_away"
    MAYBE_SENT = "maybe_sent"
    NO_ENDPOINT = "no_endpoint"


@frozen
class CallArrived:
    """The caller's request arrived."""


@frozen
class ClaimWritten:
    """The claim's write ended, perhaps without a known outcome."""

    outcome: TransactOutcome


@frozen
class ClaimRead:
    """The claim's row was read after a write of unknown outcome."""

    outcome: Rows | Unavailable


@frozen
class SendEnded:
    """A send ended, with or without a reply."""

    outcome: ServiceReply | SendOutcome


@frozen
class OutcomeRecorded:
    """The write of the call's outcome ended."""

    outcome: TransactOutcome


CallEvent = CallArrived | ClaimWritten | ClaimRead | SendEnded | OutcomeRecorded


@frozen
class WriteClaim:
    """Insert this row if its key has no row."""

    row: ClaimRow


@frozen
class ReadClaim:
    """Read the row under the key."""

    key: str


@frozen
class SendCall:
    """Send the call, to an endpoint that wasn't tried yet if possible."""


@frozen
class Record:
    """Replace the claim by this row, if the claim is still at ``version``."""

    row: ClaimRow
    version: int


@frozen
class CallReply:
    """The reply to the caller: the service's own, or the error ``code``.

    ``repeated`` says that it is the outcome of an earlier call with the same key.
    """

    run: RunState
    code: str = ""
    reply: ServiceReply | None = None
    retry_after_ms: int = 0
    repeated: bool = False


@frozen
class SendReply:
    """Send the reply to the caller."""

    reply: CallReply


CallAction = WriteClaim | ReadClaim | SendCall | Record | SendReply

"""What a gateway asks of the site it runs on: three interfaces, each an ABC.

Header names, row names and body forms belong to the site's adapters; what is done with
what they say is decided in this package. Owns no state.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from attrs import frozen

from coursekeel.canary import RolloutOrder
from coursekeel.fetch import ExchangeHead, Transfer
from coursekeel.forwarding import (
    EndpointRecord,
    ForwardingConfiguration,
    StoreMoment,
)

__all__ = [
    "STORE_TRANSFER",
    "CallerDialect",
    "CallerHeaders",
    "EndpointCall",
    "EndpointDialect",
    "EndpointReport",
    "HeadVerdict",
    "HeaderPairs",
    "HistoryGone",
    "OutboundRequest",
    "Reading",
    "Removed",
    "Source",
    "SourceFailed",
    "StoreQuestion",
    "Table",
    "UnreadableEntry",
    "UnreadableReport",
    "Versioned",
]

HeaderPairs = Sequence[tuple[bytes, bytes]]


@frozen
class CallerHeaders:
    """What a caller's headers say; the rest of them is passed on as it came.

    ``resume_after`` is the number of the last event that the caller holds, None if it
    asks from the start. ``prompt_key`` names the prompt, empty if none is named.
    """

    request_id: str
    key: str
    deadline_ms: float | None
    resume_after: int | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_key: str = ""


class CallerDialect(ABC):
    """How callers say who they are and what they want."""

    readiness_path: str

    @abstractmethod
    def read(self, headers: HeaderPairs) -> CallerHeaders:
        """Read a request's headers, whose names are lower case."""


@frozen
class OutboundRequest:
    """What the gateway itself says to an endpoint beside the caller's request.

    ``remaining_ms`` is the time left for the answer. ``resume_after`` is the number of
    the last event that is held, None for an answer from its start. ``copy_to`` is the
    address of an endpoint that shall keep a copy of the run; ``copy_from`` that of one
    that keeps a copy of ``copied_run``. ``urgent`` marks a run that goes on after a
    loss.
    """

    endpoint: EndpointRecord
    request_id: str
    team: str
    remaining_ms: float
    resume_after: int | None = None
    copy_to: str = ""
    copy_from: str = ""
    copied_run: str = ""
    urgent: bool = False


class HeadVerdict(Enum):
    """What an answer's head says of the request.

    ``RAN``: it is the request's own answer. ``NOT_RUN``: the endpoint promises that the
    request hasn't run and never will. ``OTHER_INSTANCE``: another incarnation has the
    endpoint's address, and ran nothing. ``FOREIGN``: it proves nothing about the
    request, so that it may have run.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    OTHER_INSTANCE = "other_instance"
    FOREIGN = "foreign"


@frozen
class EndpointReport:
    """An endpoint's own report of its load.

    ``unread_runs`` wait there or have their prompt read; ``runs`` are the ids of the
    requests at work, ``models`` the names of the models that are served.
    """

    running: int
    queued: int
    free_tokens: int | None = None
    unread_runs: int | None = None
    runs: frozenset[str] = frozenset()
    models: frozenset[str] = frozenset()


@frozen
class EndpointCall:
    """A question of the gateway's own to an endpoint."""

    method: bytes
    target: bytes


@frozen
class UnreadableReport:
    """A report that can't be used; ``fault`` names the field and what was expected."""

    fault: str


class EndpointDialect(ABC):
    """How endpoints are spoken to."""

    report: EndpointCall
    kept_prompts: EndpointCall

    @abstractmethod
    def headers(
        self, received: HeaderPairs, outbound: OutboundRequest
    ) -> list[tuple[bytes, bytes]]:
        """The headers of a request, made from the caller's."""

    @abstractmethod
    def judge(self, head: ExchangeHead, request_id: str) -> HeadVerdict:
        """What an answer's head says of the request."""

    @abstractmethod
    def incarnation_named(self, head: ExchangeHead) -> str:
        """The id of the incarnation that gave the answer, empty if it isn't named."""

    @abstractmethod
    def answer_headers(self, head: ExchangeHead) -> list[tuple[bytes, bytes]]:
        """The headers that go back to the caller."""

    @abstractmethod
    def read_report(self, body: bytes) -> EndpointReport | UnreadableReport:
        """Read a report."""

    @abstractmethod
    def read_kept(self, body: bytes) -> frozenset[str]:
        """The names of the prompts that an endpoint keeps, none if it can't be read."""


class Table(Enum):
    """What a gateway follows in the site's store.

    The configuration's table holds the orders of roll-outs too.
    """

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"


@frozen
class Removed:
    """The entry of this id is gone."""

    entry_id: str


@frozen
class UnreadableEntry:
    """The entry of this id can't be used; what was known of it before stays.

    ``fault`` names the field and what was expected. The id is empty where even that
    can't be read.
    """

    entry_id: str
    fault: str


@frozen
class Versioned:
    """An entry as of a moment of the store."""

    entry: (
        ForwardingConfiguration
        | EndpointRecord
        | RolloutOrder
        | Removed
        | UnreadableEntry
    )
    moment: StoreMoment


@frozen
class StoreQuestion:
    """A question as the store got it: when it was sent, by this process's clock, and
    how long the store was to hold it.
    """

    sent_ms: float
    held_ms: float


@frozen
class Reading:
    """What the store said: entries, the moment to go on from, and its own time.

    A ``whole`` reading names everything there is. One that a member of the group gave
    has ``proven_ms``, the moment of this process's clock that it proves, and no time of
    the store's. ``question`` is given by a source that may ask others before the store.
    ``restored``: the first that is taken after the store came back from an older copy.
    """

    entries: tuple[Versioned, ...]
    moment: StoreMoment
    store_ms: float
    whole: bool
    proven_ms: float | None = None
    question: StoreQuestion | None = None
    restored: bool = False


@frozen
class HistoryGone:
    """The store no longer has the changes since that moment: read it whole."""


@frozen
class SourceFailed:
    """The store gave no answer, or one that can't be used.

    ``received_bytes`` of an answer that was given up had come.
    """

    reason: str
    received_bytes: int = 0


# How an answer of the store may come once it has begun. A pause of a second is longer
# than two segments lost in a row cost (RFC 6298's least time-out is a second before a
# path is known, 200 ms on Linux after); 20 s carry 12 MB over 5 Mbit/s, 45,000 routes
# at the 280 bytes that one takes in a row of the users' store. The bytes are a seventh
# of the least memory of an instance of theirs.
STORE_TRANSFER = Transfer(pause_ms=1_000, most_ms=20_000, most_bytes=20 << 20)


class Source(ABC):
    """Where configuration and endpoints are read.

    ``timeout_ms`` bounds the time until an answer begins. How it may come from then on
    is `STORE_TRANSFER`: a table may be larger than a link carries in any such limit.
    """

    def hold_ms(self, table: Table, usual_ms: float) -> float:
        """How long a question after a table is best held now."""
        return usual_ms

    @abstractmethod
    async def read(self, table: Table, timeout_ms: float) -> Reading | SourceFailed:
        """Read a table whole."""

    @abstractmethod
    async def follow(
        self, table: Table, since: StoreMoment, hold_ms: float, timeout_ms: float
    ) -> Reading | HistoryGone | SourceFailed:
        """Read what changed since a moment, held until something did.

        A reading of another era than ``since`` proves nothing of what came between.
        """

"""Interfaces that a site implements for its gateways: callers, endpoints, the store.

Adapters of the site know header names, row names and body formats; this package decides
what to do with the parsed values. Owns no state.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from enum import Enum

from attrs import field, frozen

from coursekeel.canary import RolloutOrder
from coursekeel.fetch import ExchangeHead, Transfer
from coursekeel.forwarding import (
    EndpointRecord,
    ForwardingConfiguration,
    StorePosition,
)
from coursekeel.limits import LimitWord

__all__ = [
    "STORE_TRANSFER",
    "CallerDialect",
    "CallerHeaders",
    "EndpointCall",
    "EndpointDialect",
    "EndpointReport",
    "HeadVerdict",
    "HeaderPairs",
    "HistoryExpired",
    "Outage",
    "OutboundRequest",
    "Removed",
    "Source",
    "SourceFailed",
    "StoreQuery",
    "Table",
    "TableRead",
    "UnreadableEntry",
    "UnreadableReport",
    "VersionedEntry",
]

HeaderPairs = Sequence[tuple[bytes, bytes]]


@frozen
class CallerHeaders:
    """The parsed headers of a caller's request; the others are forwarded unchanged.

    ``key`` is the API key. ``resume_after`` is the number of the last event that the
    caller has received, None to start at the first. ``prompt_key`` identifies the
    prompt in caches, empty if the caller named none. ``prompt_parts`` identify its
    parts but the last, which other prompts share; ``model`` is the one to read them.
    """

    request_id: str
    key: str
    deadline_ms: float | None
    resume_after: int | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_key: str = ""
    prompt_parts: tuple[str, ...] = ()
    model: str = ""


class CallerDialect(ABC):
    """Parses the headers of callers' requests.

    ``readiness_path`` is the path at which the load balancer probes the instance.
    """

    readiness_path: str

    @abstractmethod
    def read(self, headers: HeaderPairs) -> CallerHeaders:
        """Parse a request's headers; their names are lower case."""


@frozen
class OutboundRequest:
    """What the gateway sends to an endpoint in addition to the caller's request.

    ``remaining_ms`` is the time left for the answer. ``resume_after`` is the number of
    the last event received, None for an answer from its start. ``copy_to`` is the
    address of the endpoint that is to keep a copy of the run; ``copy_from`` that of one
    that has a copy of ``copied_run``. ``urgent`` marks a run that continues an answer
    after a loss.
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
    """What the status and headers of an answer say about the request.

    ``RAN``: it is the answer to this request. ``NOT_RUN``: the endpoint states that the
    request hasn't run and never will. ``OTHER_INSTANCE``: another incarnation has the
    endpoint's address, and ran nothing. ``FOREIGN``: not certainly from the endpoint;
    the request may have run.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    OTHER_INSTANCE = "other_instance"
    FOREIGN = "foreign"


@frozen
class EndpointReport:
    """An endpoint's own report of its load.

    ``prefill_pending_runs`` is the number of requests that are queued or in prefill;
    ``runs`` maps the ids of the running requests to the number of events that each has
    made, None if the report doesn't tell; ``models`` are the names of the models
    served. ``leaving``: whether the endpoint is leaving, None if it doesn't tell.
    """

    running: int
    queued: int
    free_tokens: int | None = None
    prefill_pending_runs: int | None = None
    runs: Mapping[str, int | None] = field(factory=dict)
    models: frozenset[str] = frozenset()
    leaving: bool | None = None


@frozen
class EndpointCall:
    """A request that the gateway sends to an endpoint on its own account."""

    method: bytes
    target: bytes


@frozen
class UnreadableReport:
    """An invalid report; ``fault`` names the field and what was expected."""

    fault: str


class EndpointDialect(ABC):
    """The protocol of the site's endpoints.

    ``report`` requests a load report, ``cached_prompts`` the list of cached prompts.
    """

    report: EndpointCall
    cached_prompts: EndpointCall

    @abstractmethod
    def headers(
        self, received: HeaderPairs, outbound: OutboundRequest
    ) -> list[tuple[bytes, bytes]]:
        """The headers to send, made from those received from the caller."""

    @abstractmethod
    def relayed_headers(
        self, received: HeaderPairs, remaining_ms: float, resume_after: int | None
    ) -> list[tuple[bytes, bytes]]:
        """The headers of a caller's request that another instance is to serve.

        They are the caller's own with its key, the time left, and the number of the
        last event received, None for an answer from its start.
        """

    @abstractmethod
    def judge(self, head: ExchangeHead, request_id: str) -> HeadVerdict:
        """What the status and headers of an answer say about the request."""

    @abstractmethod
    def limit_named(self, head: ExchangeHead) -> LimitWord:
        """The limit on the endpoint's requests that an answer names."""

    @abstractmethod
    def incarnation_named(self, head: ExchangeHead) -> str:
        """The id of the incarnation that answered, empty if the headers lack it."""

    @abstractmethod
    def hints_at_leaving(self, head: ExchangeHead) -> bool:
        """Whether an answer suggests that its endpoint is leaving; others may too."""

    @abstractmethod
    def health_check(self, health_path: str) -> EndpointCall:
        """A request that asks an endpoint whether it is healthy and isn't leaving."""

    @abstractmethod
    def read_health(self, head: ExchangeHead, endpoint_id: str) -> bool | None:
        """Whether the endpoint that answered a health check is leaving.

        None if the answer doesn't tell: the endpoint may be full or failing, or
        another incarnation answered.
        """

    @abstractmethod
    def answer_headers(self, head: ExchangeHead) -> list[tuple[bytes, bytes]]:
        """The answer's headers to send to the caller."""

    @abstractmethod
    def read_report(self, body: bytes) -> EndpointReport | UnreadableReport:
        """Parse a load report."""

    @abstractmethod
    def read_cached_prompts(self, body: bytes) -> frozenset[str]:
        """The keys of the prompts that an endpoint caches, none if unreadable."""


class Table(Enum):
    """A table of the site's store that gateways follow.

    The configuration table contains the rollout orders too.
    """

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"


@frozen
class Removed:
    """The entry with this id was removed."""

    entry_id: str


@frozen
class UnreadableEntry:
    """The entry with this id is invalid; its previous version stays in use.

    ``fault`` names the field and what was expected. The id is empty if it can't be read
    either.
    """

    entry_id: str
    fault: str


@frozen
class VersionedEntry:
    """An entry, and the store position of its version."""

    entry: (
        ForwardingConfiguration
        | EndpointRecord
        | RolloutOrder
        | Removed
        | UnreadableEntry
    )
    position: StorePosition


@frozen
class StoreQuery:
    """A query to the store: when it was sent, on this process's clock, and how long
    the store was to hold it.
    """

    sent_ms: float
    held_ms: float


@frozen
class TableRead:
    """Entries read from a table, the position to follow from, and the store's time.

    A ``whole`` table read is a snapshot of the table, any other an update.
    ``confirmed_ms``: set in a read from another member, instead of the store's time;
    the time on this process's clock at which the store confirmed it. ``query``: the
    query to the store, if the source queried other members first. ``restored``: the
    first read after the store was restored from an older copy.
    """

    entries: tuple[VersionedEntry, ...]
    position: StorePosition
    store_ms: float
    whole: bool
    confirmed_ms: float | None = None
    query: StoreQuery | None = None
    restored: bool = False

    @property
    def source(self) -> str:
        """Who responded: "store" or "member"."""
        return "store" if self.confirmed_ms is None else "member"


@frozen
class HistoryExpired:
    """The store no longer has the changes since that position; read a snapshot."""


@frozen
class SourceFailed:
    """The store didn't respond, or its response can't be used.

    ``received_bytes``: how much of an abandoned response was received.
    """

    reason: str
    received_bytes: int = 0


@frozen
class Outage:
    """A time in which the store isn't known to have responded for a table.

    ``unconfirmed_ms``: from one response to the next. It includes the time for which
    the store held a query. ``failed_ms``: since the first query that failed, 0 if none
    did.
    """

    unconfirmed_ms: float
    failed_ms: float


# Bounds on receiving a response of the store once it has begun. The pause allows two
# TCP retransmissions in a row (RFC 6298; Linux uses 200 ms once a path's round-trip
# time is known). 20 s are enough for 12 MB at 5 Mbit/s, 45,000 routes at 280 bytes
# each. The bytes are a seventh of the smallest memory of an instance.
STORE_TRANSFER = Transfer(pause_ms=1_000, max_ms=20_000, most_bytes=20 << 20)


class Source(ABC):
    """Reads the tables of the configuration and of the endpoints.

    ``timeout_ms`` bounds the time until a response begins; `STORE_TRANSFER` bounds the
    rest, since a large table on a slow link takes longer than that.
    """

    def hold_ms(self, table: Table, usual_ms: float) -> float:
        """How long the store should hold a query now; ``usual_ms`` is the default."""
        return usual_ms

    def close_idle(self) -> None:
        """Close connections that aren't in use; they may have gone silent."""
        return

    @abstractmethod
    async def read(self, table: Table, timeout_ms: float) -> TableRead | SourceFailed:
        """Read a snapshot of a table."""

    @abstractmethod
    async def follow(
        self, table: Table, since: StorePosition, hold_ms: float, timeout_ms: float
    ) -> TableRead | HistoryExpired | SourceFailed:
        """Read the changes after ``since``; held for ``hold_ms`` while there are none.

        If the read's era isn't that of ``since``, changes in between may be missing.
        """

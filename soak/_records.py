"""What was seen from outside: by callers at the gateways, and at the servers."""

import math
from enum import Enum

from attrs import define, field, frozen

__all__ = [
    "CallKind",
    "CallRecord",
    "Crash",
    "EndpointChosen",
    "EndpointTold",
    "Evidence",
    "GatewayFault",
    "KeyRevoked",
    "LimitNamed",
    "RequestBarred",
    "ServerArrival",
    "ServerFault",
    "ServerLeft",
    "ServerListed",
    "ServerReached",
    "ServerRun",
    "StoreFault",
]


class CallKind(Enum):
    """What a caller asked for: the names of the stand-in's routes."""

    STREAM = "stream"
    ONCE = "once"
    AGAIN = "again"


@define
class CallRecord:
    """One attempt of a caller; moments are of the steady clock, in s.

    ``status`` 0 means that the connection broke before an answer, ``any_byte`` whether
    something had come by then, and ``timed_out`` that the caller itself gave up.
    ``events`` are the numbers of a stream's events as they came, ``whole`` says whether
    the answer looked complete, and ``wanted`` is the number of a stream's last event.
    ``guilty`` names a request that ends the servers that run it, empty for all others.
    ``limit_s`` is the time that the request gave the gateway.
    """

    kind: CallKind
    request_id: str
    gateway: int
    key: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    whole: bool = False
    signed_by: str = ""
    body: bytes = b""
    retry_after_s: float | None = None
    resumed_from: int = 0
    wanted: int = 0
    guilty: str = ""
    limit_s: float = math.inf
    any_byte: bool = False
    timed_out: bool = False
    events: list[int] = field(factory=list)


@frozen
class ServerRun:
    """A request that a server began to work on."""

    server: str
    request_id: str
    at_s: float
    key_shown: bool


@frozen
class ServerArrival:
    """A request that reached a server, whether or not it ran there."""

    server: str
    request_id: str
    at_s: float


@frozen
class ServerReached:
    """A request that reached a server's address, also if the server never read it."""

    address: int
    server: str
    request_id: str
    at_s: float


@frozen
class ServerFault:
    """The server at an address wasn't sound between two moments; no mere silence."""

    address: int
    begun_s: float
    ended_s: float


@frozen
class RequestBarred:
    """A gateway barred a request, since these servers ended under it."""

    gateway: str
    fingerprint: str
    servers: tuple[str, ...]
    at_s: float


@frozen
class LimitNamed:
    """All answers of ``servers`` between two moments named this limit.

    ``servers`` are the incarnations that one address had by then.
    """

    servers: frozenset[str]
    per_s: float
    begun_s: float
    ended_s: float


@frozen
class Crash:
    """A server ended because it ran a request that does that."""

    server: str
    path: str
    at_s: float


@frozen
class GatewayFault:
    """A gateway was away, paused, stopping or cut off between two moments."""

    gateway: int
    begun_s: float
    ended_s: float


@frozen
class KeyRevoked:
    """The store took the configuration without the key at that moment.

    ``until_s`` is when the operator began to give it again, infinite if it didn't.
    """

    key: str
    at_s: float
    until_s: float = math.inf


@frozen
class ServerLeft:
    """The store took the word that a server leaves at that moment."""

    server: str
    at_s: float


@frozen
class ServerListed:
    """The store took a server's row at that moment."""

    server: str
    pool: str
    at_s: float


@frozen
class EndpointTold:
    """An instance logged that a server leaves, is missing or gone."""

    instance: str
    server: str
    at_s: float


@frozen
class EndpointChosen:
    """An instance logged that it sends a request to a server."""

    instance: str
    request_id: str
    server: str


@frozen
class StoreFault:
    """The store was away, or refused, between two moments."""

    begun_s: float
    ended_s: float


@define
class Evidence:
    """Everything a soak has seen.

    ``gateway_faults`` are the times in which a gateway wasn't in touch:
    ``gateway_outages``, which nobody planned, and ``gateway_stops``.

    ``whole_again_s`` is how long after the last fault each gateway answered with
    success, None if one didn't. ``memory_mb`` and ``descriptors`` are the most of any
    gateway, ``log_lines_s`` the most lines a second of any log.
    """

    calls: list[CallRecord] = field(factory=list)
    runs: list[ServerRun] = field(factory=list)
    revoked: list[KeyRevoked] = field(factory=list)
    left: list[ServerLeft] = field(factory=list)
    listed: list[ServerListed] = field(factory=list)
    told: list[EndpointTold] = field(factory=list)
    chosen: list[EndpointChosen] = field(factory=list)
    store_faults: list[StoreFault] = field(factory=list)
    crashes: list[Crash] = field(factory=list)
    arrivals: list[ServerArrival] = field(factory=list)
    limits: list[LimitNamed] = field(factory=list)
    gateway_faults: list[GatewayFault] = field(factory=list)
    gateway_outages: list[GatewayFault] = field(factory=list)
    gateway_stops: list[GatewayFault] = field(factory=list)
    reached: list[ServerReached] = field(factory=list)
    server_faults: list[ServerFault] = field(factory=list)
    barred: list[RequestBarred] = field(factory=list)
    link_faults: list[GatewayFault] = field(factory=list)
    server_cuts: list[GatewayFault] = field(factory=list)
    whole_again_s: list[float | None] = field(factory=list)
    memory_mb: float = 0.0
    descriptors: int = 0
    log_lines_s: float = 0.0
    broken_invariants: list[str] = field(factory=list)

"""The HTTP server for the members of the group: copies of tables, and relayed requests.

`GET /tables/NAME?group=…&since=…&wait_ms=…`; ``since`` is a store position,
ERA.VERSION; without it the whole table is sent. ``above`` in its place is a version of
the configuration, and the whole table is sent if a later version is cached here.
Responds with 200 and a snapshot or its changes, 404 if the copy here is missing, behind
``since`` or not later than ``above``, 400 to a malformed request, and 403 to members of
another group. Requests with `RELAY_HEADER` are a caller's that a member relays, with
the caller's own method and path; they are passed to ``relay``. Nothing else is taken.

Responses are compressed where the requester accepts it: all members of a zone send
their requests at the same time, to one member, whose link carries all the responses.

Owns the open requests and connections. Relies on a `TableFeed` for each table.
"""

import gzip
import logging
import math
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs

from attrs import define, field, frozen

from coursekeel.forwarding import RequestLimits, StorePosition
from coursekeel.gateway._adapters import Table
from coursekeel.gateway._http import (
    CallerRequest,
    OpenConnections,
    StatusPage,
    caller_server,
    send_page,
)
from coursekeel.gateway.members._reading_codec import RelayedTableRead, TableReadEncoder
from coursekeel.gateway.members._table_feed import FeedAnswer, TableFeed
from coursekeel.gateway.relay._relay_wire import REFUSAL_HEADER, RELAY_HEADER
from coursekeel.observe import log_event

__all__ = ["TABLES_PATH", "PeerServer"]

TABLES_PATH = "/tables/"
# A member sends its next request for a table within seconds.
_IDLE_TIMEOUT_MS = 15_000
# Requests for tables have few headers; relayed ones have some beside the caller's.
_MORE_HEADER_BYTES = 4_096
# The longest that a request is held, whatever its ``wait_ms``.
_MAX_WAIT_MS = 5_000
# The fastest level: the slowest makes a snapshot smaller by 3 %.
_COMPRESSION_LEVEL = 1
# A smaller body fits one packet uncompressed.
_MIN_COMPRESSED_BYTES = 1_400


@frozen
class _TableRequest:
    table: Table
    group: str
    since: StorePosition | None
    above: int | None
    wait_ms: int


@define(eq=False)
class PeerServer:
    """Responds to members' requests; ``group`` names the deployment.

    ``caller_limits`` returns the limits on what a caller may send, ``max_unsent_bytes``
    and ``max_received_bytes`` the bounds of `OpenConnections`.
    """

    group: str
    feeds: dict[Table, TableFeed]
    relay: Callable[[CallerRequest], None]
    caller_limits: Callable[[], RequestLimits]
    max_unsent_bytes: Callable[[], float] = lambda: math.inf
    max_received_bytes: Callable[[], float] = lambda: math.inf
    connections: OpenConnections = field(init=False)
    _encoders: dict[Table, TableReadEncoder] = field(
        factory=lambda: {table: TableReadEncoder() for table in Table}
    )

    def __attrs_post_init__(self) -> None:
        self.connections = OpenConnections(
            self.max_unsent_bytes, self.max_received_bytes
        )

    def site(self) -> object:
        """The HTTP server, to be listened with."""
        return caller_server(
            self.take,
            self._limits,
            self.connections,
            refusal_header=REFUSAL_HEADER,
        )

    def _limits(self) -> RequestLimits:
        callers = self.caller_limits()
        return RequestLimits(
            header_bytes=callers.header_bytes + _MORE_HEADER_BYTES,
            body_bytes=callers.body_bytes,
            idle_timeout_ms=_IDLE_TIMEOUT_MS,
        )

    def take(self, request: CallerRequest) -> None:
        """Respond to one request, now or when its table changes."""
        if request.requestHeaders.hasHeader(RELAY_HEADER):
            self.relay(request)
            return
        try:
            table_request = _parse_request(request)
        except (KeyError, ValueError) as fault:
            send_page(request, StatusPage(HTTPStatus.BAD_REQUEST, f"{fault}".encode()))
            return
        if table_request.group != self.group:
            log_event("peer_refused", logging.WARNING, group=table_request.group)
            send_page(request, StatusPage(HTTPStatus.FORBIDDEN, b"another group"))
            return
        self._answer(request, table_request)

    def _answer(self, request: CallerRequest, table_request: _TableRequest) -> None:
        def send_answer(answer: FeedAnswer) -> None:
            if isinstance(answer, RelayedTableRead):
                _send_reading(request, encoder.encode(answer))
            else:
                send_page(request, StatusPage(HTTPStatus.NOT_FOUND, b"nothing newer"))

        feed = self.feeds[table_request.table]
        encoder = self._encoders[table_request.table]
        if table_request.above is not None:
            feed.request_configuration_above(table_request.above, send_answer)
            return
        withdraw = feed.request(table_request.since, table_request.wait_ms, send_answer)
        request.notifyFinish().addErrback(lambda _: withdraw())


def _send_reading(request: CallerRequest, body: bytes) -> None:
    accepted = request.getHeader(b"accept-encoding") or b""
    if b"gzip" in accepted and len(body) >= _MIN_COMPRESSED_BYTES:
        body = gzip.compress(body, _COMPRESSION_LEVEL)
        request.responseHeaders.setRawHeaders(b"content-encoding", [b"gzip"])
    send_page(request, StatusPage(HTTPStatus.OK, body))


def _parse_request(request: CallerRequest) -> _TableRequest:
    """Parse a request; raises `KeyError` or `ValueError`, which name the field."""
    path = request.path_name()
    if request.method != b"GET" or not path.startswith(TABLES_PATH):
        raise ValueError(f"got {request.method!r} {path}, expected GET {TABLES_PATH}")
    query = parse_qs(bytes(request.uri).partition(b"?")[2].decode("latin-1"))
    since, above = query.get("since"), query.get("above")
    return _TableRequest(
        Table(path.removeprefix(TABLES_PATH)),
        query["group"][0],
        StorePosition.parse(since[0]) if since else None,
        int(above[0]) if above else None,
        max(0, min(int(query["wait_ms"][0]), _MAX_WAIT_MS)),
    )

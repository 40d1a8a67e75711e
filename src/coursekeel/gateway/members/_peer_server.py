"""The HTTP server that serves this instance's copies of tables to its members.

`GET /tables/NAME?group=…&since=…&wait_ms=…`; ``since`` is a store position,
ERA.VERSION; without it the whole table is sent. ``above`` in its place is a version of
the configuration, and the whole table is sent if a later version is cached here.
Responds with 200 and a snapshot or its changes, 404 if the copy here is missing, behind
``since`` or not later than ``above``, 400 to a malformed request, and 403 to members of
another group. The server is read-only.

Responses are compressed where the requester accepts it: all members of a zone send
their requests at the same time, to one member, whose link carries all the responses.

Owns the open requests. Relies on a `TableFeed` for each table.
"""

import gzip
import logging
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
from coursekeel.observe import log_event

__all__ = ["TABLES_PATH", "PeerServer"]

TABLES_PATH = "/tables/"
# Requests have no body and few headers, and a member sends the next within seconds.
_LIMITS = RequestLimits(header_bytes=4_096, body_bytes=0, idle_timeout_ms=15_000)
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
    """Responds to members' requests; ``group`` names the deployment."""

    group: str
    feeds: dict[Table, TableFeed]
    _encoders: dict[Table, TableReadEncoder] = field(
        factory=lambda: {table: TableReadEncoder() for table in Table}
    )

    def site(self) -> object:
        """The HTTP server, to be listened with."""
        return caller_server(self.take, lambda: _LIMITS, OpenConnections())

    def take(self, request: CallerRequest) -> None:
        """Respond to one request, now or when its table changes."""
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

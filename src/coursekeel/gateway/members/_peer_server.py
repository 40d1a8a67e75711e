"""Where members of the group ask this instance what it knows.

`GET /tables/NAME?group=…&since=…&wait_ms=…`; ``since`` is a moment,
ERA.VERSION; without it the whole table. With ``above`` in its place, a version of the
configuration, the whole if a later one is known. Answers
200 with a reading, 404 if there is nothing newer than what the asker has, 400 to what
can't be read, and 403 to members of another group. Nothing can be written here.

Readings are compressed for who takes that: all members of a zone ask at the same time,
and the link of the one that they ask carries them all. Of 1,469 routes 305 kB are
24 kB, in 1.5 ms of a core; for 18 members at 5 Mbit/s that is 0.7 s in place of 8.7.

Owns the questions that are open. Relies on a `TableFeed` for each table.
"""

import gzip
import logging
from http import HTTPStatus
from urllib.parse import parse_qs

from attrs import define, field, frozen

from coursekeel.forwarding import RequestLimits, StoreMoment
from coursekeel.gateway._adapters import Table
from coursekeel.gateway._http import (
    CallerRequest,
    OpenConnections,
    StatusPage,
    caller_server,
    send_page,
)
from coursekeel.gateway.members._reading_codec import ReadingEncoder, RelayedReading
from coursekeel.gateway.members._table_feed import Answered, TableFeed
from coursekeel.observe import log_event

__all__ = ["TABLES_PATH", "PeerServer"]

TABLES_PATH = "/tables/"
# Questions come with no body and few headers, and a member asks again within seconds.
_LIMITS = RequestLimits(header_bytes=4_096, body_bytes=0, idle_timeout_ms=15_000)
# The longest that a question is held, whatever it asks for.
_MAX_WAIT_MS = 5_000
# The fastest level: the slowest makes a reading smaller by 3 in 100 (see above).
_COMPRESSION_LEVEL = 1
# Less fits one packet as it is.
_LEAST_COMPRESSED_BYTES = 1_400


@frozen
class _Question:
    table: Table
    group: str
    since: StoreMoment | None
    above: int | None
    wait_ms: int


@define(eq=False)
class PeerServer:
    """Answers members; ``group`` names the deployment."""

    group: str
    feeds: dict[Table, TableFeed]
    _encoders: dict[Table, ReadingEncoder] = field(
        factory=lambda: {table: ReadingEncoder() for table in Table}
    )

    def site(self) -> object:
        """The HTTP server."""
        return caller_server(self.take, lambda: _LIMITS, OpenConnections())

    def take(self, request: CallerRequest) -> None:
        """Take one question."""
        try:
            question = _question_of(request)
        except (KeyError, ValueError) as fault:
            send_page(request, StatusPage(HTTPStatus.BAD_REQUEST, f"{fault}".encode()))
            return
        if question.group != self.group:
            log_event("peer_refused", logging.WARNING, group=question.group)
            send_page(request, StatusPage(HTTPStatus.FORBIDDEN, b"another group"))
            return
        self._ask(request, question)

    def _ask(self, request: CallerRequest, question: _Question) -> None:
        def told(answer: Answered) -> None:
            if isinstance(answer, RelayedReading):
                _send_reading(request, encoder.encode(answer))
            else:
                send_page(request, StatusPage(HTTPStatus.NOT_FOUND, b"nothing newer"))

        feed = self.feeds[question.table]
        encoder = self._encoders[question.table]
        if question.above is not None:
            feed.ask_above(question.above, told)
            return
        withdraw = feed.ask(question.since, question.wait_ms, told)
        request.notifyFinish().addErrback(lambda _: withdraw())


def _send_reading(request: CallerRequest, body: bytes) -> None:
    accepted = request.getHeader(b"accept-encoding") or b""
    if b"gzip" in accepted and len(body) >= _LEAST_COMPRESSED_BYTES:
        body = gzip.compress(body, _COMPRESSION_LEVEL)
        request.responseHeaders.setRawHeaders(b"content-encoding", [b"gzip"])
    send_page(request, StatusPage(HTTPStatus.OK, body))


def _question_of(request: CallerRequest) -> _Question:
    """Read a question; raises `KeyError` or `ValueError`, which name the field."""
    path = request.path_name()
    if request.method != b"GET" or not path.startswith(TABLES_PATH):
        raise ValueError(f"got {request.method!r} {path}, expected GET {TABLES_PATH}")
    query = parse_qs(bytes(request.uri).partition(b"?")[2].decode("latin-1"))
    since, above = query.get("since"), query.get("above")
    return _Question(
        Table(path.removeprefix(TABLES_PATH)),
        query["group"][0],
        StoreMoment.parse(since[0]) if since else None,
        int(above[0]) if above else None,
        max(0, min(int(query["wait_ms"][0]), _MAX_WAIT_MS)),
    )

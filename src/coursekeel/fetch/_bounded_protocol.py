"""Twisted's HTTP client protocol with bounds on the bytes that are no body.

Rule: a peer may send bytes without end, so a response is given up once its head, with
the interim responses (1xx) before it, is longer than `MAX_HEAD_BYTES`, once there are
more of those than `MAX_INTERIM_RESPONSES`, or once its framing outweighs the body that
it frames. Bodies and events are bounded by who collects them. Twisted itself bounds a
line of the head (16 KiB), the size line of a chunk (1 KiB) and trailers (64 KiB).

The number of interim responses counts within one read too: each has few bytes, and is
parsed as a whole response.

Each line of a head is checked by `_response_head` as it arrives.

Owns the counts of one connection.
"""

from http import HTTPStatus
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.web._newclient import HTTP11ClientProtocol, HTTPClientParser

from coursekeel.fetch._overruns import Overrun, record_overrun
from coursekeel.fetch._response_head import (
    check_field,
    check_status_line,
    record_malformed,
)

__all__ = ["MAX_HEAD_BYTES", "MAX_INTERIM_RESPONSES", "BoundedProtocol"]

# Twice the head that common HTTP servers accept.
MAX_HEAD_BYTES = 32 * 1024
MAX_INTERIM_RESPONSES = 100
# One read of the socket, whose body isn't counted before it is delivered.
_READ_BYTES = 64 * 1024
# Framing of one-byte chunks, the least that a body needs more than its own bytes.
_FRAMING_PER_BODY_BYTE = 8


class BoundedProtocol(HTTP11ClientProtocol):
    """Closes its connection once a bound is exceeded, and then names it in ``overrun``.

    It closes it at a head that isn't valid too, and then sets ``is_malformed``.
    ``body_bytes`` is to be raised by who receives the body; without that,
    ``counts_body`` must be false, and the framing isn't bounded.
    """

    counts_body = False
    body_bytes = 0
    overrun: Overrun | None = None
    is_malformed = False
    _received_bytes = 0
    _interim_responses = 0

    def request(self, request: Any) -> Any:
        self._received_bytes = self.body_bytes = self._interim_responses = 0
        sent = super().request(request)
        parser: Any = self._parser
        parser.allHeadersReceived = self._headers_received
        parser.statusReceived = self._status_received
        parser.headerReceived = self._field_received
        return sent

    def _status_received(self, line: bytes) -> None:
        check_status_line(line)
        parser: Any = self._parser
        HTTPClientParser.statusReceived(parser, line)

    def _field_received(self, name: bytes, value: bytes) -> None:
        check_field(name, value)
        parser: Any = self._parser
        HTTPClientParser.headerReceived(parser, name, value)

    def _giveUp(self, reason: Any) -> None:
        """The parser raised, or the connection isn't kept after a response."""
        parser: Any = self._parser
        in_head = parser is not None and parser.bodyDecoder is None
        if in_head and not reason.check(ConnectionDone):
            self.is_malformed = True
            record_malformed(self._peer(), reason.getErrorMessage())
        super()._giveUp(reason)

    def _peer(self) -> str:
        transport: Any = self.transport
        peer = transport.getPeer()
        return f"{peer.host}:{peer.port}"

    def _headers_received(self) -> None:
        """The headers of an interim response, or of the response itself, ended."""
        parser: Any = self._parser
        if parser.response.code < HTTPStatus.OK:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self.give_up(Overrun.HEAD)
                # What has been read and not parsed yet may hold thousands more.
                parser.pauseProducing()
        HTTPClientParser.allHeadersReceived(parser)

    def dataReceived(self, data: bytes) -> None:
        if self.overrun is not None:
            return
        self._received_bytes += len(data)
        super().dataReceived(data)
        parser: Any = self._parser
        if parser is None:
            return
        if parser.bodyDecoder is None:
            if self._received_bytes > MAX_HEAD_BYTES:
                self.give_up(Overrun.HEAD)
        elif self.counts_body and self._framing_bytes > self._max_framing_bytes:
            self.give_up(Overrun.FRAMING)

    @property
    def _framing_bytes(self) -> int:
        return self._received_bytes - self.body_bytes

    @property
    def _max_framing_bytes(self) -> int:
        return MAX_HEAD_BYTES + _READ_BYTES + _FRAMING_PER_BODY_BYTE * self.body_bytes

    def give_up(self, overrun: Overrun) -> None:
        """Close the connection at once, since the response exceeds a bound."""
        if self.overrun is not None:
            return
        self.overrun = overrun
        transport: Any = self.transport
        record_overrun(overrun, self._peer(), self._received_bytes)
        transport.abortConnection()

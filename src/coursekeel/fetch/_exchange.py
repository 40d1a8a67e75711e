"""One HTTP request on a connection of its own, whose response is streamed.

Requests that may not be sent twice need to distinguish "not sent" from "may have run".
A new connection per request makes that certain: it can't be closed by the end of an
earlier request, and can't deliver the response to one.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any

from attrs import define, evolve, frozen
from twisted.internet.defer import succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.web._newclient import Request, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from coursekeel.fetch._arrival import MAX_BODY_BYTES
from coursekeel.fetch._bounded_protocol import BoundedProtocol
from coursekeel.fetch._overruns import Overrun
from coursekeel.reactor import Reactor

__all__ = [
    "Ending",
    "Exchange",
    "ExchangeHead",
    "ExchangeRequest",
    "ExchangeSink",
    "ForwardingSink",
]


class Ending(Enum):
    """How an exchange ended.

    ``WITHHELD``: ``may_send`` returned false once connected, so nothing was sent.
    ``NO_ANSWER``: sent, but no response head arrived. ``CUT``: the body is incomplete.
    ``OVERRUN``: sent, and given up here as the response exceeds a bound (`Overrun`).
    ``MALFORMED``: sent, and given up here as the response's head isn't valid.
    """

    WHOLE = "whole"
    NOT_SENT = "not_sent"
    WITHHELD = "withheld"
    NO_ANSWER = "no_answer"
    CUT = "cut"
    OVERRUN = "overrun"
    MALFORMED = "malformed"


@frozen
class ExchangeRequest:
    """The request, as it is sent.

    ``headers`` is called once connected, since a header may hold the remaining time; it
    must return no hop-by-hop headers. ``local_host`` is the address to connect from,
    empty for any. ``asks_close``: whether the request says that its connection closes
    after it. If not, the connection is closed here once the response is complete, and
    the response can say that its sender is about to close.
    """

    host: str
    port: int
    method: bytes
    target: bytes
    headers: Callable[[], Sequence[tuple[bytes, bytes]]]
    body: bytes = b""
    local_host: str = ""
    asks_close: bool = True


@frozen
class ExchangeHead:
    """Status and headers of a response; header names are lower case.

    ``closes``: whether it says that its connection closes after it. Nearly every
    response to a request that asked for that does.
    """

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    closes: bool = False

    def get(self, name: bytes) -> bytes:
        """Return the first value of a header, empty if there is none."""
        lowered = name.lower()
        return next((value for key, value in self.headers if key == lowered), b"")


class ExchangeSink:
    """Receives the events of an exchange: at most one head, data, and one end."""

    def may_send(self) -> bool:
        """Return whether the request may still be sent; called once connected."""
        return True

    def head_arrived(self, head: ExchangeHead) -> None:
        """The status and headers of the response arrived."""

    def data_arrived(self, data: bytes) -> None:
        """A chunk of the body arrived."""

    def ended(self, ending: Ending, reason: str) -> None:
        """The exchange ended; this is the last event."""


@define(eq=False)
class ForwardingSink(ExchangeSink):
    """Passes all events on to ``sink``; subclasses look at some of them."""

    sink: ExchangeSink

    def may_send(self) -> bool:
        return self.sink.may_send()

    def head_arrived(self, head: ExchangeHead) -> None:
        self.sink.head_arrived(head)

    def data_arrived(self, data: bytes) -> None:
        self.sink.data_arrived(data)

    def ended(self, ending: Ending, reason: str) -> None:
        self.sink.ended(ending, reason)


@implementer(IBodyProducer)
class _WholeBody:
    """Writes a body that is already in memory, in one piece."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Any:
        consumer.write(self._body)
        self._body = b""
        return succeed(None)

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass


class _Connection(BoundedProtocol):
    """A bounded connection, which also records whether it was closed cleanly.

    A response without a length ends when its connection closes, and Twisted reports a
    reset in the same way as a clean close.
    """

    counts_body = True
    lost_cleanly = False
    _response_parser: Any = None

    def __init__(self) -> None:
        super().__init__(quiescentCallback=_close_unused)

    def request(self, request: Any) -> Any:
        sent = super().request(request)
        # Twisted drops the parser of a response without a body before it hands the
        # response out, which lacks the headers of the connection.
        self._response_parser = self._parser
        return sent

    def take_says_close(self) -> bool:
        """Return whether the response says that its connection closes; call it once."""
        parser, self._response_parser = self._response_parser, None
        if parser is None:
            return False
        values = parser.connHeaders.getRawHeaders(b"connection", ())
        tokens = b",".join(values).lower().split(b",")
        return b"close" in [token.strip() for token in tokens]

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.lost_cleanly = bool(reason.check(ConnectionDone))
        super().connectionLost(reason)
        # The parser refers back to the connection.
        self._response_parser = None


def _close_unused(connection: Any) -> None:
    connection.transport.loseConnection()


class _BodyReceiver(Protocol):
    def __init__(self, exchange: "Exchange") -> None:
        self._exchange = exchange

    def dataReceived(self, data: bytes) -> None:
        self._exchange.body_data(data)

    def connectionLost(self, reason: Any = None) -> None:
        self._exchange.body_ended(reason)


@define(eq=False)
class Exchange:
    """Sends one request and reports its events to a sink; `abort` cancels it.

    ``max_body_bytes`` is the longest body that is taken, None for any; the sink may
    change it when the head arrives.
    """

    reactor: Reactor
    request: ExchangeRequest
    sink: ExchangeSink
    connect_ms: float
    max_body_bytes: int | None = MAX_BODY_BYTES
    _connecting: Any = None
    _connection: _Connection | None = None
    _finished: bool = False

    @property
    def is_connected(self) -> bool:
        """Whether the connection was made."""
        return self._connection is not None

    def start(self) -> None:
        """Connect, send the request and stream the response to the sink."""
        request = self.request
        endpoint = TCP4ClientEndpoint(
            self.reactor,
            request.host,
            request.port,
            timeout=self.connect_ms / 1000,
            bindAddress=(request.local_host, 0) if request.local_host else None,
        )
        factory: Any = Factory.forProtocol(_Connection)
        self._connecting = endpoint.connect(factory)
        self._connecting.addCallbacks(self._connected, self._connect_failed)

    def abort(self) -> None:
        """Close the connection at once; the sink receives no further events."""
        self._finish()
        self._close()

    def _finish(self) -> ExchangeSink:
        """End the exchange, and let go of its request and sink; returns the sink.

        They refer back to the exchange, and the garbage collector runs rarely.
        """
        self._finished = True
        sink, self.sink = self.sink, ExchangeSink()
        self.request = evolve(self.request, headers=list, body=b"")
        return sink

    def pause(self) -> None:
        """Read no more of the response until `resume`."""
        if self._connection is not None and not self._finished:
            transport: Any = self._connection.transport
            transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading the response."""
        if self._connection is not None and not self._finished:
            transport: Any = self._connection.transport
            transport.resumeProducing()

    def _close(self) -> None:
        if self._connection is not None:
            transport: Any = self._connection.transport
            if transport is not None:
                transport.abortConnection()
        elif self._connecting is not None:
            self._connecting.cancel()

    def _connected(self, connection: _Connection) -> None:
        self._connection = connection
        if self._finished:
            self.abort()
            return
        if not self.sink.may_send():
            self._withhold()
            return
        request = self.request
        headers = Headers()
        for name, value in request.headers():
            headers.addRawHeader(name, value)
        has_body = bool(request.body) or request.method not in (b"GET", b"HEAD")
        body = _WholeBody(request.body) if has_body else None
        persistent = not request.asks_close
        sent = connection.request(
            Request(
                request.method, request.target, headers, body, persistent=persistent
            )
        )
        sent.addCallbacks(self._head_received, self._request_failed)

    def _withhold(self) -> None:
        """Close the connection without sending the request.

        Guards against: the process is paused while it connects, and then sends a
        request whose caller has timed out or whose endpoint has left.
        """
        self._close()
        self._end(Ending.WITHHELD, "right_lapsed")

    def _connect_failed(self, failure: Any) -> None:
        self._end(Ending.NOT_SENT, failure.getErrorMessage() or failure.type.__name__)

    def _request_failed(self, failure: Any) -> None:
        if self._end_if_overrun():
            return
        if self._connection is not None and self._connection.is_malformed:
            self._end(Ending.MALFORMED, "malformed_head")
        else:
            self._end(Ending.NO_ANSWER, failure.type.__name__)

    def _end_if_overrun(self) -> bool:
        overrun = self._connection.overrun if self._connection is not None else None
        if overrun is not None:
            self._end(Ending.OVERRUN, overrun.value)
        return overrun is not None

    def _head_received(self, response: Any) -> None:
        if self._finished:
            return
        pairs = [
            (name.lower(), value)
            for name, values in response.headers.getAllRawHeaders()
            for value in values
        ]
        closes = self._connection is not None and self._connection.take_says_close()
        self.sink.head_arrived(ExchangeHead(response.code, pairs, closes))
        if self._finished:
            return
        if response.length is not UNKNOWN_LENGTH and self._is_too_long(response.length):
            self._give_up_body()
        else:
            response.deliverBody(_BodyReceiver(self))

    def _is_too_long(self, body_bytes: int) -> bool:
        return self.max_body_bytes is not None and body_bytes > self.max_body_bytes

    def _give_up_body(self) -> None:
        assert self._connection is not None
        self._connection.give_up(Overrun.BODY)
        self._end_if_overrun()

    def body_data(self, data: bytes) -> None:
        """A chunk of the body arrived; called by `_BodyReceiver`."""
        assert self._connection is not None
        self._connection.body_bytes += len(data)
        if self._finished:
            return
        if self._is_too_long(self._connection.body_bytes):
            self._give_up_body()
        else:
            self.sink.data_arrived(data)

    def body_ended(self, reason: Any) -> None:
        """The body ended; one without a length is complete only if closed cleanly."""
        if self._end_if_overrun():
            return
        if reason is not None and reason.check(ResponseDone):
            self._end(Ending.WHOLE, "")
        elif reason is not None and reason.check(PotentialDataLoss):
            assert self._connection is not None
            clean = self._connection.lost_cleanly
            self._end(Ending.WHOLE if clean else Ending.CUT, "closed")
        else:
            self._end(Ending.CUT, reason.type.__name__ if reason else "")

    def _end(self, ending: Ending, reason: str) -> None:
        if not self._finished:
            self._finish().ended(ending, reason)

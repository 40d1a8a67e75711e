"""One HTTP request on a connection of its own, whose answer is read as it comes.

What may not be sent twice needs to know how far it got: a request is not sent, or it
may have run. A connection that carries one request can't have been closed by an
earlier one's end, and no earlier answer can come in the place of its own.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any

from attrs import define, frozen
from twisted.internet.defer import succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.web._newclient import HTTP11ClientProtocol, Request, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from coursekeel.reactor import Reactor

__all__ = ["Ending", "Exchange", "ExchangeHead", "ExchangeRequest", "ExchangeSink"]


class Ending(Enum):
    """How an exchange ended.

    ``WITHHELD``: it might no longer be sent when its connection stood, and wasn't.
    """

    WHOLE = "whole"
    NOT_SENT = "not_sent"
    WITHHELD = "withheld"
    NO_ANSWER = "no_answer"
    CUT = "cut"


@frozen
class ExchangeRequest:
    """What is sent, byte for byte.

    ``headers`` gives no hop-by-hop header. It is called once the connection stands,
    since headers may tell the time that is left.
    """

    host: str
    port: int
    method: bytes
    target: bytes
    headers: Callable[[], Sequence[tuple[bytes, bytes]]]
    body: bytes = b""


@frozen
class ExchangeHead:
    """Status and headers of an answer; header names are lower case."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]

    def get(self, name: bytes) -> bytes:
        """The first value of a header, empty if there is none."""
        lowered = name.lower()
        return next((value for key, value in self.headers if key == lowered), b"")


class ExchangeSink:
    """Who is told of an exchange: one head at most, its data, and one end."""

    def may_send(self) -> bool:
        """Say whether the request may still be sent, now that its connection stands."""
        return True

    def head_arrived(self, head: ExchangeHead) -> None:
        """The answer's status and headers are in."""

    def data_arrived(self, data: bytes) -> None:
        """A part of the answer's body is in."""

    def ended(self, ending: Ending, reason: str) -> None:
        """Nothing more comes."""


@implementer(IBodyProducer)
class _WholeBody:
    """Writes the whole body at once: it is in memory already."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Any:
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass


class _Connection(HTTP11ClientProtocol):
    """Twisted's client protocol, which also keeps why its connection was lost.

    An answer without a length ends with its connection, and Twisted reports a reset
    there like a close.
    """

    lost_cleanly = False

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.lost_cleanly = bool(reason.check(ConnectionDone))
        super().connectionLost(reason)


class _BodyReceiver(Protocol):
    def __init__(self, exchange: "Exchange") -> None:
        self._exchange = exchange

    def dataReceived(self, data: bytes) -> None:
        self._exchange.body_data(data)

    def connectionLost(self, reason: Any = None) -> None:
        self._exchange.body_ended(reason)


@define(eq=False)
class Exchange:
    """Sends one request and tells its sink what comes of it; `abort` ends it."""

    reactor: Reactor
    request: ExchangeRequest
    sink: ExchangeSink
    connect_ms: float
    _connecting: Any = None
    _connection: _Connection | None = None
    _over: bool = False

    def start(self) -> None:
        """Connect, send, and read."""
        request = self.request
        endpoint = TCP4ClientEndpoint(
            self.reactor, request.host, request.port, timeout=self.connect_ms / 1000
        )
        factory: Any = Factory.forProtocol(_Connection)
        self._connecting = endpoint.connect(factory)
        self._connecting.addCallbacks(self._connected, self._not_connected)

    def abort(self) -> None:
        """Let go of the request at once; the sink hears nothing more."""
        self._over = True
        self._close()

    def _close(self) -> None:
        if self._connection is not None:
            transport: Any = self._connection.transport
            if transport is not None:
                transport.abortConnection()
        elif self._connecting is not None:
            self._connecting.cancel()

    def _connected(self, connection: _Connection) -> None:
        self._connection = connection
        if self._over:
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
        sent = connection.request(
            Request(request.method, request.target, headers, body, persistent=False)
        )
        sent.addCallbacks(self._answered, self._unanswered)

    def _withhold(self) -> None:
        """Connecting took time, and a pause of this process may lie in it.

        Guards against: a process that was frozen there sends what it asked leave for
        before, for a caller whose time is over or to an endpoint that has left.
        """
        self._close()
        self._end(Ending.WITHHELD, "right_lapsed")

    def _not_connected(self, failure: Any) -> None:
        self._end(Ending.NOT_SENT, failure.getErrorMessage() or failure.type.__name__)

    def _unanswered(self, failure: Any) -> None:
        self._end(Ending.NO_ANSWER, failure.type.__name__)

    def _answered(self, response: Any) -> None:
        if self._over:
            return
        pairs = [
            (name.lower(), value)
            for name, values in response.headers.getAllRawHeaders()
            for value in values
        ]
        self.sink.head_arrived(ExchangeHead(response.code, pairs))
        if not self._over:
            response.deliverBody(_BodyReceiver(self))

    def body_data(self, data: bytes) -> None:
        """A part of the body came."""
        if not self._over:
            self.sink.data_arrived(data)

    def body_ended(self, reason: Any) -> None:
        """The body ended; without a length it is whole only if closed cleanly."""
        if reason is not None and reason.check(ResponseDone):
            self._end(Ending.WHOLE, "")
        elif reason is not None and reason.check(PotentialDataLoss):
            assert self._connection is not None
            clean = self._connection.lost_cleanly
            self._end(Ending.WHOLE if clean else Ending.CUT, "closed")
        else:
            self._end(Ending.CUT, reason.type.__name__ if reason else "")

    def _end(self, ending: Ending, reason: str) -> None:
        if not self._over:
            self._over = True
            self.sink.ended(ending, reason)

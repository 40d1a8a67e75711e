"""The HTTP servers of a gateway: callers, readiness, metrics."""

from collections.abc import Callable
from io import BytesIO
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel, HTTPFactory, Request

from coursekeel.forwarding import RequestLimits

__all__ = ["OpenConnections", "caller_site", "status_site"]

_Limits = Callable[[], RequestLimits]


class _WholeRequest(Request):
    """A request whose body stays in memory, and whose path and body are not parsed.

    Twisted would write a large body to a temporary file, and read forms out of it.
    """

    limits: _Limits
    take: Callable[[Any], None]
    content: Any
    _received_bytes = 0
    _too_large = False

    def gotLength(self, length: int | None) -> None:
        self.content = BytesIO()
        if length is not None and length > self.limits().body_bytes:
            self._too_large = True

    def handleContentChunk(self, data: bytes) -> None:
        self._received_bytes += len(data)
        if self._received_bytes > self.limits().body_bytes:
            self._too_large = True
        if not self._too_large:
            self.content.write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        self.content.seek(0)
        self.method, self.uri, self.clientproto = command, path, version
        if self._too_large:
            self.setResponseCode(413)
            self.responseHeaders.setRawHeaders(b"connection", [b"close"])
            self.responseHeaders.setRawHeaders(b"content-length", [b"0"])
            self.finish()
            return
        type(self).take(self)


class OpenConnections:
    """The connections of a server, so that a stop loses nothing that was written.

    A reply that has ended may still lie in this process's buffers, and a process that
    ends takes it along.
    """

    def __init__(self) -> None:
        self._channels: set[_Channel] = set()

    def __len__(self) -> int:
        return len(self._channels)

    def opened(self, channel: "_Channel") -> None:
        """A connection was made."""
        self._channels.add(channel)

    def closed(self, channel: "_Channel") -> None:
        """A connection is gone."""
        self._channels.discard(channel)

    def close_idle(self) -> None:
        """Close those that wait for no reply, once what was written is sent."""
        for channel in list(self._channels):
            if not channel.requests:
                channel.loseConnection()


class _Channel(HTTPChannel):
    limits: _Limits
    connections: OpenConnections

    def connectionMade(self) -> None:
        self.totalHeadersSize = self.limits().header_bytes
        self.connections.opened(self)
        super().connectionMade()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.connections.closed(self)
        super().connectionLost(reason)


def caller_site(
    take: Callable[[Any], None], limits: _Limits, connections: OpenConnections
) -> Any:
    """The callers' server: ``take`` gets each whole request.

    ``limits`` are asked for at each connection and body, since they change.
    """
    kept = {"limits": staticmethod(limits), "take": staticmethod(take)}
    request = type("CallerRequest", (_WholeRequest,), kept)
    channel = type(
        "CallerChannel",
        (_Channel,),
        {
            "limits": staticmethod(limits),
            "requestFactory": request,
            "connections": connections,
        },
    )
    site: Any = HTTPFactory(timeout=limits().idle_timeout_ms / 1000)
    site.protocol = channel
    site.log = lambda _: None
    return site


def status_site(answer: Callable[[str], "tuple[int, bytes]"]) -> Any:
    """A server of short answers: ``answer`` gets a path, and gives status and body."""

    def take(request: Any) -> None:
        status, body = answer(request.uri.decode("latin-1").partition("?")[0])
        request.setResponseCode(status)
        length = str(len(body)).encode()
        request.responseHeaders.setRawHeaders(b"content-length", [length])
        request.write(body)
        request.finish()

    return caller_site(take, RequestLimits, OpenConnections())

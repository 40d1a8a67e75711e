"""The reply to one caller, over Twisted's HTTP server.

Owns the state of the reply: whether its headers were sent and whether it has ended.
"""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from coursekeel.gateway._adapters import HeaderPairs
from coursekeel.gateway._http import CallerRequest
from coursekeel.gateway.admission._refusals import GatewayRefusal
from coursekeel.gateway.admission._stop_window import Shutdown
from coursekeel.units import MS_PER_SECOND

__all__ = ["CallerReply"]


@define(eq=False)
class CallerReply:
    """Sends one reply; calls after its end have no effect.

    While the instance is stopping, each reply has `Connection: close`, so that the
    caller's next request goes to another instance.
    """

    request: CallerRequest
    shutdown: Shutdown
    head_sent: bool = False
    ended: bool = False
    _disconnect_callbacks: list[Callable[[], None]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.request.notifyFinish().addErrback(self._on_disconnect)

    def on_gone(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` if the caller disconnects before the reply has ended."""
        self._disconnect_callbacks.append(callback)

    def head(self, status: int, headers: HeaderPairs) -> None:
        """Send status and headers; without `Content-Length` the body is chunked."""
        if self.ended or self.head_sent:
            return
        self.head_sent = True
        request = self.request
        request.setResponseCode(status)
        for name, value in headers:
            request.responseHeaders.addRawHeader(name, value)
        if self.shutdown.has_begun:
            request.responseHeaders.setRawHeaders(b"connection", [b"close"])

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self.ended and data:
            self.request.write(data)

    def finish(self) -> None:
        """End the reply after its complete body."""
        if not self.ended:
            self._end()
            self.request.finish()

    def _end(self) -> None:
        """End the reply, and let go of its task, which may hold a large request."""
        self.ended = True
        self._disconnect_callbacks.clear()

    def whole(self, status: int, headers: HeaderPairs, body: bytes) -> None:
        """Send a complete reply."""
        length = str(len(body)).encode()
        self.head(status, [*headers, (b"content-length", length)])
        self.write(body)
        self.finish()

    def refuse(self, refusal: GatewayRefusal) -> None:
        """Send the refusal as a complete reply."""
        headers = [(b"content-type", b"text/plain")]
        if refusal.retry_after_ms:
            retry_after_s = f"{refusal.retry_after_ms / MS_PER_SECOND:.3f}"
            headers.append((b"retry-after", retry_after_s.encode()))
        self.whole(refusal.status, headers, refusal.code.encode())

    def cut(self) -> None:
        """Close the connection, so that the caller sees an incomplete reply."""
        if not self.ended:
            self._end()
            channel: Any = self.request.channel
            channel.cut()

    def _on_disconnect(self, _: object) -> None:
        if self.ended:
            return
        callbacks = list(self._disconnect_callbacks)
        self._end()
        for callback in callbacks:
            callback()

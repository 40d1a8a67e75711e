"""The HTTP server, with limits on headers, bodies and idle time."""

import math
from typing import Any

import orjson
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from coursekeel.entry.http._common import error_body, not_run
from coursekeel.runtime import BoundedBody, BoundedHead, with_bounded_length
from coursekeel.settings import EntrySettings

__all__ = ["bounded_site"]


class _BoundedRequest(BoundedBody, Request):
    """A request whose body is bounded.

    A larger body is answered with 413 as soon as its length exceeds the limit, and the
    connection is closed.
    """

    limit_bytes = 0

    def body_limit_bytes(self) -> int:
        return self.limit_bytes

    def body_too_large(self) -> None:
        fault = f"the body is over the limit of {self.limit_bytes} bytes"
        _refuse(self.channel, b"413 Content Too Large", fault)

    def process(self) -> None:
        if not self.body_is_too_large:
            super().process()


class _BoundedChannel(BoundedHead, HTTPChannel):
    """A channel that limits the bytes of a request's head."""

    header_limit_bytes = 0

    def head_limit_bytes(self) -> int:
        return self.header_limit_bytes

    def head_too_large(self, size_bytes: int) -> None:
        fault = f"the head is over the limit of {self.header_limit_bytes} bytes"
        _refuse(self, b"431 Request Header Fields Too Large", fault)

    def headerReceived(self, line: bytes) -> bool:
        return bool(super().headerReceived(with_bounded_length(line)))


def _refuse(channel: Any, status: bytes, fault: str) -> None:
    """Answer a request over a limit, and close its connection."""
    body = orjson.dumps(error_body(not_run("too_large", fault)))
    head = (
        b"HTTP/1.1 %b\r\ncontent-type: application/json\r\n"
        b"connection: close\r\ncontent-length: %d\r\n\r\n" % (status, len(body))
    )
    channel.transport.write(head + body)
    channel.loseConnection()


def bounded_site(resource: Any, settings: EntrySettings) -> Any:
    """Create a Twisted site that enforces the limits of the settings.

    A connection that stalls in the middle of a request is closed after
    ``request_idle_ms``; a response in progress isn't, however long it takes.
    """
    limits = settings.limits
    request_class = type(
        "BoundedRequest", (_BoundedRequest,), {"limit_bytes": limits.body_bytes}
    )
    channel_attributes = {"header_limit_bytes": limits.header_bytes}
    channel_class = type("BoundedChannel", (_BoundedChannel,), channel_attributes)
    idle_s = math.ceil(settings.timers.request_idle_ms / 1000)
    site: Any = Site(resource, requestFactory=request_class, timeout=idle_s)
    site.protocol = channel_class
    return site

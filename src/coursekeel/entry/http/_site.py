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
        limit = self.limit_bytes
        refusal = not_run("too_large", f"the body is over the limit of {limit} bytes")
        body = orjson.dumps(error_body(refusal))
        head = (
            b"HTTP/1.1 413 Content Too Large\r\ncontent-type: application/json\r\n"
            b"connection: close\r\ncontent-length: %d\r\n\r\n" % len(body)
        )
        transport: Any = self.channel.transport
        transport.write(head + body)
        self.channel.loseConnection()

    def process(self) -> None:
        if not self.body_is_too_large:
            super().process()


class _BoundedChannel(BoundedHead, HTTPChannel):
    """A channel that limits the bytes of a request's head."""

    header_limit_bytes = 0

    def head_limit_bytes(self) -> int:
        return self.header_limit_bytes

    def headerReceived(self, line: bytes) -> bool:
        return bool(super().headerReceived(with_bounded_length(line)))


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

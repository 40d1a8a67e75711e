"""The HTTP server: bodies in memory, bounded before they are read."""

import math
from typing import Any

import orjson
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from coursekeel.entry.http._common import error_body, not_run
from coursekeel.runtime import BoundedBody
from coursekeel.settings import EntrySettings

__all__ = ["bounded_site"]


class _BoundedRequest(BoundedBody, Request):
    """A request whose body is bounded.

    One over the limit is answered as soon as its length is known, and the connection
    closed.
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


class _BoundedChannel(HTTPChannel):
    """A channel that takes no more than the configured bytes of headers."""

    header_limit_bytes = 0

    def connectionMade(self) -> None:
        self.totalHeadersSize = self.header_limit_bytes
        super().connectionMade()


def bounded_site(resource: Any, settings: EntrySettings) -> Any:
    """A site whose requests keep to the settings' limits.

    A caller that sends half a request and then falls silent is let go after
    ``request_idle_ms``; a response under way is not, however long it takes.
    """
    limits = settings.limits
    request = type(
        "BoundedRequest", (_BoundedRequest,), {"limit_bytes": limits.body_bytes}
    )
    bounds = {"header_limit_bytes": limits.header_bytes}
    channel = type("BoundedChannel", (_BoundedChannel,), bounds)
    idle_s = math.ceil(settings.timers.request_idle_ms / 1000)
    site: Any = Site(resource, requestFactory=request, timeout=idle_s)
    site.protocol = channel
    return site

"""The HTTP servers of a gateway: callers, peers, readiness, metrics.

Owns the open connections and the limits on what is read from them. Relies on Twisted's
HTTP server for everything else.
"""

import logging
import math
from collections.abc import Callable
from http import HTTPStatus
from io import BytesIO
from socket import MSG_PEEK
from typing import Any

from attrs import frozen
from twisted.internet.abstract import FileDescriptor
from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel, HTTPFactory, Request

from coursekeel.forwarding import RequestLimits
from coursekeel.gateway._adapters import HeaderPairs
from coursekeel.gateway._request import RequestBody
from coursekeel.gateway.admission._refusals import GatewayRefusal
from coursekeel.observe import log_event
from coursekeel.runtime import BoundedBody, BoundedHead, with_bounded_length
from coursekeel.units import MS_PER_SECOND

__all__ = [
    "CallerRequest",
    "OpenConnections",
    "StatusPage",
    "caller_server",
    "send_page",
    "status_server",
]

_Limits = Callable[[], RequestLimits]
# Called with the fields received so far and the refusal of a request over a limit;
# returns the refusal to send.
_OverLimit = Callable[[HeaderPairs, GatewayRefusal], GatewayRefusal]

_HEAD_TOO_LARGE = GatewayRefusal(
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large"
)
_BODY_TOO_LARGE = GatewayRefusal(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large")

# How long a caller may pause while it sends a request, at least.
_READ_TIMEOUT_S = 15

# How long the rest of a request that was refused is read: a close before a caller has
# sent it would reset the connection, and the refusal might be lost.
_REFUSED_REST_S = 2.0

# How long a connection that is cut may take to send what is written to it.
_CUT_FLUSH_S = 0.25

# What a peer that reads leaves unsent now and then: Twisted's own buffer size.
_USUAL_UNSENT_BYTES = 64 * 1024
_UNSENT_CHECK_S = 0.05
# Seconds until a request is to come again for which there was no memory.
_NO_ROOM_RETRY_AFTER = b"0.5"
_NO_ROOM_CODE = b"no_room"
# Checks without progress after which a peer counts as not reading: one second.
_MAX_STALLED_CHECKS = 20


class CallerRequest(BoundedBody, Request):
    """A request whose path and body Twisted doesn't parse for arguments and forms.

    The limits are read at each body. ``take`` is called with each received request.
    """

    limits: _Limits
    take: Callable[["CallerRequest"], None]
    connections: "OpenConnections"
    has_no_room = False
    _limit_at_start_bytes = 0
    _counted_bytes = 0
    _taken_body: RequestBody | None = None

    def gotLength(self, length: int | None) -> None:
        self._limit_at_start_bytes = self.limits().body_bytes
        super().gotLength(length)

    def body_limit_bytes(self) -> int:
        """The larger of the limits at the body's start and now, as for heads."""
        return max(self._limit_at_start_bytes, self.limits().body_bytes)

    def handleContentChunk(self, data: bytes) -> None:
        if self.has_no_room:
            return
        super().handleContentChunk(data)
        if self.body_is_too_large:
            return
        self._counted_bytes += len(data)
        self.has_no_room = not self.connections.count_body(len(data))
        if self.has_no_room:
            self._free_body()

    def body_too_large(self) -> None:
        """Refuse the request before the rest of its body, which may never come."""
        channel: Any = self.channel
        channel.refuse(_BODY_TOO_LARGE)

    def take_body(self) -> RequestBody:
        """Return the body, which is counted until this request ends, and freed then."""
        self._taken_body = RequestBody(self.content.getvalue())
        self.content = BytesIO()
        return self._taken_body

    def _free_body(self) -> None:
        self.connections.count_body(-self._counted_bytes)
        self._counted_bytes = 0
        self.content = BytesIO()
        if self._taken_body is not None:
            self._taken_body.free()

    def connectionLost(self, reason: Any) -> None:
        self._free_body()
        super().connectionLost(reason)

    def finish(self) -> None:
        self._free_body()
        super().finish()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        self.method, self.uri, self.clientproto = command, path, version
        if self.body_is_too_large:
            # It was refused already.
            channel: Any = self.channel
            channel.loseConnection()
        elif self.has_no_room:
            self._refuse_for_want_of_room()
        else:
            type(self).take(self)

    def _refuse_for_want_of_room(self) -> None:
        channel: Any = self.channel
        self.setResponseCode(HTTPStatus.SERVICE_UNAVAILABLE)
        self.responseHeaders.setRawHeaders(b"retry-after", [_NO_ROOM_RETRY_AFTER])
        if channel.refusal_header:
            self.responseHeaders.setRawHeaders(channel.refusal_header, [_NO_ROOM_CODE])
        self.responseHeaders.setRawHeaders(b"connection", [b"close"])
        self.responseHeaders.setRawHeaders(b"content-length", [b"0"])
        self.finish()

    def write(self, data: bytes) -> None:
        super().write(data)
        channel: Any = self.channel
        if channel is not None:
            channel.data_written(len(data))

    def header_pairs(self) -> HeaderPairs:
        """The received headers, with names in lower case."""
        return [
            (name.lower(), value)
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        ]

    def host_name(self) -> str:
        """The host of the `Host` header, without its port."""
        host = (self.getHeader(b"host") or b"").decode("latin-1")
        return host.rpartition(":")[0] or host

    def path_name(self) -> str:
        """The path without its query."""
        return bytes(self.uri).split(b"?", 1)[0].decode("latin-1")


@frozen
class _Stall:
    """How much a peer had taken, and for how many checks no more."""

    sent_bytes: int
    checks: int


class OpenConnections:
    """The open connections of a server, and what their peers haven't taken yet.

    At shutdown the end of a finished reply may still be in this process's buffers, and
    would be lost if the process exited. ``max_unsent_bytes`` returns the bound on all
    that is in these buffers, ``held_bytes``; ``dropped`` counts the connections closed
    for it. ``max_received_bytes`` is the same for the bodies of open requests,
    ``received_bytes``; ``turned_away`` counts the requests refused for it.
    """

    def __init__(
        self,
        max_unsent_bytes: Callable[[], float] = lambda: math.inf,
        max_received_bytes: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._channels: set[_CallerChannel] = set()
        self._max_unsent_bytes = max_unsent_bytes
        self._max_received_bytes = max_received_bytes
        self.received_bytes = 0
        self.turned_away = 0
        self._stalls: dict[_CallerChannel, _Stall] = {}
        self._is_check_due = False
        self.held_bytes = 0
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._channels)

    def __contains__(self, channel: object) -> bool:
        return channel in self._channels

    def add(self, channel: "_CallerChannel") -> None:
        """Add a connection that was opened."""
        self._channels.add(channel)

    def remove(self, channel: "_CallerChannel") -> None:
        """Remove a connection that was closed."""
        self._channels.discard(channel)

    def count_body(self, size_bytes: int) -> bool:
        """Count bytes of a request's body; returns whether there is room for them."""
        self.received_bytes += size_bytes
        if size_bytes <= 0 or self.received_bytes <= self._max_received_bytes():
            return True
        self.turned_away += 1
        log_event("no_room", logging.WARNING, received_bytes=self.received_bytes)
        return False

    def watch_unsent(self, size_bytes: int, call_later: Callable[..., Any]) -> None:
        """Count what was written for a slow peer, and check it soon.

        Not at once: what has just been written is unsent at every connection.
        """
        self.held_bytes += size_bytes
        if not self._is_check_due:
            self._is_check_due = True
            call_later(_UNSENT_CHECK_S, self._check_unsent, call_later)

    def _check_unsent(self, call_later: Callable[..., Any]) -> None:
        self._is_check_due = False
        held = {
            each: each.held_bytes
            for each in self._channels
            if each.held_bytes > _USUAL_UNSENT_BYTES
        }
        self._stalls = {each: self._stall_after(each) for each in held}
        self._bound_held(held)
        self.held_bytes = sum(held.values())
        if held:
            self.watch_unsent(0, call_later)

    def _stall_after(self, channel: "_CallerChannel") -> "_Stall":
        last = self._stalls.get(channel)
        sent_bytes = channel.sent_bytes
        same = last is not None and last.sent_bytes == sent_bytes
        return _Stall(sent_bytes, last.checks + 1 if last is not None and same else 0)

    def _bound_held(self, held: "dict[_CallerChannel, int]") -> None:
        """Close connections until the rest is in bounds; removes them from ``held``.

        Those whose peers have taken nothing for a while go first, by their size. While
        there is none, twice as much is held.
        """
        max_bytes = self._max_unsent_bytes()
        while (total := sum(held.values())) > max_bytes:
            victim = max(held, key=lambda each: (self._is_stalled(each), held[each]))
            if not self._is_stalled(victim) and total <= 2 * max_bytes:
                break
            self.dropped += 1
            log_event("reply_dropped", logging.WARNING, unsent_bytes=held.pop(victim))
            self.remove(victim)
            victim.abort()

    def _is_stalled(self, channel: "_CallerChannel") -> bool:
        return self._stalls[channel].checks >= _MAX_STALLED_CHECKS

    def close_idle(self) -> None:
        """Close connections without a request, once all written data is sent.

        One on which a request has arrived stays open until that has been served.
        """
        for channel in list(self._channels):
            if not channel.requests and not channel.has_unread_data:
                channel.loseConnection()


class _CallerChannel(BoundedHead, HTTPChannel):
    """A connection with the limits in force when each request is read.

    One that is idle is kept for longer if its timeout is raised meanwhile, since
    callers use connections again by the newest timeout. A caller that pauses while it
    sends a request has more time than an idle one.
    """

    limits: _Limits
    connections: OpenConnections
    over_limit: _OverLimit
    refusal_header: bytes
    _abort_call: Any = None

    def connectionMade(self) -> None:
        self.timeOut = self._idle_timeout_s
        self.connections.add(self)
        super().connectionMade()

    def head_limit_bytes(self) -> int:
        return self.limits().header_bytes

    @property
    def _idle_timeout_s(self) -> int:
        return math.ceil(self.limits().idle_timeout_ms / MS_PER_SECOND)

    @property
    def held_bytes(self) -> int:
        """The memory of what was written; Twisted frees it once all of it is sent."""
        transport: Any = self.transport
        if not isinstance(transport, FileDescriptor):
            return 0
        return len(transport.dataBuffer) + int(transport._tempDataLen)

    @property
    def sent_bytes(self) -> int:
        """How much of what is held was handed to the system."""
        transport: Any = self.transport
        return int(transport.offset) if isinstance(transport, FileDescriptor) else 0

    def data_written(self, size_bytes: int) -> None:
        """Have the unsent data bounded if this connection has more than usual."""
        if self.held_bytes > _USUAL_UNSENT_BYTES:
            self.connections.watch_unsent(size_bytes, self.callLater)

    def abort(self) -> None:
        """Close the connection at once; what is unsent is lost."""
        transport: Any = self.transport
        transport.abortConnection()

    @property
    def has_unread_data(self) -> bool:
        """Whether the caller has sent something that wasn't read yet.

        After a suspension of this process timers fire before sockets are read.
        """
        transport: Any = self.transport
        try:
            return bool(transport.getHandle().recv(1, MSG_PEEK))
        except OSError:
            # Nothing to read, or the connection is lost.
            return False

    def timeoutConnection(self) -> None:
        timeout_s = self._idle_timeout_s
        if self.has_unread_data:
            self.setTimeout(timeout_s)
            return
        if self.requests:
            timeout_s = max(timeout_s, _READ_TIMEOUT_S)
        if self.timeOut is not None and self.timeOut < timeout_s:
            self.setTimeout(timeout_s)
        else:
            super().timeoutConnection()

    def requestDone(self, request: Any) -> None:
        # Twisted goes on with the timeout from before the request.
        self._savedTimeOut = self._idle_timeout_s
        super().requestDone(request)

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.connections.remove(self)
        if self._abort_call is not None and self._abort_call.active():
            self._abort_call.cancel()
        super().connectionLost(reason)
        self._free_unsent()

    def _free_unsent(self) -> None:
        """Free what can't be sent any more; the garbage collector runs rarely."""
        transport: Any = self.transport
        if isinstance(transport, FileDescriptor):
            transport.dataBuffer, transport.offset = b"", 0
            transport._tempDataBuffer, transport._tempDataLen = [], 0

    def _respondToBadRequestAndDisconnect(self) -> None:
        log_event(
            "request_malformed",
            received_bytes=self._receivedHeaderSize,
            fields=self._receivedHeaderCount,
        )
        super()._respondToBadRequestAndDisconnect()

    def head_too_large(self, size_bytes: int) -> None:
        log_event(
            "head_refused",
            received_bytes=size_bytes,
            fields=self._receivedHeaderCount,
            limit_bytes=self.totalHeadersSize,
            in_force_bytes=self.limits().header_bytes,
        )
        self.refuse(_HEAD_TOO_LARGE)

    def headerReceived(self, line: bytes) -> bool:
        return bool(super().headerReceived(with_bounded_length(line)))

    def _fields_so_far(self) -> HeaderPairs:
        if not self.requests:
            return []
        name, colon, value = self.last_line.partition(b":")
        last = [(name.lower(), value.strip())] if colon else []
        return [*self.requests[-1].header_pairs(), *last]

    def refuse(self, refusal: GatewayRefusal) -> None:
        """Answer a request at once, and read the rest of it for a short time."""
        refusal = type(self).over_limit(self._fields_so_far(), refusal)
        status = HTTPStatus(refusal.status)
        lines = [
            f"HTTP/1.1 {status.value} {status.phrase}",
            "connection: close",
            "content-type: text/plain",
            f"content-length: {len(refusal.code)}",
        ]
        if self.refusal_header:
            lines.append(f"{self.refusal_header.decode()}: {refusal.code}")
        transport: Any = self.transport
        if refusal.retry_after_ms:
            retry_after_s = refusal.retry_after_ms / MS_PER_SECOND
            lines.append(f"retry-after: {retry_after_s:.3f}")
        head = "".join(f"{line}\r\n" for line in lines)
        transport.write(f"{head}\r\n{refusal.code}".encode())
        self._abort_call = self.callLater(_REFUSED_REST_S, self.abort)

    def cut(self) -> None:
        """Close the connection, soon also if the caller doesn't read what was sent."""
        transport: Any = self.transport
        self.loseConnection()
        self._abort_call = self.callLater(_CUT_FLUSH_S, transport.abortConnection)


def caller_server(
    take: Callable[[CallerRequest], None],
    limits: _Limits,
    connections: OpenConnections,
    over_limit: _OverLimit = lambda fields, refusal: refusal,
    refusal_header: bytes = b"",
) -> Any:
    """A server that calls ``take`` with each request once its body was received.

    ``over_limit`` returns what a request that is over a limit is refused with.
    ``refusal_header`` is the field that names the code of the server's own refusals,
    empty for none.

    ``limits`` is called for each head, body and idle time, since the limits can change.
    """
    attributes = {
        "limits": staticmethod(limits),
        "take": staticmethod(take),
        "connections": connections,
    }
    request_class = type("TakenRequest", (CallerRequest,), attributes)
    channel_class = type(
        "TakenChannel",
        (_CallerChannel,),
        {
            "limits": staticmethod(limits),
            "over_limit": staticmethod(over_limit),
            "refusal_header": refusal_header,
            "requestFactory": request_class,
            "connections": connections,
        },
    )
    factory: Any = HTTPFactory()
    factory.protocol = channel_class
    factory.log = lambda _: None
    return factory


@frozen
class StatusPage:
    """A short response that the gateway itself makes."""

    status: int
    body: bytes


def send_page(request: CallerRequest, page: StatusPage) -> None:
    """Send a page as the complete response."""
    request.setResponseCode(page.status)
    length = str(len(page.body)).encode()
    request.responseHeaders.setRawHeaders(b"content-length", [length])
    request.write(page.body)
    request.finish()


def status_server(page_for_path: Callable[[str], StatusPage]) -> Any:
    """A server of status pages; ``page_for_path`` returns the page for a path."""

    def respond(request: CallerRequest) -> None:
        send_page(request, page_for_path(request.path_name()))

    return caller_server(respond, RequestLimits, OpenConnections())

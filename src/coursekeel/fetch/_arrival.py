"""Timeouts and size limits of HTTP responses, and the collection of their bodies.

Rule: the pauses are limited rather than the length. A short limit on the whole response
would cut each one that is too long for the link, and a retry can't help. So the head
must arrive in time; after it, the pauses between two chunks are limited, and, with
generous limits, the time and the size of the whole.

Rule: the connection of a cancelled request is closed, so that its response doesn't use
bandwidth that the next request needs.

Owns the received chunks and the timer of one request. Relies on Twisted's HTTP client.
"""

from typing import Any, cast

from attrs import define, field, frozen
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from coursekeel.fetch._own_link import OwnLink
from coursekeel.reactor import Reactor

__all__ = ["MAX_BODY_BYTES", "BodyCollector", "ResponseWatchdog", "Transfer"]

# The longest body that is read without a `Transfer`: an answer of a service is the
# longest.
MAX_BODY_BYTES = 8 << 20


@frozen
class Transfer:
    """Limits on a response whose head has arrived.

    ``pause_ms`` limits the time between two chunks, ``max_ms`` the time from the head
    to the end, and ``most_bytes`` the size of the body.
    """

    pause_ms: float
    max_ms: float
    most_bytes: int


@define(eq=False)
class ResponseWatchdog:
    """Cancels a request whose response exceeds a limit, and records the reason.

    Without a ``transfer``, the whole response must arrive within ``timeout_ms`` and its
    body have ``max_body_bytes`` at most; with one, only its head must arrive in that
    time. ``link`` is notified of each chunk; ``received_bytes`` counts the body;
    ``cancel_reason`` is empty unless the request was cancelled, ``is_overrun`` tells
    that its body was too long.
    """

    reactor: Reactor
    timeout_ms: float
    transfer: Transfer | None
    link: OwnLink | None = None
    max_body_bytes: int = MAX_BODY_BYTES
    received_bytes: int = 0
    cancel_reason: str = ""
    is_overrun: bool = False
    _has_begun: bool = False
    _request: Any = None
    _timer: Any = None
    _end_s: float = field(default=0.0, init=False)

    def watch(self, request: Deferred[Any]) -> None:
        """Start the timer of a request, given the Deferred of its response."""
        self._request = request
        self._start_timer(self.timeout_ms, f"no answer within {self.timeout_ms:.0f} ms")

    def head_received(self, body_bytes: int | None = None) -> None:
        """The head of the response arrived, with the length of its body if it tells.

        Sets ``is_overrun`` if that is too long; the caller is to cancel the request.
        """
        self._has_begun = True
        if body_bytes is not None and body_bytes > self._most_bytes:
            self._set_overrun()
        elif self.transfer is not None:
            self._end_s = self.reactor.seconds() + self.transfer.max_ms / 1000
            self._wait_for_chunk(self.transfer)

    def chunk_received(self, size_bytes: int) -> None:
        """A chunk of the body arrived."""
        self.received_bytes += size_bytes
        if self.link is not None:
            self.link.chunk_received(self.received_bytes)
        if self.cancel_reason:
            return
        if self.received_bytes > self._most_bytes:
            self._set_overrun()
            self._request.cancel()
        elif self.transfer is not None:
            self._wait_for_chunk(self.transfer)

    @property
    def _most_bytes(self) -> int:
        transfer = self.transfer
        return self.max_body_bytes if transfer is None else transfer.most_bytes

    def _set_overrun(self) -> None:
        self.is_overrun = True
        self.cancel_reason = f"more than {self._most_bytes} bytes"

    @property
    def is_silent(self) -> bool:
        """Whether the request was cancelled before any of its response arrived."""
        return bool(self.cancel_reason) and not self._has_begun

    def stop(self) -> None:
        """Stop the timer: the request has ended, successfully or not."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _wait_for_chunk(self, transfer: Transfer) -> None:
        remaining_ms = (self._end_s - self.reactor.seconds()) * 1000
        if remaining_ms < transfer.pause_ms:
            self._start_timer(
                max(0.0, remaining_ms), f"not whole within {transfer.max_ms:.0f} ms"
            )
        else:
            self._start_timer(
                transfer.pause_ms, f"silent for {transfer.pause_ms:.0f} ms"
            )

    def _start_timer(self, wait_ms: float, reason: str) -> None:
        self.stop()
        self._timer = self.reactor.callLater(wait_ms / 1000, self._cancel, reason)

    def _cancel(self, reason: str) -> None:
        self.cancel_reason = reason
        self._request.cancel()


class BodyCollector(Protocol):
    """Collects the body of a response.

    ``body`` fires with it at the end; cancelling ``body`` closes the connection.
    """

    def __init__(self, watchdog: ResponseWatchdog) -> None:
        self.body: Deferred[bytes] = Deferred(self._close)
        self._watchdog = watchdog
        self._chunks: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:
        self._chunks.append(data)
        self._watchdog.chunk_received(len(data))

    def connectionLost(self, reason: Any = connectionDone) -> None:
        if self.body.called:
            return
        if reason.check(ResponseDone, PotentialDataLoss):
            self.body.callback(b"".join(self._chunks))
        else:
            self.body.errback(reason)

    def _close(self, _body: Deferred[bytes]) -> None:
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()

"""How an answer comes in: its body's pieces, and the limits on waiting for them.

Rule: what is bounded is silence, not length. A limit on the whole of an answer cuts one
that is on its way whenever it is longer than the link carries in that time, and asking
again can't help. So an answer must begin in time; from then on the pauses between its
pieces are bounded, and, far above what any sound answer needs, its time and its size.

Rule: what is given up is closed. An answer that nobody waits for would go on taking the
link from the one that is asked for next.

Owns the pieces and the timer of one call. Relies on Twisted's HTTP client for both.
"""

from typing import Any, cast

from attrs import define, field, frozen
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from coursekeel.fetch._own_link import OwnLink
from coursekeel.reactor import Reactor

__all__ = ["AnswerArrival", "ArrivingBody", "Transfer"]


@frozen
class Transfer:
    """How an answer that has begun may come.

    ``pause_ms`` bounds the time between two of its pieces, ``most_ms`` the time from
    its head to its end, and ``most_bytes`` its body.
    """

    pause_ms: float
    most_ms: float
    most_bytes: int


@define(eq=False)
class AnswerArrival:
    """Cancels a call whose answer doesn't come in time, and keeps why.

    Without a ``transfer`` the whole answer must be here within ``timeout_ms``; with
    one, its head.
    """

    reactor: Reactor
    timeout_ms: float
    transfer: Transfer | None
    link: OwnLink | None = None
    received_bytes: int = 0
    given_up: str = ""
    _call: Any = None
    _timer: Any = None
    _end_s: float = field(default=0.0, init=False)

    def watch(self, call: Deferred[Any]) -> None:
        """Begin to wait for a call's answer."""
        self._call = call
        self._wait(self.timeout_ms, f"no answer within {self.timeout_ms:.0f} ms")

    def begun(self) -> None:
        """The answer's head is here."""
        if self.transfer is not None:
            self._end_s = self.reactor.seconds() + self.transfer.most_ms / 1000
            self._wait_for_piece(self.transfer)

    def came(self, size_bytes: int) -> None:
        """A piece of the body is here."""
        self.received_bytes += size_bytes
        if self.link is not None:
            self.link.came(self.received_bytes)
        if self.transfer is None or self.given_up:
            return
        if self.received_bytes > self.transfer.most_bytes:
            self._give_up(f"more than {self.transfer.most_bytes} bytes")
            return
        self._wait_for_piece(self.transfer)

    def over(self) -> None:
        """The call has ended, in whatever way."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _wait_for_piece(self, transfer: Transfer) -> None:
        left_ms = (self._end_s - self.reactor.seconds()) * 1000
        if left_ms < transfer.pause_ms:
            self._wait(max(0.0, left_ms), f"not whole within {transfer.most_ms:.0f} ms")
        else:
            self._wait(transfer.pause_ms, f"silent for {transfer.pause_ms:.0f} ms")

    def _wait(self, wait_ms: float, reason: str) -> None:
        self.over()
        self._timer = self.reactor.callLater(wait_ms / 1000, self._give_up, reason)

    def _give_up(self, reason: str) -> None:
        self.given_up = reason
        self._call.cancel()


class ArrivingBody(Protocol):
    """Gathers the body of an answer.

    ``whole`` gives it once it has ended; cancelling that closes the connection.
    """

    def __init__(self, arrival: AnswerArrival) -> None:
        self.whole: Deferred[bytes] = Deferred(self._let_go)
        self._arrival = arrival
        self._pieces: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:
        self._pieces.append(data)
        self._arrival.came(len(data))

    def connectionLost(self, reason: Any = connectionDone) -> None:
        if self.whole.called:
            return
        if reason.check(ResponseDone, PotentialDataLoss):
            self.whole.callback(b"".join(self._pieces))
        else:
            self.whole.errback(reason)

    def _let_go(self, _whole: Deferred[bytes]) -> None:
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()

"""Callers' connections whose bytes leave only while somebody may still say them.

Twisted writes into a buffer that the reactor empties when it comes round. A pause of
the process between the two may last until an answer is another entry's, and what was
asked before the write is true no more. So the right is asked at the socket, directly
before the system call that sends.

Guards against: an owner that was paused and wakes sends what it wrote before the pause
(5 of 60 plays of `test_a_frozen_owner_…`, ten at once). What is left of the window is
the span from the look at the clock to the system call, `python -m bench.sending`.

Owns what of a guarded connection is held back. Relies on `SendingRight`.
"""

import logging
from typing import Any

from twisted.internet.tcp import Port, Server
from twisted.web.http import Request

from coursekeel.entry.answers._sinks import HELD_LOOK_S, SendingRight
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor

__all__ = ["GuardedConnection", "connection_of", "listen_guarded"]


class GuardedConnection(Server):
    """The server's end of a connection, which can be guarded by a `SendingRight`.

    While the right has lapsed, bytes wait. Once it is gone for good, what hasn't left
    by then never does, and the connection ends.
    """

    _right: SendingRight | None = None
    _released = False
    _holds = False
    _look: Any = None

    def guard(self, right: SendingRight | None) -> None:
        """From now on bytes leave under this right; under none they leave freely."""
        self._right = right
        self._released = False

    def release(self) -> None:
        """What was written is the last under its right."""
        if self._unsent_bytes:
            self._released = True
        else:
            self._right = None

    def withdraw(self) -> bool:
        """The right is gone; say whether the connection can still be spoken on.

        It can't if something of what was written hasn't left: it may end in the midst
        of an event, so that nothing could follow it.
        """
        if self._unsent_bytes:
            self._end_unsent()
            return False
        self._right = None
        return True

    @property
    def _unsent_bytes(self) -> int:
        return len(self.dataBuffer) - self.offset + self._tempDataLen

    def writeSomeData(self, data: Any) -> Any:
        """Send what may leave now; Twisted calls this to empty the buffer."""
        right = self._right
        if right is None:
            return super().writeSomeData(data)
        if right.gone:
            self._end_unsent()
            return 0
        if not right.may_send():
            self._hold()
            return 0
        self._holds = False
        sent = super().writeSomeData(data)
        if not right.may_send():
            log_event("sent_past_right", logging.WARNING, bytes=sent)
        return sent

    def doWrite(self) -> Any:
        """Empty the buffer, and let go of a right under which all was said."""
        result = super().doWrite()
        if self._released and not self._unsent_bytes:
            self._released = False
            self._right = None
        return result

    def _hold(self) -> None:
        """Wait with what is written until the right is there again, or gone."""
        self.stopWriting()
        if not self._holds:
            self._holds = True
            log_event("output_held", bytes=self._unsent_bytes)
        if self._look is None:
            self._look = self.reactor.callLater(HELD_LOOK_S, self._look_again)

    def _look_again(self) -> None:
        self._look = None
        self.startWriting()

    def _end_unsent(self) -> None:
        log_event("output_dropped", bytes=self._unsent_bytes)
        self.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        """Look no more."""
        if self._look is not None:
            self._look.cancel()
            self._look = None
        super().connectionLost(reason)


class _GuardedPort(Port):
    transport = GuardedConnection


def listen_guarded(
    reactor: Reactor, port: int, factory: Any, backlog: int, host: str
) -> Any:
    """Listen as `listenTCP` does, with connections that can be guarded."""
    listener: Any = _GuardedPort(port, factory, backlog, host, reactor)
    listener.startListening()
    return listener


def connection_of(request: Request) -> GuardedConnection:
    """The connection that a request came on."""
    connection: Any = request.channel.transport
    assert isinstance(connection, GuardedConnection)
    return connection

"""Callers' connections that send bytes only while this entry owns the answer.

Twisted buffers what is written, and the reactor sends it later. If the process is
paused in between, another entry may have taken the answer over by then. So the right
to send is checked at the socket, directly before the system call.

Guards against an owner that was paused and, when it resumes, sends what it wrote
before the pause. The remaining window is the time between the check and the system
call; `python -m bench.sending` measures it.

Owns the bytes of a guarded connection that are held back. Relies on `SendingRight`.
"""

import logging
from typing import Any

from twisted.internet.tcp import Port, Server
from twisted.web.http import Request

from coursekeel.entry.answers._sinks import HELD_OUTPUT_POLL_S, SendingRight
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor

__all__ = ["GuardedConnection", "connection_of", "listen_guarded"]


class GuardedConnection(Server):
    """The server's end of a connection, which can be guarded by a `SendingRight`.

    While the right has lapsed, bytes stay in the buffer. Once it is gone for good, the
    unsent bytes are dropped and the connection is aborted.
    """

    _right: SendingRight | None = None
    _released = False
    _is_holding = False
    _retry_call: Any = None

    def guard(self, right: SendingRight | None) -> None:
        """From now on send bytes only while ``right`` holds; None removes the guard."""
        self._right = right
        self._released = False

    def release(self) -> None:
        """Remove the guard as soon as all that was written so far is sent."""
        if self._unsent_bytes:
            self._released = True
        else:
            self._right = None

    def withdraw(self) -> bool:
        """Remove the guard of a lost right; returns whether the connection is usable.

        With unsent bytes it can't, since the part that was sent may end in the middle
        of an event. The connection is then aborted.
        """
        if self._unsent_bytes:
            self._drop_unsent_and_abort()
            return False
        self._right = None
        return True

    @property
    def _unsent_bytes(self) -> int:
        return len(self.dataBuffer) - self.offset + self._tempDataLen

    def writeSomeData(self, data: Any) -> Any:
        """Send bytes if the right holds; called by Twisted to empty the buffer."""
        right = self._right
        if right is None:
            return super().writeSomeData(data)
        if right.gone:
            self._drop_unsent_and_abort()
            return 0
        if not right.may_send():
            self._hold()
            return 0
        self._is_holding = False
        sent = super().writeSomeData(data)
        if not right.may_send():
            log_event("sent_past_right", logging.WARNING, bytes=sent)
        return sent

    def doWrite(self) -> Any:
        """Empty the buffer; remove a released guard once all is sent."""
        result = super().doWrite()
        if self._released and not self._unsent_bytes:
            self._released = False
            self._right = None
        return result

    def _hold(self) -> None:
        """Keep the buffer and retry until the right holds again or is gone."""
        self.stopWriting()
        if not self._is_holding:
            self._is_holding = True
            log_event("output_held", bytes=self._unsent_bytes)
        if self._retry_call is None:
            self._retry_call = self.reactor.callLater(HELD_OUTPUT_POLL_S, self._retry)

    def _retry(self) -> None:
        self._retry_call = None
        self.startWriting()

    def _drop_unsent_and_abort(self) -> None:
        log_event("output_dropped", bytes=self._unsent_bytes)
        self.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        """Cancel the pending retry."""
        if self._retry_call is not None:
            self._retry_call.cancel()
            self._retry_call = None
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
    """The connection of a request."""
    connection: Any = request.channel.transport
    assert isinstance(connection, GuardedConnection)
    return connection

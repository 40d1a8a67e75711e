"""What is left between an owner's look at its right and the system call that sends.

Also what guarding a connection costs an event.
"""

import socket
import time

from attrs import define, field
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock

from bench._tools import percentiles
from coursekeel.entry.answers._sinks import SendingRight
from coursekeel.entry.http._guarded_connection import GuardedConnection

EVENTS = 100_000
EVENT = b"x" * 250


@define
class TimedRight(SendingRight):
    """Looks at the clock like an entry's journal, and notes when it looked."""

    gone: bool = False
    looked_ns: int = 0

    def right_left_ms(self) -> float:
        self.looked_ns = time.perf_counter_ns()
        return 1e12 - time.monotonic() * 1000


@define
class TimedSocket:
    """Notes how long after the look its system call begins."""

    real: socket.socket
    right: TimedRight
    spans_us: list[float] = field(factory=list)

    def send(self, data) -> int:
        self.spans_us.append((time.perf_counter_ns() - self.right.looked_ns) / 1000)
        return self.real.send(data)

    def __getattr__(self, name):
        return getattr(self.real, name)


def _connection() -> tuple[GuardedConnection, socket.socket]:
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.setblocking(False)
    connection = GuardedConnection(
        ours, Protocol(), ("127.0.0.1", 1), None, 0, MemoryReactorClock()
    )
    return connection, theirs


def _send(connection: GuardedConnection, theirs: socket.socket) -> float:
    """Send all events; microseconds an event."""
    started_ns = time.perf_counter_ns()
    for _ in range(EVENTS):
        connection.write(EVENT)
        connection.doWrite()
        theirs.recv(len(EVENT))
    return (time.perf_counter_ns() - started_ns) / 1000 / EVENTS


def measure() -> list[dict]:
    rows = []
    for way in ("unguarded", "guarded"):
        connection, theirs = _connection()
        connection.guard(TimedRight() if way == "guarded" else None)
        rows.append({"way": way, "us_an_event": _send(connection, theirs)})
    connection, theirs = _connection()
    right = TimedRight()
    connection.guard(right)
    connection.socket = timed = TimedSocket(connection.socket, right)
    _send(connection, theirs)
    spans = percentiles(timed.spans_us)
    rows.append({"way": "span_us", **spans, "max": max(timed.spans_us)})
    return rows


if __name__ == "__main__":
    for row in measure():
        print(row)

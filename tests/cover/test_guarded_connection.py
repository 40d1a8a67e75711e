"""A guarded connection writes to its socket only while its `SendingRight` lasts."""

import socket
from types import SimpleNamespace

import pytest
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock

from coursekeel.entry.answers._sinks import SendingRight
from coursekeel.entry.http._guarded_connection import GuardedConnection

RECHECK_S = 0.1
# More than the kernel's two socket buffers hold.
LARGE_DATA = b"x" * (16 << 20)


class Right(SendingRight):
    def __init__(self):
        self.gone = False
        self.left_ms = 1_000.0
        self.check_count = 0

    def right_left_ms(self):
        self.check_count += 1
        return self.left_ms


@pytest.fixture
def world():
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.setblocking(False)
    reactor = MemoryReactorClock()
    protocol = Protocol()
    connection = GuardedConnection(ours, protocol, ("127.0.0.1", 1), None, 0, reactor)
    protocol.makeConnection(connection)
    right = Right()
    connection.guard(right)
    yield SimpleNamespace(
        reactor=reactor, connection=connection, theirs=theirs, right=right
    )
    ours.close()
    theirs.close()


def received(world):
    try:
        return world.theirs.recv(1 << 20)
    except BlockingIOError:
        return b""


def run_reactor_once(world, seconds=0.0):
    world.reactor.advance(seconds)
    if world.connection in world.reactor.writers:
        world.connection.doWrite()


def ended(world):
    world.reactor.advance(0)
    return not world.connection.connected


def test_bytes_are_sent_while_the_right_lasts(world):
    world.connection.write(b"token")
    run_reactor_once(world)
    assert received(world) == b"token"


def test_bytes_written_before_the_right_lapsed_wait_for_its_renewal(world):
    world.connection.write(b"token")
    world.right.left_ms = 0.0
    run_reactor_once(world)
    assert received(world) == b""
    assert world.connection not in world.reactor.writers
    run_reactor_once(world, RECHECK_S)
    assert received(world) == b""
    world.right.left_ms = 1.0
    run_reactor_once(world, RECHECK_S)
    assert received(world) == b"token"


def test_bytes_written_before_the_right_was_lost_are_never_sent(world):
    world.connection.write(b"token")
    world.right.gone = True
    run_reactor_once(world)
    assert received(world) == b""
    assert ended(world)


def test_a_lapsed_right_is_checked_a_few_times_a_second_while_bytes_wait(world):
    world.connection.write(b"token")
    world.right.left_ms = 0.0
    for _ in range(1_000):
        run_reactor_once(world, 0.001)
    assert 10 <= world.right.check_count <= 30


def test_held_output_is_logged_once_per_lapse(world, monkeypatch):
    events = []
    module = "coursekeel.entry.http._guarded_connection"
    monkeypatch.setattr(f"{module}.log_event", lambda name, **_: events.append(name))
    for _ in range(2):
        world.right.left_ms = 0.0
        world.connection.write(b"token")
        for _ in range(1_000):
            run_reactor_once(world, 0.001)
        world.right.left_ms = 1.0
        run_reactor_once(world, RECHECK_S)
    assert events == ["output_held", "output_held"]


def test_a_connection_without_unsent_bytes_can_still_send_a_redirect(world):
    world.connection.write(b"token")
    run_reactor_once(world)
    world.right.gone = True
    assert world.connection.withdraw()
    world.connection.write(b"moved")
    run_reactor_once(world)
    assert received(world) == b"tokenmoved"


def test_withdrawing_closes_a_connection_with_unsent_bytes(world):
    world.connection.write(b"token")
    world.right.gone = True
    assert not world.connection.withdraw()
    assert ended(world)
    assert received(world) == b""


def test_the_unsent_rest_for_a_slow_reader_waits_too(world):
    world.connection.write(LARGE_DATA)
    run_reactor_once(world)
    world.right.left_ms = 0.0
    received_bytes = len(received(world))
    while more_bytes := len(received(world)):
        received_bytes += more_bytes
    run_reactor_once(world, RECHECK_S)
    assert 0 < received_bytes < len(LARGE_DATA)
    assert received(world) == b""


def test_a_released_connection_is_unguarded_after_its_last_byte(world):
    world.connection.write(b"end")
    world.connection.release()
    run_reactor_once(world)
    world.right.gone = True
    world.connection.write(b"another answer")
    run_reactor_once(world)
    assert received(world) == b"endanother answer"


def test_the_last_bytes_of_a_released_connection_are_still_guarded(world):
    world.connection.write(b"end")
    world.connection.release()
    world.right.gone = True
    run_reactor_once(world)
    assert received(world) == b""
    assert ended(world)


def test_a_closed_connection_with_waiting_bytes_leaves_no_timer(world):
    world.connection.write(b"token")
    world.right.left_ms = 0.0
    run_reactor_once(world)
    world.connection.abortConnection()
    assert ended(world)
    assert not world.reactor.getDelayedCalls()


def test_an_unguarded_connection_checks_no_right(world):
    world.connection.guard(None)
    world.connection.write(b"status")
    run_reactor_once(world)
    assert received(world) == b"status"
    assert world.right.check_count == 0

"""Bytes leave a guarded connection only while their right is there, at the socket."""

import socket
from types import SimpleNamespace

import pytest
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock

from coursekeel.entry.answers._sinks import SendingRight
from coursekeel.entry.http._guarded_connection import GuardedConnection

ENOUGH_S = 0.1
# More than two socket buffers of the kernel hold.
MUCH = b"x" * (16 << 20)


class Right(SendingRight):
    def __init__(self):
        self.gone = False
        self.left_ms = 1_000.0
        self.asked = 0

    def right_left_ms(self):
        self.asked += 1
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


def round_of_the_reactor(world, seconds=0.0):
    world.reactor.advance(seconds)
    if world.connection in world.reactor.writers:
        world.connection.doWrite()


def ended(world):
    world.reactor.advance(0)
    return not world.connection.connected


def test_what_is_written_while_the_right_lasts_leaves(world):
    world.connection.write(b"token")
    round_of_the_reactor(world)
    assert received(world) == b"token"


def test_what_was_written_before_the_right_lapsed_waits_until_it_is_there_again(world):
    world.connection.write(b"token")
    world.right.left_ms = 0.0
    round_of_the_reactor(world)
    assert received(world) == b""
    assert world.connection not in world.reactor.writers
    round_of_the_reactor(world, ENOUGH_S)
    assert received(world) == b""
    world.right.left_ms = 1.0
    round_of_the_reactor(world, ENOUGH_S)
    assert received(world) == b"token"


def test_what_was_written_before_the_right_was_gone_never_leaves(world):
    world.connection.write(b"token")
    world.right.gone = True
    round_of_the_reactor(world)
    assert received(world) == b""
    assert ended(world)


def test_a_lapsed_right_is_asked_for_a_few_times_a_second_while_something_waits(world):
    world.connection.write(b"token")
    world.right.left_ms = 0.0
    for _ in range(1_000):
        round_of_the_reactor(world, 0.001)
    assert 10 <= world.right.asked <= 30


def test_the_log_tells_once_that_something_waits(world, monkeypatch):
    told = []
    module = "coursekeel.entry.http._guarded_connection"
    monkeypatch.setattr(f"{module}.log_event", lambda name, **_: told.append(name))
    for _ in range(2):
        world.right.left_ms = 0.0
        world.connection.write(b"token")
        for _ in range(1_000):
            round_of_the_reactor(world, 0.001)
        world.right.left_ms = 1.0
        round_of_the_reactor(world, ENOUGH_S)
    assert told == ["output_held", "output_held"]


def test_a_connection_with_nothing_under_way_can_still_say_where_to_go(world):
    world.connection.write(b"token")
    round_of_the_reactor(world)
    world.right.gone = True
    assert world.connection.withdraw()
    world.connection.write(b"moved")
    round_of_the_reactor(world)
    assert received(world) == b"tokenmoved"


def test_a_connection_with_something_under_way_ends(world):
    world.connection.write(b"token")
    world.right.gone = True
    assert not world.connection.withdraw()
    assert ended(world)
    assert received(world) == b""


def test_the_rest_for_a_slow_reader_waits_too(world):
    world.connection.write(MUCH)
    round_of_the_reactor(world)
    world.right.left_ms = 0.0
    first = len(received(world))
    while more := len(received(world)):
        first += more
    round_of_the_reactor(world, ENOUGH_S)
    assert 0 < first < len(MUCH)
    assert received(world) == b""


def test_after_its_last_byte_a_connection_is_free_for_what_comes_next(world):
    world.connection.write(b"end")
    world.connection.release()
    round_of_the_reactor(world)
    world.right.gone = True
    world.connection.write(b"another answer")
    round_of_the_reactor(world)
    assert received(world) == b"endanother answer"


def test_the_last_bytes_are_still_under_their_right_when_all_is_written(world):
    world.connection.write(b"end")
    world.connection.release()
    world.right.gone = True
    round_of_the_reactor(world)
    assert received(world) == b""
    assert ended(world)


def test_a_caller_that_leaves_while_something_waits_leaves_nothing_behind(world):
    world.connection.write(b"token")
    world.right.left_ms = 0.0
    round_of_the_reactor(world)
    world.connection.abortConnection()
    assert ended(world)
    assert not world.reactor.getDelayedCalls()


def test_an_unguarded_connection_asks_nobody(world):
    world.connection.guard(None)
    world.connection.write(b"status")
    round_of_the_reactor(world)
    assert received(world) == b"status"
    assert world.right.asked == 0

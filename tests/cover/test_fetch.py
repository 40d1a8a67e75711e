"""HTTP requests with slow responses, on a transport in memory."""

import gzip
from types import SimpleNamespace

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock, StringTransport

from coursekeel.fetch import AnswerLost, Fetcher, HttpReply, Transfer
from coursekeel.storage import Fetched, HttpPlatform, Unavailable

TIMEOUT_MS = 1_000
TRANSFER = Transfer(pause_ms=1_000, max_ms=20_000, most_bytes=100)
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"
BODY = bytes(range(50))
COMPRESSED_BODY = gzip.compress(BODY)
COMPRESSED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\n"
    b"content-length: %d\r\n\r\n" % len(COMPRESSED_BODY) + COMPRESSED_BODY
)


def start_request(call, reactor):
    """Start a request; returns its outcomes and the server's side of its connection."""
    outcomes = []
    ensureDeferred(call).addCallback(outcomes.append)
    factory = reactor.tcpClients[-1][2]
    connection, transport = factory.buildProtocol(None), StringTransport()
    connection.makeConnection(transport)
    return SimpleNamespace(
        outcomes=outcomes, send=connection.dataReceived, transport=transport
    )


def send_slowly(server, reactor, pieces=5):
    server.send(HEAD)
    for _ in range(pieces):
        reactor.advance(0.9)
        server.send(b"x")


@pytest.mark.parametrize("transfer", [None, TRANSFER])
def test_with_a_transfer_a_slow_response_is_read_whole(transfer):
    reactor = MemoryReactorClock()
    fetcher = Fetcher(reactor, 250, transfer=transfer)
    server = start_request(
        fetcher.ask("GET", "http://127.0.0.1:1/", TIMEOUT_MS), reactor
    )
    send_slowly(server, reactor)
    whole = HttpReply(200, "", b"xxxxx")
    assert server.outcomes == [
        whole if transfer else AnswerLost("no answer within 1000 ms", 1)
    ]


@pytest.mark.parametrize("transfer", [None, TRANSFER])
def test_the_connection_of_a_cancelled_request_is_closed(transfer):
    reactor = MemoryReactorClock()
    fetcher = Fetcher(reactor, 250, transfer=transfer)
    server = start_request(
        fetcher.ask("GET", "http://127.0.0.1:1/", TIMEOUT_MS), reactor
    )
    send_slowly(server, reactor, pieces=1)
    assert not server.outcomes
    reactor.advance(1.1)
    assert isinstance(server.outcomes[0], AnswerLost)
    assert server.outcomes[0].received_bytes == 1
    assert server.transport.disconnecting


def test_the_connection_of_a_cancelled_compressed_response_is_closed():
    reactor = MemoryReactorClock()
    fetcher = Fetcher(reactor, 250, transfer=TRANSFER)
    server = start_request(
        fetcher.ask("GET", "http://127.0.0.1:1/", TIMEOUT_MS), reactor
    )
    server.send(COMPRESSED_RESPONSE[:-10])
    reactor.advance(1.1)
    assert isinstance(server.outcomes[0], AnswerLost)
    assert server.transport.disconnecting


def test_a_compressed_response_is_decompressed():
    reactor = MemoryReactorClock()
    fetcher = Fetcher(reactor, 250, transfer=TRANSFER)
    server = start_request(
        fetcher.ask("GET", "http://127.0.0.1:1/", TIMEOUT_MS), reactor
    )
    server.send(COMPRESSED_RESPONSE)
    assert server.outcomes == [HttpReply(200, "", BODY)]


def test_a_large_object_may_take_longer_than_the_timeout():
    """Guards against: an answer whose prompt is too long for the link within the
    timeout is never adopted."""
    reactor = MemoryReactorClock()
    platform = HttpPlatform(reactor, "http://127.0.0.1:1", TIMEOUT_MS)
    server = start_request(platform.get_object("prompt"), reactor)
    send_slowly(server, reactor)
    assert server.outcomes == [Fetched(b"xxxxx")]


def test_an_object_that_does_not_start_to_arrive_is_unavailable():
    reactor = MemoryReactorClock()
    platform = HttpPlatform(reactor, "http://127.0.0.1:1", TIMEOUT_MS)
    server = start_request(platform.get_object("prompt"), reactor)
    reactor.advance(1.1)
    assert isinstance(server.outcomes[0], Unavailable)


def ask(fetcher):
    return fetcher.ask("GET", "http://127.0.0.1:1/", TIMEOUT_MS)


def leave_idle(fetcher, reactor, count):
    """Let ``count`` connections be idle in the pool."""
    servers = [start_request(ask(fetcher), reactor) for _ in range(count)]
    for server in servers:
        server.send(HEAD + b"xxxxx")
    assert len(reactor.tcpClients) == count


@pytest.mark.parametrize(("closes_idle", "connections"), [(True, 3), (False, 2)])
def test_no_idle_connection_is_used_after_a_response_that_never_began(
    closes_idle, connections
):
    """Guards against waiting for a timeout on one dead connection after the other."""
    reactor = MemoryReactorClock()
    fetcher = Fetcher(reactor, 250, closes_idle=closes_idle)
    leave_idle(fetcher, reactor, 2)
    ensureDeferred(ask(fetcher))
    reactor.advance(TIMEOUT_MS / 1_000)
    ensureDeferred(ask(fetcher))
    assert len(reactor.tcpClients) == connections


@pytest.mark.parametrize(("closes_idle", "connections"), [(True, 2), (False, 1)])
def test_idle_connections_are_kept_briefly(closes_idle, connections):
    reactor = MemoryReactorClock()
    fetcher = Fetcher(reactor, 250, closes_idle=closes_idle)
    leave_idle(fetcher, reactor, 1)
    reactor.advance(1.1)
    ensureDeferred(ask(fetcher))
    assert len(reactor.tcpClients) == connections

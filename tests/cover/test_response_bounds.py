"""A response over a bound is given up at once; one within it is read whole."""

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectionAborted
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from coursekeel.fetch import (
    OVERRUNS,
    AnswerLost,
    Ending,
    Exchange,
    ExchangeHead,
    ExchangeRequest,
    ExchangeSink,
    Fetcher,
    HttpReply,
)
from coursekeel.fetch._bounded_protocol import MAX_HEAD_BYTES, MAX_INTERIM_RESPONSES

MAX_BODY_BYTES = 1_000
HOST = [(b"host", b"127.0.0.1:1")]
READ_BYTES = 64 * 1024
STATUS = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
READS = 20


class Sink(ExchangeSink):
    def __init__(self) -> None:
        self.heads: list[ExchangeHead] = []
        self.body = bytearray()
        self.endings: list[tuple[Ending, str]] = []

    def head_arrived(self, head: ExchangeHead) -> None:
        self.heads.append(head)

    def data_arrived(self, data: bytes) -> None:
        self.body += data

    def ended(self, ending: Ending, reason: str) -> None:
        self.endings.append((ending, reason))


class Server:
    """The server's side of one exchange on a transport in memory."""

    def __init__(self, max_body_bytes: int | None = MAX_BODY_BYTES) -> None:
        reactor = MemoryReactorClock()
        self.sink = Sink()
        request = ExchangeRequest("127.0.0.1", 1, b"GET", b"/", lambda: HOST)
        Exchange(reactor, request, self.sink, 500, max_body_bytes).start()
        factory = reactor.tcpClients[-1][2]
        self.connection, self.transport = factory.buildProtocol(None), StringTransport()
        self.connection.makeConnection(self.transport)

    def send(self, data: bytes) -> int:
        """Send until the connection is closed; returns the number of bytes sent."""
        sent = 0
        for _ in range(READS):
            if self.transport.disconnecting:
                break
            self.connection.dataReceived(data)
            sent += len(data)
        return sent

    def close(self) -> None:
        self.connection.connectionLost(Failure(ConnectionAborted()))


def repeated(data: bytes) -> bytes:
    return data * (READ_BYTES // len(data))


@pytest.mark.parametrize(
    "data",
    [b"X-More: " + b"x" * 1_000 + b"\r\n", b"HTTP/1.1 100 Continue\r\n\r\n"],
    ids=["header_lines", "interim_responses"],
)
def test_a_head_without_end_is_given_up(data):
    server = Server()
    if data.startswith(b"X"):
        server.connection.dataReceived(STATUS)
    assert server.send(repeated(data)) <= MAX_HEAD_BYTES + READ_BYTES
    server.close()
    assert server.sink.endings == [(Ending.OVERRUN, "head_too_large")]


def test_a_long_head_and_interim_responses_within_the_bound_are_read():
    server = Server()
    server.connection.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n" * 10)
    server.connection.dataReceived(STATUS)
    for _ in range(16):
        server.connection.dataReceived(b"X-More: " + b"x" * 1_000 + b"\r\n")
    server.connection.dataReceived(b"Content-Length: 2\r\n\r\nok")
    assert server.sink.body == b"ok"
    assert server.sink.endings == [(Ending.WHOLE, "")]


@pytest.mark.parametrize("more", [0, 1])
def test_interim_responses_are_bounded_in_number_within_one_read(more):
    server = Server()
    interim = INTERIM * (MAX_INTERIM_RESPONSES + more)
    server.connection.dataReceived(interim + STATUS + b"Content-Length: 2\r\n\r\nok")
    if more:
        server.close()
    assert server.sink.body == (b"" if more else b"ok")
    overrun = (Ending.OVERRUN, "head_too_large")
    assert server.sink.endings == [overrun if more else (Ending.WHOLE, "")]


def test_a_body_that_is_announced_as_too_long_is_not_read():
    server, before = Server(), OVERRUNS.total
    length = b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
    server.connection.dataReceived(STATUS + length)
    assert server.sink.endings == [(Ending.OVERRUN, "body_too_large")]
    assert OVERRUNS.total == before + 1
    server.close()
    assert len(server.sink.endings) == 1


@pytest.mark.parametrize(
    "head",
    [CHUNKED, STATUS + b"\r\n"],
    ids=["chunked", "until_closed"],
)
def test_a_body_without_end_is_given_up(head):
    server = Server()
    server.connection.dataReceived(head)
    server.send(b"64\r\n" + b"x" * 100 + b"\r\n")
    assert len(server.sink.body) <= MAX_BODY_BYTES
    assert server.sink.endings == [(Ending.OVERRUN, "body_too_large")]


def test_a_body_of_the_longest_length_is_read_whole():
    server = Server()
    length = b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
    server.connection.dataReceived(STATUS + length + b"x" * MAX_BODY_BYTES)
    assert len(server.sink.body) == MAX_BODY_BYTES
    assert server.sink.endings == [(Ending.WHOLE, "")]


def test_framing_that_outweighs_the_body_is_given_up_in_a_stream_too():
    server = Server(max_body_bytes=None)
    server.connection.dataReceived(CHUNKED)
    sent = server.send(repeated(b"1;" + b"e" * 900 + b"\r\nx\r\n"))
    assert sent <= 4 * READ_BYTES
    server.close()
    assert server.sink.endings == [(Ending.OVERRUN, "framing_too_large")]


def test_a_body_in_chunks_of_one_byte_is_no_excess_of_framing():
    server = Server(max_body_bytes=None)
    server.connection.dataReceived(CHUNKED)
    sent = server.send(repeated(b"1\r\nx\r\n"))
    assert len(server.sink.body) == sent // len(b"1\r\nx\r\n")
    assert server.sink.endings == []


def fetch(fetcher_arguments: dict, *responses: bytes):
    """Fetch from a server that sends these bytes; returns the outcomes."""
    reactor, outcomes = MemoryReactorClock(), []
    fetcher = Fetcher(reactor, 250, **fetcher_arguments)
    call = fetcher.ask("GET", "http://127.0.0.1:1/", 1_000)
    ensureDeferred(call).addCallback(outcomes.append)
    connection = reactor.tcpClients[-1][2].buildProtocol(None)
    transport = StringTransport()
    connection.makeConnection(transport)
    for data in responses:
        if not transport.disconnecting:
            connection.dataReceived(data)
    return outcomes, transport, connection


def test_a_fetch_gives_up_a_body_that_is_announced_as_too_long():
    length = b"Content-Length: 1000000000000\r\n\r\n"
    outcomes, transport, _ = fetch({}, STATUS + length)
    assert outcomes == [AnswerLost("more than 8388608 bytes")]
    assert transport.disconnecting


def test_a_fetch_gives_up_a_body_without_end():
    body = [b"x" * (1 << 20)] * 20
    outcomes, _, _ = fetch({}, STATUS + b"\r\n", *body)
    assert [each.reason for each in outcomes] == ["more than 8388608 bytes"]
    assert outcomes[0].received_bytes <= 9 << 20


def test_a_fetch_gives_up_a_head_without_end():
    _, transport, _ = fetch({}, STATUS, *[b"X: " + b"x" * 8_000 + b"\r\n"] * 8)
    assert transport.disconnecting


def test_a_fetch_reads_a_body_of_some_megabytes_whole():
    body = b"x" * (8 << 20)
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    outcomes, _, _ = fetch({}, STATUS + length, body)
    assert outcomes == [HttpReply(200, "", body)]

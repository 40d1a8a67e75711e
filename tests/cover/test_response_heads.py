"""A response whose head isn't valid HTTP is none, whoever reads it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock, StringTransport

from coursekeel.fetch import MALFORMED, AnswerLost, Ending, Fetcher, HttpReply
from tests.cover.test_response_bounds import INTERIM, Server

BODY = b"Content-Length: 4\r\n\r\nbody"
STATUS = b"HTTP/1.1 200 OK\r\n"

STATUS_LINES = [
    *(b"HTTP/1.1 %b Some" % status for status in (b"000", b"001", b"0", b"99", b"099")),
    *(b"HTTP/1.1 %b Some" % status for status in (b"-1", b"-200", b"20", b"1000")),
    *(b"HTTP/1.1 %b OK" % status for status in (b"+200", b"2_00", b"0200", b"200\t")),
    *(b"HTTP/1.1 %b OK" % status for status in (b"600", b"999", b"00200", b"2 00")),
    *(b"%b 200 OK" % version for version in (b"ICY/1.1", b"http/1.1", b"HTTP/9.9")),
    *(b"%b 200 OK" % version for version in (b"HTTP/1.10", b"HTTP/1", b"HTTP/-1.1")),
    b" HTTP/1.1 200 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\rK",
    b"HTTP/1.1 \xd9\xa2\xd9\xa0\xd9\xa0 OK",
    b"",
]
FIELDS = [
    *(b"X%bMore: 1" % bad for bad in (b" ", b"\t", b"\x00", b"\r", b"\x01", b"\x7f")),
    *(b"X%bMore: 1" % bad for bad in (b"(", b"/", b"@", b"\xe9", b",", b'"', b"\x1b")),
    b"X-More : 1",
    b"Content-Length : 4",
    b"Transfer-Encoding\t: chunked",
    b"Content\x00-Length: 4",
    b": 1",
    b"X-More",
    b"X-More: 1\x002",
    b"X-More: 1\r2",
    b"Content-Length: +4",
    b"Content-Length: 1_0",
    b"Content-Length: -4",
    b"Content-Length: 0x4",
    b"Content-Length: " + b"9" * 5_000,
    b"Content-Length: 4\r\nContent-Length: 5",
    b"Transfer-Encoding: gzip",
]
HEADS = [line + b"\r\n" + BODY for line in STATUS_LINES] + [
    STATUS + line + b"\r\n" + BODY for line in FIELDS
]


def short(value: bytes) -> str:
    return ascii(value)[:60]


def assert_refused(server: Server) -> None:
    assert server.sink.endings == [(Ending.MALFORMED, "malformed_head")]
    assert server.sink.heads == []
    assert server.sink.body == b""
    assert server.transport.disconnecting


@pytest.mark.parametrize("head", HEADS, ids=short)
def test_an_invalid_head_is_no_answer(head):
    """Guards against a status of 000, or another server's body, at the caller."""
    before = MALFORMED.total
    server = Server()
    server.send(head)
    assert_refused(server)
    assert MALFORMED.total == before + 1


@pytest.mark.parametrize("head", HEADS, ids=short)
def test_an_invalid_head_is_no_answer_in_pieces_or_after_an_interim_response(head):
    in_pieces, after_interim = Server(), Server()
    for byte in head:
        if not in_pieces.transport.disconnecting:
            in_pieces.connection.dataReceived(bytes([byte]))
    assert_refused(in_pieces)
    after_interim.send(INTERIM + head)
    assert_refused(after_interim)


@pytest.mark.parametrize("head", HEADS, ids=short)
def test_an_invalid_head_is_no_answer_to_a_fetch_nor_on_a_kept_connection(head):
    reactor, outcomes = MemoryReactorClock(), []
    fetcher = Fetcher(reactor, 250)

    def ask() -> None:
        call = fetcher.ask("GET", "http://127.0.0.1:1/", 1_000)
        ensureDeferred(call).addCallback(outcomes.append)

    ask()
    connection = reactor.tcpClients[-1][2].buildProtocol(None)
    transport = StringTransport()
    connection.makeConnection(transport)
    connection.dataReceived(STATUS + BODY)
    ask()
    assert len(reactor.tcpClients) == 1, "the connection is used again"
    connection.dataReceived(head)
    assert isinstance(outcomes[0], HttpReply)
    assert isinstance(outcomes[1], AnswerLost)
    assert transport.disconnecting


@pytest.mark.parametrize(
    "head",
    [
        STATUS + b"X-More: \xe9 (some) \t text\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 200\r\n",
        b"HTTP/1.1 200 \r\nX!#$%&'*+-.^_`|~9: 1\r\nX-Empty:\r\n",
        b"HTTP/1.1 599 \xc3\xa9t\xc3\xa9\r\n",
    ],
    ids=short,
)
def test_a_valid_head_is_read(head):
    server = Server()
    server.send(head + BODY)
    assert server.sink.endings == [(Ending.WHOLE, "")]
    assert server.sink.body == b"body"


@given(st.binary(max_size=60) | st.from_regex(rb"HTTP/1\.1 [0-9+_ ]{1,5} \w*\r\n.*"))
def test_any_bytes_give_one_end_and_at_most_one_valid_head(data):
    server = Server()
    server.connection.dataReceived(data + b"\r\n\r\n")
    if not server.transport.disconnecting:
        server.close()
    assert len(server.sink.endings) <= 1
    assert all(100 <= head.status <= 599 for head in server.sink.heads)

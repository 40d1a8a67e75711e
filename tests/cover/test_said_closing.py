"""A response tells whether its sender closes the connection, if it wasn't asked to."""

import pytest
from attrs import define, field
from twisted.internet.testing import MemoryReactorClock, StringTransport

from coursekeel.fetch import Ending, Exchange, ExchangeRequest, ExchangeSink

OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"content-length: 2\r\n\r\nok"
CLOSE = b"connection: close\r\n"


@define
class Sink(ExchangeSink):
    heads: list = field(factory=list)
    endings: list = field(factory=list)

    def head_arrived(self, head):
        self.heads.append(head)

    def ended(self, ending, reason):
        self.endings.append(ending)


def exchange(response: bytes, asks_close: bool = False, pieces: int = 1):
    """Send a request and deliver the response; returns the sink and the transport."""
    reactor, sink = MemoryReactorClock(), Sink()
    headers = [(b"host", b"h")]
    request = ExchangeRequest(
        "127.0.0.1", 1, b"GET", b"/x", lambda: headers, asks_close=asks_close
    )
    Exchange(reactor, request, sink, 500).start()
    transport = StringTransport()
    protocol = reactor.tcpClients[-1][2].buildProtocol(None)
    protocol.makeConnection(transport)
    reactor.advance(0)
    length = max(-(-len(response) // pieces), 1)
    for start in range(0, len(response), length):
        protocol.dataReceived(response[start : start + length])
    return sink, transport


@pytest.mark.parametrize("pieces", [1, 7])
@pytest.mark.parametrize(
    ("response", "closes"),
    [
        (OK + BODY, False),
        (OK + CLOSE + BODY, True),
        (OK + b"Connection: Keep-Alive, Close\r\n" + BODY, True),
        (OK + b"connection: keep-alive\r\nkeep-alive: timeout=5\r\n" + BODY, False),
        (OK + CLOSE + b"content-length: 0\r\n\r\n", True),
        (b"HTTP/1.1 204 No Content\r\n" + CLOSE + b"\r\n", True),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK + CLOSE + BODY, True),
        (b"HTTP/1.1 103 Early Hints\r\n" + CLOSE + b"\r\n" + OK + BODY, False),
    ],
)
def test_the_head_tells_whether_the_response_closes_its_connection(
    response, closes, pieces
):
    sink, _ = exchange(response, pieces=pieces)
    (head,) = sink.heads
    assert head.closes is closes
    assert not [name for name, _ in head.headers if name == b"connection"]
    assert sink.endings == [Ending.WHOLE]


@pytest.mark.parametrize("asks_close", [True, False])
@pytest.mark.parametrize("response", [OK + BODY, OK + CLOSE + BODY])
def test_a_connection_is_closed_after_its_response(response, asks_close):
    sink, transport = exchange(response, asks_close)
    assert sink.endings == [Ending.WHOLE]
    assert transport.disconnecting


@pytest.mark.parametrize("asks_close", [True, False])
def test_a_request_says_that_its_connection_closes_only_where_it_is_to(asks_close):
    _, transport = exchange(b"", asks_close)
    assert (b"connection: close" in transport.value().lower()) is asks_close

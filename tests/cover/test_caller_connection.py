"""When a caller's connection is closed: after a cut, and after a time without use."""

from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from coursekeel.fetch import ExchangeHead
from coursekeel.forwarding import RequestLimits
from coursekeel.gateway._caller_reply import CallerReply
from coursekeel.gateway._http import OpenConnections, caller_server
from coursekeel.gateway.members._peer_server import PeerServer
from coursekeel.gateway.relay._relay_client import may_be_served_elsewhere, says_not_run
from coursekeel.gateway.relay._relay_wire import read_refusal


class AbortableTransport(StringTransport):
    """Records whether the connection was aborted; ``unread`` is in its socket."""

    aborted = False
    unread = b""

    def getHandle(self) -> Mock:
        unread = [self.unread] if self.unread else BlockingIOError
        return Mock(recv=Mock(side_effect=unread))

    def abortConnection(self) -> None:
        self.aborted = True


class OpenReply:
    """A connection with one reply that has begun."""

    def __init__(self) -> None:
        self.clock, self.transport = Clock(), AbortableTransport()
        requests: list = []
        factory = caller_server(requests.append, RequestLimits, OpenConnections())
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)
        self.protocol.dataReceived(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        (request,) = requests
        request.channel.callLater = self.clock.callLater
        self.reply = CallerReply(request, Mock(has_begun=False))
        self.reply.head(200, [])
        self.reply.write(b"some")


@pytest.fixture
def opened():
    return OpenReply()


def test_a_cut_connection_of_a_caller_that_does_not_read_is_aborted(opened):
    """It stayed open until the caller had read everything, at a deadline too."""
    opened.reply.cut()
    assert opened.transport.disconnecting and not opened.transport.aborted
    opened.clock.advance(0.3)
    assert opened.transport.aborted


def test_a_cut_connection_that_has_closed_is_left_alone(opened):
    opened.reply.cut()
    opened.protocol.connectionLost(Mock())
    assert opened.clock.getDelayedCalls() == []


class IdleConnection:
    """A connection without a request, and the limits in force."""

    def __init__(self, idle_timeout_ms: float) -> None:
        self.clock, self.transport = Clock(), AbortableTransport()
        self.limits = RequestLimits(idle_timeout_ms=15_000)
        self.connections = OpenConnections()
        factory = caller_server(Mock(), lambda: self.limits, self.connections)
        self.set_idle_timeout(idle_timeout_ms)
        self.protocol = factory.buildProtocol(None)
        self.protocol.callLater = self.clock.callLater
        self.protocol.makeConnection(self.transport)

    def set_idle_timeout(self, idle_timeout_ms: float) -> None:
        self.limits = RequestLimits(idle_timeout_ms=idle_timeout_ms)


@pytest.mark.parametrize("idle_timeout_ms", [5_000, 40_000])
def test_a_connection_is_kept_for_the_idle_timeout_in_force_when_it_opens(
    idle_timeout_ms,
):
    """The timeout was that of the time when the server was made, a default."""
    idle = IdleConnection(idle_timeout_ms)
    idle.clock.advance(idle_timeout_ms / 1000 - 0.1)
    assert not idle.transport.disconnecting
    idle.clock.advance(0.2)
    assert idle.transport.disconnecting


def test_an_idle_connection_outlives_a_raise_of_the_idle_timeout():
    """Callers use it again until four fifths of the newest timeout."""
    idle = IdleConnection(5_000)
    idle.clock.advance(4)
    idle.set_idle_timeout(40_000)
    idle.clock.advance(1.1)
    idle.clock.advance(32 - 5.1)
    assert not idle.transport.disconnecting
    idle.clock.advance(40)
    assert idle.transport.disconnecting


def test_a_request_that_is_being_read_is_not_cut_by_a_short_idle_timeout():
    idle = IdleConnection(1_000)
    idle.protocol.dataReceived(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
    idle.clock.advance(1.1)
    idle.clock.advance(13.8)
    assert not idle.transport.disconnecting
    idle.clock.advance(2)
    assert idle.transport.disconnecting


def test_an_idle_connection_on_which_a_request_has_arrived_is_not_closed():
    idle = IdleConnection(5_000)
    idle.transport.unread = b"G"
    idle.connections.close_idle()
    idle.clock.advance(5.1)
    assert not idle.transport.disconnecting
    idle.transport.unread = b""
    idle.clock.advance(5.1)
    assert idle.transport.disconnecting


class KeptConnection:
    """A caller's connection, and the limits in force; `GET` requests are answered."""

    def __init__(self, header_bytes: int = 16_384) -> None:
        self.transport, self.served = AbortableTransport(), 0
        self.limits = RequestLimits(header_bytes=header_bytes)
        self.refused, self.clock = Mock(side_effect=lambda _, own: own), Clock()
        factory = caller_server(
            self.serve, lambda: self.limits, OpenConnections(), self.refused
        )
        self.protocol = factory.buildProtocol(None)
        self.protocol.callLater = self.clock.callLater
        self.protocol.makeConnection(self.transport)

    def serve(self, request) -> None:
        self.served += 1
        request.setHeader(b"content-length", b"0")
        request.finish()

    def set_header_bytes(self, header_bytes: int) -> None:
        self.limits = RequestLimits(header_bytes=header_bytes)

    def ask(self, size_bytes: int) -> int:
        """Send a head of about this size; returns the status, 0 without an answer."""
        return self.send(head_of(size_bytes))

    def send(self, data: bytes) -> int:
        self.transport.clear()
        self.protocol.dataReceived(data)
        answer = self.transport.value()
        return int(answer.split(b" ")[1]) if answer else 0


def head_of(size_bytes: int, field_bytes: int = 4_000) -> bytes:
    """A proper head of about this size, in fields of at most ``field_bytes``."""
    lines = [b"GET / HTTP/1.1", b"Host: a"]
    left = size_bytes - sum(map(len, lines))
    while left > 0:
        name = b"X-%d: " % len(lines)
        lines.append(name + b"v" * max(1, min(left, field_bytes) - len(name)))
        left -= len(lines[-1])
    return b"\r\n".join(lines) + b"\r\n\r\n"


@pytest.mark.parametrize("used", [False, True])
def test_a_raised_limit_on_heads_is_in_force_on_open_connections(used):
    """They kept the limit of their opening: proper requests got 400 (review/7)."""
    kept = KeptConnection(16_384)
    if used:
        assert kept.ask(200) == 200
    kept.set_header_bytes(32_768)
    assert kept.ask(20_000) == 200
    assert kept.ask(20_000) == 200


@pytest.mark.parametrize("used", [False, True])
def test_a_lowered_limit_on_heads_is_in_force_on_open_connections(used):
    """Requests were served by the old limit for as long as a connection was kept."""
    kept = KeptConnection(32_768)
    if used:
        assert kept.ask(20_000) == 200
    kept.set_header_bytes(16_384)
    assert 400 <= kept.ask(20_000) < 500
    assert kept.served == used


@pytest.mark.parametrize(("before", "after"), [(16_384, 32_768), (32_768, 16_384)])
def test_a_head_that_has_begun_is_read_by_the_larger_limit(before, after):
    """Its sender could not know of the change."""
    kept = KeptConnection(before)
    data = head_of(20_000)
    assert kept.send(data[:6_000]) == 0
    kept.set_header_bytes(after)
    assert kept.send(data[6_000:]) == 200


def test_the_limit_of_a_head_does_not_hold_for_the_next_one():
    kept = KeptConnection(32_768)
    data = head_of(20_000)
    kept.send(data[:6_000])
    kept.set_header_bytes(16_384)
    assert kept.send(data[6_000:]) == 200
    assert 400 <= kept.ask(20_000) < 500


@pytest.mark.parametrize(("size_bytes", "field_bytes"), [(20_000, 20_000), (9_000, 12)])
def test_a_head_within_the_limit_is_served_whatever_its_fields(size_bytes, field_bytes):
    """A long field closed the connection without an answer, many fields got 400."""
    kept = KeptConnection(32_768)
    assert kept.send(head_of(size_bytes, field_bytes)) == 200
    data = head_of(size_bytes, field_bytes)
    for start in range(0, len(data), 1_000):
        status = kept.send(data[start : start + 1_000])
    assert status == 200


@pytest.mark.parametrize("field_bytes", [300, 4_000, 40_000])
@pytest.mark.parametrize("step", [900, 100_000])
def test_a_head_over_the_limit_gets_431_before_its_connection_ends(field_bytes, step):
    """It got 400, as a malformed one does, or no answer."""
    kept = KeptConnection(16_384)
    data, answer = head_of(40_000, field_bytes), b""
    for start in range(0, len(data), step):
        kept.protocol.dataReceived(data[start : start + step])
    answer = kept.transport.value()
    assert answer.startswith(b"HTTP/1.1 431 ")
    assert answer.endswith(b"\r\n\r\nhead_too_large")
    ((fields, refusal),) = [each.args for each in kept.refused.call_args_list]
    assert (refusal.status, refusal.code) == (431, "head_too_large")
    assert (b"host", b"a") in fields or field_bytes == 40_000
    # What is still coming is read, as a close would reset the connection.
    assert not kept.transport.disconnecting and not kept.transport.aborted
    assert kept.send(head_of(100)) == 0, "nothing more is served"
    kept.clock.advance(2.1)
    assert kept.transport.aborted
    assert not kept.served


def test_a_lowered_idle_timeout_holds_after_the_next_request():
    """A used connection kept the timeout of its opening for good."""
    idle = IdleConnection(40_000)
    idle.protocol.requestFactory.take = lambda request: request.finish()
    idle.set_idle_timeout(5_000)
    idle.protocol.dataReceived(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    idle.clock.advance(4.9)
    assert not idle.transport.disconnecting
    idle.clock.advance(0.2)
    assert idle.transport.disconnecting


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize(("before", "after"), [(500, 100), (100, 500)])
def test_a_body_that_has_begun_is_read_by_the_larger_limit(before, after, chunked):
    """A cut of the limit ended bodies half-way with 413, which callers never repeat."""
    kept = KeptConnection()
    kept.limits = RequestLimits(body_bytes=before)
    head = b"POST / HTTP/1.1\r\nHost: a\r\n"
    if chunked:
        kept.send(head + b"Transfer-Encoding: chunked\r\n\r\n32\r\n" + b"x" * 50)
        rest = b"\r\n96\r\n" + b"x" * 150 + b"\r\n0\r\n\r\n"
    else:
        length = 50 if before < after else 200
        kept.send(head + b"Content-Length: %d\r\n\r\n" % length + b"x" * 20)
        rest = b"x" * (length - 20)
    kept.limits = RequestLimits(body_bytes=after)
    assert kept.send(rest) == 200


@pytest.mark.parametrize(
    ("request_bytes", "status", "code"),
    [
        (head_of(30_000), 431, "head_too_large"),
        (b"POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n", 413, "body_too_large"),
        (b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789", 503, "no_room"),
    ],
)
def test_a_member_that_has_no_room_for_a_relayed_request_says_that_it_has_not_run(
    request_bytes, status, code
):
    """Its sender took that for a lost answer: 502 for a request that no server got."""
    limits = RequestLimits(body_bytes=1_000)
    server = PeerServer("g", {}, Mock(), lambda: limits, max_received_bytes=lambda: 8)
    member, transport = server.site().buildProtocol(None), AbortableTransport()
    member.callLater = Clock().callLater
    member.makeConnection(transport)
    member.dataReceived(request_bytes)
    assert not server.relay.called
    lines = transport.value().split(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    pairs = [line.split(b": ", 1) for line in lines]
    head = ExchangeHead(status, [(name.lower(), value) for name, value in pairs])
    refusal = read_refusal(head)
    assert refusal is not None
    assert (refusal.status, refusal.code) == (status, code)
    assert says_not_run(refusal) and may_be_served_elsewhere(refusal)

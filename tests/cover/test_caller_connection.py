"""A reply that is cut closes its connection, whether or not the caller reads."""

from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from coursekeel.forwarding import RequestLimits
from coursekeel.gateway._caller_reply import CallerReply
from coursekeel.gateway._http import OpenConnections, caller_server


class AbortableTransport(StringTransport):
    """Records whether the connection was aborted."""

    aborted = False

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

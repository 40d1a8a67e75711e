"""What leave was asked for is asked for again once the connection stands.

Connecting takes time, and a pause of the process may lie in it: a call, an order or a
run that might be sent before may no longer be.
"""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock, StringTransport

from coursekeel.answers import Loss
from coursekeel.endpoints import (
    GenerationOrder,
    Order,
    OrderOutcome,
)
from coursekeel.endpoints._http_engine import HttpEngine
from coursekeel.endpoints._orders import OrderKind
from coursekeel.fetch import (
    Ending,
    Exchange,
    ExchangeRequest,
    ExchangeSink,
    Fetcher,
    NotReached,
)
from coursekeel.intents import ModelName

SERVES = ModelName("dossier", "", "1")
ORDER = Order("engine-1", OrderKind.ROLE, "group", role="prefill")
URL = "http://127.0.0.1:1/confirmations"


class Leave:
    """Given before the connection is asked for; what it is later, the test says."""

    def __init__(self):
        self.left = True

    def __call__(self):
        return self.left


def connected(reactor):
    """The connection that was asked for stands now; its server's side."""
    factory = reactor.tcpClients[-1][2]
    transport = StringTransport()
    factory.buildProtocol(None).makeConnection(transport)
    reactor.advance(0)
    return transport


class Sink(ExchangeSink):
    def __init__(self, leave):
        self.leave = leave
        self.endings = []

    def may_send(self):
        return self.leave()

    def ended(self, ending, reason):
        self.endings.append((ending, reason))


def send_exchange(reactor, leave):
    sink = Sink(leave)
    host = [(b"host", b"127.0.0.1:1")]
    request = ExchangeRequest("127.0.0.1", 1, b"POST", b"/x", lambda: host, b"body")
    Exchange(reactor, request, sink, 500).start()
    return sink.endings, (Ending.WITHHELD, "right_lapsed")


def outcome_of(work):
    outcomes = []
    ensureDeferred(work).addCallback(outcomes.append)
    return outcomes


def send_call(reactor, leave):
    fetcher = Fetcher(reactor, 500, keeps_connections=False)
    sent = fetcher.ask("POST", URL, 1_000, b"body", may_send=leave)
    return outcome_of(sent), NotReached("the right to send had lapsed.")


def give_order(reactor, leave):
    engine = HttpEngine(reactor, "127.0.0.1:1", 500, 1_000)
    return outcome_of(engine.give(ORDER, 7, leave)), OrderOutcome.NOT_SENT


def begin_run(reactor, leave):
    engine = HttpEngine(reactor, "127.0.0.1:1", 500, 1_000)
    losses = []
    listener = SimpleNamespace(ended=losses.append)
    engine.open(GenerationOrder("l", SERVES, b"{}", 1, [], 0, "t", leave), listener)
    return losses, Loss.NOT_SENT


WAYS = [send_exchange, send_call, give_order, begin_run]


@pytest.mark.parametrize("send", WAYS)
def test_what_may_still_be_sent_goes(send):
    reactor = MemoryReactorClock()
    outcomes, _ = send(reactor, Leave())
    transport = connected(reactor)
    assert transport.value().startswith(b"POST ")
    assert not outcomes


@pytest.mark.parametrize("send", WAYS)
def test_what_may_no_longer_be_sent_is_surely_not(send):
    reactor, leave = MemoryReactorClock(), Leave()
    outcomes, unsent = send(reactor, leave)
    leave.left = False
    transport = connected(reactor)
    assert transport.value() == b""
    assert transport.disconnecting
    assert outcomes == [unsent]


def test_headers_are_made_when_the_connection_stands():
    """They may tell the time that is left."""
    reactor = MemoryReactorClock()

    def headers():
        left_ms = b"%d" % (5_000 - reactor.seconds() * 1000)
        return [(b"host", b"127.0.0.1:1"), (b"left-ms", left_ms)]

    request = ExchangeRequest("127.0.0.1", 1, b"GET", b"/x", headers)
    Exchange(reactor, request, Sink(Leave()), 10_000).start()
    reactor.advance(2)
    assert b"left-ms: 3000" in connected(reactor).value().lower()

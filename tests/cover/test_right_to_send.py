"""Permission to send is checked again once the connection is made.

Connecting takes time, and the process may be paused meanwhile: a call, an order or a
run may no longer be sent.
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


class Permission:
    """A `may_send` callback; tests set ``allowed`` to False while connecting."""

    def __init__(self):
        self.allowed = True

    def __call__(self):
        return self.allowed


def accept_connection(reactor):
    """Complete the latest connection attempt; returns its transport."""
    factory = reactor.tcpClients[-1][2]
    transport = StringTransport()
    factory.buildProtocol(None).makeConnection(transport)
    reactor.advance(0)
    return transport


class Sink(ExchangeSink):
    def __init__(self, permission):
        self.permission = permission
        self.endings = []

    def may_send(self):
        return self.permission()

    def ended(self, ending, reason):
        self.endings.append((ending, reason))


def send_exchange(reactor, permission):
    sink = Sink(permission)
    host = [(b"host", b"127.0.0.1:1")]
    request = ExchangeRequest("127.0.0.1", 1, b"POST", b"/x", lambda: host, b"body")
    Exchange(reactor, request, sink, 500).start()
    return sink.endings, (Ending.WITHHELD, "right_lapsed")


def collect_outcomes(coroutine):
    outcomes = []
    ensureDeferred(coroutine).addCallback(outcomes.append)
    return outcomes


def send_call(reactor, permission):
    fetcher = Fetcher(reactor, 500, keeps_connections=False)
    sent = fetcher.ask("POST", URL, 1_000, b"body", may_send=permission)
    return collect_outcomes(sent), NotReached("the right to send had lapsed.")


def give_order(reactor, permission):
    engine = HttpEngine(reactor, "127.0.0.1:1", 500, 1_000)
    return collect_outcomes(engine.give(ORDER, 7, permission)), OrderOutcome.NOT_SENT


def start_run(reactor, permission):
    engine = HttpEngine(reactor, "127.0.0.1:1", 500, 1_000)
    losses = []
    listener = SimpleNamespace(ended=losses.append)
    engine.open(
        GenerationOrder("l", SERVES, b"{}", 1, [], 0, "t", permission), listener
    )
    return losses, Loss.NOT_SENT


SENDERS = [send_exchange, send_call, give_order, start_run]


@pytest.mark.parametrize("send", SENDERS)
def test_a_request_is_sent_if_permission_still_holds(send):
    reactor = MemoryReactorClock()
    outcomes, _ = send(reactor, Permission())
    transport = accept_connection(reactor)
    assert transport.value().startswith(b"POST ")
    assert not outcomes


@pytest.mark.parametrize("send", SENDERS)
def test_a_request_is_withheld_if_permission_lapsed_while_connecting(send):
    reactor, permission = MemoryReactorClock(), Permission()
    outcomes, unsent = send(reactor, permission)
    permission.allowed = False
    transport = accept_connection(reactor)
    assert transport.value() == b""
    assert transport.disconnecting
    assert outcomes == [unsent]


def test_headers_are_built_after_the_connection_is_made():
    """They may contain the remaining time."""
    reactor = MemoryReactorClock()

    def headers():
        remaining_ms = b"%d" % (5_000 - reactor.seconds() * 1000)
        return [(b"host", b"127.0.0.1:1"), (b"left-ms", remaining_ms)]

    request = ExchangeRequest("127.0.0.1", 1, b"GET", b"/x", headers)
    Exchange(reactor, request, Sink(Permission()), 10_000).start()
    reactor.advance(2)
    assert b"left-ms: 3000" in accept_connection(reactor).value().lower()

"""Agents that connect straight to an IP number, without resolving names."""

from collections.abc import Callable
from typing import Any

from attrs import define, field
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

__all__ = ["DirectAgents", "MaySend", "RightLapsed"]

# Kept connections to one host, for calls that may be repeated and for the store.
_CONNECTIONS_PER_HOST = 16


MaySend = Callable[[], bool]


class RightLapsed(ConnectError):
    """A request wasn't sent, since it might no longer be."""

    MESSAGE = "the right to send had lapsed"


@implementer(IAgentEndpointFactory)
class _DirectEndpoints:
    """Twisted's own factory races a host's addresses, and takes 300 ms to see that a
    single one refused. Addresses here are IP numbers, and a refusal is news of a death.
    """

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: Any) -> Any:
        host = uri.host.decode("ascii").strip("[]")
        kind: Any = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=self._timeout_s)


@implementer(IStreamClientEndpoint)
@define
class _AskingEndpoint:
    """Asks, once its connection stands, whether the request may still be sent.

    Connecting takes time, and a pause of this process may lie in it. Guards against:
    an instance that was frozen there sends what it asked leave for before.
    """

    endpoint: Any
    may_send: MaySend

    def connect(self, factory: Any) -> Any:
        return self.endpoint.connect(factory).addCallback(self._ask)

    def _ask(self, protocol: Any) -> Any:
        if self.may_send():
            return protocol
        protocol.transport.abortConnection()
        raise RightLapsed


@implementer(IAgentEndpointFactory)
@define
class _AskingEndpoints:
    endpoints: Any
    may_send: MaySend

    def endpointForURI(self, uri: Any) -> Any:
        return _AskingEndpoint(self.endpoints.endpointForURI(uri), self.may_send)


@define(eq=False)
class DirectAgents:
    """Agents that send each request once, whatever becomes of it.

    Without kept connections, a server that just hung up can't be mistaken for one
    that took the request and then died.
    """

    reactor: Any
    connect_ms: float
    keeps_connections: bool
    _pool: Any = field(init=False)
    _endpoints: Any = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._pool = HTTPConnectionPool(self.reactor, persistent=self.keeps_connections)
        self._pool.maxPersistentPerHost = _CONNECTIONS_PER_HOST
        self._pool.retryAutomatically = False
        self._endpoints = _DirectEndpoints(self.reactor, self.connect_ms / 1000)

    def agent(self, may_send: MaySend | None = None) -> Any:
        """An agent; with ``may_send`` for one request, which is asked for leave again.

        A request that isn't sent for want of it fails with `RightLapsed`.
        """
        endpoints = self._endpoints
        if may_send is not None:
            endpoints = _AskingEndpoints(endpoints, may_send)
        return Agent.usingEndpointFactory(self.reactor, endpoints, pool=self._pool)

"""HTTP agents that connect directly to an IP address, without name resolution."""

from collections.abc import Callable
from typing import Any

from attrs import define, field
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool, _HTTP11ClientFactory
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from coursekeel.fetch._bounded_protocol import BoundedProtocol

__all__ = ["DirectAgents", "MaySend", "SendWithheld"]

# Idle persistent connections that are kept per host.
_CONNECTIONS_PER_HOST = 16


MaySend = Callable[[], bool]


class SendWithheld(ConnectError):
    """The request wasn't sent: ``may_send`` returned false once it was connected."""

    MESSAGE = "the right to send had lapsed"


@implementer(IAgentEndpointFactory)
class _DirectEndpoints:
    """Creates TCP endpoints that report a refused connection at once.

    Twisted's default factory races the addresses of a host and takes 300 ms to report
    that a single address refused. All addresses here are IP addresses.
    """

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: Any) -> Any:
        host = uri.host.decode("ascii").strip("[]")
        endpoint_class: Any = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return endpoint_class(self._reactor, host, uri.port, timeout=self._timeout_s)


@implementer(IStreamClientEndpoint)
@define
class _CheckedEndpoint:
    """Checks once more after connecting whether the request may still be sent.

    Guards against: the process is paused while it connects, and then sends a request
    whose permission has expired.
    """

    endpoint: Any
    may_send: MaySend

    def connect(self, factory: Any) -> Any:
        return self.endpoint.connect(factory).addCallback(self._check)

    def _check(self, protocol: Any) -> Any:
        if self.may_send():
            return protocol
        protocol.transport.abortConnection()
        raise SendWithheld


@implementer(IAgentEndpointFactory)
@define
class _CheckedEndpoints:
    endpoints: Any
    may_send: MaySend

    def endpointForURI(self, uri: Any) -> Any:
        return _CheckedEndpoint(self.endpoints.endpointForURI(uri), self.may_send)


class _BoundedFactory(_HTTP11ClientFactory):
    def buildProtocol(self, addr: Any) -> BoundedProtocol:
        return BoundedProtocol(self._quiescentCallback)


class _BoundedPool(HTTPConnectionPool):
    """Twisted's connection pool, whose connections bound the heads of responses."""

    _factory = _BoundedFactory


@define(eq=False)
class DirectAgents:
    """Creates Twisted agents that never retry a request.

    The head of a response is bounded by `BoundedProtocol`, its body by its receiver.

    Without persistent connections (``keeps_connections``), a server that closed an idle
    connection can't be mistaken for one that accepted the request and then crashed.
    ``connect_ms`` limits the time to connect.
    """

    reactor: Any
    connect_ms: float
    keeps_connections: bool
    _pool: Any = field(init=False)
    _endpoints: Any = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._pool = _BoundedPool(self.reactor, persistent=self.keeps_connections)
        self._pool.maxPersistentPerHost = _CONNECTIONS_PER_HOST
        self._pool.retryAutomatically = False
        self._endpoints = _DirectEndpoints(self.reactor, self.connect_ms / 1000)

    def keep_idle_for(self, idle_s: float) -> None:
        """Close connections once they have been idle for so long."""
        self._pool.cachedConnectionTimeout = idle_s

    def close_idle(self) -> None:
        """Close the idle connections to all hosts."""
        self._pool.closeCachedConnections()

    def agent(self, may_send: MaySend | None = None) -> Any:
        """Return an agent; with ``may_send``, one for a single request.

        ``may_send`` is called once connected; if it returns false, the request isn't
        sent and fails with `SendWithheld`.
        """
        endpoints = self._endpoints
        if may_send is not None:
            endpoints = _CheckedEndpoints(endpoints, may_send)
        return Agent.usingEndpointFactory(self.reactor, endpoints, pool=self._pool)

"""Agents that connect straight to an IP number, without resolving names."""

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

__all__ = ["direct_agent"]

# Kept connections to one host, for calls that may be repeated and for the store.
# Chosen, not measured.
_CONNECTIONS_PER_HOST = 16


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


def direct_agent(reactor: Any, connect_ms: float, keeps_connections: bool) -> Any:
    """An agent that sends each request once, whatever becomes of it.

    Without kept connections, a server that just hung up can't be mistaken for one
    that took the request and then died.
    """
    pool = HTTPConnectionPool(reactor, persistent=keeps_connections)
    pool.maxPersistentPerHost = _CONNECTIONS_PER_HOST
    pool.retryAutomatically = False
    factory = _DirectEndpoints(reactor, connect_ms / 1000)
    agent: Any = Agent.usingEndpointFactory(reactor, factory, pool=pool)
    return agent

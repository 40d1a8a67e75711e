"""A link between one process and another that can be made to swallow everything."""

from typing import Any

import orjson
from klein import Klein
from twisted.protocols.portforward import ProxyFactory, ProxyServer
from twisted.web.server import Site


class _LinkServer(ProxyServer):
    """One connection over the link; once swallowed it never says anything again."""

    def connectionMade(self) -> None:
        self.factory.open.add(self)
        if not self.factory.swallows:
            super().connectionMade()

    def dataReceived(self, data: bytes) -> None:
        if not self.factory.swallows:
            super().dataReceived(data)

    def connectionLost(self, reason: Any) -> None:
        self.factory.open.discard(self)
        super().connectionLost(reason)


class Link(ProxyFactory):
    """Forwards to ``port``; both sides keep their connections when it swallows."""

    protocol = _LinkServer

    def __init__(self, reactor: Any, port: int) -> None:
        super().__init__("127.0.0.1", port)
        self.reactor = reactor
        self.swallows = False
        self.open: set[_LinkServer] = set()

    def set_swallowing(self, swallows: bool) -> None:
        if self.swallows and not swallows:
            for each in list(self.open):
                each.transport.abortConnection()
        self.swallows = swallows
        if swallows:
            for each in self.open:
                if each.peer is not None:
                    each.peer.transport.pauseProducing()


def serve_link(reactor: Any, port: int) -> list[int]:
    """Open the link and its control site; returns both ports."""
    link = Link(reactor, port)
    forward = reactor.listenTCP(0, link, interface="127.0.0.1")
    app = Klein()

    @app.route("/control/faults", methods=["POST"])
    def faults(request: Any) -> bytes:
        wanted = orjson.loads(request.content.read())
        link.set_swallowing(bool(wanted["swallows"]))
        return b"{}"

    control = reactor.listenTCP(0, Site(app.resource()), interface="127.0.0.1")
    return [forward.getHost().port, control.getHost().port]

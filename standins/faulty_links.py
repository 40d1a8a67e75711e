"""Links from processes to one port, each of which can be cut one way, slowed or reset.

`python -m standins.faulty_links COUNT PORT` prints the port of its control site and one
port a link. What a cut holds up comes when it heals, in its order, unless its sender
has closed the connection meanwhile, as between hosts.
"""

import sys
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field, frozen
from twisted.internet import asyncioreactor

asyncioreactor.install()

import orjson  # noqa: E402
from klein import Klein  # noqa: E402
from twisted.internet import reactor as installed  # noqa: E402
from twisted.internet.endpoints import (  # noqa: E402
    TCP4ClientEndpoint,
    connectProtocol,
)
from twisted.internet.protocol import Factory, Protocol  # noqa: E402
from twisted.web.server import Site  # noqa: E402

_REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"
_LOCAL = "127.0.0.1"

reactor: Any = installed


@frozen
class LinkState:
    """``holds_out``: nothing gets through to the port; ``holds_back``: nothing comes
    back. ``refuses``: whatever comes is answered 503 on the way.
    """

    holds_out: bool = False
    holds_back: bool = False
    refuses: bool = False
    delay_ms: float = 0.0


@define(eq=False)
class _Way:
    """One direction of one connection: what is on it, in order."""

    holds: Callable[[], bool]
    delay_ms: Callable[[], float]
    _waiting: deque[tuple[float, Callable[[], None]]] = field(factory=deque)

    def put(self, deliver: Callable[[], None]) -> None:
        due_s = reactor.seconds() + self.delay_ms() / 1000
        self._waiting.append((due_s, deliver))
        reactor.callLater(self.delay_ms() / 1000, self.go_on)

    def go_on(self) -> None:
        """Deliver what is due."""
        while self._waiting and not self.holds():
            due_s, deliver = self._waiting[0]
            if due_s > reactor.seconds():
                return
            self._waiting.popleft()
            deliver()


class _Near(Protocol):
    """The side of whoever connected to the link."""

    def __init__(self, link: "Link") -> None:
        self.link = link
        self.far: _Far | None = None
        self.dead = False
        self.out = _Way(lambda: link.state.holds_out or self.far is None, link.delay_ms)
        self.back = _Way(lambda: link.state.holds_back, link.delay_ms)

    def connectionMade(self) -> None:
        self.link.open.add(self)
        endpoint = TCP4ClientEndpoint(reactor, _LOCAL, self.link.port)
        connecting = connectProtocol(endpoint, _Far(self))
        connecting.addCallbacks(self._connected, lambda _: self.abort())

    def _connected(self, far: "_Far") -> None:
        self.far = far
        if self not in self.link.open:
            far.transport.abortConnection()
        self.out.go_on()

    def dataReceived(self, data: bytes) -> None:
        if self.link.state.refuses:
            self.transport.write(_REFUSAL)
        elif not self.dead:
            self.out.put(lambda: self.far.transport.write(data))

    def came_back(self, data: bytes) -> None:
        if not self.dead:
            self.back.put(lambda: self.transport.write(data))

    def far_closed(self) -> None:
        if not self.dead:
            self.back.put(self.transport.loseConnection)

    def abort(self) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.link.open.discard(self)
        if self.far is not None:
            self.far.transport.abortConnection()


class _Far(Protocol):
    """The link's own connection to the port."""

    def __init__(self, near: _Near) -> None:
        self.near = near

    def dataReceived(self, data: bytes) -> None:
        self.near.came_back(data)

    def connectionLost(self, reason: Any = None) -> None:
        self.near.far_closed()


@define(eq=False)
class Link:
    """One link to ``port``, and its open connections."""

    port: int
    state: LinkState = field(factory=LinkState)
    open: set[_Near] = field(factory=set)

    def delay_ms(self) -> float:
        return self.state.delay_ms

    def listen(self) -> int:
        factory: Any = Factory()
        factory.buildProtocol = lambda _address: _Near(self)
        return int(reactor.listenTCP(0, factory, interface=_LOCAL).getHost().port)

    def change(self, reset: bool = False, silence: bool = False, **state: Any) -> None:
        """``silence``: what is open never says anything again, new connections work."""
        self.state = evolve(self.state, **state)
        for each in list(self.open):
            if reset:
                each.abort()
            each.dead |= silence
            each.out.go_on()
            each.back.go_on()


def main() -> None:
    """Serve until the process is ended."""
    count, port = (int(each) for each in sys.argv[1:3])
    links = [Link(port) for _ in range(count)]
    app = Klein()

    @app.route("/links/<int:number>", methods=["POST"])
    def change(request: Any, number: int) -> bytes:
        links[number].change(**orjson.loads(request.content.read()))
        return b"{}"

    site = reactor.listenTCP(0, Site(app.resource()), interface=_LOCAL)
    print(
        "listening", site.getHost().port, *(each.listen() for each in links), flush=True
    )
    reactor.run()


if __name__ == "__main__":
    main()

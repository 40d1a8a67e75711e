"""A relay that only copies bytes, over the libraries that an entry uses.

It is the limit to compare an entry with: ``python -m bench.copy_relay ENGINE_PORT …``.
"""

import itertools
import sys

from twisted.internet import asyncioreactor

asyncioreactor.install()

from twisted.internet import reactor  # noqa: E402
from twisted.internet.defer import Deferred  # noqa: E402
from twisted.internet.protocol import Protocol  # noqa: E402
from twisted.web.resource import Resource  # noqa: E402
from twisted.web.server import NOT_DONE_YET, Site  # noqa: E402

from coursekeel.endpoints._http_body import ChunkedBody  # noqa: E402
from coursekeel.fetch import DirectAgents  # noqa: E402


class Copy(Protocol):
    def __init__(self, request) -> None:
        self.request = request

    def dataReceived(self, data: bytes) -> None:
        self.request.write(data)

    def connectionLost(self, reason=None) -> None:
        self.request.finish()


class Relay(Resource):
    isLeaf = True

    def __init__(self, ports: list[int]) -> None:
        super().__init__()
        self.agent = DirectAgents(reactor, 1_000, keeps_connections=False).agent()
        self.ports = itertools.cycle(ports)

    def render_POST(self, request):
        head = b'{"for":"x/1","prefix_tokens":[],"request":'
        body = ChunkedBody([head, request.content.read(), b"}"])
        url = f"http://127.0.0.1:{next(self.ports)}/generate".encode()
        answered: Deferred = self.agent.request(b"POST", url, None, body)
        answered.addCallback(lambda response: response.deliverBody(Copy(request)))
        return NOT_DONE_YET


def main() -> None:
    ports = [int(each) for each in sys.argv[1:]]
    port = reactor.listenTCP(0, Site(Relay(ports)), interface="127.0.0.1", backlog=512)
    print(f"listening {port.getHost().port}", flush=True)
    reactor.run()


main()

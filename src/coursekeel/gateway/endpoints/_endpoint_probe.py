"""One short question to one endpoint, which answers within a time or not at all.

Owns the exchange and its limit; tells whoever asked once how it ended. Relies on
`EndpointClient` for the socket.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any

from attrs import define, field, frozen

from coursekeel.fetch import Ending, Exchange, ExchangeHead, ExchangeSink
from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._adapters import EndpointCall
from coursekeel.gateway.endpoints._endpoint_client import EndpointClient
from coursekeel.reactor import Reactor
from coursekeel.units import MS_PER_SECOND

__all__ = ["EndpointProbe", "ProbeFailure", "ProbeResponse", "ProbeResult", "Silence"]


class Silence(Enum):
    """Why a question has no answer: no connection, no time left, or a cut one."""

    NOT_REACHED = "not_reached"
    TOO_LATE = "too_late"
    CUT = "cut"


@frozen
class ProbeResponse:
    """The whole answer."""

    status: int
    body: bytes


@frozen
class ProbeFailure:
    """The endpoint gave none; ``reason`` is for the log."""

    silence: Silence
    reason: str


ProbeResult = ProbeResponse | ProbeFailure


@define(eq=False)
class EndpointProbe(ExchangeSink):
    """Asks once; ``on_end`` is called once.

    ``limit_ms`` counts anew while this instance's own link is full.
    """

    reactor: Reactor
    client: EndpointClient
    endpoint: EndpointRecord
    call: EndpointCall
    timeout_ms: float
    on_result: Callable[[ProbeResult], None]
    _exchange: Exchange | None = None
    _timeout: Any = None
    _head: ExchangeHead | None = None
    _body: list[bytes] = field(factory=list)

    def start(self) -> None:
        """Send the question."""
        self._start_timeout()
        self._exchange = self.client.send_probe(
            self.endpoint, self.call, self, self.timeout_ms
        )

    def head_arrived(self, head: ExchangeHead) -> None:
        self._head = head

    def data_arrived(self, data: bytes) -> None:
        self._body.append(data)

    def ended(self, ending: Ending, reason: str) -> None:
        if self._timeout.active():
            self._timeout.cancel()
        if ending is Ending.WHOLE and self._head is not None:
            self.on_result(ProbeResponse(self._head.status, b"".join(self._body)))
        elif ending is Ending.NOT_SENT:
            self.on_result(ProbeFailure(Silence.NOT_REACHED, reason))
        else:
            self.on_result(ProbeFailure(Silence.CUT, reason))

    def _start_timeout(self) -> None:
        timeout_s = self.timeout_ms / MS_PER_SECOND
        self._timeout = self.reactor.callLater(timeout_s, self._timed_out)

    def _timed_out(self) -> None:
        if self.client.link.full:
            self._start_timeout()
            return
        assert self._exchange is not None
        self._exchange.abort()
        self.on_result(ProbeFailure(Silence.TOO_LATE, "too_late"))

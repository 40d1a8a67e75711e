"""One short request of the gateway itself to one endpoint, with a timeout.

Owns the exchange and its timeout; reports the result to the caller once. Relies on
`EndpointClient` for the connection.
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

__all__ = [
    "EndpointProbe",
    "ProbeFailure",
    "ProbeFailureKind",
    "ProbeResponse",
    "ProbeResult",
]


class ProbeFailureKind(Enum):
    """Why a probe has no response: no connection, a timeout, or a cut response."""

    NOT_REACHED = "not_reached"
    TIMED_OUT = "too_late"
    CUT = "cut"


@frozen
class ProbeResponse:
    """The complete response."""

    head: ExchangeHead
    body: bytes

    @property
    def status(self) -> int:
        """The response's status."""
        return self.head.status


@frozen
class ProbeFailure:
    """The probe got no complete response; ``reason`` is for the log."""

    kind: ProbeFailureKind
    reason: str


ProbeResult = ProbeResponse | ProbeFailure


@define(eq=False)
class EndpointProbe(ExchangeSink):
    """Sends one probe; ``on_result`` is called once.

    ``timeout_ms`` starts again while this instance's own link is full. ``tells_reach``:
    whether a failure to connect counts against the pool's reach; not for an endpoint
    that may have ended.
    """

    reactor: Reactor
    client: EndpointClient
    endpoint: EndpointRecord
    call: EndpointCall
    timeout_ms: float
    on_result: Callable[[ProbeResult], None]
    tells_reach: bool = True
    _exchange: Exchange | None = None
    _timeout: Any = None
    _head: ExchangeHead | None = None
    _body: list[bytes] = field(factory=list)

    def start(self) -> None:
        """Send the probe and start the timeout."""
        self._start_timeout()
        self._exchange = self.client.send_probe(
            self.endpoint, self.call, self, self.timeout_ms, self.tells_reach
        )

    def head_arrived(self, head: ExchangeHead) -> None:
        self._head = head

    def data_arrived(self, data: bytes) -> None:
        self._body.append(data)

    def ended(self, ending: Ending, reason: str) -> None:
        if self._timeout.active():
            self._timeout.cancel()
        if ending is Ending.WHOLE and self._head is not None:
            self.on_result(ProbeResponse(self._head, b"".join(self._body)))
        elif ending is Ending.NOT_SENT:
            self.on_result(ProbeFailure(ProbeFailureKind.NOT_REACHED, reason))
        else:
            self.on_result(ProbeFailure(ProbeFailureKind.CUT, reason))

    def _start_timeout(self) -> None:
        timeout_s = self.timeout_ms / MS_PER_SECOND
        self._timeout = self.reactor.callLater(timeout_s, self._timed_out)

    def _timed_out(self) -> None:
        if self.client.link.full:
            self._start_timeout()
            return
        assert self._exchange is not None
        if self.tells_reach and not self._exchange.is_connected:
            self.client.reach.failed(self.endpoint)
        self._exchange.abort()
        self.on_result(ProbeFailure(ProbeFailureKind.TIMED_OUT, "too_late"))

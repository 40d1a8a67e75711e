"""Sends requests to endpoints, each on a connection of its own.

Owns nothing that lasts: the caller owns the `Exchange`. Relies on the site's dialect
for headers and paths.

A connection for each send makes it certain whether a request reached an endpoint
(docs/design/platform.md).
"""

from collections.abc import Callable, Sequence

from attrs import define, evolve

from coursekeel.fetch import (
    Exchange,
    ExchangeHead,
    ExchangeRequest,
    ExchangeSink,
    OwnLink,
)
from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._adapters import (
    EndpointCall,
    EndpointDialect,
    OutboundRequest,
)
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.limits._limit_listener import LimitListener
from coursekeel.gateway.limits._limits_task import LimitsTask
from coursekeel.gateway.relay._reach_task import ReachListener, ReachTask
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock
from coursekeel.units import MEBIBYTE

__all__ = ["EndpointClient"]


# Connect timeout while this instance's own link is full: longer than a configuration of
# 1,469 routes takes at 5 Mbit/s (0.66 s).
_FULL_LINK_CONNECT_MS = 1_000.0

# Reports and lists of cached prompts have some kB.
_MAX_PROBE_BYTES = MEBIBYTE


def _ignore_answer(endpoint_id: str, head: ExchangeHead) -> None:
    """Ignore answers; the gateway sets `LeavingChecks.answered` in its place."""


@define(eq=False)
class EndpointClient:
    """Opens exchanges with endpoints, with the headers and paths of ``dialect``.

    While ``link`` is full, the connect timeout is longer. ``limits`` and ``answered``
    get the head of each answer, ``reach`` whether each connection was made.
    """

    reactor: Reactor
    clock: Clock
    settings: LiveSettings
    dialect: EndpointDialect
    link: OwnLink
    limits: LimitsTask
    reach: ReachTask
    answered: Callable[[str, ExchangeHead], None] = _ignore_answer

    def send(
        self,
        call: AdmittedRequest,
        outbound: OutboundRequest,
        sink: ExchangeSink,
        permit_lapses_ms: float | None = None,
    ) -> Exchange:
        """Send a caller's request; its headers carry the time left when it is sent.

        It is withheld if the endpoint limits its requests, the permit has lapsed and no
        other is at hand.
        """

        def headers() -> Sequence[tuple[bytes, bytes]]:
            remaining_ms = call.deadline_ms - self.clock.now_ms()
            current = evolve(outbound, remaining_ms=remaining_ms)
            return self.dialect.headers(call.received, current)

        request = ExchangeRequest(
            outbound.endpoint.host,
            outbound.endpoint.port,
            call.method,
            call.target,
            headers,
            call.body.data,
            asks_close=False,
        )
        endpoint_id = outbound.endpoint.endpoint_id

        def head_arrived(head: ExchangeHead, sent_ms: float) -> None:
            self.limits.answered(endpoint_id, outbound.request_id, head, sent_ms)
            self.answered(endpoint_id, head)

        def permitted() -> bool:
            if self.limits.may_send(endpoint_id, permit_lapses_ms):
                return True
            request_id = outbound.request_id
            self.limits.log_held(request_id, [endpoint_id], "withheld", 0.0)
            return False

        listener = LimitListener(sink, self.clock, head_arrived, permitted)
        connect_ms = self.settings.timers.connect_ms
        bound = self.settings.max_body_bytes(call.route.kind)
        return self._open(request, listener, connect_ms, outbound.endpoint, bound)

    def send_probe(
        self,
        endpoint: EndpointRecord,
        call: EndpointCall,
        sink: ExchangeSink,
        connect_ms: float,
        tells_reach: bool = True,
    ) -> Exchange:
        """Send one of the gateway's own requests (a probe) to an endpoint.

        ``tells_reach``: whether a failure to connect counts against the pool's reach.
        """
        headers = [(b"host", endpoint.address.encode())]
        request = ExchangeRequest(
            endpoint.host,
            endpoint.port,
            call.method,
            call.target,
            lambda: headers,
            asks_close=False,
        )

        def head_arrived(head: ExchangeHead, sent_ms: float) -> None:
            self.limits.probe_answered(endpoint.endpoint_id, head, sent_ms)

        listener = LimitListener(sink, self.clock, head_arrived)
        return self._open(
            request, listener, connect_ms, endpoint, _MAX_PROBE_BYTES, tells_reach
        )

    def _open(
        self,
        request: ExchangeRequest,
        sink: ExchangeSink,
        connect_ms: float,
        endpoint: EndpointRecord,
        max_body_bytes: int | None,
        tells_reach: bool = True,
    ) -> Exchange:
        if self.link.full:
            connect_ms = max(connect_ms, _FULL_LINK_CONNECT_MS)
        listener = ReachListener(sink, self.reach, endpoint) if tells_reach else sink
        exchange = Exchange(self.reactor, request, listener, connect_ms, max_body_bytes)
        exchange.start()
        return exchange

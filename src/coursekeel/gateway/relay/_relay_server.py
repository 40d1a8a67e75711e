"""Serves the requests that members relay to this instance.

Rule: a relayed request is admitted like a caller's own, by its key and the
configuration here; it is sent to endpoints from here or refused, and never relayed
again. Only live members may ask, from their own address, and only for so many requests
at a time that this instance's own callers keep their room.

Owns the count of open relayed requests. Relies on `Dispatcher` to serve them.
"""

import logging
from http import HTTPStatus

from attrs import define, field

from coursekeel.gateway._dispatcher import Dispatcher
from coursekeel.gateway._http import CallerRequest, OpenConnections
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway.admission._refusals import (
    OTHER_INSTANCE_RETRY_MS,
    GatewayRefusal,
)
from coursekeel.gateway.relay._relay_reply import RelayReply
from coursekeel.gateway.relay._relay_wire import BadRelayTerms, RelayTerms, read_terms
from coursekeel.group import Swim
from coursekeel.observe import log_event
from coursekeel.runtime import Clock

__all__ = ["RelayServer"]

_NOT_A_MEMBER = GatewayRefusal(HTTPStatus.FORBIDDEN, "not_a_member")
_FULL = GatewayRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "too_many_open", OTHER_INSTANCE_RETRY_MS
)
_BAD_TERMS = GatewayRefusal(HTTPStatus.BAD_REQUEST, "bad_relay")
# Minimum interval between log lines on refused relays: an unknown sender must not fill
# the log.
_REFUSAL_LOG_INTERVAL_MS = 1_000.0


@define(eq=False)
class RelayServer:
    """Takes relayed requests; ``connections`` are those of the members' server."""

    clock: Clock
    settings: LiveSettings
    swim: Swim
    dispatcher: Dispatcher
    connections: OpenConnections
    open_requests: int = 0
    taken: int = 0
    refused: int = 0
    _channels: set[object] = field(factory=set)
    _refusal_logged_ms: float = float("-inf")

    @property
    def unsent(self) -> int:
        """The connections with a relayed reply that may not be sent completely."""
        self._channels = {each for each in self._channels if each in self.connections}
        return len(self._channels)

    def take(self, request: CallerRequest) -> None:
        """Serve one relayed request, or refuse it."""
        reply = RelayReply(request, self.dispatcher.shutdown)
        terms = read_terms(request.header_pairs())
        refusal, fault = self._refusal(request, terms)
        if refusal is not None or isinstance(terms, BadRelayTerms):
            self._log_refusal(request, fault)
            reply.refuse(refusal or _BAD_TERMS)
            return
        self.open_requests += 1
        self.taken += 1
        self._channels.add(request.channel)
        request.notifyFinish().addBoth(self._on_request_end)
        self.dispatcher.handle_relayed(request, reply, terms.tries)

    def _refusal(
        self, request: CallerRequest, terms: RelayTerms | BadRelayTerms
    ) -> tuple[GatewayRefusal | None, str]:
        """Why the request isn't served here, for the sender and for the log."""
        if isinstance(terms, BadRelayTerms):
            return _BAD_TERMS, terms.fault
        if terms.group != self.swim.group:
            group = self.swim.group
            return _NOT_A_MEMBER, f"group: got {terms.group!r:.60}, expected {group!r}"
        host = request.getClientAddress().host
        if host not in {each.rpartition(":")[0] for each in self.swim.serving()}:
            return _NOT_A_MEMBER, f"sender: got {host}, expected a member"
        most = self.settings.now.relay.max_requests
        if self.open_requests >= most:
            return _FULL, f"open: got {self.open_requests}, expected less than {most}"
        return None, ""

    def _on_request_end(self, _: object) -> None:
        self.open_requests -= 1

    def _log_refusal(self, request: CallerRequest, fault: str) -> None:
        self.refused += 1
        now_ms = self.clock.now_ms()
        if now_ms - self._refusal_logged_ms < _REFUSAL_LOG_INTERVAL_MS:
            return
        self._refusal_logged_ms = now_ms
        log_event(
            "relay_refused",
            logging.WARNING,
            sender=request.getClientAddress().host,
            fault=fault,
            so_far=self.refused,
        )

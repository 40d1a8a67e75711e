"""Relays requests to members, each on a connection of its own.

Owns what members said last (`RelayMembers`) and the count of relayed requests. Relies
on `Swim` for the live members and on the site's dialect for the caller's headers.
"""

from collections.abc import Sequence
from http import HTTPStatus

from attrs import define, field

from coursekeel.fetch import Exchange, ExchangeRequest, ExchangeSink
from coursekeel.gateway._adapters import EndpointDialect
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._refusals import GatewayRefusal
from coursekeel.gateway.relay._relay_wire import (
    RelayTerms,
    terms_headers,
    without_relay_headers,
)
from coursekeel.group import Swim
from coursekeel.observe import log_event
from coursekeel.reach import RelayMembers
from coursekeel.reactor import Reactor
from coursekeel.routing import POOL_UNREACHED_CODE
from coursekeel.runtime import Clock

__all__ = ["MemberSearch", "RelayClient", "may_be_served_elsewhere", "says_not_run"]

# Members that one request is relayed to before it is refused, and the time within which
# another one is asked. Where no member reaches the pool, a refusal must still be quick.
_MAX_MEMBERS = 6
_MAX_SEARCH_MS = 400.0

# Refusals that tell of the member that refuses and not of the request or its pool.
_OWN_REFUSALS = frozenset(
    {
        POOL_UNREACHED_CODE,
        "belief_old",
        "body_too_large",
        "head_too_large",
        "no_configuration",
        "no_pool",
        "no_room",
        "no_route",
        "not_a_member",
        "stopping",
        "too_many_open",
        "unknown_key",
    }
)


def may_be_served_elsewhere(refusal: GatewayRefusal) -> bool:
    """Whether another member may serve a request that a member refused, unrun."""
    return refusal.code in _OWN_REFUSALS


def says_not_run(refusal: GatewayRefusal) -> bool:
    """Whether a member's refusal promises that the request hasn't run."""
    return refusal.status not in (HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT)


@define(eq=False)
class RelayClient:
    """Sends requests to members; ``swim.own`` is the address they are sent from."""

    reactor: Reactor
    clock: Clock
    settings: LiveSettings
    dialect: EndpointDialect
    swim: Swim
    members: RelayMembers
    sent: int = 0

    def is_serving(self, member: str) -> bool:
        """Whether a member may still serve: it is alive, or finishes its requests."""
        return member in self.swim.alive() or member in self.swim.leaving()

    def is_gone(self, member: str) -> bool:
        """Whether the group has given a member up: it didn't refute a suspicion."""
        return member not in self.swim.serving()

    def others_alive(self) -> list[str]:
        """The live members that a request may be relayed to."""
        return [each for each in self.swim.alive() if each != self.swim.own]

    def send(
        self,
        call: AdmittedRequest,
        member: str,
        tries: int,
        sink: ExchangeSink,
        resume_after: int | None = None,
    ) -> Exchange:
        """Relay a caller's request; ``resume_after`` as in `OutboundRequest`.

        Its headers carry the time that is left when it is sent.
        """
        terms = RelayTerms(self.swim.group, tries)

        def headers() -> Sequence[tuple[bytes, bytes]]:
            remaining_ms = call.deadline_ms - self.clock.now_ms()
            own = self.dialect.relayed_headers(
                without_relay_headers(call.received), remaining_ms, resume_after
            )
            return [*own, *terms_headers(terms)]

        self.sent += 1
        log_event(
            "request_relayed",
            request=call.caller.request_id,
            pool=call.pool,
            member=member,
            tries=tries,
            remaining_ms=round(call.deadline_ms - self.clock.now_ms()),
        )
        host, _, port = member.rpartition(":")
        request = ExchangeRequest(
            host,
            int(port),
            call.method,
            call.target,
            headers,
            call.body.data,
            local_host=self.swim.own.rpartition(":")[0],
        )
        connect_ms = self.settings.timers.connect_ms
        bound = self.settings.max_body_bytes(call.route.kind)
        exchange = Exchange(self.reactor, request, sink, connect_ms, bound)
        exchange.start()
        return exchange


@define(eq=False)
class MemberSearch:
    """The members that one request is relayed to, one after the other."""

    client: RelayClient
    pool: str
    _asked: list[str] = field(factory=list)
    _since_ms: float | None = None

    def next_member(self) -> str:
        """The next member to ask; empty if the request should be refused instead."""
        now_ms = self.client.clock.now_ms()
        if self._since_ms is None:
            self._since_ms = now_ms
        too_late = now_ms - self._since_ms > _MAX_SEARCH_MS
        if too_late or len(self._asked) >= _MAX_MEMBERS:
            return ""
        client, choose = self.client, self.client.members.choose
        member = choose(self.pool, client.others_alive(), self._asked, now_ms)
        if not member:
            member = choose(self.pool, client.swim.leaving(), self._asked, now_ms)
        if member:
            self._asked.append(member)
        return member

    def served(self, member: str) -> None:
        """Record that a member serves the pool; a later search begins anew."""
        self.client.members.served(self.pool, member, self.client.clock.now_ms())
        self._since_ms = None
        self._asked.clear()

    def passed_over(self, member: str) -> None:
        """Record that a member didn't serve the request, and that it hasn't run."""
        self.client.members.pass_over(self.pool, member, self.client.clock.now_ms())

    def lost(self, member: str) -> None:
        """Record that a member lost the request; a later search asks others first."""
        self.passed_over(member)
        self._since_ms = None
        self._asked[:] = [member]

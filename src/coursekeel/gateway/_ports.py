"""What the tasks of one gateway share."""

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field, frozen

from coursekeel.fetch import Exchange, ExchangeRequest, ExchangeSink
from coursekeel.forwarding import EndpointDirectory, Route, Team
from coursekeel.gateway._adapters import (
    CallerHeaders,
    EndpointDialect,
    HeaderPairs,
    Send,
)
from coursekeel.reactor import Reactor
from coursekeel.routing import RetryBudget
from coursekeel.runtime import Clock, RoutingTask
from coursekeel.settings import GatewaySettings, RetryShare

__all__ = ["Forwarded", "ForwardingPorts", "shared_budget"]

# How many instances may share a pool is told to nobody; a site with more of them
# repeats less often than it might.
_INSTANCES_RECKONED_WITH = 14
_REFILLED_SHARE = 0.25


@frozen
class Forwarded:
    """One caller's request, looked up and allowed; ``due_ms`` is its last moment."""

    method: bytes
    target: bytes
    received: HeaderPairs
    body: bytes
    caller: CallerHeaders
    route: Route
    pool: str
    copies: bool
    team: Team | None
    arrived_ms: float
    due_ms: float

    @property
    def team_name(self) -> str:
        """The team's name, empty for an anonymous request."""
        return self.team.name if self.team else ""

    @property
    def rank(self) -> int:
        """The team's rank goes before the route's."""
        team_rank = self.team.rank if self.team else 0
        return team_rank * 100 + self.route.rank


@define(eq=False)
class ForwardingPorts:
    """Sockets, clocks and cores that a request's task needs."""

    reactor: Reactor
    clock: Clock
    settings: GatewaySettings
    directory: EndpointDirectory
    routing: RoutingTask
    dialect: EndpointDialect
    metrics: Any
    random: Random
    belief_fits: Callable[[Forwarded], bool]
    endpoints_changed: Callable[[], None]
    _budgets: dict[str, RetryBudget] = field(factory=dict)

    def open(
        self, call: Forwarded, send: Send, sink: ExchangeSink, connect_ms: float
    ) -> Exchange:
        """Send a request to an endpoint, on a connection of its own."""
        request = ExchangeRequest(
            send.endpoint.host,
            send.endpoint.port,
            call.method,
            call.target,
            self.dialect.headers(call.received, send),
            call.body,
        )
        exchange = Exchange(self.reactor, request, sink, connect_ms)
        exchange.start()
        return exchange

    def endpoint_failed(self, endpoint_id: str, reason: str) -> None:
        """An endpoint didn't answer at all: no new work for a while."""
        now_ms = self.clock.now_ms()
        ejected_ms = self.directory.failed(endpoint_id, now_ms)
        record = self.directory.record(endpoint_id)
        if record is not None:
            self.routing.router.lost(record.pool, endpoint_id, now_ms)
        self.metrics.ejected(endpoint_id, reason, ejected_ms)

    def endpoint_replaced(self, endpoint_id: str) -> None:
        """Another incarnation has the endpoint's address."""
        self.directory.replaced(endpoint_id)
        self.metrics.ejected(endpoint_id, "replaced", 0.0)
        self.endpoints_changed()

    def budget(self, pool: str) -> RetryBudget:
        """The repeats that this instance may send to a pool."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = self._budgets[pool] = shared_budget(self.settings.retries)
        return budget


def shared_budget(share: RetryShare) -> RetryBudget:
    """One instance's part of a budget that holds for all instances together.

    They don't talk about it: each earns half of the ratio by its own requests, and what
    it may save up and gets back in a window is its part of the slack.
    """
    part = share.slack / _INSTANCES_RECKONED_WITH
    refilled = _REFILLED_SHARE * part
    saved = part - refilled
    return RetryBudget(
        share.ratio / 2,
        reserve=saved,
        refill_per_s=refilled / share.window_s,
        tokens=saved,
        most=saved,
    )

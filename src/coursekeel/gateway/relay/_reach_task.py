"""Drives `PoolReach`: connections to endpoints in, probes and routing's answer out.

Rule: while a pool is unreached, callers' requests aren't used to find out whether it is
back. Two of its endpoints are probed several times a second instead, by a connection
without a request. Once one is made after a while, the endpoints that were ejected
meanwhile are used again, as their failures were those of the links.

Owns the probes and the log lines. Relies on `PoolReach`, a core, for the decision.
"""

import logging
from random import Random

from attrs import define, field

from coursekeel.fetch import (
    Ending,
    Exchange,
    ExchangeRequest,
    ExchangeSink,
    ForwardingSink,
    OwnLink,
)
from coursekeel.forwarding import EndpointDirectory, EndpointRecord
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.observe import log_event
from coursekeel.reach import PoolReach
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic, RoutingTask

__all__ = ["ReachListener", "ReachTask"]

# Between two rounds of probes. Well within the users' time to notice a change, and more
# than a connection takes.
_PROBE_INTERVAL_MS = 100.0
# Endpoints that crash together may be back within this time under other ids, which the
# list names only later; the old ones stay ejected until then.
_LONGER_THAN_A_RESTART_MS = 1_000.0
# So that one endpoint that has ended doesn't hide that the others are back.
_PROBES_AT_ONCE = 2


@define(eq=False)
class ReachTask:
    """One instance's view of the pools that it reaches."""

    reactor: Reactor
    clock: Clock
    random: Random
    settings: LiveSettings
    directory: EndpointDirectory
    routing: RoutingTask
    link: OwnLink
    reach: PoolReach = field(factory=PoolReach)
    times_unreached: int = 0
    _probes: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._probes = Periodic(
            self.reactor, "reach", _PROBE_INTERVAL_MS, self._probe_unreached
        )

    def start(self) -> None:
        """Start to probe the pools that aren't reached."""
        self._probes.start()

    def stop(self) -> None:
        """Stop probing."""
        self._probes.stop()

    def is_unreached(self, pool: str) -> bool:
        """Whether requests for the pool should go another way."""
        return self.reach.is_unreached(pool)

    def connected(self, endpoint: EndpointRecord) -> None:
        """Record that a connection to an endpoint was made."""
        if self.reach.connected(endpoint.pool, self.clock.now_ms()):
            if self.reach.events[-1].lasted_ms >= _LONGER_THAN_A_RESTART_MS:
                self.directory.end_ejections(endpoint.pool)
            self._log_events()
            self.routing.review()

    def failed(self, endpoint: EndpointRecord) -> None:
        """Record that a connection to an endpoint failed."""
        if self.link.full:
            # Connections fail for want of room on this instance's own link.
            return
        pool, now_ms = endpoint.pool, self.clock.now_ms()
        listed = len(self.directory.in_pool(pool))
        if self.reach.failed(pool, endpoint.endpoint_id, listed, now_ms):
            self.times_unreached += 1
            self._log_events()
            self.routing.review()

    async def _probe_unreached(self) -> None:
        for pool in self.reach.unreached:
            listed = self.directory.in_pool(pool)
            if not listed:
                self.reach.forget(pool)
            count = min(_PROBES_AT_ONCE, len(listed))
            for endpoint in self.random.sample(listed, count):
                self._probe(endpoint)

    def _probe(self, endpoint: EndpointRecord) -> None:
        request = ExchangeRequest(
            endpoint.host, endpoint.port, b"GET", b"/", headers=list
        )
        sink = ReachListener(_ConnectionOnly(), self, endpoint)
        connect_ms = self.settings.timers.connect_ms
        Exchange(self.reactor, request, sink, connect_ms).start()

    def _log_events(self) -> None:
        for event in self.reach.events:
            if event.reached:
                lasted_ms = round(event.lasted_ms)
                log_event("pool_reached", pool=event.pool, after_ms=lasted_ms)
            else:
                log_event(
                    "pool_unreached",
                    logging.WARNING,
                    pool=event.pool,
                    endpoints=",".join(event.failed),
                )
        self.reach.events.clear()


class _ConnectionOnly(ExchangeSink):
    """Sends nothing: the connection is all that the probe asks for."""

    def may_send(self) -> bool:
        return False


@define(eq=False)
class ReachListener(ForwardingSink):
    """Stands before ``sink``, and reports whether the endpoint was connected to."""

    task: ReachTask
    endpoint: EndpointRecord

    def may_send(self) -> bool:
        self.task.connected(self.endpoint)
        return self.sink.may_send()

    def ended(self, ending: Ending, reason: str) -> None:
        if ending is Ending.NOT_SENT:
            self.task.failed(self.endpoint)
        self.sink.ended(ending, reason)

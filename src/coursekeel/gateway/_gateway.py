"""One gateway: every task, made and joined, started and stopped in order."""

import logging
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, evolve, field
from twisted.internet.task import deferLater

from coursekeel.errors import SettingsInvalid
from coursekeel.forwarding import (
    Belief,
    EndpointDirectory,
    RequestLimits,
    StoreClock,
)
from coursekeel.gateway._adapters import (
    CallerDialect,
    EndpointDialect,
    Source,
    Table,
)
from coursekeel.gateway._belief_task import BeliefTask
from coursekeel.gateway._desk import Desk, StopTimes
from coursekeel.gateway._metrics import GatewayMetrics
from coursekeel.gateway._ports import ForwardingPorts
from coursekeel.gateway._readings import Readings
from coursekeel.gateway._report_task import ReportTask
from coursekeel.gateway._site import OpenConnections, caller_site, status_site
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.routing import Router, RouterSettings
from coursekeel.runtime import Clock, Role, RoutingTask
from coursekeel.settings import GatewaySettings

__all__ = ["Gateway"]

_BACKLOG = 512
_DRAIN_LOOK_S = 0.05
_LEAST_DRAIN_MS = 2_600.0
# Streams that began before the stop may need nearly all of the grace; what is left is
# for the process to end by itself.
_LAST_SHARE = 0.06
_LEAST_RETRY_MS = 50
_MOST_RETRY_MS = 1_000
_AVOID_MS = 100


@define(eq=False)
class Gateway(Role):
    """The role that forwards. Every instance runs one, and all are the same."""

    reactor: Reactor
    settings: GatewaySettings
    source: Source
    callers: CallerDialect
    endpoints: EndpointDialect
    read_settings: Callable[[], GatewaySettings] | None = None
    clock: Clock = field(factory=Clock)
    desk: Desk = field(init=False)
    _tasks: list[BeliefTask] = field(factory=list)
    _listeners: list[Any] = field(factory=list)
    _connections: OpenConnections = field(factory=OpenConnections)
    _stopping: bool = False
    _ports: ForwardingPorts = field(init=False)
    _readings: Readings = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.settings.seed)
        self.directory = EndpointDirectory()
        self.belief = Belief()
        self.metrics = GatewayMetrics(self.clock)
        self.router = Router(
            self.settings.zone,
            self.random,
            self.directory.may_take,
            RouterSettings(
                retry_after_least_ms=_LEAST_RETRY_MS,
                retry_after_most_ms=_MOST_RETRY_MS,
                avoid_ms=_AVOID_MS,
            ),
        )
        self.routing = RoutingTask(self.reactor, self.clock, self.router)
        self._ports = ports = ForwardingPorts(
            self.reactor,
            self.clock,
            self.settings,
            self.directory,
            self.routing,
            self.endpoints,
            self.metrics,
            self.random,
            lambda call: self.desk.belief_fits(call),
            lambda: self._readings.endpoints_changed(),
        )
        self.reports = ReportTask(ports)
        self.desk = Desk(ports, self.reports, self.callers, self.belief, self.metrics)
        self._readings = Readings(
            self.reactor, lambda: self.settings, self.directory, self.routing, self.desk
        )
        self._make_belief()
        self._add_gauges()

    def _make_belief(self) -> None:
        timers = self.settings.timers
        store_clock = StoreClock()
        kinds = (
            (
                Table.CONFIGURATION,
                timers.configuration_hold_ms,
                timers.configuration_gathering_ms,
                self._readings.configured,
                _unconcerned,
            ),
            (
                Table.ENDPOINTS,
                timers.endpoints_hold_ms,
                timers.endpoints_gathering_ms,
                self._readings.listed,
                self._readings.list_came_back,
            ),
        )
        for table, hold_ms, gathering_ms, apply, came_back in kinds:
            task = BeliefTask(
                self.reactor,
                self.clock,
                self.source,
                table,
                hold_ms,
                timers.store_ms,
                self.belief,
                store_clock,
                self.random,
                gathering_ms,
                apply,
                came_back,
            )
            self._tasks.append(task)

    def _add_gauges(self) -> None:
        gauge = self.metrics.gauge
        gauge(
            "coursekeel_store_reads",
            "Store reads so far",
            lambda: sum(each.calls for each in self._tasks),
        )
        gauge("coursekeel_waiting", "Requests that wait", lambda: self.router.waiting)
        gauge(
            "coursekeel_refused", "Requests refused so far", lambda: self.router.refused
        )
        gauge(
            "coursekeel_belief_age_seconds",
            "Age of what is known of routes and keys",
            lambda: self.desk.belief_age_ms() / 1000,
        )
        gauge(
            "coursekeel_open_requests",
            "Requests at work",
            lambda: self.desk.open_requests,
        )

    # Starting and stopping.

    async def start(self) -> None:
        """Open the sockets and begin to follow the store."""
        listen = self.settings.listen
        site = caller_site(self.desk.take, self._limits, self._connections)
        self._listen(listen.callers, site)
        if listen.readiness:
            self._listen(listen.readiness, status_site(self._readiness))
        if listen.metrics:
            self._listen(listen.metrics, status_site(self._metrics_page))
        for task in self._tasks:
            task.start()
        log_event("gateway_started", callers=listen.callers, zone=self.settings.zone)
        ports = (str(each.getHost().port) for each in self._listeners)
        print("listening", *ports, flush=True)

    def _listen(self, address: str, site: Any) -> None:
        host, _, port = address.rpartition(":")
        listener = self.reactor.listenTCP(
            int(port), site, backlog=_BACKLOG, interface=host
        )
        self._listeners.append(listener)

    def _limits(self) -> RequestLimits:
        table = self.desk.table
        return table.configuration.limits if table else RequestLimits()

    @property
    def ready(self) -> bool:
        """Say whether the balancer should give this instance new connections."""
        fresh = self.desk.belief_age_ms() <= self.settings.timers.belief_ms
        known = self.desk.table is not None and self._readings.list_known
        return known and fresh and not self._stopping

    def _readiness(self, path: str) -> "tuple[int, bytes]":
        if path != self.callers.readiness_path:
            return 404, b""
        return (200, b"ready") if self.ready else (503, b"not ready")

    def _metrics_page(self, _path: str) -> "tuple[int, bytes]":
        content, _ = self.metrics.metrics.render([""])
        return 200, content

    def reload(self) -> None:
        """Read the settings again; faults are logged, and the old ones stay.

        Addresses and identity can't change while the process runs.
        """
        if self.read_settings is None:
            return
        try:
            fresh = self.read_settings()
        except SettingsInvalid as fault:
            log_event("reload_refused", logging.ERROR, error=fault)
            return
        if _fixed(fresh) != _fixed(self.settings):
            log_event("reload_needs_restart", logging.WARNING)
        kept = evolve(self.settings, timers=fresh.timers, retries=fresh.retries)
        self.settings = self._ports.settings = kept
        log_event("reloaded")

    async def stop(self) -> None:
        """Finish what runs, within the grace that is given, and close."""
        if self._stopping:
            return
        self._stopping = True
        times = self._stop_times()
        self.desk.stop_times = times
        log_event("gateway_stopping", open_requests=self.desk.open_requests)
        while self._must_wait(times):
            await deferLater(self.reactor, _DRAIN_LOOK_S)
        log_event("gateway_drained", open_requests=self.desk.open_requests)
        await self._close_connections(times.last_ms)
        for task in self._tasks:
            task.stop()
        log_event("gateway_stopped", open_requests=self.desk.open_requests)

    async def _close_connections(self, last_ms: float) -> None:
        """Take no new ones, and wait until what was written to the others is sent."""
        self._listeners[0].stopListening()
        while len(self._connections) and self.clock.now_ms() < last_ms:
            self._connections.close_idle()
            await deferLater(self.reactor, _DRAIN_LOOK_S)

    def _stop_times(self) -> StopTimes:
        """The balancer sends new connections until it has asked twice."""
        now_ms, grace_ms = self.clock.now_ms(), self.settings.timers.grace_ms
        settled_ms = now_ms + min(_LEAST_DRAIN_MS, grace_ms / 2)
        return StopTimes(now_ms, settled_ms, now_ms + (1 - _LAST_SHARE) * grace_ms)

    def _must_wait(self, times: StopTimes) -> bool:
        """Wait for what runs; callers' kept connections are closed meanwhile."""
        now_ms = self.clock.now_ms()
        if now_ms < times.settled_ms:
            return True
        self._connections.close_idle()
        return self.desk.open_requests > 0 and now_ms < times.last_ms


def _unconcerned(_lost_for_ms: float) -> None:
    """The configuration doesn't lapse while the store is away."""


def _fixed(settings: GatewaySettings) -> tuple[object, ...]:
    """What can't change while the process runs."""
    return settings.instance_id, settings.zone, settings.listen, settings.store

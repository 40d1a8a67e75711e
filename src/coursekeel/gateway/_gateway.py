"""The gateway role: builds its components, and starts and stops them in order.

Owns the components and the listening sockets. Each component gets its dependencies in
its constructor, so the order is: settings, cached state of the site, connections to
endpoints, health, the dispatcher, the tasks that follow the store.
"""

from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import Any

from attrs import define, field
from twisted.internet.task import deferLater

from coursekeel.canary import CanaryBounds, RolloutRecords, Rollouts
from coursekeel.fetch import OwnLink
from coursekeel.forwarding import (
    EndpointDirectory,
    Freshness,
    MissingEndpoints,
    RecoveryTimes,
    StoreClock,
)
from coursekeel.gateway._adapters import (
    CallerDialect,
    EndpointDialect,
    Outage,
    Source,
    Table,
)
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway._dispatcher import Dispatcher
from coursekeel.gateway._gauges import add_gauges
from coursekeel.gateway._http import (
    OpenConnections,
    StatusPage,
    caller_server,
    status_server,
)
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway._metrics import GatewayMetrics
from coursekeel.gateway._retry_budgets import RetryBudgets
from coursekeel.gateway.admission._start_hold import StartHold
from coursekeel.gateway.admission._stop_window import Shutdown, StopWindow
from coursekeel.gateway.endpoints._crash_watch import CrashWatch
from coursekeel.gateway.endpoints._endpoint_client import EndpointClient
from coursekeel.gateway.endpoints._endpoint_health import EndpointHealth
from coursekeel.gateway.endpoints._leaving_checks import LeavingChecks
from coursekeel.gateway.endpoints._load_reports import LoadReports
from coursekeel.gateway.endpoints._missing_checks import MissingChecks
from coursekeel.gateway.limits._limits_task import LimitsTask
from coursekeel.gateway.members._group import Group
from coursekeel.gateway.relay._reach_task import ReachTask
from coursekeel.gateway.relay._relay_client import RelayClient
from coursekeel.gateway.relay._relay_server import RelayServer
from coursekeel.gateway.rollouts._rollout_task import CanaryTask, report_period_ms
from coursekeel.gateway.rollouts._version_choice import VersionChoice
from coursekeel.gateway.site._follow_task import FollowedTable, TableWatchTask
from coursekeel.gateway.site._response_timer import ResponseTimer
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.gateway.streams._successors import SuccessorLookup
from coursekeel.observe import log_event
from coursekeel.quarantine import Quarantine
from coursekeel.reach import RelayMembers
from coursekeel.reactor import Reactor
from coursekeel.routing import Router, RouterSettings
from coursekeel.runtime import Clock, Role, RoutingTask
from coursekeel.settings import GatewaySettings
from coursekeel.suspects import (
    PacingSettings,
    QuarantineGate,
    RunPacing,
    SuspectKeeper,
    SuspectTable,
)

__all__ = ["Gateway"]

# Connections that the kernel queues until they are accepted: more than callers open
# during one iteration of a busy event loop.
_LISTEN_BACKLOG = 512

# Interval at which a stopping instance checks whether all requests have ended.
_DRAIN_CHECK_INTERVAL_S = 0.05

# Bounds on `Retry-After` of routing's refusals, and how long a continuing request waits
# before it may go to an endpoint that it excludes. Shorter than the defaults, since
# callers of a site have timeouts of seconds.
_ROUTER_SETTINGS = RouterSettings(
    retry_after_least_ms=50, retry_after_most_ms=1_000, avoid_ms=100
)

# A refused probe takes some ms, and so does one datagram to each member.
_PACING_SETTINGS = PacingSettings(probe_ms=50.0, news_ms=30.0)


@define(eq=False)
class Gateway(Role):
    """The role that forwards requests; every instance of a site runs one.

    ``link`` must be the one that ``source`` reports its received bytes to.
    ``read_settings`` reads the settings file again; without it a reload does nothing.
    """

    reactor: Reactor
    settings: GatewaySettings
    source: Source
    callers: CallerDialect
    endpoints: EndpointDialect
    link: OwnLink
    suspect_table: SuspectTable
    rollout_records: RolloutRecords
    read_settings: Callable[[], GatewaySettings] | None = None
    clock: Clock = field(factory=Clock)
    shutdown: Shutdown = field(factory=Shutdown)
    _live_settings: LiveSettings = field(init=False)
    _router: Router = field(init=False)
    _group: Group = field(init=False)
    _suspect_keeper: SuspectKeeper = field(init=False)
    _site: SiteState = field(init=False)
    _start_hold: StartHold = field(factory=StartHold)
    _rollouts: CanaryTask = field(init=False)
    _limits: LimitsTask = field(init=False)
    _missing_checks: MissingChecks = field(init=False)
    _reach: ReachTask = field(init=False)
    _gate: QuarantineGate = field(init=False)
    _relay_server: RelayServer = field(init=False)
    _metrics: GatewayMetrics = field(init=False)
    _dispatcher: Dispatcher = field(init=False)
    _follow_tasks: list[TableWatchTask] = field(init=False)
    _listeners: list[Any] = field(factory=list)
    _connections: OpenConnections = field(init=False)

    def __attrs_post_init__(self) -> None:
        random = Random(self.settings.seed)
        self._live_settings = LiveSettings(self.settings)
        directory = EndpointDirectory(MissingEndpoints(self._recovery_times))
        self._connections = OpenConnections(
            lambda: self._live_settings.now.answers.max_unsent_bytes,
            lambda: self._live_settings.now.max_received_bytes,
        )
        self._router = Router(
            self.settings.zone, random, directory.may_take, _ROUTER_SETTINGS
        )
        routing = RoutingTask(self.reactor, self.clock, self._router)
        freshness = Freshness()
        quarantine = Quarantine()
        self._suspect_keeper = SuspectKeeper(
            self.reactor,
            self.clock,
            self.suspect_table,
            quarantine,
            self.settings.timers.store_ms,
        )
        self._group = Group(
            self.reactor,
            self.clock,
            self._live_settings,
            freshness,
            self.source,
            random,
            self.link,
            quarantine,
            self._suspect_keeper.changed,
            lambda message: self._rollouts.received(message),
            lambda sender, message: self._limits.received(sender, message),
            lambda fingerprints: self._gate.news_received(fingerprints),
            lambda request: self._relay_server.take(request),
            lambda: self._site.limits,
        )
        canary = self.settings.canary
        rollouts = Rollouts(
            CanaryBounds(canary.share, canary.slack, canary.rollback_ms),
            random,
            self._report_period_ms,
        )
        self._site = SiteState(
            self.reactor,
            self.clock,
            self._live_settings,
            directory,
            routing,
            self._group.store_is_away_for_all,
            freshness,
            self._start_hold,
            rollouts,
            lambda: self._rollouts.ordered(),
            self._endpoints_changed,
        )
        self._rollouts = CanaryTask(
            self.reactor,
            self.clock,
            self._group.swim,
            rollouts,
            self._site,
            self._router,
            self.rollout_records,
            self.settings.timers.store_ms,
            self._report_period_ms,
            self._group.send,
        )
        self._metrics = GatewayMetrics(
            self.clock,
            self._site.configuration_age,
            self._site.endpoint_list_age,
            self._site.missing_ms,
        )
        self._limits = LimitsTask(
            self.reactor,
            self.clock,
            self.endpoints,
            self._group.swim,
            directory,
            routing,
            self._group.send,
        )
        self._router.endpoints.gate = self._limits.limits
        self._reach = ReachTask(
            self.reactor,
            self.clock,
            random,
            self._live_settings,
            directory,
            routing,
            self.link,
        )
        self._router.is_unreached = lambda pool: self._reach.is_unreached(
            self._site.pool_of(pool)
        )
        client = EndpointClient(
            self.reactor,
            self.clock,
            self._live_settings,
            self.endpoints,
            self.link,
            self._limits,
            self._reach,
        )
        health = EndpointHealth(self.clock, self._site, self._router, self._metrics)
        gate = self._gate = QuarantineGate(
            self.clock,
            quarantine,
            self._group.send_suspects,
            self._suspect_keeper.touched,
            RunPacing(
                quarantine,
                self._group.swim.own,
                self._group.swim.serving,
                _PACING_SETTINGS,
            ),
        )
        relays = RelayClient(
            self.reactor,
            self.clock,
            self._live_settings,
            self.endpoints,
            self._group.swim,
            RelayMembers(random),
        )
        context = GatewayContext(
            self.reactor,
            self.clock,
            random,
            self._live_settings,
            self._site,
            routing,
            client,
            health,
            RetryBudgets(
                self._live_settings, lambda: self._group.members, random, self.clock
            ),
            self._metrics,
            gate,
            CrashWatch(
                self.reactor,
                self.clock,
                self._live_settings,
                self._site,
                client,
                health,
                gate,
                self._metrics,
            ),
            self._reach,
            relays,
            VersionChoice(self.clock, rollouts, self._router),
            unsent_bytes=lambda: self._connections.held_bytes,
        )
        reports = LoadReports(context)
        leaving_checks = LeavingChecks(context, reports)
        client.answered = leaving_checks.answered
        self._missing_checks = MissingChecks(
            self.reactor, self.clock, self._site, leaving_checks
        )
        self._dispatcher = Dispatcher(
            context,
            reports,
            SuccessorLookup(context, reports),
            self.callers,
            self.shutdown,
            lambda: self._group.alone_in_zone,
            self._start_hold,
        )
        self._relay_server = RelayServer(
            self.clock,
            self._live_settings,
            self._group.swim,
            self._dispatcher,
            self._group.server.connections,
        )
        self._follow_tasks = self._make_follow_tasks(random)
        add_gauges(
            self._metrics,
            self._group,
            self._router,
            self._site,
            self._start_hold,
            self._dispatcher,
            self._follow_tasks,
            self._limits,
            self._reach,
            relays,
            self._relay_server,
            self._connections,
        )

    def _followed_tables(self) -> tuple[FollowedTable, ...]:
        site, timers = self._site, self.settings.timers
        return (
            FollowedTable(
                Table.CONFIGURATION,
                timers.configuration_hold_ms,
                timers.configuration_gathering_ms,
                site.apply_configuration,
                _ignore_outage,
                self._start_hold.failed,
                self._store_restored,
                site.record_orders_read,
                ResponseTimer(*timers.configuration_slack),
            ),
            FollowedTable(
                Table.ENDPOINTS,
                timers.endpoints_query_hold_ms,
                timers.endpoints_gathering_ms,
                site.apply_endpoints,
                site.prepare_after_outage,
                self._start_hold.failed,
                on_read_up_to=site.record_list_read,
                response_timer=ResponseTimer(*timers.endpoints_slack),
            ),
        )

    def _make_follow_tasks(self, random: Random) -> list[TableWatchTask]:
        store_clock = StoreClock()
        return [
            TableWatchTask(
                self.reactor,
                self.clock,
                random,
                self._group.source,
                followed,
                self.settings.timers.store_ms,
                self._site.freshness,
                store_clock,
                self._group.feeds[followed.table],
            )
            for followed in self._followed_tables()
        ]

    def _recovery_times(self) -> RecoveryTimes:
        timers = self._live_settings.timers
        return RecoveryTimes(
            timers.endpoints_return_ms,
            timers.endpoints_missing_ms,
            timers.endpoints_own_state_ms,
        )

    def _endpoints_changed(self) -> None:
        self._limits.endpoints_changed()
        self._missing_checks.endpoints_changed()

    def _report_period_ms(self) -> float:
        members = self._group.members or 1
        return report_period_ms(members, self._live_settings.now.canary.rollback_ms)

    def _store_restored(self) -> None:
        """The store was restored from an older copy and lacks the latest writes."""
        self._rollouts.store_restored()
        self._suspect_keeper.store_restored(self._group.is_assigned)

    # Starting.

    async def start(self) -> None:
        """Open the sockets and start to follow the store."""
        listen = self.settings.listen
        server = caller_server(
            self._dispatcher.handle_request,
            lambda: self._site.limits,
            self._connections,
            self._dispatcher.refusal_over_limit,
        )
        self._listen(listen.callers, server)
        if listen.readiness:
            self._listen(listen.readiness, status_server(self._readiness_page))
        if listen.metrics:
            self._listen(listen.metrics, status_server(self._metrics_page))
        if listen.peers:
            self._listen(listen.peers, self._group.server.site())
        self._group.start()
        self._suspect_keeper.start()
        self._limits.start()
        self._reach.start()
        for task in self._follow_tasks:
            task.start()
        log_event("gateway_started", callers=listen.callers, zone=self.settings.zone)
        ports = (str(listener.getHost().port) for listener in self._listeners)
        print("listening", *ports, flush=True)

    def _listen(self, address: str, server: Any) -> None:
        host, _, port = address.rpartition(":")
        listener = self.reactor.listenTCP(
            int(port), server, backlog=_LISTEN_BACKLOG, interface=host
        )
        self._listeners.append(listener)

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new connections to this instance."""
        return self._site.ready and not self.shutdown.has_begun

    def _readiness_page(self, path: str) -> StatusPage:
        if path != self.callers.readiness_path:
            return StatusPage(HTTPStatus.NOT_FOUND, b"")
        if self.ready:
            return StatusPage(HTTPStatus.OK, b"ready")
        return StatusPage(HTTPStatus.SERVICE_UNAVAILABLE, b"not ready")

    def _metrics_page(self, _path: str) -> StatusPage:
        content, _ = self._metrics.metrics.render([""])
        return StatusPage(HTTPStatus.OK, content)

    def reload(self) -> None:
        """Read the settings again; invalid ones are logged and ignored."""
        if self.read_settings is not None:
            self._live_settings.reload(self.read_settings)

    # Stopping.

    async def stop(self) -> None:
        """Finish open requests within the grace period, end the others, then close."""
        if self.shutdown.has_begun:
            return
        dispatcher, grace_ms = self._dispatcher, self._live_settings.timers.grace_ms
        window = StopWindow.starting_at(self.clock.now_ms(), grace_ms)
        self.shutdown.window = window
        log_event("gateway_stopping", open_requests=dispatcher.open_requests)
        self._group.stop()
        self._dispatcher.end_requests_by(window.last_ms)
        while self._is_draining(window):
            await deferLater(self.reactor, _DRAIN_CHECK_INTERVAL_S)
        log_event("gateway_drained", open_requests=dispatcher.open_requests)
        await self._close_connections(window.exit_ms)
        self._suspect_keeper.stop()
        self._rollouts.stop()
        self._limits.stop()
        self._reach.stop()
        for task in self._follow_tasks:
            task.stop()
        log_event("gateway_stopped", open_requests=dispatcher.open_requests)

    def _is_draining(self, window: StopWindow) -> bool:
        """Whether to go on waiting; closes idle connections once no new ones come."""
        now_ms = self.clock.now_ms()
        if now_ms < window.balancer_settled_ms:
            return True
        self._connections.close_idle()
        return self._dispatcher.open_requests > 0 and now_ms < window.last_ms

    async def _close_connections(self, exit_ms: float) -> None:
        """Accept no more connections, and wait until all written data is sent.

        Those that wait to be accepted, after a suspension of this process, are first.
        """
        await deferLater(self.reactor, _DRAIN_CHECK_INTERVAL_S)
        self._listeners[0].stopListening()
        while self._has_unsent_replies() and self.clock.now_ms() < exit_ms:
            self._connections.close_idle()
            await deferLater(self.reactor, _DRAIN_CHECK_INTERVAL_S)

    def _has_unsent_replies(self) -> bool:
        return len(self._connections) > 0 or self._relay_server.unsent > 0


def _ignore_outage(_outage: Outage) -> None:
    """The configuration doesn't expire while the store is unreachable."""

"""An entry process: creates, connects, starts and stops all of its tasks."""

from collections.abc import AsyncIterator
from random import Random
from typing import Any
from uuid import uuid4

from attrs import define, field
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from coursekeel.endpoints import EngineAdapter, LeavingMark
from coursekeel.entry._calls_task import CallsTask
from coursekeel.entry._gauges import add_gauges
from coursekeel.entry.answers._adoption_task import AdoptionTask
from coursekeel.entry.answers._answer_registry import AnswerRegistry
from coursekeel.entry.answers._answer_store import AnswerStore
from coursekeel.entry.answers._answer_task import AnswerPorts
from coursekeel.entry.answers._endpoint_questions import EndpointQuestions
from coursekeel.entry.answers._expiry_task import ExpiryTask
from coursekeel.entry.answers._journal_task import JournalTask
from coursekeel.entry.answers._reader import ReaderPorts
from coursekeel.entry.answers._relay import serve_follow
from coursekeel.entry.control._configuration_task import ConfigurationTask
from coursekeel.entry.control._endpoints_task import EndpointsTask
from coursekeel.entry.control._orders_task import OrdersTask
from coursekeel.entry.control._peers_task import PeersTask
from coursekeel.entry.control._rollout_task import RolloutTask
from coursekeel.entry.http._api import CallerApi
from coursekeel.entry.http._calls import ServiceApi
from coursekeel.entry.http._gate import Gate
from coursekeel.entry.http._guarded_connection import listen_guarded
from coursekeel.entry.http._health import HealthApi
from coursekeel.entry.http._operator import OperatorApi
from coursekeel.entry.http._overview import Overview
from coursekeel.entry.http._site import bounded_site
from coursekeel.entry.suspects._endpoint_watch import EndpointWatch
from coursekeel.entry.suspects._suspects_task import SuspectsTask
from coursekeel.errors import SettingsInvalid
from coursekeel.intents import Configuration
from coursekeel.membership import Greeting, Isolation, PeerBook
from coursekeel.observe import Metrics, log_event
from coursekeel.routing import Router
from coursekeel.runtime import Clock, Periodic, Role, RoutingTask
from coursekeel.settings import EntrySettings
from coursekeel.storage import Batcher, HttpPlatform

__all__ = ["Entry"]

# Length of the listening socket's queue of connections not yet accepted.
_BACKLOG = 512
# How long a reader waits until an owner of its answer is found. Longer than an adoption
# takes (a lease and its margin, 3 s by default).
_READER_TIMEOUT_MS = 30_000
# Limit of the leaving marks in one greeting, to bound its size.
_MAX_MARKS_PER_GREETING = 16
# How often a stopping entry checks whether all answers and requests are finished.
_DRAIN_CHECK_S = 0.05


@define(eq=False, slots=False)
class Entry(Role):
    """The role that serves callers. All entries are equal; none is a leader."""

    reactor: Any
    settings: EntrySettings
    clock: Clock = field(factory=Clock)
    metrics: Metrics = field(factory=Metrics)
    http_port: int = 0
    _listener: Any = None
    _keep_alive: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        if any(char in settings.instance_id for char in "~/."):
            raise SettingsInvalid(
                f"instance_id: got {settings.instance_id!r}, expected no ~, / or dot"
            )
        self._make_platform()
        self._make_routing()
        self._make_configuration()
        self._make_suspects()
        self._make_answers()
        self._make_peers()
        self._make_adoption()
        self._make_interfaces()
        self._keep_alive = Periodic(
            self.reactor,
            "keep_alive",
            settings.timers.keep_alive_ms,
            self._send_keep_alives,
        )

    # Construction.

    def _make_platform(self) -> None:
        settings, timers = self.settings, self.settings.timers
        self.incarnation = f"{settings.instance_id}~{uuid4().hex[:8]}"
        self.random = Random(settings.seed)
        self.isolation = Isolation(timers.isolation_ms)
        platform = settings.platform
        self.platform = HttpPlatform(
            self.reactor, platform.base_url, platform.timeout_ms
        )
        self.batcher = Batcher(self.platform, self.reactor, timers.claim_batch_ms)

    def _make_routing(self) -> None:
        self.router = Router(self.settings.zone, self.random, self._may_take_new_work)
        self.routing = RoutingTask(self.reactor, self.clock, self.router)
        self.endpoints = EndpointsTask(
            self.reactor,
            self.clock,
            self.platform,
            self.settings,
            self.isolation,
            self.routing,
            self._endpoint_silent,
            self._entry_addresses_listed,
        )

    def _make_configuration(self) -> None:
        self.configuration = ConfigurationTask(
            self.reactor,
            self.clock,
            self.platform,
            self.isolation,
            self.settings.timers.configuration_ms,
            self._configuration_applied,
            read_from_peers=self._read_from_peers,
        )
        self.orders = OrdersTask(
            self.reactor,
            self.clock,
            self.platform,
            self.settings.timers,
            self.settings.instance_id,
            self.configuration,
            self.endpoints,
        )

    def _make_suspects(self) -> None:
        self.suspects = SuspectsTask(
            self.reactor,
            self.clock,
            self.platform,
            self.settings.platform.timeout_ms,
            lambda: self.peers.book.names,
            lambda name, news: self.peers.send_suspects(name, news),
            self.settings.instance_id,
        )
        self.watch = EndpointWatch(
            self.reactor,
            self.clock,
            self.suspects.gate,
            self.endpoints.evidence,
            self._engine,
        )

    def _make_answers(self) -> None:
        settings = self.settings
        self.journal = JournalTask(
            self.reactor,
            self.clock,
            self.platform,
            settings.timers,
            settings.instance_id,
            self.incarnation,
            self._fenced,
            lambda keys: self.registry.on_journal_progress(keys),
            self.configuration.lease_stored,
            self._peer_address,
        )
        ports = AnswerPorts(
            self.reactor,
            self.clock,
            self.routing,
            self.endpoints.silence,
            self.metrics,
            self._engine,
            lambda task: self.registry.ended(task),
            lambda task, name, head: self.registry.on_run_opened(task, name, head),
            self.suspects.gate,
            self.watch,
            EndpointQuestions(
                self.reactor,
                self.clock,
                self.endpoints.silence,
                self._engine,
                self.endpoints.connection_refused,
            ),
            settings.limits.caller_lead_tokens,
            settings.copies,
        )
        self.registry = AnswerRegistry(
            self.reactor,
            settings.instance_id,
            ports,
            AnswerStore(self.platform, self.batcher, self.journal),
            self.journal,
            settings.limits.unstored_prompt_bytes,
        )

    def _peer_address(self) -> str:
        return f"{self.settings.peer.host}:{self.peers.port}"

    def _make_peers(self) -> None:
        settings = self.settings
        self.peers = PeersTask(
            self.reactor,
            self.clock,
            PeerBook(settings.instance_id, self.random),
            self.isolation,
            settings.timers.greeting_ms,
            self._greeting,
            self._greeting_received,
            lambda: self.configuration.current,
            self._serve_follow,
            self.suspects.receive,
        )
        self.rollouts = RolloutTask(
            self.reactor,
            settings.instance_id,
            self.configuration,
            self.peers,
            self.platform,
            self._listed_entry_ids,
            self.clock,
        )

    def _make_adoption(self) -> None:
        settings = self.settings
        self.adoption = AdoptionTask(
            self.reactor,
            self.clock,
            self.platform,
            self.registry,
            self.configuration,
            settings.timers,
            settings.limits,
            self.random,
        )
        self.expiry = ExpiryTask(
            self.reactor, self.clock, self.platform, settings.instance_id, self.random
        )

    def _make_interfaces(self) -> None:
        settings = self.settings
        self.calls = CallsTask(
            self.reactor,
            self.clock,
            self.platform,
            self.batcher,
            self.routing,
            self.incarnation,
            settings.timers.connect_ms,
            self.endpoints.address,
            self.suspects.gate,
            self.watch,
        )
        readers = ReaderPorts(
            self.reactor,
            self.clock,
            self.registry,
            self.peers,
            self.adoption,
            settings.instance_id,
            _READER_TIMEOUT_MS,
        )
        self.gate = Gate(settings, self.configuration)
        self.caller_api = CallerApi(settings, self.gate, self.registry, readers)
        self.health_api = HealthApi(self.gate, self.metrics)
        self.service_api = ServiceApi(self.gate, self.calls, self.clock, self.metrics)
        overview = Overview(
            settings,
            self.clock,
            self.configuration,
            self.endpoints,
            self.orders,
            self.registry,
            self.peers,
            self.platform,
            self.router,
        )
        self.operator_api = OperatorApi(
            settings, self.configuration, self.rollouts, overview
        )
        add_gauges(
            self.metrics,
            self.platform.counters,
            self.router,
            self.registry,
            self.adoption,
            self.suspects.quarantine,
        )

    # Starting and stopping.

    async def start(self) -> None:
        """Open the sockets and start all tasks.

        The entry is ready for callers only once it has read a configuration.
        """
        peer, http = self.settings.peer, self.settings.http
        peer_port = await self.peers.listen(peer.host, peer.port)
        site = bounded_site(self.application().resource(), self.settings)
        self._listener = listen_guarded(
            self.reactor, http.port, site, _BACKLOG, http.host
        )
        self.http_port = self._listener.getHost().port
        for task in self._tasks():
            task.start()
        log_event("entry_started", http_port=self.http_port, peer_port=peer_port)
        print(f"listening {self.http_port} {self.peers.port}", flush=True)

    def _tasks(self) -> list[Any]:
        return [
            self.configuration,
            self.endpoints,
            self.peers,
            self.journal,
            self.adoption,
            self.orders,
            self.rollouts,
            self.expiry,
            self.suspects,
            self._keep_alive,
        ]

    async def stop(self) -> None:
        """Drain, then close: finish open answers and requests, hand leases back.

        Waits for them at most ``drain_ms``.
        """
        log_event("entry_stopping", open_answers=len(self._unsettled_answers()))
        self.gate.draining = True
        self.adoption.stop()
        deadline_ms = self.clock.now_ms() + self.settings.timers.drain_ms
        while self._unsettled_answers() or self.gate.open_requests:
            if self.clock.now_ms() > deadline_ms:
                log_event("drain_given_up", open_answers=len(self._unsettled_answers()))
                break
            await deferLater(self.reactor, _DRAIN_CHECK_S)
        await self._close()

    def _unsettled_answers(self) -> list[Any]:
        return [task for task in self.registry.tasks.values() if not task.settled]

    async def _close(self) -> None:
        for task in self._tasks():
            stopped = task.stop()
            if stopped is not None:
                await stopped
        await Deferred.fromCoroutine(_stop_listening(self._listener))
        log_event("entry_stopped")

    def application(self) -> Klein:
        """Build the Klein application with all HTTP routes."""
        app = Klein()
        self.caller_api.routes(app)
        self.service_api.routes(app)
        self.operator_api.routes(app)
        self.health_api.routes(app)
        return app

    # Callbacks between tasks.

    def _may_take_new_work(self, endpoint_id: str, now_ms: float) -> bool:
        return self.endpoints.may_take_new_work(endpoint_id, now_ms)

    def _engine(self, endpoint_id: str) -> EngineAdapter | None:
        return self.endpoints.engine(endpoint_id)

    def _endpoint_silent(self, endpoint_id: str) -> None:
        for task in list(self.registry.tasks.values()):
            if not task.ended:
                task.endpoint_stalled(endpoint_id)

    def _entry_addresses_listed(self, addresses: dict[str, str]) -> None:
        self.peers.book.set_listed(addresses)

    def _listed_entry_ids(self) -> list[str]:
        listed = self.endpoints.listed.values()
        return [row.instance_id for row in listed if row.kind == "entry"]

    def _configuration_applied(self, configuration: Configuration) -> None:
        self.endpoints.apply_intent(configuration.intent)
        self.routing.review()

    async def _read_from_peers(self) -> None:
        newest = await self.peers.read_highest()
        if newest is not None:
            self.configuration.apply_from_peer(newest)

    def _fenced(self) -> None:
        """Drop the durable answers and begin a new incarnation: the lease is lost."""
        self.incarnation = f"{self.settings.instance_id}~{uuid4().hex[:8]}"
        self.journal.start_incarnation(self.incarnation)
        self.registry.on_lease_lost()

    def _greeting(self) -> Greeting:
        marks = self.endpoints.evidence.leaving_marks()[:_MAX_MARKS_PER_GREETING]
        return Greeting(
            self.settings.instance_id,
            self.incarnation,
            max(self.configuration.seen_revision, self.configuration.current.revision),
            self.configuration.current.revision,
            self.gate.draining,
            tuple(marks),
            self.suspects.quarantine.digest,
            self._peer_address(),
        )

    def _greeting_received(self, greeting: Greeting) -> None:
        self.configuration.revision_seen(greeting.seen_revision)
        self.suspects.receive_digest(greeting.instance_id, greeting.suspects_digest)
        self.endpoints.add_leaving_marks(
            [LeavingMark(m.endpoint_id, m.incarnation) for m in greeting.marks]
        )

    def _serve_follow(self, request: Any) -> AsyncIterator[Any]:
        return serve_follow(request, self.registry.find)

    async def _send_keep_alives(self) -> None:
        self.caller_api.keep_alive()


async def _stop_listening(listener: Any) -> None:
    stopped = listener.stopListening()
    if stopped is not None:
        await stopped

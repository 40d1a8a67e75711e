"""The task that probes endpoints for their status and detects stalled ones."""

from collections.abc import Callable

from attrs import define, field

from coursekeel.endpoints import (
    EndpointStatus,
    EngineAdapter,
    EvidenceBook,
    LeavingMark,
    ServedState,
    SilenceSettings,
    SilenceWatch,
)
from coursekeel.endpoints._http_engine import HttpEngine
from coursekeel.intents import EndpointKind, Intent
from coursekeel.membership import Isolation
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.routing import LoadReport, subset
from coursekeel.runtime import Clock, Periodic, RoutingTask, spawn
from coursekeel.settings import EntrySettings
from coursekeel.storage import InstanceList, ListedInstance, Platform

__all__ = ["EndpointsTask"]

# A status that hasn't come within this share of the time for which evidence is fresh
# is queried again over a new connection.
_SECOND_PROBE_SHARE = 1 / 3


@define(eq=False)
class EndpointsTask:
    """Keeps evidence, load and stall detection of the endpoints that this entry uses.

    ``on_silent`` is called with the id of an endpoint whose streams stalled,
    ``on_entries_listed`` with the address of each entry by its instance id whenever the
    platform's list was read.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    settings: EntrySettings
    isolation: Isolation
    routing: RoutingTask
    on_silent: Callable[[str], None]
    on_entries_listed: Callable[[dict[str, str]], None]
    evidence: EvidenceBook = field(init=False)
    silence: SilenceWatch = field(init=False)
    facts: dict[str, ServedState] = field(factory=dict)
    listed: dict[str, ListedInstance] = field(factory=dict)
    _engines: dict[str, HttpEngine] = field(factory=dict)
    _used: list[str] = field(factory=list)
    _probing: set[str] = field(factory=set)
    _intent: Intent = field(factory=Intent)
    _loops: list[Periodic] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        timers = self.settings.timers
        self.evidence = EvidenceBook(timers.evidence_ms)
        self.silence = SilenceWatch(SilenceSettings(floor_ms=timers.silence_floor_ms))
        work_of_loops = [
            ("status", timers.status_ms, self._probe_all),
            ("list", timers.list_ms, self._read_list),
            ("pulse", timers.pulse_ms, self._review_stalls),
        ]
        self._loops = [
            Periodic(self.reactor, name, interval_ms, work)
            for name, interval_ms, work in work_of_loops
        ]

    def start(self) -> None:
        """Start the periodic work."""
        for loop in self._loops:
            loop.start()

    def stop(self) -> None:
        """Stop the periodic work."""
        for loop in self._loops:
            loop.stop()

    def engine(self, endpoint_id: str) -> EngineAdapter | None:
        """The adapter of an endpoint; None if this entry has never connected to it."""
        return self._engines.get(endpoint_id)

    def address(self, endpoint_id: str) -> str:
        """An endpoint's address; empty if the platform doesn't list it."""
        instance = self.listed.get(endpoint_id)
        return instance.address if instance else ""

    def may_take_new_work(self, endpoint_id: str, now_ms: float) -> bool:
        """Say whether new work may go to an endpoint now."""
        if self.isolation.isolated(now_ms):
            return False
        return self.evidence.may_take_new_work(endpoint_id, now_ms)

    @property
    def known_endpoints(self) -> frozenset[str]:
        """The endpoints that the platform lists."""
        return frozenset(
            each.instance_id for each in self.listed.values() if each.kind != "entry"
        )

    # Configuration and list.

    def apply_intent(self, intent: Intent) -> None:
        """Apply the endpoints of a new configuration."""
        self._intent = intent
        self.evidence.keep_only(each.endpoint_id for each in intent.endpoints)
        self._choose_endpoints()

    async def _read_list(self) -> None:
        request_ms = self.clock.now_ms()
        instance_list = await self.platform.list_instances()
        if not isinstance(instance_list, InstanceList):
            return
        self.isolation.record_response(request_ms)
        self.listed = {each.instance_id: each for each in instance_list.instances}
        for endpoint in self._intent.endpoints:
            self._record_registration(endpoint.endpoint_id)
        self.on_entries_listed(
            {
                each.instance_id: each.address
                for each in instance_list.instances
                if each.kind == "entry"
            }
        )
        self._choose_endpoints()

    def _record_registration(self, endpoint_id: str) -> None:
        instance = self.listed.get(endpoint_id)
        if instance is None:
            self.evidence.record_unlisted(endpoint_id)
        else:
            self.evidence.record_listed(endpoint_id, instance.leaving)

    def _choose_endpoints(self) -> None:
        """Choose the endpoints that this entry uses, and configure the router."""
        intent = self._intent
        listed = [e for e in intent.endpoints if e.endpoint_id in self.listed]
        self._used = self._chosen_subsets()
        for endpoint_id in self._used:
            self._connect_engine(endpoint_id)
        used = set(self._used)
        serving: dict[str, list[str]] = {}
        for endpoint in listed:
            if endpoint.endpoint_id not in used:
                continue
            for model in endpoint.models:
                serving.setdefault(model, []).append(endpoint.endpoint_id)
        for service in intent.services:
            names = [each for each in service.endpoints if each in used]
            serving[f"service/{service.name}"] = names
        zones = {name: self.listed[name].zone for name in self._used}
        self.routing.router.endpoints.configure(serving, zones)
        shares = {each.name: each.retry_share for each in intent.classes}
        self.routing.router.set_retry_shares(shares)

    def _chosen_subsets(self) -> list[str]:
        size = self.settings.limits.endpoint_subset
        chosen: dict[str, None] = {}
        for kind in EndpointKind:
            pairs = [
                (each.endpoint_id, self.listed[each.endpoint_id].zone)
                for each in self._intent.endpoints
                if each.kind is kind and each.endpoint_id in self.listed
            ]
            for name in subset(
                pairs, self.settings.instance_id, self.settings.zone, size
            ):
                chosen[name] = None
        return list(chosen)

    def _connect_engine(self, endpoint_id: str) -> None:
        address = self.address(endpoint_id)
        engine = self._engines.get(endpoint_id)
        if engine is None or engine.address != address:
            timers = self.settings.timers
            self._engines[endpoint_id] = HttpEngine(
                self.reactor, address, timers.connect_ms, timers.evidence_ms
            )

    # Status probes.

    async def _probe_all(self) -> None:
        """Probe all endpoints in use concurrently; one that hangs delays no other."""
        for endpoint_id in self._used:
            if endpoint_id not in self._probing:
                self._probing.add(endpoint_id)
                spawn(self._probe(endpoint_id), "ask_status", self.reactor)

    async def _probe(self, endpoint_id: str) -> None:
        second_s = self.settings.timers.evidence_ms * _SECOND_PROBE_SHARE / 1000
        second = self.reactor.callLater(second_s, self._probe_again, endpoint_id)
        try:
            await self._query_status(endpoint_id, new_connection=False)
        finally:
            if second.active():
                second.cancel()
            self._probing.discard(endpoint_id)

    def _probe_again(self, endpoint_id: str) -> None:
        """Query a second time, since a kept connection may have lost its answers."""
        query = self._query_status(endpoint_id, new_connection=True)
        spawn(query, "ask_status_again", self.reactor)

    async def _query_status(self, endpoint_id: str, new_connection: bool) -> None:
        request_ms = self.clock.now_ms()
        status = await self._engines[endpoint_id].status(new_connection)
        if isinstance(status, EndpointStatus):
            # The next probe doesn't wait for one that got no answer.
            self._probing.discard(endpoint_id)
            self._status_received(endpoint_id, status, request_ms)
        elif status.refused:
            self.connection_refused(endpoint_id)

    def _status_received(
        self, endpoint_id: str, status: EndpointStatus, request_ms: float
    ) -> None:
        was_marked = self._is_marked(endpoint_id)
        current = self.evidence.record_status(
            endpoint_id, status.incarnation, status.leaving, request_ms
        )
        if not current:
            return
        if not was_marked and self._is_marked(endpoint_id):
            log_event("endpoint_leaving", endpoint=endpoint_id)
        self.facts[endpoint_id] = ServedState(
            status.serves, status.role, status.running + status.queued
        )
        report = LoadReport(
            endpoint_id, status.running, status.queued, status.slots, request_ms
        )
        self.routing.apply_report(report)

    def _is_marked(self, endpoint_id: str) -> bool:
        return any(m.endpoint_id == endpoint_id for m in self.evidence.leaving_marks())

    def connection_refused(self, endpoint_id: str) -> None:
        """Record that an endpoint refuses connections."""
        now_ms = self.clock.now_ms()
        if self.evidence.state(endpoint_id, now_ms) != "dead":
            log_event("endpoint_lost", endpoint=endpoint_id)
        self.evidence.record_refused(endpoint_id)

    def add_leaving_marks(self, marks: list[LeavingMark]) -> None:
        """Add leaving marks that another entry reported."""
        endpoint_ids = {each.endpoint_id for each in self._intent.endpoints}
        for mark in marks:
            if mark.endpoint_id in endpoint_ids:
                self.evidence.record_mark(mark)

    # Stalls.

    async def _review_stalls(self) -> None:
        now_ms = self.clock.now_ms()
        due_ms = now_ms + self.settings.timers.pulse_ms
        for endpoint_id in self.silence.newly_silent(now_ms, due_ms):
            log_event("endpoint_silent", endpoint=endpoint_id)
            self.on_silent(endpoint_id)

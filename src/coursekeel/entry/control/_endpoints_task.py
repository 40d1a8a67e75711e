"""The task that asks endpoints for their word and hears their silence."""

from collections.abc import Callable

from attrs import define, field

from coursekeel.endpoints import (
    EndpointFacts,
    EndpointStatus,
    EngineAdapter,
    EvidenceBook,
    LeavingMark,
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


@define(eq=False)
class EndpointsTask:
    """Keeps evidence, load and silence of the endpoints that this entry uses.

    ``silent`` is called with an endpoint that fell silent, ``listed_entries`` with the
    addresses of all entries whenever the platform's list was read.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    settings: EntrySettings
    isolation: Isolation
    routing: RoutingTask
    silent: Callable[[str], None]
    listed_entries: Callable[[dict[str, str]], None]
    evidence: EvidenceBook = field(init=False)
    silence: SilenceWatch = field(init=False)
    facts: dict[str, EndpointFacts] = field(factory=dict)
    listed: dict[str, ListedInstance] = field(factory=dict)
    _engines: dict[str, HttpEngine] = field(factory=dict)
    _used: list[str] = field(factory=list)
    _asking: set[str] = field(factory=set)
    _intent: Intent = field(factory=Intent)
    _loops: list[Periodic] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        timers = self.settings.timers
        self.evidence = EvidenceBook(timers.evidence_ms)
        self.silence = SilenceWatch(SilenceSettings(floor_ms=timers.silence_floor_ms))
        every = [
            ("status", timers.status_ms, self._ask_all),
            ("list", timers.list_ms, self._read_list),
            ("pulse", timers.pulse_ms, self._review_silence),
        ]
        self._loops = [
            Periodic(self.reactor, name, interval_ms, work)
            for name, interval_ms, work in every
        ]

    def start(self) -> None:
        """Ask from now on."""
        for loop in self._loops:
            loop.start()

    def stop(self) -> None:
        """Ask no more."""
        for loop in self._loops:
            loop.stop()

    def engine(self, endpoint_id: str) -> EngineAdapter | None:
        """The adapter of an endpoint whose address is known."""
        return self._engines.get(endpoint_id)

    def address(self, endpoint_id: str) -> str:
        """An endpoint's address; empty if it isn't known."""
        found = self.listed.get(endpoint_id)
        return found.address if found else ""

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

    def configured(self, intent: Intent) -> None:
        """Take the endpoints of a configuration."""
        self._intent = intent
        self.evidence.keep_only(each.endpoint_id for each in intent.endpoints)
        self._choose()

    async def _read_list(self) -> None:
        asked_ms = self.clock.now_ms()
        read = await self.platform.list_instances()
        if not isinstance(read, InstanceList):
            return
        self.isolation.reached(asked_ms)
        self.listed = {each.instance_id: each for each in read.instances}
        for endpoint in self._intent.endpoints:
            found = self.listed.get(endpoint.endpoint_id)
            gone = found is None or found.leaving
            self.evidence.listed(endpoint.endpoint_id, gone)
        self.listed_entries(
            {
                each.instance_id: each.address
                for each in read.instances
                if each.kind == "entry"
            }
        )
        self._choose()

    def _choose(self) -> None:
        """Settle which endpoints this entry uses, and where they are."""
        intent = self._intent
        known = [e for e in intent.endpoints if e.endpoint_id in self.listed]
        self._used = self._subsets()
        for endpoint_id in self._used:
            self._connect(endpoint_id)
        used = set(self._used)
        serving: dict[str, list[str]] = {}
        for endpoint in known:
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

    def _subsets(self) -> list[str]:
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

    def _connect(self, endpoint_id: str) -> None:
        address = self.address(endpoint_id)
        engine = self._engines.get(endpoint_id)
        if engine is None or engine.address != address:
            timers = self.settings.timers
            self._engines[endpoint_id] = HttpEngine(
                self.reactor, address, timers.connect_ms, timers.evidence_ms
            )

    # Status.

    async def _ask_all(self) -> None:
        """Ask every endpoint in use; one that hangs holds up nobody else."""
        for endpoint_id in self._used:
            if endpoint_id not in self._asking:
                self._asking.add(endpoint_id)
                spawn(self._ask(endpoint_id), "ask_status", self.reactor)

    async def _ask(self, endpoint_id: str) -> None:
        try:
            asked_ms = self.clock.now_ms()
            status = await self._engines[endpoint_id].status()
            if isinstance(status, EndpointStatus):
                self._took(endpoint_id, status, asked_ms)
            elif status.refused:
                self._lost(endpoint_id)
        finally:
            self._asking.discard(endpoint_id)

    def _took(self, endpoint_id: str, status: EndpointStatus, asked_ms: float) -> None:
        marked = self._is_marked(endpoint_id)
        current = self.evidence.saw(
            endpoint_id, status.incarnation, status.leaving, asked_ms
        )
        if not current:
            return
        if not marked and self._is_marked(endpoint_id):
            log_event("endpoint_leaving", endpoint=endpoint_id)
        self.facts[endpoint_id] = EndpointFacts(
            status.serves, status.role, status.running + status.queued
        )
        report = LoadReport(
            endpoint_id, status.running, status.queued, status.slots, asked_ms
        )
        self.routing.reported(report)

    def _is_marked(self, endpoint_id: str) -> bool:
        return any(m.endpoint_id == endpoint_id for m in self.evidence.leaving_marks())

    def _lost(self, endpoint_id: str) -> None:
        now_ms = self.clock.now_ms()
        if self.evidence.state(endpoint_id, now_ms) != "dead":
            log_event("endpoint_lost", endpoint=endpoint_id)
        self.evidence.lost(endpoint_id)

    def hinted(self, marks: list[LeavingMark]) -> None:
        """Other entries saw these incarnations leave."""
        named = {each.endpoint_id for each in self._intent.endpoints}
        for mark in marks:
            if mark.endpoint_id in named:
                self.evidence.hinted(mark)

    # Silence.

    async def _review_silence(self) -> None:
        now_ms = self.clock.now_ms()
        due_ms = now_ms + self.settings.timers.pulse_ms
        for endpoint_id in self.silence.review(now_ms, due_ms):
            log_event("endpoint_silent", endpoint=endpoint_id)
            self.silent(endpoint_id)

"""The task that keeps this entry's configuration; its revision never decreases."""

from collections.abc import Callable
from uuid import uuid4

from attrs import define, field

from coursekeel.intents import (
    Configuration,
    ConfigurationStore,
    Confirmed,
    Intent,
    Plan,
    Rollout,
    Stale,
    StoreUnavailable,
    UnknownPlan,
    make_plan,
)
from coursekeel.membership import Isolation
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic
from coursekeel.storage import Platform, Unavailable

__all__ = ["ConfigurationTask"]


@define(eq=False)
class ConfigurationTask:
    """Polls the store for configurations and applies only higher revisions.

    Polls at once when a peer reports a newer revision. ``on_applied`` is called with
    each configuration as it comes into force here. ``read_from_peers`` reads the newest
    configuration of the reachable peers while the store can't be read.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    isolation: Isolation
    interval_ms: float
    on_applied: Callable[[Configuration], None]
    current: Configuration = field(factory=Configuration)
    seen_revision: int = 0
    ready: bool = False
    rollout: Rollout | None = None
    _lease_is_stored: bool = False
    read_from_peers: Callable[[], object] | None = None
    _store: ConfigurationStore = field(init=False)
    _loop: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._store = ConfigurationStore(self.platform)
        self._loop = Periodic(
            self.reactor, "configuration", self.interval_ms, self.refresh
        )

    def start(self) -> None:
        """Start polling."""
        self._loop.start()

    def stop(self) -> None:
        """Stop polling."""
        self._loop.stop()

    def lease_stored(self) -> None:
        """Note that the lease is stored, so that rollouts wait for this instance."""
        self._lease_is_stored = True
        self._loop.now()

    @property
    def intent(self) -> Intent:
        """The intent of the configuration applied here."""
        return self.current.intent

    def revision_seen(self, revision: int) -> None:
        """Poll at once if this revision, from a peer or a commit, is newer than any."""
        if revision > max(self.seen_revision, self.current.revision):
            self.seen_revision = revision
            self._loop.now()

    def apply_from_peer(self, configuration: Configuration) -> None:
        """Apply a peer's configuration; it makes this entry ready like the store's."""
        self._apply(configuration)
        self.ready = True

    async def refresh(self) -> None:
        """Read the store and apply a newer configuration.

        An instance isn't ready before it has read the store or a peer since its start:
        until then it could serve by an outdated configuration.
        """
        request_ms = self.clock.now_ms()
        lease_was_stored = self._lease_is_stored
        configuration = await self._store.read()
        if isinstance(configuration, Unavailable):
            await self._read_from_peers_if_behind()
            return
        self.isolation.record_response(request_ms)
        self._apply(configuration)
        # Only a read that began after the lease was stored makes the instance ready:
        # the rollout of any later change then finds the lease and waits for it.
        self.ready = self.ready or lease_was_stored

    async def _read_from_peers_if_behind(self) -> None:
        behind = self.seen_revision > self.current.revision
        if self.read_from_peers is not None and (behind or not self.ready):
            await self.read_from_peers()  # type: ignore[misc]

    def _apply(self, configuration: Configuration) -> None:
        self.seen_revision = max(self.seen_revision, configuration.revision)
        if configuration.revision <= self.current.revision:
            return
        self.current = configuration
        log_event(
            "configuration_applied",
            revision=configuration.revision,
            plan=configuration.plan_id,
        )
        self.on_applied(configuration)

    # Plans.

    async def plan(
        self, intent: Intent, known_endpoints: frozenset[str], running: dict[str, int]
    ) -> Plan | StoreUnavailable:
        """Make and store a plan against the newest configuration.

        ``running`` is the number of requests of each endpoint. Raises `RequestInvalid`.
        """
        configuration = await self._store.read()
        if isinstance(configuration, Unavailable):
            return StoreUnavailable(False, configuration.reason)
        self._apply(configuration)
        plan = make_plan(str(uuid4()), intent, configuration, known_endpoints, running)
        outcome = await self._store.keep(plan)
        return outcome if isinstance(outcome, StoreUnavailable) else plan

    async def confirm(
        self, plan_id: str, known_stopped: frozenset[str]
    ) -> Confirmed | Stale | StoreUnavailable | UnknownPlan:
        """Commit a plan; its rollout doesn't wait for ``known_stopped`` entries."""
        outcome = await self._store.confirm(plan_id)
        if isinstance(outcome, Confirmed):
            self._track_rollout(outcome.revision, plan_id, known_stopped)
            self.revision_seen(outcome.revision)
        return outcome

    def _track_rollout(
        self, revision: int, plan_id: str, known_stopped: frozenset[str]
    ) -> None:
        rollout = self.rollout
        if rollout is None or rollout.revision < revision:
            rollout = self.rollout = Rollout(revision, plan_id)
            rollout.committed()
            log_event("plan_committed", plan=plan_id, revision=revision)
        rollout.known_stopped |= known_stopped

    def rollout_of_current(self) -> Rollout:
        """The rollout of the newest revision seen, wherever it was confirmed."""
        revision = max(self.seen_revision, self.current.revision)
        if self.rollout is None or self.rollout.revision < revision:
            self.rollout = Rollout(revision, self.current.plan_id)
            self.rollout.committed()
        return self.rollout

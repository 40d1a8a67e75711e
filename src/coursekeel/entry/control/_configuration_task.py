"""The task that keeps this entry's configuration, and never lets it go back."""

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
    StoreSilent,
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
    """Polls the table, takes hints from peers, and applies only higher revisions.

    ``applied`` is called with each configuration as it comes into force here.
    ``from_peers`` asks those that can be reached for the highest they apply.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    isolation: Isolation
    interval_ms: float
    applied: Callable[[Configuration], None]
    current: Configuration = field(factory=Configuration)
    seen_revision: int = 0
    ready: bool = False
    rollout: Rollout | None = None
    _is_registered: bool = False
    from_peers: Callable[[], object] | None = None
    _store: ConfigurationStore = field(init=False)
    _loop: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._store = ConfigurationStore(self.platform)
        self._loop = Periodic(
            self.reactor, "configuration", self.interval_ms, self.refresh
        )

    def start(self) -> None:
        """Read the configuration from now on."""
        self._loop.start()

    def stop(self) -> None:
        """Read no more."""
        self._loop.stop()

    def registered(self) -> None:
        """This instance's lease stands in the table, where confirmers look for it."""
        self._is_registered = True
        self._loop.now()

    @property
    def intent(self) -> Intent:
        """The intent in force here."""
        return self.current.intent

    def hinted(self, revision: int) -> None:
        """Somebody saw this revision: read at once if it is newer."""
        if revision > max(self.seen_revision, self.current.revision):
            self.seen_revision = revision
            self._loop.now()

    def offered(self, configuration: Configuration) -> None:
        """A peer gave its configuration, which counts like the table's."""
        self._apply(configuration)
        self.ready = True

    async def refresh(self) -> None:
        """Read the table and apply what is newer.

        An instance that has read neither the table nor a peer since it started is not
        ready: what it would serve by could be older than what is in force.
        """
        asked_ms = self.clock.now_ms()
        registered = self._is_registered
        read = await self._store.read()
        if isinstance(read, Unavailable):
            await self._ask_peers()
            return
        self.isolation.reached(asked_ms)
        self._apply(read)
        # Only what was read after the lease stood in the table makes ready: a change
        # committed later finds the lease, and waits for this instance.
        self.ready = self.ready or registered

    async def _ask_peers(self) -> None:
        behind = self.seen_revision > self.current.revision
        if self.from_peers is not None and (behind or not self.ready):
            await self.from_peers()  # type: ignore[misc]

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
        self.applied(configuration)

    # Plans.

    async def plan(
        self, intent: Intent, known_endpoints: frozenset[str], running: dict[str, int]
    ) -> Plan | StoreSilent:
        """Plan a change on the newest configuration; raises `RequestInvalid`."""
        read = await self._store.read()
        if isinstance(read, Unavailable):
            return StoreSilent(False, read.reason)
        self._apply(read)
        plan = make_plan(str(uuid4()), intent, read, known_endpoints, running)
        kept = await self._store.keep(plan)
        return kept if isinstance(kept, StoreSilent) else plan

    async def confirm(
        self, plan_id: str, known_stopped: frozenset[str]
    ) -> Confirmed | Stale | StoreSilent | UnknownPlan:
        """Commit a plan and follow it until it is accepted."""
        outcome = await self._store.confirm(plan_id)
        if isinstance(outcome, Confirmed):
            self._follow(outcome.revision, plan_id, known_stopped)
            self.hinted(outcome.revision)
        return outcome

    def _follow(
        self, revision: int, plan_id: str, known_stopped: frozenset[str]
    ) -> None:
        rollout = self.rollout
        if rollout is None or rollout.revision < revision:
            rollout = self.rollout = Rollout(revision, plan_id)
            rollout.committed()
            log_event("plan_committed", plan=plan_id, revision=revision)
        rollout.known_stopped |= known_stopped

    def rollout_of_current(self) -> Rollout:
        """The rollout to look at, whether or not it was confirmed here."""
        revision = max(self.seen_revision, self.current.revision)
        if self.rollout is None or self.rollout.revision < revision:
            self.rollout = Rollout(revision, self.current.plan_id)
            self.rollout.committed()
        return self.rollout

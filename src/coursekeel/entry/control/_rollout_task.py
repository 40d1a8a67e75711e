"""The task that tracks a committed revision until every entry has applied it."""

import math
from collections.abc import Callable

from attrs import define, field, frozen

from coursekeel.entry.answers._journal_task import LEASES_PREFIX
from coursekeel.entry.control._configuration_task import ConfigurationTask
from coursekeel.entry.control._peers_task import PeersTask
from coursekeel.intents import InstanceEvidence, instances_to_wait_for
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic
from coursekeel.storage import Platform, Unavailable

__all__ = ["RolloutTask", "WaitingInstance"]

# How often a pending rollout is reviewed; bounds the delay between the last
# acknowledgement and the state "accepted".
_INTERVAL_MS = 200
# Limit of the rows of one scan: more than the 380 nodes of docs/CAPACITY.md.
_MAX_LEASES = 1_000
# How long a rollout may be pending before the log says what it waits for, each time.
_PENDING_LOG_INTERVAL_MS = 5_000.0


@frozen
class WaitingInstance:
    """An instance that a rollout waits for, and the last that is known of it here.

    ``applied_revision`` is 0 without a greeting from it, ``address`` empty if unknown.
    """

    instance_id: str
    applied_revision: int
    address: str
    refused_connection: bool

    def __str__(self) -> str:
        reached = self.address or "no_address"
        refused = "/refused" if self.refused_connection else ""
        return f"{self.instance_id}:{self.applied_revision}@{reached}{refused}"


@define(eq=False)
class RolloutTask:
    """Greets the entries that a rollout waits for, which also sends them the revision.

    ``listed_entry_ids`` returns the entries on the platform's list.
    """

    reactor: Reactor
    instance_id: str
    configuration: ConfigurationTask
    peers: PeersTask
    platform: Platform
    listed_entry_ids: Callable[[], list[str]]
    clock: Clock
    _pending_logged_ms: float = -math.inf
    _loop: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._loop = Periodic(self.reactor, "rollout", _INTERVAL_MS, self._round)

    def start(self) -> None:
        """Start tracking rollouts."""
        self._loop.start()

    def stop(self) -> None:
        """Stop tracking rollouts."""
        self._loop.stop()

    def review_now(self) -> None:
        """Review at once, after a plan was confirmed here."""
        self._loop.now()

    async def _round(self) -> None:
        rollout = self.configuration.rollout
        if rollout is not None and rollout.state == "committed":
            await self.review_current()

    async def review_current(self) -> None:
        """Greet the entries that the rollout waits for, then review its state."""
        rollout = self.configuration.rollout_of_current()
        if rollout.state != "committed":
            return
        names = await self._serving_entries()
        if names is None:
            return
        waiting = instances_to_wait_for(
            rollout.revision, names, self._evidence(), rollout.known_stopped
        )
        others = [name for name in waiting if name != self.instance_id]
        if others:
            await self.peers.greet_all(others)
        if rollout.state != "committed":
            return
        rollout.review(names, self._evidence())
        if rollout.state == "accepted":
            log_event("plan_accepted", revision=rollout.revision)
        else:
            self._log_pending(rollout.revision)

    def waiting(self) -> list[WaitingInstance]:
        """What is known of the instances that the newest revision waits for."""
        rollout = self.configuration.rollout_of_current()
        if rollout.state == "accepted":
            return []
        evidence = self._evidence()
        return [
            self._waiting_instance(name, evidence.get(name)) for name in rollout.waiting
        ]

    def _waiting_instance(
        self, name: str, evidence: InstanceEvidence | None
    ) -> WaitingInstance:
        return WaitingInstance(
            name,
            evidence.applied_revision if evidence else 0,
            self.peers.book.address(name),
            evidence is not None and evidence.refused_connection,
        )

    def _log_pending(self, revision: int) -> None:
        now_ms = self.clock.now_ms()
        if now_ms - self._pending_logged_ms < _PENDING_LOG_INTERVAL_MS:
            return
        self._pending_logged_ms = now_ms
        waiting = ",".join(map(str, self.waiting()))
        log_event("plan_pending", revision=revision, waiting_for=waiting)

    async def _serving_entries(self) -> set[str] | None:
        """Ids of all entries that may be serving; None if the store can't be read.

        The platform's list lags and may lack an entry that just started. The leases
        don't: an entry stores its lease before it is ready.
        """
        leases = await self.platform.scan(LEASES_PREFIX, _MAX_LEASES)
        if isinstance(leases, Unavailable):
            return None
        for row in leases.rows.values():
            name = row.key.removeprefix(LEASES_PREFIX)
            self.peers.book.add_peer(name, row.value["address"])
        registered = {key.removeprefix(LEASES_PREFIX) for key in leases.rows}
        return registered | set(self.listed_entry_ids()) | set(self.peers.book.names)

    def _evidence(self) -> dict[str, InstanceEvidence]:
        own = self.configuration.current.revision
        evidence = {self.instance_id: InstanceEvidence(self.instance_id, own)}
        for name in self.peers.book.names:
            greeting = self.peers.book.greeting(name)
            applied = greeting.applied_revision if greeting else 0
            refused = self.peers.book.is_refusing(name)
            evidence[name] = InstanceEvidence(name, applied, refused)
        return evidence

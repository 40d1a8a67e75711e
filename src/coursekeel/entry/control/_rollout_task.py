"""The task that asks around until a committed revision is in force everywhere."""

from collections.abc import Callable

from attrs import define, field

from coursekeel.entry.answers._journal_task import LEASES_PREFIX
from coursekeel.entry.control._configuration_task import ConfigurationTask
from coursekeel.entry.control._peers_task import PeersTask
from coursekeel.intents import PeerEvidence, waits_for
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Periodic
from coursekeel.storage import Platform, Unavailable

__all__ = ["RolloutTask"]

# How often a pending revision is looked at: accepted follows the last acknowledgement
# by at most that.
_INTERVAL_MS = 200
# Rows that one scan reads: more than the 380 nodes of docs/CAPACITY.md.
_MOST_LEASES = 1_000


@define(eq=False)
class RolloutTask:
    """Greets those that are waited for, which tells them the revision as well.

    ``listed`` gives the entries on the platform's list.
    """

    reactor: Reactor
    instance_id: str
    configuration: ConfigurationTask
    peers: PeersTask
    platform: Platform
    listed: Callable[[], list[str]]
    _loop: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._loop = Periodic(self.reactor, "rollout", _INTERVAL_MS, self._round)

    def start(self) -> None:
        """Follow rollouts from now on."""
        self._loop.start()

    def stop(self) -> None:
        """Follow no more."""
        self._loop.stop()

    def look_now(self) -> None:
        """A plan was confirmed here: ask around at once."""
        self._loop.now()

    async def _round(self) -> None:
        rollout = self.configuration.rollout
        if rollout is not None and rollout.state == "committed":
            await self.look()

    async def look(self) -> None:
        """Review the evidence, asking first those that are waited for."""
        rollout = self.configuration.rollout_of_current()
        if rollout.state != "committed":
            return
        names = await self._names()
        if names is None:
            return
        waiting = waits_for(
            rollout.revision, names, self._evidence(), rollout.known_stopped
        )
        others = [each for each in waiting if each != self.instance_id]
        if others:
            await self.peers.greet_all(others)
        if rollout.state != "committed":
            return
        rollout.review(names, self._evidence())
        if rollout.state == "accepted":
            log_event("plan_accepted", revision=rollout.revision)

    async def _names(self) -> set[str] | None:
        """Everyone who may be serving; None while that can't be known.

        The platform's list lags, so an entry that started a moment ago may be missing
        from it. Its lease isn't: it is written before the entry is ready.
        """
        leases = await self.platform.scan(LEASES_PREFIX, _MOST_LEASES)
        if isinstance(leases, Unavailable):
            return None
        for row in leases.rows.values():
            name = row.key.removeprefix(LEASES_PREFIX)
            self.peers.book.learned(name, row.value["address"])
        registered = {key.removeprefix(LEASES_PREFIX) for key in leases.rows}
        return registered | set(self.listed()) | set(self.peers.book.names)

    def _evidence(self) -> dict[str, PeerEvidence]:
        own = self.configuration.current.revision
        evidence = {self.instance_id: PeerEvidence(self.instance_id, own)}
        for name in self.peers.book.names:
            greeting = self.peers.book.greeting(name)
            applied = greeting.applied_revision if greeting else 0
            refused = self.peers.book.is_refusing(name)
            evidence[name] = PeerEvidence(name, applied, refused)
        return evidence

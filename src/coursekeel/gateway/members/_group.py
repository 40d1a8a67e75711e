"""This instance's part in its group: who the others are, and what they tell each other.

Owns the group's parts and their order of start and stop. Relies on `Swim` for the
members, on a `TableFeed` for each table that others may ask for, and on `SharedSource`
to ask them. Without an address for peers the instance is a group of one.
"""

from collections.abc import Callable
from random import Random

from attrs import define, field

from coursekeel.canary import RolloutMessage
from coursekeel.fetch import Fetcher, OwnLink, Transfer
from coursekeel.forwarding import Freshness
from coursekeel.gateway._adapters import STORE_TRANSFER, Source, Table
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway.members._group_task import GroupTask
from coursekeel.gateway.members._member_reader import MemberReader
from coursekeel.gateway.members._peer_server import PeerServer
from coursekeel.gateway.members._shared_source import SharedSource, SharingTerms
from coursekeel.gateway.members._table_feed import TableFeed
from coursekeel.group import Swim
from coursekeel.quarantine import (
    Quarantine,
    QuarantineEvent,
    QuarantineGossip,
    SuspectRecord,
)
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock

__all__ = ["Group"]

# A connection within a site takes a few ms.
_CONNECT_MS = 250
# Word of another member's fresher proof takes some periods of the pings to come round,
# and its age is known to a tick of either side.
_FRESHER_MS = 1_500.0


@define(eq=False)
class Group:
    """The members, as this instance sees and serves them."""

    reactor: Reactor
    clock: Clock
    settings: LiveSettings
    freshness: Freshness
    store: Source
    random: Random
    link: OwnLink
    quarantine: Quarantine
    bar_changed: Callable[[QuarantineEvent], None]
    rollout_told: Callable[[RolloutMessage], None]
    swim: Swim = field(init=False)
    source: SharedSource = field(init=False)
    feeds: dict[Table, TableFeed] = field(init=False)
    server: PeerServer = field(init=False)
    _task: GroupTask = field(init=False)

    def __attrs_post_init__(self) -> None:
        now = self.settings.now
        own = now.listen.peers
        port = own.rpartition(":")[2]
        seeds = tuple(f"{each.rpartition(':')[0]}:{port}" for each in now.seeds if own)
        self.swim = Swim(
            own,
            now.zone,
            now.store,
            seeds,
            self.random,
            suspects_digest=lambda: self.quarantine.digest,
        )
        self.feeds = {each: TableFeed(self.reactor, self.clock) for each in Table}
        self.server = PeerServer(now.store, self.feeds)
        self.source = self._make_source()
        gossip = QuarantineGossip(
            own, now.store, self.quarantine, self.random, self.swim.serving
        )
        self._task = GroupTask(
            self.reactor,
            self.clock,
            self.swim,
            gossip,
            self._proven_ms,
            self.bar_changed,
            self.rollout_told,
        )

    def _make_source(self) -> SharedSource:
        timers = self.settings.timers
        transfer = Transfer(
            timers.member_slack_ms, timers.member_transfer_ms, STORE_TRANSFER.most_bytes
        )
        fetcher = Fetcher(self.reactor, _CONNECT_MS, transfer=transfer, link=self.link)
        return SharedSource(
            self.store,
            MemberReader(fetcher, self.settings.now.store),
            self.swim,
            self.clock,
            self.random,
            self.freshness,
            SharingTerms(
                timers.member_hold_ms,
                timers.member_slack_ms,
                {
                    Table.CONFIGURATION: timers.shared_configuration_hold_ms,
                    Table.ENDPOINTS: timers.shared_endpoints_hold_ms,
                },
                {
                    Table.CONFIGURATION: timers.configuration_peace_ms,
                    Table.ENDPOINTS: timers.endpoints_peace_ms,
                },
            ),
            lambda table: self.feeds[table].asked_lately(),
            lambda: self.feeds[Table.CONFIGURATION].configuration_version,
        )

    def _proven_ms(self) -> dict[str, float]:
        """The moment of this instance's last proof of each table."""
        return {each.value: self.freshness.proven_ms(each.value) for each in Table}

    def start(self) -> None:
        """Join the others; an instance without an address for peers stays alone."""
        if self.swim.own:
            self._task.start()

    def stop(self) -> None:
        """Tell the others that this instance stops; it goes on learning from them."""
        if self.swim.own:
            self._task.stop()

    def send(self, address: str, data: bytes) -> None:
        """Give a datagram to a member."""
        self._task.send(address, data)

    def tell_suspects(self, records: list[SuspectRecord]) -> None:
        """Tell all others what this instance learned of suspect requests."""
        self._task.tell_suspects(records)

    def is_mine(self, name: str) -> bool:
        """Say whether this instance does for all what is called ``name``."""
        return not self.swim.own or self.swim.chosen(name) == [self.swim.own]

    @property
    def members(self) -> int | None:
        """How many instances there are or were lately, this one included.

        None without an address for peers.
        """
        return self.swim.known if self.swim.own else None

    @property
    def alone_in_zone(self) -> bool:
        """Say whether no other member is known in this availability zone."""
        others = set(self.swim.alive(self.swim.zone)) - {self.swim.own}
        return bool(self.swim.own) and not others

    def store_is_away_for_all(self) -> bool:
        """Say whether no member has a newer proof of the configuration than this one.

        Not so for an instance that sees only the smaller part of its group: the others
        may have what it lacks.
        """
        table = Table.CONFIGURATION
        if not self.feeds[table].failing:
            return False
        if not self.swim.in_touch(self.clock.now_ms()):
            return False
        own_ms = self.freshness.proven_ms(table.value)
        _, freshest_ms = self.swim.freshest(table.value)
        return freshest_ms - own_ms < _FRESHER_MS

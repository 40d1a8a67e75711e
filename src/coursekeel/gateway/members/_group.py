"""Wires up this instance's group: membership, gossip and shared reads of the store.

Owns the group's parts and their order of start and stop. Relies on `Swim` for the
members, on a `TableFeed` for each table that members may request, and on `SharedSource`
to request tables from them. Without a peer address the instance is a group of one.
"""

from collections.abc import Callable
from random import Random

from attrs import define, field

from coursekeel.canary import RolloutMessage
from coursekeel.fetch import Fetcher, OwnLink, Transfer
from coursekeel.forwarding import Freshness, RequestLimits
from coursekeel.gateway._adapters import STORE_TRANSFER, Source, Table
from coursekeel.gateway._http import CallerRequest
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway.members._group_task import GroupTask
from coursekeel.gateway.members._member_reader import MemberReader
from coursekeel.gateway.members._peer_server import PeerServer
from coursekeel.gateway.members._shared_source import SharedSource, SharingTerms
from coursekeel.gateway.members._table_feed import TableFeed
from coursekeel.group import Swim
from coursekeel.limits import LimitMessage
from coursekeel.quarantine import (
    Quarantine,
    QuarantineEvent,
    QuarantineGossip,
    SuspectRecord,
)
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock

__all__ = ["Group"]

_CONNECT_TIMEOUT_MS = 250
# Gossip about another member's newer confirmation takes several ping periods to arrive,
# and its age is only accurate to a tick on either side.
_NEWER_BY_MS = 1_500.0


@define(eq=False)
class Group:
    """This instance's view of the group, and the tables that it serves to members."""

    reactor: Reactor
    clock: Clock
    settings: LiveSettings
    freshness: Freshness
    store: Source
    random: Random
    link: OwnLink
    quarantine: Quarantine
    bar_changed: Callable[[QuarantineEvent], None]
    rollout_received: Callable[[RolloutMessage], None]
    limit_received: Callable[[str, LimitMessage], None]
    suspects_received: Callable[[list[str]], None]
    relay_received: Callable[[CallerRequest], None]
    caller_limits: Callable[[], RequestLimits]
    swim: Swim = field(init=False)
    source: SharedSource = field(init=False)
    feeds: dict[Table, TableFeed] = field(init=False)
    server: PeerServer = field(init=False)
    _task: GroupTask = field(init=False)

    def __attrs_post_init__(self) -> None:
        now = self.settings.now
        own = now.listen.peers
        port = own.rpartition(":")[2]
        seeds = tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in now.seeds if own)
        self.swim = Swim(
            own,
            now.zone,
            now.store,
            seeds,
            self.random,
            suspects_digest=lambda: self.quarantine.digest,
        )
        self.feeds = {table: TableFeed(self.reactor, self.clock) for table in Table}
        self.server = PeerServer(
            now.store,
            self.feeds,
            self.relay_received,
            self.caller_limits,
            lambda: self.settings.now.answers.max_unsent_bytes,
            lambda: self.settings.now.max_received_bytes,
        )
        self.source = self._make_source()
        gossip = QuarantineGossip(
            own, now.store, self.quarantine, self.random, self.swim.serving
        )
        self._task = GroupTask(
            self.reactor,
            self.clock,
            self.swim,
            gossip,
            self._confirmed_times_ms,
            self.bar_changed,
            self.rollout_received,
            self.limit_received,
            self.suspects_received,
        )

    def _make_source(self) -> SharedSource:
        timers = self.settings.timers
        transfer = Transfer(
            timers.member_slack_ms, timers.member_transfer_ms, STORE_TRANSFER.most_bytes
        )
        fetcher = Fetcher(
            self.reactor,
            _CONNECT_TIMEOUT_MS,
            transfer=transfer,
            link=self.link,
            closes_idle=True,
        )
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
                    Table.ENDPOINTS: timers.endpoints_query_hold_ms,
                },
                {
                    Table.CONFIGURATION: timers.usual_configuration_age_ms,
                    Table.ENDPOINTS: timers.usual_endpoints_age_ms,
                },
            ),
            lambda table: self.feeds[table].requested_recently(),
            lambda: self.feeds[Table.CONFIGURATION].configuration_version,
        )

    def _confirmed_times_ms(self) -> dict[str, float]:
        """The local time of the last confirmation of each table, by table name."""
        return {
            table.value: self.freshness.confirmed_ms(table.value) for table in Table
        }

    def start(self) -> None:
        """Join the group; does nothing without a peer address."""
        if self.swim.own:
            self._task.start()

    def stop(self) -> None:
        """Announce to the members that this instance leaves; reads from them go on."""
        if self.swim.own:
            self._task.stop()

    def send(self, address: str, data: bytes) -> None:
        """Send an encoded datagram to the member at ``address``."""
        self._task.send(address, data)

    def send_suspects(self, records: list[SuspectRecord]) -> None:
        """Send this instance's records of suspect requests to all members."""
        self._task.send_suspects(records)

    def is_assigned(self, name: str) -> bool:
        """Whether this instance runs the group-wide task ``name``."""
        return not self.swim.own or self.swim.members_for(name) == [self.swim.own]

    @property
    def members(self) -> int | None:
        """The number of current and recent members, this instance included.

        None without a peer address.
        """
        return self.swim.known if self.swim.own else None

    @property
    def alone_in_zone(self) -> bool:
        """Whether no other member is alive in this availability zone."""
        others = set(self.swim.alive(self.swim.zone)) - {self.swim.own}
        return bool(self.swim.own) and not others

    def store_is_away_for_all(self) -> bool:
        """Whether no member has a newer confirmation of the configuration than ours.

        False for an instance that reaches only a minority of its group: the other part
        may still reach the store.
        """
        table = Table.CONFIGURATION
        if not self.feeds[table].failing:
            return False
        if not self.swim.reaches_majority(self.clock.now_ms()):
            return False
        own_ms = self.freshness.confirmed_ms(table.value)
        _, freshest_ms = self.swim.latest_confirmation(table.value)
        return freshest_ms - own_ms < _NEWER_BY_MS

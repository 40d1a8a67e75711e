"""Simulates instances that share one store's table, on one clock, without sockets.

Each has its own `TableWatchTask`, `TableFeed`, `SharedSource` and `SiteState`. The
store may refuse some instances or respond to them late, instances may be partitioned
from each other, and an instance may freeze: messages to it are delivered when it
resumes.
"""

from random import Random
from unittest.mock import Mock

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from coursekeel.forwarding import (
    EndpointDirectory,
    ForwardingConfiguration,
    Freshness,
    StoreClock,
    StorePosition,
    Team,
    key_digest,
)
from coursekeel.gateway._adapters import (
    Source,
    SourceFailed,
    Table,
    TableRead,
    VersionedEntry,
)
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway.members._member_reader import (
    MemberFailed,
    MemberReader,
    NothingNewer,
)
from coursekeel.gateway.members._reading_codec import (
    RelayedTableRead,
    decode_table_read,
    encode_table_read,
)
from coursekeel.gateway.members._shared_source import SharedSource, SharingTerms
from coursekeel.gateway.members._table_feed import TableFeed
from coursekeel.gateway.site._follow_task import FollowedTable, TableWatchTask
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.settings import GatewayListen, GatewaySettings

SETTINGS = GatewaySettings("g", "z", GatewayListen("h:1"), "s:1")
TIMERS = SETTINGS.timers
STEP_MS = 50


class World:
    """The clock, the store and the instances."""

    def __init__(self, zones: list[str], seed: int = 1) -> None:
        self.reactor = FakeReactor()
        self.random = Random(seed)
        self.version = 1
        self.era = 0
        self.keys = frozenset({"k0", "k1", "k2", "k3"})
        self.revoked_ms: dict[str, float] = {}
        self.acknowledged_ms: dict[int, float] = {}
        # Extra delay of the store's responses, by instance.
        self.delay_ms: dict[str, float] = {}
        self.refused: set[str] = set()
        self.refuses_immediately = False
        self.partitioned: set[str] = set()
        self.store_calls = 0
        # Time from the head to the end of a store response that has rows.
        self.transfer_ms = 0.0
        self.waiting: list[tuple[str, int, Deferred]] = []
        self.instances: dict[str, Instance] = {}
        for number, zone in enumerate(zones):
            name = f"i{number}"
            self.instances[name] = Instance(self, name, zone)
        for each in self.instances.values():
            each.task.start()

    @property
    def now_ms(self) -> float:
        return self.reactor.seconds() * 1000

    @property
    def position(self) -> StorePosition:
        return StorePosition(self.era, self.version)

    def run(self, for_ms: float) -> None:
        for _ in range(int(for_ms / STEP_MS)):
            self.reactor.advance(STEP_MS / 1000)

    def call_later(self, wait_ms: float, then, *arguments) -> None:
        self.reactor.callLater(wait_ms / 1000, then, *arguments)

    def change(self, revoked: str = "") -> None:
        """Acknowledge a new version of the configuration, which may revoke a key."""
        self.version += 1
        self.acknowledged_ms[self.version] = self.now_ms
        if revoked in self.keys:
            self.keys -= {revoked}
            self.revoked_ms[revoked] = self.now_ms
        for waiter in list(self.waiting):
            self._respond_to_waiter(waiter)

    def _respond_to_waiter(self, waiter: tuple[str, int, Deferred]) -> None:
        name, since, deferred = waiter
        if waiter not in self.waiting:
            return
        self.waiting.remove(waiter)
        if name not in self.refused:
            self.send_store_response(name, deferred, self.table_read(since))

    def table_read(self, since: int | None) -> TableRead:
        teams = (Team("t", tuple(key_digest(each) for each in sorted(self.keys))),)
        entry = ForwardingConfiguration(self.version, teams=teams, keyed=True)
        entries = (VersionedEntry(entry, self.position),)
        if since == self.position:
            entries = ()
        return TableRead(entries, self.position, self.now_ms, whole=since is None)

    def send_store_response(self, name: str, deferred: Deferred, value) -> None:
        """Send a store response made now, with the instance's extra delay."""
        delay_ms = self.delay_ms.get(name, 0.0)
        self.call_later(delay_ms, self.send_response, name, deferred, value)

    def restart(self, name: str) -> "Instance":
        """Replace an instance by a new process without state."""
        before = self.instances[name]
        before.task.stop()
        restarted = self.instances[name] = Instance(self, name, before.zone)
        restarted.task.start()
        return restarted

    def overstated_confirmations(self) -> dict[str, float]:
        """By how many ms instances claim a later confirmation than they can have.

        An instance without a version can be up to date as of the time at which the
        version was acknowledged, at the latest.
        """
        excess_ms = {}
        for name, each in self.instances.items():
            if each.site.routes is None:
                continue
            next_version = each.site.routes.configuration.version + 1
            if next_version in self.acknowledged_ms:
                confirmed_ms = each.freshness.confirmed_ms(Table.CONFIGURATION.value)
                excess_ms[name] = confirmed_ms - self.acknowledged_ms[next_version]
        return {name: by_ms for name, by_ms in excess_ms.items() if by_ms > 0}

    def send_response(self, name: str, deferred: Deferred, value) -> None:
        """Deliver a response to an instance; a frozen one gets it when it resumes."""
        wait_ms = self.random.uniform(0, 40)
        if isinstance(value, TableRead) and value.entries:
            self.call_later(wait_ms, setattr, deferred, "begun", True)
            wait_ms += self.transfer_ms
        self.call_later(wait_ms, self._deliver, name, deferred, value)

    def _deliver(self, name: str, deferred: Deferred, value) -> None:
        if name in self.instances and self.instances[name].frozen:
            self.call_later(STEP_MS, self._deliver, name, deferred, value)
        elif not deferred.called:
            deferred.callback(value)


class DelayableTimer:
    """A timer of an instance, which is delayed while the instance is frozen."""

    def __init__(self) -> None:
        self.call = None

    def cancel(self) -> None:
        self.call.cancel()

    def active(self) -> bool:
        return self.call.active()


class FreezableClock:
    """The reactor and clock of one instance; due timers wait while it is frozen."""

    def __init__(self, world: World, instance: "Instance") -> None:
        self.world, self.instance = world, instance

    def now_ms(self) -> float:
        return self.world.now_ms

    def callLater(self, delay_s, then, *arguments, **named):
        timer, reactor = DelayableTimer(), self.world.reactor

        def fire():
            if self.instance.frozen:
                timer.call = reactor.callLater(STEP_MS / 1000, fire)
            else:
                then(*arguments, **named)

        timer.call = reactor.callLater(delay_s, fire)
        return timer


class StoreClient(Source):
    """One instance's connection to the store."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name

    async def read(self, table, timeout_ms):
        return await self._query(None, 0.0, timeout_ms)

    async def follow(self, table, version, hold_ms, timeout_ms):
        return await self._query(version, hold_ms, timeout_ms)

    def _query(self, since, hold_ms, timeout_ms):
        world, deferred = self.world, Deferred()
        world.store_calls += 1
        world.call_later(timeout_ms, self._time_out, deferred)
        if self.name in world.refused:
            if world.refuses_immediately:
                world.send_response(self.name, deferred, SourceFailed("status 503"))
            return deferred
        if since is None or since < world.position or not hold_ms:
            world.send_store_response(self.name, deferred, world.table_read(since))
            return deferred
        waiter = (self.name, since, deferred)
        world.waiting.append(waiter)
        world.call_later(hold_ms, world._respond_to_waiter, waiter)
        return deferred

    def _time_out(self, deferred: Deferred) -> None:
        begun = getattr(deferred, "begun", False)
        if not deferred.called and not begun:
            self.world._deliver(self.name, deferred, SourceFailed("silent"))


class MembersClient(MemberReader):
    """One instance's connections to the others; responses are encoded and decoded."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.told_age = 1.0

    async def request(self, address, table, since, wait_ms, timeout_ms):
        world, deferred = self.world, Deferred()
        world.call_later(timeout_ms, self._time_out, deferred)
        world.call_later(
            world.random.uniform(0, 60),
            self._deliver_request,
            address,
            since,
            wait_ms,
            deferred,
        )
        return await deferred

    async def request_configuration_above(self, address, version, timeout_ms):
        world, deferred = self.world, Deferred()
        world.call_later(timeout_ms, self._time_out, deferred)
        if (address in world.partitioned) == (self.name in world.partitioned):
            feed = world.instances[address].feed
            feed.request_configuration_above(
                version, lambda answer: self._respond(deferred, answer)
            )
        return await deferred

    def _deliver_request(self, address, since, wait_ms, deferred) -> None:
        world = self.world
        if (address in world.partitioned) != (self.name in world.partitioned):
            return
        other = world.instances[address]
        if other.frozen:
            world.call_later(
                STEP_MS, self._deliver_request, address, since, wait_ms, deferred
            )
            return
        other.feed.request(
            since, wait_ms, lambda answer: self._respond(deferred, answer)
        )

    def _respond(self, deferred: Deferred, answer) -> None:
        if isinstance(answer, RelayedTableRead):
            reply = decode_table_read(encode_table_read(answer))
            assert reply == answer
            reply = self.tampered(reply)
        else:
            reply = NothingNewer()
        self.world.send_response(self.name, deferred, reply)

    def tampered(self, reply: RelayedTableRead) -> RelayedTableRead:
        return reply

    def _time_out(self, deferred: Deferred) -> None:
        if not deferred.called:
            self.world._deliver(self.name, deferred, MemberFailed("silent"))


class Instance:
    """One simulated instance of the group."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.frozen = False
        self.applied: list[int] = []
        clock = FreezableClock(world, self)
        freshness = self.freshness = Freshness()
        self.feed = TableFeed(clock, clock)
        self.members = MembersClient(world, name)
        self.site = SiteState(
            clock,
            clock,
            LiveSettings(SETTINGS),
            EndpointDirectory(),
            Mock(),
            freshness=freshness,
        )
        self.source = SharedSource(
            StoreClient(world, name),
            self.members,
            MembershipView(world, self),
            clock,
            world.random,
            freshness,
            SharingTerms(
                TIMERS.member_hold_ms,
                TIMERS.member_slack_ms,
                {Table.CONFIGURATION: TIMERS.shared_configuration_hold_ms},
                {Table.CONFIGURATION: TIMERS.usual_configuration_age_ms},
            ),
            lambda _: self.feed.requested_recently(),
            lambda: self.feed.configuration_version,
        )
        table = FollowedTable(
            Table.CONFIGURATION,
            TIMERS.configuration_hold_ms,
            TIMERS.configuration_gathering_ms,
            self.take,
            lambda _: None,
        )
        self.task = TableWatchTask(
            clock,
            clock,
            world.random,
            self.source,
            table,
            TIMERS.store_ms,
            freshness,
            StoreClock(),
            self.feed,
        )

    def take(self, table_read: TableRead) -> None:
        self.site.apply_configuration(table_read)
        self.applied.append(self.site.routes.configuration.version)

    @property
    def age_ms(self) -> float:
        return self.freshness.age_ms("configuration", self.world.now_ms)

    def accepts_key(self, key: str) -> bool:
        """Whether a request with the key would be sent now."""
        if self.frozen or self.site.routes is None:
            return False
        fresh = self.age_ms <= self.site.max_key_age_ms
        return fresh and self.site.routes.team(key) is not None


class MembershipView:
    """One instance's view of the group: all on its side of the partition."""

    def __init__(self, world: World, instance: Instance) -> None:
        self.world, self.instance, self.own = world, instance, instance.name
        self.zone = instance.zone

    def alive(self, zone=None):
        world = self.world
        side = self.own in world.partitioned
        return sorted(
            name
            for name, each in world.instances.items()
            if (name in world.partitioned) == side and zone in (None, each.zone)
        )

    def zones(self):
        return sorted({self.world.instances[each].zone for each in self.alive()})

    def store_reader(self, zone):
        return max(self.alive(zone), default="")

    def latest_confirmation(self, _table):
        ages = {each: self.world.instances[each].age_ms for each in self.alive()}
        best = min(ages, key=ages.get)
        return best, self.world.now_ms - ages[best]

"""Instances that share one store's table, on one clock, without sockets.

Each has its own `FollowTask`, `TableFeed`, `SharedSource` and `KnownSite`. The store
may be away for some or answer them late, links between instances may be slow or cut,
and an instance may freeze: whatever reaches it meanwhile comes when it wakes.
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
    StoreMoment,
    Team,
    key_digest,
)
from coursekeel.gateway._adapters import (
    Reading,
    Source,
    SourceFailed,
    Table,
    Versioned,
)
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway.members._member_reader import (
    MemberFailed,
    MemberReader,
    NothingNewer,
)
from coursekeel.gateway.members._reading_codec import (
    RelayedReading,
    decode_reading,
    encode_reading,
)
from coursekeel.gateway.members._shared_source import SharedSource, SharingTerms
from coursekeel.gateway.members._table_feed import TableFeed
from coursekeel.gateway.site._follow_task import FollowedTable, FollowTask
from coursekeel.gateway.site._known_site import KnownSite
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
        # How much later than others' the store's answers come to an instance.
        self.late_ms: dict[str, float] = {}
        self.away: set[str] = set()
        self.refuses_at_once = False
        self.cut: set[str] = set()
        self.store_calls = 0
        # How long the store's answers with rows take from their head to their end.
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
    def moment(self) -> StoreMoment:
        return StoreMoment(self.era, self.version)

    def run(self, for_ms: float) -> None:
        for _ in range(int(for_ms / STEP_MS)):
            self.reactor.advance(STEP_MS / 1000)

    def later(self, wait_ms: float, then, *arguments) -> None:
        self.reactor.callLater(wait_ms / 1000, then, *arguments)

    def change(self, revoked: str = "") -> None:
        """A new version is acknowledged; it may take a key away."""
        self.version += 1
        self.acknowledged_ms[self.version] = self.now_ms
        if revoked in self.keys:
            self.keys -= {revoked}
            self.revoked_ms[revoked] = self.now_ms
        for waiter in list(self.waiting):
            self._answer_waiter(waiter)

    def _answer_waiter(self, waiter: tuple[str, int, Deferred]) -> None:
        name, since, held = waiter
        if waiter not in self.waiting:
            return
        self.waiting.remove(waiter)
        if name not in self.away:
            self.store_answer(name, held, self.reading(since))

    def reading(self, since: int | None) -> Reading:
        teams = (Team("t", tuple(key_digest(each) for each in sorted(self.keys))),)
        entry = ForwardingConfiguration(self.version, teams=teams, keyed=True)
        entries = (Versioned(entry, self.moment),)
        if since == self.moment:
            entries = ()
        return Reading(entries, self.moment, self.now_ms, whole=since is None)

    def store_answer(self, name: str, held: Deferred, value) -> None:
        """The store makes an answer now, which may be late on its way."""
        late_ms = self.late_ms.get(name, 0.0)
        self.later(late_ms, self.answer, name, held, value)

    def start_anew(self, name: str) -> "Instance":
        """An instance ends, and another begins in its place."""
        before = self.instances[name]
        before.task.stop()
        again = self.instances[name] = Instance(self, name, before.zone)
        again.task.start()
        return again

    def too_young_proofs(self) -> dict[str, float]:
        """By how much, in ms, instances claim a later proof than they can have.

        Who doesn't know a version knows the table as of its acknowledgement at most.
        """
        found = {}
        for name, each in self.instances.items():
            if each.site.routes is None:
                continue
            unknown = each.site.routes.configuration.version + 1
            if unknown in self.acknowledged_ms:
                proven_ms = each.freshness.proven_ms(Table.CONFIGURATION.value)
                found[name] = proven_ms - self.acknowledged_ms[unknown]
        return {name: by_ms for name, by_ms in found.items() if by_ms > 0}

    def answer(self, name: str, held: Deferred, value) -> None:
        """Bring an answer to an instance; a frozen one gets it when it wakes."""
        wait_ms = self.random.uniform(0, 40)
        if isinstance(value, Reading) and value.entries:
            self.later(wait_ms, setattr, held, "begun", True)
            wait_ms += self.transfer_ms
        self.later(wait_ms, self._arrive, name, held, value)

    def _arrive(self, name: str, held: Deferred, value) -> None:
        if name in self.instances and self.instances[name].frozen:
            self.later(STEP_MS, self._arrive, name, held, value)
        elif not held.called:
            held.callback(value)


class Alarm:
    """A timer of an instance, which is put off while the instance is frozen."""

    def __init__(self) -> None:
        self.call = None

    def cancel(self) -> None:
        self.call.cancel()

    def active(self) -> bool:
        return self.call.active()


class FrozenClock:
    """A reactor and clock of one instance, whose timers ring when it wakes."""

    def __init__(self, world: World, instance: "Instance") -> None:
        self.world, self.instance = world, instance

    def now_ms(self) -> float:
        return self.world.now_ms

    def callLater(self, delay_s, then, *arguments, **named):
        alarm, reactor = Alarm(), self.world.reactor

        def ring():
            if self.instance.frozen:
                alarm.call = reactor.callLater(STEP_MS / 1000, ring)
            else:
                then(*arguments, **named)

        alarm.call = reactor.callLater(delay_s, ring)
        return alarm


class StoreOf(Source):
    """The store as one instance reaches it."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name

    async def read(self, table, timeout_ms):
        return await self._ask(None, 0.0, timeout_ms)

    async def follow(self, table, version, hold_ms, timeout_ms):
        return await self._ask(version, hold_ms, timeout_ms)

    def _ask(self, since, hold_ms, timeout_ms):
        world, held = self.world, Deferred()
        world.store_calls += 1
        world.later(timeout_ms, self._too_late, held)
        if self.name in world.away:
            if world.refuses_at_once:
                world.answer(self.name, held, SourceFailed("status 503"))
            return held
        if since is None or since < world.moment or not hold_ms:
            world.store_answer(self.name, held, world.reading(since))
            return held
        waiter = (self.name, since, held)
        world.waiting.append(waiter)
        world.later(hold_ms, world._answer_waiter, waiter)
        return held

    def _too_late(self, held: Deferred) -> None:
        begun = getattr(held, "begun", False)
        if not held.called and not begun:
            self.world._arrive(self.name, held, SourceFailed("silent"))


class MembersOf(MemberReader):
    """The other instances as one reaches them, through the form that is sent."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.told_age = 1.0

    async def request(self, address, table, since, wait_ms, timeout_ms):
        world, held = self.world, Deferred()
        world.later(timeout_ms, self._too_late, held)
        world.later(
            world.random.uniform(0, 60), self._reach, address, since, wait_ms, held
        )
        return await held

    async def request_configuration_above(self, address, version, timeout_ms):
        world, held = self.world, Deferred()
        world.later(timeout_ms, self._too_late, held)
        if (address in world.cut) == (self.name in world.cut):
            feed = world.instances[address].feed
            feed.request_configuration_above(
                version, lambda answer: self._told(held, answer)
            )
        return await held

    def _reach(self, address, since, wait_ms, held) -> None:
        world = self.world
        if (address in world.cut) != (self.name in world.cut):
            return
        other = world.instances[address]
        if other.frozen:
            world.later(STEP_MS, self._reach, address, since, wait_ms, held)
            return
        other.feed.request(since, wait_ms, lambda answer: self._told(held, answer))

    def _told(self, held: Deferred, answer) -> None:
        if isinstance(answer, RelayedReading):
            told = decode_reading(encode_reading(answer))
            assert told == answer
            told = self.spoiled(told)
        else:
            told = NothingNewer()
        self.world.answer(self.name, held, told)

    def spoiled(self, told: RelayedReading) -> RelayedReading:
        return told

    def _too_late(self, held: Deferred) -> None:
        if not held.called:
            self.world._arrive(self.name, held, MemberFailed("silent"))


class Instance:
    """One instance of the group."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.frozen = False
        self.applied: list[int] = []
        clock = FrozenClock(world, self)
        freshness = self.freshness = Freshness()
        self.feed = TableFeed(clock, clock)
        self.members = MembersOf(world, name)
        self.site = KnownSite(
            clock,
            clock,
            LiveSettings(SETTINGS),
            EndpointDirectory(),
            Mock(),
            freshness=freshness,
        )
        self.source = SharedSource(
            StoreOf(world, name),
            self.members,
            View(world, self),
            clock,
            world.random,
            freshness,
            SharingTerms(
                TIMERS.member_hold_ms,
                TIMERS.member_slack_ms,
                {Table.CONFIGURATION: TIMERS.shared_configuration_hold_ms},
                {Table.CONFIGURATION: TIMERS.configuration_peace_ms},
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
        self.task = FollowTask(
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

    def take(self, reading: Reading) -> None:
        self.site.take_configuration(reading)
        self.applied.append(self.site.routes.configuration.version)

    @property
    def age_ms(self) -> float:
        return self.freshness.age_ms("configuration", self.world.now_ms)

    def acts_on(self, key: str) -> bool:
        """Say whether a request with the key would be sent now."""
        if self.frozen or self.site.routes is None:
            return False
        fresh = self.age_ms <= self.site.max_key_age_ms
        return fresh and self.site.routes.team(key) is not None


class View:
    """Who is in the group, as one instance sees it: all that aren't parted from it."""

    def __init__(self, world: World, instance: Instance) -> None:
        self.world, self.instance, self.own = world, instance, instance.name
        self.zone = instance.zone

    def alive(self, zone=None):
        world = self.world
        side = self.own in world.cut
        return sorted(
            name
            for name, each in world.instances.items()
            if (name in world.cut) == side and zone in (None, each.zone)
        )

    def zones(self):
        return sorted({self.world.instances[each].zone for each in self.alive()})

    def holder(self, zone):
        return max(self.alive(zone), default="")

    def freshest(self, _table):
        ages = {each: self.world.instances[each].age_ms for each in self.alive()}
        best = min(ages, key=ages.get)
        return best, self.world.now_ms - ages[best]

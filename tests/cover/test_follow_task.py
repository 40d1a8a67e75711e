"""How `TableWatchTask` queries a table and confirms it, also while the store fails."""

from random import Random
from unittest.mock import Mock

from attrs import define, field
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from coursekeel.forwarding import Freshness, StoreClock
from coursekeel.gateway._adapters import (
    HistoryExpired,
    Removed,
    Source,
    SourceFailed,
    StoreQuery,
    Table,
    TableRead,
    VersionedEntry,
)
from coursekeel.gateway.members._table_feed import TableFeed
from coursekeel.gateway.site._follow_task import FollowedTable, TableWatchTask
from tests.common.moments import position_at


@define(eq=False)
class ScriptedSource(Source):
    """Records the hold of each query; the test resolves the responses."""

    holds: list[float] = field(factory=list)
    answers: list[Deferred] = field(factory=list)

    async def read(self, table, timeout_ms):
        return await self.query(0.0)

    async def follow(self, table, version, hold_ms, timeout_ms):
        return await self.query(hold_ms)

    def query(self, hold_ms):
        self.holds.append(hold_ms)
        self.answers.append(Deferred())
        return self.answers[-1]


def test_a_store_that_failed_is_queried_without_a_hold():
    """Guards against detecting the store's return only at the end of a hold."""
    reactor, source, clock = FakeReactor(), ScriptedSource(), Mock()
    clock.now_ms = lambda: reactor.seconds() * 1000
    table = FollowedTable(Table.ENDPOINTS, 4_000, 0, Mock(), Mock())
    task = TableWatchTask(
        reactor,
        clock,
        Random(1),
        source,
        table,
        1_000,
        Freshness(),
        StoreClock(),
        TableFeed(reactor, clock),
    )
    table_read = TableRead((), position_at(3), 0.0, whole=False)
    task.start()
    source.answers[0].callback(table_read)
    source.answers[1].callback(SourceFailed("silent"))
    reactor.advance(0.5)
    source.answers[2].callback(table_read)
    reactor.advance(0.5)
    task.stop()
    assert source.holds == [0.0, 4_000, 0.0, 4_000]


def followed_table(reactor, source, **callbacks):
    clock = Mock(now_ms=lambda: reactor.seconds() * 1000)
    freshness = Freshness()
    table = FollowedTable(Table.ENDPOINTS, 4_000, 0, Mock(), Mock(), **callbacks)
    feed = TableFeed(reactor, clock)
    task = TableWatchTask(
        reactor, clock, Random(1), source, table, 1_000, freshness, StoreClock(), feed
    )
    task.start()
    return task, table, freshness


def test_after_a_restore_nothing_is_applied_before_the_whole_table_is_read():
    reactor, source, restored = FakeReactor(), ScriptedSource(), Mock()
    task, table, _ = followed_table(reactor, source, restored=restored)
    source.answers[0].callback(TableRead((), position_at(412), 0.0, whole=True))
    reactor.advance(0)
    applied = table.take.call_count
    source.answers[1].callback(TableRead((), position_at(412, era=1), 0.0, whole=False))
    assert table.take.call_count == applied, "412 of another era is another 412"
    assert source.holds[2] == 0.0
    source.answers[2].callback(TableRead((), position_at(400, era=1), 0.0, whole=True))
    assert restored.call_count == 1
    assert table.take.call_count == applied + 1
    task.stop()


def test_a_late_response_of_the_previous_era_confirms_nothing():
    reactor, source = FakeReactor(), ScriptedSource()
    task, table, freshness = followed_table(reactor, source)
    source.answers[0].callback(TableRead((), position_at(5, era=2), 0.0, whole=True))
    confirmed_ms, applied = freshness.confirmed_ms("endpoints"), table.take.call_count
    reactor.advance(1)
    source.answers[1].callback(TableRead((), position_at(900, era=1), 0.0, whole=True))
    assert freshness.confirmed_ms("endpoints") == confirmed_ms
    assert table.take.call_count == applied
    task.stop()


def test_a_snapshot_that_could_not_be_applied_confirms_nothing():
    """Guards against confirming the old state when applying a snapshot raises, so that
    revoked keys would stay accepted.
    """
    reactor, source = FakeReactor(), ScriptedSource()
    task, table, freshness = followed_table(reactor, source)

    def answer(number: int) -> None:
        store_ms = reactor.seconds() * 1000
        source.answers[number].callback(
            TableRead((), position_at(9), store_ms, whole=True)
        )

    answer(0)
    reactor.advance(1)
    confirmed_ms = freshness.confirmed_ms("endpoints")
    table.take.side_effect = ValueError("a fault of ours")
    for number in (1, 2, 3):
        answer(number)
        reactor.advance(1)
        assert freshness.confirmed_ms("endpoints") == confirmed_ms
    table.take.side_effect = None
    answer(4)
    assert freshness.confirmed_ms("endpoints") > confirmed_ms
    task.stop()


def test_an_update_with_a_lower_version_in_the_same_era_is_not_applied():
    """A store that was restored and has no eras reuses versions; only a whole snapshot
    is then up to date."""
    reactor, source = FakeReactor(), ScriptedSource()
    task, table, freshness = followed_table(reactor, source)
    source.answers[0].callback(TableRead((), position_at(100), 0.0, whole=True))
    reactor.advance(1)
    applied, confirmed_ms = table.take.call_count, freshness.confirmed_ms("endpoints")
    source.answers[1].callback(TableRead((), position_at(55), 1_000.0, whole=False))
    assert table.take.call_count == applied
    assert freshness.confirmed_ms("endpoints") == confirmed_ms
    assert source.holds[2] == 0.0
    source.answers[2].callback(TableRead((), position_at(55), 1_000.0, whole=True))
    assert table.take.call_count == applied + 1
    assert freshness.confirmed_ms("endpoints") > confirmed_ms
    task.stop()


def test_an_early_response_that_arrived_late_confirms_no_hold():
    """The store ends a hold early, for a row that isn't followed here, and its response
    is late, as all were before. The store's clock shows when the response was made."""
    reactor, source = FakeReactor(), ScriptedSource()
    task, _, freshness = followed_table(reactor, source)
    reactor.advance(2)
    source.answers[0].callback(TableRead((), position_at(5), 0.0, whole=True))
    reactor.advance(0)
    reactor.advance(4.3)
    source.answers[1].callback(TableRead((), position_at(6), 2_300.0, whole=False))
    assert freshness.confirmed_ms("endpoints") <= 2_300.0
    reactor.advance(4.1)
    source.answers[2].callback(TableRead((), position_at(6), 10_300.0, whole=False))
    assert freshness.confirmed_ms("endpoints") >= 10_250.0
    task.stop()


def test_a_confirmation_from_before_the_machine_started_keeps_its_age():
    """A member's confirmation that is older than the machine's uptime is negative."""
    reactor, answers = FakeReactor(), []
    clock = Mock(now_ms=lambda: reactor.seconds() * 1000)
    feed = TableFeed(reactor, clock)
    reactor.advance(1)
    feed.took(TableRead((), position_at(5), 0.0, whole=True), -3_000.0)
    feed.request(None, 0.0, answers.append)
    assert answers[0].age_ms == 4_000.0


def test_a_lost_response_is_no_outage_and_is_asked_for_again_at_once():
    """Guards against a leaving that an instance learns of a hold and a pause later."""
    reactor, source = FakeReactor(), ScriptedSource()
    task, table, _ = followed_table(reactor, source)
    source.answers[0].callback(TableRead((), position_at(3), 0.0, whole=True))
    reactor.advance(0)
    reactor.advance(4.2)
    source.answers[1].callback(SourceFailed("silent"))
    reactor.advance(0)
    assert source.holds[2:] == [0.0]
    source.answers[2].callback(TableRead((), position_at(3), 4_200.0, whole=False))
    outage = table.on_source_return.call_args.args[0]
    assert 4_200 <= outage.unconfirmed_ms < 4_210
    assert outage.failed_ms == 0
    task.stop()


def test_the_time_without_a_response_begins_with_the_last_response():
    """Guards against counting the hold before a change as a part of an outage."""
    reactor, source = FakeReactor(), ScriptedSource()
    task, table, freshness = followed_table(reactor, source)
    source.answers[0].callback(TableRead((), position_at(3), 0.0, whole=True))
    reactor.advance(0)
    reactor.advance(3)
    change = VersionedEntry(Removed("e"), position_at(4))
    source.answers[1].callback(
        TableRead((change,), position_at(4), 3_000.0, whole=False)
    )
    assert freshness.confirmed_ms("endpoints") == 0
    reactor.advance(0.5)
    source.answers[2].callback(SourceFailed("reset"))
    reactor.advance(0.5)
    source.answers[3].callback(TableRead((), position_at(4), 4_000.0, whole=False))
    outage = table.on_source_return.call_args.args[0]
    assert 1_000 <= outage.unconfirmed_ms < 1_010
    task.stop()


def test_changes_that_gathered_shorten_the_next_hold():
    reactor, source = FakeReactor(), ScriptedSource()
    clock = Mock(now_ms=lambda: reactor.seconds() * 1000)
    table = FollowedTable(Table.ENDPOINTS, 600, 450, Mock(), Mock())
    feed = TableFeed(reactor, clock)
    task = TableWatchTask(
        reactor, clock, Random(1), source, table, 1_000, Freshness(), StoreClock(), feed
    )
    task.start()
    source.answers[0].callback(TableRead((), position_at(3), 0.0, whole=True))
    reactor.advance(0.45)
    source.answers[1].callback(TableRead((), position_at(3), 450.0, whole=False))
    task.stop()
    assert source.holds == [0.0, 150, 600]


def test_an_outage_after_which_the_history_is_gone_counts_in_full():
    """Guards against dropping all endpoints whose registrations lapsed in it."""
    reactor, source = FakeReactor(), ScriptedSource()
    task, table, _ = followed_table(reactor, source)
    source.answers[0].callback(TableRead((), position_at(3), 0.0, whole=True))
    reactor.advance(0)
    source.answers[1].callback(SourceFailed("reset"))
    reactor.advance(5)
    source.answers[2].callback(SourceFailed("reset"))
    reactor.advance(1)
    source.answers[-1].callback(HistoryExpired())
    reactor.advance(0)
    source.answers[-1].callback(TableRead((), position_at(9), 6_000.0, whole=True))
    outage = table.on_source_return.call_args.args[0]
    assert outage.unconfirmed_ms >= 5_000
    assert outage.failed_ms >= 5_000
    task.stop()


def test_an_outage_is_told_though_the_repeated_query_was_answered():
    """Guards against an outage that falls into a hold whose response is lost."""
    reactor, source = FakeReactor(), ScriptedSource()
    task, table, _ = followed_table(reactor, source)
    source.answers[0].callback(TableRead((), position_at(3), 0.0, whole=True))
    reactor.advance(0)
    reactor.advance(5)
    repeated = StoreQuery(4_990.0, 0.0)
    source.answers[1].callback(
        TableRead((), position_at(4), 5_000.0, whole=False, query=repeated)
    )
    outage = table.on_source_return.call_args.args[0]
    assert 4_990 <= outage.unconfirmed_ms <= 5_000
    assert outage.failed_ms == 0
    task.stop()


def test_a_hold_that_the_store_kept_is_no_outage():
    reactor, source = FakeReactor(), ScriptedSource()
    task, table, _ = followed_table(reactor, source)
    source.answers[0].callback(TableRead((), position_at(3), 0.0, whole=True))
    reactor.advance(0)
    reactor.advance(3)
    change = VersionedEntry(Removed("e"), position_at(4))
    source.answers[1].callback(
        TableRead((change,), position_at(4), 3_000.0, whole=False)
    )
    reactor.advance(0)
    reactor.advance(4)
    source.answers[2].callback(TableRead((), position_at(4), 7_000.0, whole=False))
    table.on_source_return.assert_not_called()
    task.stop()


def test_members_that_answer_late_or_not_show_no_outage_of_the_store():
    """Guards against keeping an endpoint that left, though the store was there."""
    reactor, source = FakeReactor(), ScriptedSource()
    task, table, _ = followed_table(reactor, source)
    source.answers[0].callback(TableRead((), position_at(3), 0.0, whole=True))
    reactor.advance(0)
    reactor.advance(5)
    source.answers[1].callback(
        TableRead((), position_at(4), 0.0, whole=False, confirmed_ms=4_900.0)
    )
    reactor.advance(0)
    reactor.advance(5)
    fallback = StoreQuery(9_990.0, 0.0)
    source.answers[2].callback(
        TableRead((), position_at(4), 10_000.0, whole=False, query=fallback)
    )
    table.on_source_return.assert_not_called()
    task.stop()


def test_an_exception_of_this_program_is_no_outage_of_the_store(monkeypatch):
    """Guards against logging that the store is back, though it was never away."""
    events: list[str] = []
    monkeypatch.setattr(
        "coursekeel.gateway.site._follow_task.log_event",
        lambda event, *_, **__: events.append(event),
    )
    reactor, source = FakeReactor(), ScriptedSource()
    task, table, _ = followed_table(reactor, source)
    source.answers[0].callback(TableRead((), position_at(3), 0.0, whole=True))
    reactor.advance(0.1)
    source.answers[1].errback(ValueError("injected"))
    reactor.advance(1)
    source.answers[2].errback(ValueError("injected"))
    reactor.advance(1)
    source.answers[3].callback(TableRead((), position_at(3), 2_100.0, whole=True))
    table.on_source_return.assert_not_called()
    assert events == ["follow_failed", "follow_failed", "table_back"]
    assert task.faults == 2
    task.stop()


def respond_in_time(reactor, source, lead_ms=0.0):
    """Answer the last query; the store's clock is ahead by ``lead_ms``."""
    store_ms = reactor.seconds() * 1000 + lead_ms
    source.answers[-1].callback(TableRead((), position_at(3), store_ms, whole=True))
    reactor.advance(1)


def test_a_store_whose_clock_jumps_for_a_moment_confirms_again_at_once():
    """Guards against refusing all keys after a single response with a wrong time."""
    reactor, source = FakeReactor(), ScriptedSource()
    reactor.advance(100)
    task, _, freshness = followed_table(reactor, source)
    for lead_ms in (0.0, 61_000.0, 1e15, 0.0):
        respond_in_time(reactor, source, lead_ms)
    task.stop()
    # The last query was sent within the pause after a failure, 0.6 s at most.
    assert freshness.age_ms("endpoints", reactor.seconds() * 1000) < 2_000


def test_a_store_whose_clock_jumped_for_good_is_followed_again_after_a_while():
    reactor, source = FakeReactor(), ScriptedSource()
    reactor.advance(100)
    task, _, freshness = followed_table(reactor, source)
    respond_in_time(reactor, source)
    for _ in range(30):
        respond_in_time(reactor, source, 1e9)
        assert freshness.age_ms("endpoints", reactor.seconds() * 1000) > 1_000
    for _ in range(3):
        respond_in_time(reactor, source, 1e9)
    task.stop()
    assert freshness.age_ms("endpoints", reactor.seconds() * 1000) < 2_000

"""How a table is asked for while the store answers and while it doesn't."""

from random import Random
from unittest.mock import Mock

from attrs import define, field
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from coursekeel.forwarding import Freshness, StoreClock
from coursekeel.gateway._adapters import Reading, Source, SourceFailed, Table
from coursekeel.gateway.members._table_feed import TableFeed
from coursekeel.gateway.site._follow_task import FollowedTable, FollowTask


@define(eq=False)
class ScriptedSource(Source):
    """Keeps each question's hold; the test answers."""

    holds: list[float] = field(factory=list)
    answers: list[Deferred] = field(factory=list)

    async def read(self, table, timeout_ms):
        return await self.asked(0.0)

    async def follow(self, table, version, hold_ms, timeout_ms):
        return await self.asked(hold_ms)

    def asked(self, hold_ms):
        self.holds.append(hold_ms)
        self.answers.append(Deferred())
        return self.answers[-1]


def test_a_store_that_failed_is_asked_for_an_answer_at_once():
    """A question that it may hold would hang for the whole hold, and its return would
    be seen so much later."""
    reactor, source, clock = FakeReactor(), ScriptedSource(), Mock()
    clock.now_ms = lambda: reactor.seconds() * 1000
    table = FollowedTable(Table.ENDPOINTS, 4_000, 0, Mock(), Mock())
    task = FollowTask(
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
    reading = Reading((), 3, 0.0, whole=False)
    task.start()
    source.answers[0].callback(reading)
    source.answers[1].callback(SourceFailed("silent"))
    reactor.advance(0.5)
    source.answers[2].callback(reading)
    reactor.advance(0.5)
    task.stop()
    assert source.holds == [0.0, 4_000, 0.0, 4_000]

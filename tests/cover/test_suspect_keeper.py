"""The rows of barred requests are stored, and read by their age after a restart."""

from unittest.mock import Mock

import pytest
from attrs import define, field
from twisted.internet.task import Clock as FakeReactor

from coursekeel.quarantine import Barred, Quarantine, Sign, Trial
from coursekeel.suspects import (
    StoredRows,
    SuspectKeeper,
    SuspectTable,
    TableFailed,
)

STORE_AHEAD_MS = 70_000.0


@define(eq=False)
class ScriptedTable(SuspectTable):
    """A table in memory; its clock is ahead of the instances' by a constant offset."""

    reactor: FakeReactor
    rows: dict[str, bytes] = field(factory=dict)
    away: bool = False
    calls: int = 0

    @property
    def store_ms(self) -> float:
        return self.reactor.seconds() * 1000 + STORE_AHEAD_MS

    async def read(self, timeout_ms):
        self.calls += 1
        if self.away:
            return TableFailed("away")
        return StoredRows(dict(self.rows), self.store_ms)

    async def write(self, kept, gone, timeout_ms):
        self.calls += 1
        if self.away:
            return TableFailed("away")
        self.rows |= kept
        for fingerprint in gone:
            self.rows.pop(fingerprint, None)
        return None


class KeeperInstance:
    """One incarnation of an instance, with its own clock; the table is shared."""

    def __init__(self, table: ScriptedTable) -> None:
        self.table, self.reactor = table, table.reactor
        began_s = self.reactor.seconds()
        clock = Mock(now_ms=lambda: (self.reactor.seconds() - began_s) * 1000)
        self.now_ms = clock.now_ms
        self.quarantine = Quarantine()
        self.keeper = SuspectKeeper(self.reactor, clock, table, self.quarantine, 1_000)
        self.keeper.start()

    def apply(self, record) -> None:
        if record is not None:
            self.keeper.touched(record.fingerprint)
        for event in self.quarantine.events:
            self.keeper.changed(event)
        self.quarantine.events.clear()

    def bar(self, fingerprint: str = "f") -> None:
        for number in range(3):
            at_ms = self.now_ms()
            struck = self.quarantine.add_strike(
                fingerprint, f"e{number}", Sign.BEGAN, at_ms
            )
            self.apply(struck)
            self.reactor.advance(0.1)

    def verdict(self, fingerprint: str = "f"):
        return self.quarantine.verdict(fingerprint, self.now_ms())


@pytest.fixture
def table():
    reactor = FakeReactor()
    reactor.advance(100)
    return ScriptedTable(reactor)


def test_a_bar_survives_a_restart_and_keeps_its_end(table):
    KeeperInstance(table).bar()
    table.reactor.advance(30)
    restarted = KeeperInstance(table).verdict()
    assert isinstance(restarted, Barred)
    assert restarted.remaining_ms == pytest.approx(120_000 - 30_000, abs=500)


def test_a_bar_that_ended_during_a_restart_allows_a_trial(table):
    KeeperInstance(table).bar()
    table.reactor.advance(130)
    assert KeeperInstance(table).verdict() == Trial()


def test_a_record_that_bars_nothing_is_not_written(table):
    running = KeeperInstance(table)
    calls = table.calls
    running.apply(
        running.quarantine.add_strike("f", "e0", Sign.BEGAN, running.now_ms())
    )
    running.apply(running.quarantine.clear("f", running.now_ms()))
    table.reactor.pump([0.5] * 10)
    assert table.calls == calls


def test_the_row_of_a_cleared_request_is_removed(table):
    running = KeeperInstance(table)
    running.bar()
    assert list(table.rows) == ["f"]
    running.apply(running.quarantine.clear("f", running.now_ms()))
    table.reactor.pump([0.5] * 3)
    assert table.rows == {}


def test_writes_are_retried_until_the_store_is_available(table):
    table.away = True
    running = KeeperInstance(table)
    running.bar()
    table.reactor.pump([0.5] * 10)
    assert table.rows == {}
    table.away = False
    table.reactor.pump([0.5] * 4)
    assert list(table.rows) == ["f"]
    calls = table.calls
    table.reactor.pump([0.5] * 20)
    assert table.calls == calls


def test_more_rows_than_one_call_holds_are_written(table):
    running = KeeperInstance(table)
    table.away = True
    for number in range(120):
        running.bar(f"f{number}")
    table.away = False
    table.reactor.pump([0.5] * 10)
    assert len(table.rows) == 120


@pytest.mark.parametrize("row", [b"", b"{}", b"[1]", b"\xff"])
def test_an_invalid_row_is_removed_and_the_others_are_read(table, row):
    KeeperInstance(table).bar()
    table.rows["a"] = row
    restarted = KeeperInstance(table)
    table.reactor.pump([0.5] * 3)
    assert isinstance(restarted.verdict(), Barred)
    assert list(table.rows) == ["f"]


def test_rows_missing_after_a_restore_of_the_store_are_written_again():
    """Once by the instance that recorded the strikes, once by the chosen member."""
    table = ScriptedTable(FakeReactor())
    writer = KeeperInstance(table)
    writer.bar("seen")
    writer.reactor.advance(2)
    other = KeeperInstance(table)
    other.reactor.advance(1)
    assert other.quarantine.is_barred("seen")
    table.rows.clear()
    other.keeper.store_restored(lambda _: False)
    other.reactor.advance(2)
    assert not table.rows
    writer.keeper.store_restored(lambda _: False)
    writer.reactor.advance(2)
    assert list(table.rows) == ["seen"]
    table.rows.clear()
    other.keeper.store_restored(lambda fingerprint: fingerprint == "seen")
    other.reactor.advance(2)
    assert list(table.rows) == ["seen"]

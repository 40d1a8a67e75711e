"""What bars a request is kept in the store, and what was kept counts by its age."""

from unittest.mock import Mock

import pytest
from attrs import define, field
from twisted.internet.task import Clock as FakeReactor

from coursekeel.quarantine import Barred, Quarantine, Sign, Trial
from coursekeel.suspects import (
    KeptRows,
    SuspectKeeper,
    SuspectTable,
    TableFailed,
)

STORE_AHEAD_MS = 70_000.0


@define(eq=False)
class ScriptedTable(SuspectTable):
    """The store's table; its clock and the instances' run alike from other moments."""

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
        return KeptRows(dict(self.rows), self.store_ms)

    async def write(self, kept, gone, timeout_ms):
        self.calls += 1
        if self.away:
            return TableFailed("away")
        self.rows |= kept
        for each in gone:
            self.rows.pop(each, None)
        return None


class Kept:
    """One instance's life; the next one begins later, with the same table."""

    def __init__(self, table: ScriptedTable) -> None:
        self.table, self.reactor = table, table.reactor
        began_s = self.reactor.seconds()
        clock = Mock(now_ms=lambda: (self.reactor.seconds() - began_s) * 1000)
        self.now_ms = clock.now_ms
        self.quarantine = Quarantine()
        self.keeper = SuspectKeeper(self.reactor, clock, table, self.quarantine, 1_000)
        self.keeper.start()

    def learn(self, record) -> None:
        if record is not None:
            self.keeper.touched(record.fingerprint)
        for each in self.quarantine.events:
            self.keeper.changed(each)
        self.quarantine.events.clear()

    def bar(self, fingerprint: str = "f") -> None:
        for number in range(3):
            at_ms = self.now_ms()
            struck = self.quarantine.strike(
                fingerprint, f"e{number}", Sign.BEGAN, at_ms
            )
            self.learn(struck)
            self.reactor.advance(0.1)

    def verdict(self, fingerprint: str = "f"):
        return self.quarantine.verdict(fingerprint, self.now_ms())


@pytest.fixture
def table():
    reactor = FakeReactor()
    reactor.advance(100)
    return ScriptedTable(reactor)


def test_a_bar_outlasts_the_instance_and_goes_on_by_its_age(table):
    Kept(table).bar()
    table.reactor.advance(30)
    again = Kept(table).verdict()
    assert isinstance(again, Barred)
    assert again.remaining_ms == pytest.approx(120_000 - 30_000, abs=500)


def test_a_bar_that_is_over_meanwhile_is_a_trials(table):
    Kept(table).bar()
    table.reactor.advance(130)
    assert Kept(table).verdict() == Trial()


def test_what_does_not_bar_is_not_written(table):
    one = Kept(table)
    calls = table.calls
    one.learn(one.quarantine.strike("f", "e0", Sign.BEGAN, one.now_ms()))
    one.learn(one.quarantine.proved_sound("f", one.now_ms()))
    table.reactor.pump([0.5] * 10)
    assert table.calls == calls


def test_what_is_proved_sound_is_removed(table):
    one = Kept(table)
    one.bar()
    assert list(table.rows) == ["f"]
    one.learn(one.quarantine.proved_sound("f", one.now_ms()))
    table.reactor.pump([0.5] * 3)
    assert table.rows == {}


def test_while_the_store_is_away_it_is_asked_again_until_all_is_written(table):
    table.away = True
    one = Kept(table)
    one.bar()
    table.reactor.pump([0.5] * 10)
    assert table.rows == {}
    table.away = False
    table.reactor.pump([0.5] * 4)
    assert list(table.rows) == ["f"]
    calls = table.calls
    table.reactor.pump([0.5] * 20)
    assert table.calls == calls


def test_each_of_many_rows_is_written(table):
    one = Kept(table)
    table.away = True
    for number in range(120):
        one.bar(f"f{number}")
    table.away = False
    table.reactor.pump([0.5] * 10)
    assert len(table.rows) == 120


@pytest.mark.parametrize("row", [b"", b"{}", b"[1]", b"\xff"])
def test_a_row_that_cannot_be_read_is_removed_and_hides_no_other(table, row):
    Kept(table).bar()
    table.rows["a"] = row
    again = Kept(table)
    table.reactor.pump([0.5] * 3)
    assert isinstance(again.verdict(), Barred)
    assert list(table.rows) == ["f"]


def test_rows_that_a_restored_store_forgot_are_written_again():
    """By who saw the endpoints end, and by one of all for those whose writer died."""
    table = ScriptedTable(FakeReactor())
    writer = Kept(table)
    writer.bar("seen")
    writer.reactor.advance(2)
    other = Kept(table)
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
    other.keeper.store_restored(lambda each: each == "seen")
    other.reactor.advance(2)
    assert list(table.rows) == ["seen"]

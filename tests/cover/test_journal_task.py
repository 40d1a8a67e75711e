"""An entry's right to speak for durable answers, with a table that can be away."""

from types import SimpleNamespace
from unittest.mock import Mock

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.testing import MemoryReactorClock

from coursekeel.answers import Ledger
from coursekeel.entry.answers._answer_registry import AnswerRegistry
from coursekeel.entry.answers._journal_task import JournalTask, seal_transaction
from coursekeel.settings import Timers
from coursekeel.storage import Committed, Rows, Unavailable
from tests.common.fake_platform import FakePlatform

TIMERS = Timers()
LAPSED_S = (TIMERS.lease_ms + TIMERS.lease_margin_ms) / 1000
KEY = "answer/ikeja/1"


class Table(FakePlatform):
    """Answers at once while it is up, fails or hangs while it is out."""

    def __init__(self):
        super().__init__()
        self.out = False
        self.hangs = False
        self.hung = []
        self.objects = {}

    def _say(self, said):
        if self.hangs:
            self.hung.append(Deferred())
            return self.hung[-1]
        return succeed(Unavailable("out") if self.out else said())

    async def transact(self, transaction):
        return await self._say(lambda: self.apply(transaction))

    async def read(self, keys):
        found = {each: self.rows[each] for each in keys if each in self.rows}
        return await self._say(lambda: Rows(found))

    async def put_object(self, key, data):
        def put():
            self.objects[key] = data
            return Committed()

        return await self._say(put)

    async def delete_object(self, key):
        def delete():
            self.objects.pop(key, None)
            return Committed()

        return await self._say(delete)


@pytest.fixture
def entry():
    reactor, table = MemoryReactorClock(), Table()
    clock = SimpleNamespace(now_ms=lambda: reactor.seconds() * 1000)
    fenced = []
    task = JournalTask(
        reactor,
        clock,
        table,
        TIMERS,
        "entry-1",
        "entry-1~a",
        lambda: fenced.append(True),
        lambda keys: None,
        lambda: None,
        lambda: "127.0.0.1:1",
    )
    task.start()
    world = SimpleNamespace(reactor=reactor, table=table, task=task, fenced=fenced)
    lives(world, 5)
    return world


def lives(world, seconds):
    for _ in range(int(seconds * 100)):
        world.reactor.advance(0.01)


def is_paused(world, seconds):
    """Time goes on and nothing of this process runs; then it wakes."""
    world.reactor.rightNow += seconds


def may_send(world):
    return world.task.right_left_ms() > 0


def is_sealed(world):
    row = world.table.rows["leases/entry/entry-1"]
    assert isinstance(world.table.apply(seal_transaction(row)), Committed)


def test_an_outage_that_is_seen_from_its_beginning_stops_nothing(entry):
    entry.table.out = True
    for _ in range(200):
        lives(entry, 0.1)
        assert may_send(entry)


def test_neither_does_one_in_which_every_call_hangs(entry):
    entry.table.hangs = True
    for round_number in range(200):
        lives(entry, 0.1)
        if round_number % 10 == 9:
            for each in entry.table.hung:
                each.callback(Unavailable("no answer in time"))
            entry.table.hung.clear()
        assert may_send(entry)


def test_a_pause_in_which_others_can_have_taken_over_is_no_outage(entry):
    """The table works while this process is paused, and is out when it wakes.

    Seen failing: the woken owner took its first failed call for an outage, in which
    nobody can take over, and spoke for answers that had been adopted.
    """
    is_paused(entry, LAPSED_S)
    entry.table.out = True
    for _ in range(100):
        assert not may_send(entry)
        lives(entry, 0.1)


@pytest.mark.parametrize("behind", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5])
def test_so_is_the_shortest_pause_that_others_can_use(entry, behind):
    """At each moment between two renewals."""
    lives(entry, behind)
    last_renewal_ms = entry.task._renewed_ms
    now_ms = entry.reactor.seconds() * 1000
    is_paused(entry, (last_renewal_ms - now_ms) / 1000 + LAPSED_S)
    entry.table.out = True
    for _ in range(20):
        assert not may_send(entry)
        lives(entry, 0.1)


def test_a_pause_in_a_call_is_no_outage_either(entry):
    entry.table.hangs = True
    lives(entry, 1)
    is_paused(entry, LAPSED_S)
    entry.table.hangs, entry.table.out = False, True
    for each in entry.table.hung:
        each.callback(Unavailable("no answer in time"))
    for _ in range(20):
        assert not may_send(entry)
        lives(entry, 0.1)


def test_after_such_a_pause_the_tables_own_word_settles_it(entry):
    is_paused(entry, LAPSED_S)
    entry.table.out = True
    lives(entry, 1)
    entry.table.out = False
    lives(entry, 1)
    assert may_send(entry)
    entry.table.out = True
    lives(entry, 5)
    assert may_send(entry)


def test_and_so_does_the_loss_of_the_lease(entry):
    is_paused(entry, LAPSED_S)
    is_sealed(entry)
    assert not may_send(entry)
    lives(entry, 0.1)
    assert entry.fenced


def test_an_entry_that_starts_in_an_outage_speaks_for_what_it_begins():
    reactor, table = MemoryReactorClock(), Table()
    table.out = True
    clock = SimpleNamespace(now_ms=lambda: reactor.seconds() * 1000)
    nothing = [lambda *_: None] * 3
    task = JournalTask(
        reactor, clock, table, TIMERS, "e", "e~a", *nothing, lambda: "127.0.0.1:1"
    )
    task.start()
    world = SimpleNamespace(reactor=reactor, table=table, task=task)
    lives(world, 1)
    is_paused(world, LAPSED_S)
    lives(world, 0.1)
    assert may_send(world)


def test_a_fenced_owner_deletes_nothing_of_its_journal(entry):
    """Its adopter reads it, and another would if the adopter died.

    Seen failing: an owner that woke, and whose answer's end was refused by the table,
    deleted the segments that spoke of that answer only.
    """
    ledger = Ledger("g")
    entry.task.writer.track(KEY, ledger)
    ledger.offer(0, [1, 2], ["a", "b"])
    lives(entry, 1)
    assert len(entry.table.objects) == 1
    entry.task.leave_to_successor(KEY)
    lives(entry, 1)
    assert len(entry.table.objects) == 1


def test_a_settled_answers_segments_are_deleted(entry):
    ledger = Ledger("g")
    entry.task.writer.track(KEY, ledger)
    ledger.offer(0, [1, 2], ["a", "b"])
    lives(entry, 1)
    entry.task.forget(KEY)
    assert not entry.table.objects


@pytest.mark.parametrize(("always_anothers", "deletes"), [(False, False), (True, True)])
def test_only_what_always_was_anothers_is_deleted_when_an_answer_is_given_up(
    entry, always_anothers, deletes
):
    ports, store = Mock(), Mock()
    registry = AnswerRegistry(entry.reactor, "entry-1", ports, store, entry.task, 0)
    ledger = Ledger("g")
    entry.task.writer.track(KEY, ledger)
    ledger.offer(0, [1, 2], ["a", "b"])
    lives(entry, 1)
    registry.fence(KEY, stops_run=always_anothers)
    lives(entry, 1)
    assert (not entry.table.objects) == deletes

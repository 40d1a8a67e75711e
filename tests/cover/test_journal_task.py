"""How long an entry may send durable answers, with store outages and pauses."""

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
LEASE_LAPSE_S = (TIMERS.lease_ms + TIMERS.lease_margin_ms) / 1000
KEY = "answer/ikeja/1"


class Table(FakePlatform):
    """A table that responds at once, fails during an outage, or never responds."""

    def __init__(self):
        super().__init__()
        self.out = False
        self.hangs = False
        self.unanswered = []
        self.objects = {}

    def _respond(self, make_response):
        if self.hangs:
            self.unanswered.append(Deferred())
            return self.unanswered[-1]
        return succeed(Unavailable("out") if self.out else make_response())

    async def transact(self, transaction):
        return await self._respond(lambda: self.apply(transaction))

    async def read(self, keys):
        found = {key: self.rows[key] for key in keys if key in self.rows}
        return await self._respond(lambda: Rows(found))

    async def put_object(self, key, data):
        def put():
            self.objects[key] = data
            return Committed()

        return await self._respond(put)

    async def delete_object(self, key):
        def delete():
            self.objects.pop(key, None)
            return Committed()

        return await self._respond(delete)


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
    run_for(world, 5)
    return world


def run_for(world, seconds):
    for _ in range(int(seconds * 100)):
        world.reactor.advance(0.01)


def pause_for(world, seconds):
    """Advance the clock without running anything of this process."""
    world.reactor.rightNow += seconds


def may_send(world):
    return world.task.right_left_ms() > 0


def seal_lease(world):
    row = world.table.rows["leases/entry/entry-1"]
    assert isinstance(world.table.apply(seal_transaction(row)), Committed)


def test_sending_continues_through_an_outage_observed_from_its_start(entry):
    entry.table.out = True
    for _ in range(200):
        run_for(entry, 0.1)
        assert may_send(entry)


def test_sending_continues_through_an_outage_in_which_calls_hang(entry):
    entry.table.hangs = True
    for round_number in range(200):
        run_for(entry, 0.1)
        if round_number % 10 == 9:
            for call in entry.table.unanswered:
                call.callback(Unavailable("no answer in time"))
            entry.table.unanswered.clear()
        assert may_send(entry)


def test_sending_stops_after_a_pause_in_which_the_lease_lapsed(entry):
    """The table works during the pause and is out afterwards.

    Guards against an owner that takes its first failed call for an outage without
    takeovers, and sends answers that have been adopted.
    """
    pause_for(entry, LEASE_LAPSE_S)
    entry.table.out = True
    for _ in range(100):
        assert not may_send(entry)
        run_for(entry, 0.1)


@pytest.mark.parametrize("after_renewal_s", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5])
def test_sending_stops_after_the_shortest_pause_that_allows_a_takeover(
    entry, after_renewal_s
):
    """At several times between two renewals."""
    run_for(entry, after_renewal_s)
    last_renewal_ms = entry.task._renewed_ms
    now_ms = entry.reactor.seconds() * 1000
    pause_for(entry, (last_renewal_ms - now_ms) / 1000 + LEASE_LAPSE_S)
    entry.table.out = True
    for _ in range(20):
        assert not may_send(entry)
        run_for(entry, 0.1)


def test_sending_stops_after_a_pause_during_a_call(entry):
    entry.table.hangs = True
    run_for(entry, 1)
    pause_for(entry, LEASE_LAPSE_S)
    entry.table.hangs, entry.table.out = False, True
    for call in entry.table.unanswered:
        call.callback(Unavailable("no answer in time"))
    for _ in range(20):
        assert not may_send(entry)
        run_for(entry, 0.1)


def test_sending_resumes_after_a_pause_once_the_table_responds(entry):
    pause_for(entry, LEASE_LAPSE_S)
    entry.table.out = True
    run_for(entry, 1)
    entry.table.out = False
    run_for(entry, 1)
    assert may_send(entry)
    entry.table.out = True
    run_for(entry, 5)
    assert may_send(entry)


def test_a_lost_lease_is_noticed_after_a_pause(entry):
    pause_for(entry, LEASE_LAPSE_S)
    seal_lease(entry)
    assert not may_send(entry)
    run_for(entry, 0.1)
    assert entry.fenced


def test_an_entry_that_starts_in_an_outage_may_send_its_answers():
    reactor, table = MemoryReactorClock(), Table()
    table.out = True
    clock = SimpleNamespace(now_ms=lambda: reactor.seconds() * 1000)
    callbacks = [lambda *_: None] * 3
    task = JournalTask(
        reactor, clock, table, TIMERS, "e", "e~a", *callbacks, lambda: "127.0.0.1:1"
    )
    task.start()
    world = SimpleNamespace(reactor=reactor, table=table, task=task)
    run_for(world, 1)
    pause_for(world, LEASE_LAPSE_S)
    run_for(world, 0.1)
    assert may_send(world)


def test_a_fenced_owner_keeps_its_journal_segments(entry):
    """Guards against deleting segments that the answer's adopter still needs."""
    ledger = Ledger("g")
    entry.task.writer.track(KEY, ledger)
    ledger.offer(0, [1, 2], ["a", "b"])
    run_for(entry, 1)
    assert len(entry.table.objects) == 1
    entry.task.leave_to_successor(KEY)
    run_for(entry, 1)
    assert len(entry.table.objects) == 1


def test_segments_of_a_stored_answer_are_deleted(entry):
    ledger = Ledger("g")
    entry.task.writer.track(KEY, ledger)
    ledger.offer(0, [1, 2], ["a", "b"])
    run_for(entry, 1)
    entry.task.forget(KEY)
    assert not entry.table.objects


@pytest.mark.parametrize(("never_owned", "deletes"), [(False, False), (True, True)])
def test_fencing_deletes_segments_only_of_answers_never_owned(
    entry, never_owned, deletes
):
    ports, store = Mock(), Mock()
    registry = AnswerRegistry(entry.reactor, "entry-1", ports, store, entry.task, 0)
    ledger = Ledger("g")
    entry.task.writer.track(KEY, ledger)
    ledger.offer(0, [1, 2], ["a", "b"])
    run_for(entry, 1)
    registry.fence(KEY, stops_run=never_owned)
    run_for(entry, 1)
    assert (not entry.table.objects) == deletes

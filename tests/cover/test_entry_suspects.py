"""Entries that tell each other which requests end endpoints, without sockets."""

from types import SimpleNamespace
from unittest.mock import Mock

import pytest
from attrs import define
from twisted.internet.defer import succeed
from twisted.internet.task import Clock as FakeReactor

from coursekeel.endpoints import EvidenceBook, Unreachable
from coursekeel.entry.suspects._endpoint_watch import EndpointWatch
from coursekeel.entry.suspects._suspects_task import SuspectsTask
from coursekeel.peers import peer_pb2
from coursekeel.quarantine import Sign
from coursekeel.storage import Committed, Rows
from coursekeel.suspects import request_fingerprint

REFUSES = Unreachable(True, "refused")
SILENT = Unreachable(False, "no answer within 1000 ms")


@define
class Asked:
    fingerprint: str = "f"


class Entries:
    """A group whose messages come at once, or not at all."""

    def __init__(self, count=3):
        self.reactor = FakeReactor()
        self.clock = SimpleNamespace(
            now_ms=lambda: self.reactor.seconds() * 1000, wall_s=lambda: 1_000_000
        )
        self.cut = set()
        self.platform = Mock()
        self.platform.scan = Mock(side_effect=lambda *_: succeed(Rows({})))
        self.platform.transact = Mock(side_effect=lambda _: succeed(Committed()))
        self.tasks = {}
        for number in range(count):
            self.add(f"entry-{number}")

    def add(self, name):
        async def tell(to, news):
            if {name, to} & self.cut:
                return None
            return self.tasks[to].told(news)

        self.tasks[name] = SuspectsTask(
            self.reactor,
            self.clock,
            self.platform,
            1_000.0,
            lambda: [each for each in self.tasks if each != name],
            tell,
        )
        self.tasks[name].start()
        return self.tasks[name]

    def ends(self, name, endpoint, fingerprint="f", sign=Sign.BEGAN):
        self.reactor.advance(0.1)
        task = self.tasks[name]
        watch = watch_of(self, task, REFUSES)
        watch.run_lost(Asked(fingerprint), endpoint, sign, engine=True)

    def barred(self):
        return {n for n, t in self.tasks.items() if t.gate.barred_ms(Asked()) > 0}


def watch_of(entries, task, status, leaving=()):
    evidence = EvidenceBook(1_000.0)
    for each in leaving:
        evidence.listed(each, True)
    adapter = Mock()
    adapter.status = Mock(side_effect=lambda anew: succeed(status))
    return EndpointWatch(
        entries.reactor, entries.clock, task.gate, evidence, lambda _: adapter
    )


@pytest.fixture
def entries():
    return Entries()


def test_ends_that_three_entries_saw_bar_a_request_at_all(entries):
    for number in range(3):
        assert not entries.barred()
        entries.ends(f"entry-{number}", f"e{number}")
    assert entries.barred() == set(entries.tasks)


def test_one_that_was_cut_off_learns_all_from_a_greeting(entries):
    entries.cut = {"entry-2"}
    for number in range(3):
        entries.ends("entry-0", f"e{number}")
    assert entries.barred() == {"entry-0", "entry-1"}
    entries.cut = set()
    digest = entries.tasks["entry-1"].quarantine.digest
    entries.tasks["entry-2"].heard_digest("entry-1", digest)
    assert entries.barred() == set(entries.tasks)


def test_two_halves_give_each_other_what_they_know(entries):
    entries.cut = {"entry-2"}
    entries.ends("entry-0", "e0")
    entries.ends("entry-2", "e1")
    entries.ends("entry-2", "e2")
    entries.cut = set()
    digest = entries.tasks["entry-0"].quarantine.digest
    entries.tasks["entry-2"].heard_digest("entry-0", digest)
    assert entries.barred() == {"entry-0", "entry-2"}


def test_the_same_digest_and_none_ask_for_nothing(entries):
    entries.ends("entry-0", "e0")
    task = entries.tasks["entry-1"]
    task.tell = Mock()
    task.heard_digest("entry-0", entries.tasks["entry-0"].quarantine.digest)
    task.heard_digest("entry-0", "")
    task.tell.assert_not_called()


def test_a_proof_of_soundness_is_told_to_all(entries):
    for number in range(3):
        entries.ends("entry-0", f"e{number}")
    entries.tasks["entry-2"].gate.proved_sound(Asked())
    assert not entries.barred()


def test_a_word_that_cannot_be_read_costs_nothing_else(entries):
    for number in range(2):
        entries.ends("entry-0", f"e{number}")
    task = entries.tasks["entry-1"]
    broken = peer_pb2.SuspectNews(records=[b"{", b'{"fingerprint":"x"}', b"\xff"])
    reply = task.told(broken)
    assert not reply.records
    entries.ends("entry-2", "e2")
    assert entries.barred() == set(entries.tasks)


@pytest.mark.parametrize(
    ("status", "engine", "counts"),
    [
        (REFUSES, True, True),
        (REFUSES, False, True),
        (SILENT, True, True),
        (SILENT, False, False),
        (Mock(), True, False),
    ],
)
def test_only_what_proves_an_end_counts(entries, status, engine, counts):
    """A plain service may have a question wait; one that answers lives."""
    task = entries.tasks["entry-0"]
    watch = watch_of(entries, task, status)
    watch.run_lost(Asked(), "e0", Sign.UNSEEN, engine)
    assert bool(len(task.quarantine)) == counts


def test_an_endpoint_that_leaves_ends_on_its_own(entries):
    task = entries.tasks["entry-0"]
    watch = watch_of(entries, task, REFUSES, leaving=["e0"])
    watch.run_lost(Asked(), "e0", Sign.BEGAN, engine=True)
    assert not len(task.quarantine)


def test_a_run_that_lasted_proves_its_request_sound(entries):
    for number in range(3):
        entries.ends("entry-0", f"e{number}")
    watch = watch_of(entries, entries.tasks["entry-1"], REFUSES)
    watch.run_lost(Asked(), "e9", None, engine=True)
    assert not entries.barred()


def test_an_endpoint_that_came_back_under_its_name_is_another(entries):
    task = entries.tasks["entry-0"]
    watch = watch_of(entries, task, REFUSES)
    for life in range(3):
        entries.reactor.advance(0.1)
        watch.evidence.saw("e0", f"life-{life}", False, 0.0)
        watch.run_lost(Asked(), "e0", Sign.BEGAN, engine=True)
    assert entries.barred() == set(entries.tasks)


def test_what_a_team_asks_again_is_the_same_and_nothing_else_is():
    one = request_fingerprint("ikeja", b"generation", b"body")
    assert one == request_fingerprint("ikeja", b"generation", b"body")
    others = {
        request_fingerprint("wuse", b"generation", b"body"),
        request_fingerprint("ikeja", b"call", b"body"),
        request_fingerprint("ikeja", b"generationb", b"ody"),
    }
    assert len(others | {one}) == 4

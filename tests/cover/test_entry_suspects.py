"""Entries exchange records of requests that crash endpoints, without sockets."""

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
class FakeRequest:
    fingerprint: str = "f"
    part_fingerprints: tuple[str, ...] = ()


class Entries:
    """A group of entries whose messages arrive at once, or are lost if cut off."""

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
            return self.tasks[to].receive(news)

        self.tasks[name] = SuspectsTask(
            self.reactor,
            self.clock,
            self.platform,
            1_000.0,
            lambda: [other for other in self.tasks if other != name],
            tell,
        )
        self.tasks[name].start()
        return self.tasks[name]

    def crash_endpoint(self, name, endpoint, fingerprint="f", sign=Sign.BEGAN):
        self.reactor.advance(0.1)
        task = self.tasks[name]
        watch = make_watch(self, task, REFUSES)
        watch.run_lost(FakeRequest(fingerprint), endpoint, sign, engine=True)

    def barred(self):
        return {n for n, t in self.tasks.items() if t.gate.barred_ms(FakeRequest()) > 0}


def make_watch(entries, task, status, leaving=()):
    evidence = EvidenceBook(1_000.0)
    for endpoint in leaving:
        evidence.record_listed(endpoint, True)
    adapter = Mock()
    adapter.status = Mock(side_effect=lambda new_connection: succeed(status))
    return EndpointWatch(
        entries.reactor, entries.clock, task.gate, evidence, lambda _: adapter
    )


@pytest.fixture
def entries():
    return Entries()


def test_three_crashes_seen_by_three_entries_bar_a_request_at_all(entries):
    for number in range(3):
        assert not entries.barred()
        entries.crash_endpoint(f"entry-{number}", f"e{number}")
    assert entries.barred() == set(entries.tasks)


def test_a_cut_off_entry_gets_all_records_after_a_greeting(entries):
    entries.cut = {"entry-2"}
    for number in range(3):
        entries.crash_endpoint("entry-0", f"e{number}")
    assert entries.barred() == {"entry-0", "entry-1"}
    entries.cut = set()
    digest = entries.tasks["entry-1"].quarantine.digest
    entries.tasks["entry-2"].receive_digest("entry-1", digest)
    assert entries.barred() == set(entries.tasks)


def test_entries_with_different_records_exchange_them(entries):
    entries.cut = {"entry-2"}
    entries.crash_endpoint("entry-0", "e0")
    entries.crash_endpoint("entry-2", "e1")
    entries.crash_endpoint("entry-2", "e2")
    entries.cut = set()
    digest = entries.tasks["entry-0"].quarantine.digest
    entries.tasks["entry-2"].receive_digest("entry-0", digest)
    assert entries.barred() == {"entry-0", "entry-2"}


def test_an_equal_or_empty_digest_causes_no_request(entries):
    entries.crash_endpoint("entry-0", "e0")
    task = entries.tasks["entry-1"]
    task.tell = Mock()
    task.receive_digest("entry-0", entries.tasks["entry-0"].quarantine.digest)
    task.receive_digest("entry-0", "")
    task.tell.assert_not_called()


def test_a_cleared_request_is_sent_to_all_entries(entries):
    for number in range(3):
        entries.crash_endpoint("entry-0", f"e{number}")
    entries.tasks["entry-2"].gate.report_success(FakeRequest())
    assert not entries.barred()


def test_an_unreadable_record_is_skipped(entries):
    for number in range(2):
        entries.crash_endpoint("entry-0", f"e{number}")
    task = entries.tasks["entry-1"]
    broken = peer_pb2.SuspectNews(records=[b"{", b'{"fingerprint":"x"}', b"\xff"])
    reply = task.receive(broken)
    assert not reply.records
    entries.crash_endpoint("entry-2", "e2")
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
def test_only_a_confirmed_crash_counts(entries, status, engine, counts):
    """A plain service may delay a probe; an endpoint that answers is alive."""
    task = entries.tasks["entry-0"]
    watch = make_watch(entries, task, status)
    watch.run_lost(FakeRequest(), "e0", Sign.UNSEEN, engine)
    assert bool(len(task.quarantine)) == counts


def test_a_leaving_endpoint_does_not_count_as_crashed(entries):
    task = entries.tasks["entry-0"]
    watch = make_watch(entries, task, REFUSES, leaving=["e0"])
    watch.run_lost(FakeRequest(), "e0", Sign.BEGAN, engine=True)
    assert not len(task.quarantine)


def test_a_run_lost_after_streaming_for_long_clears_its_request(entries):
    for number in range(3):
        entries.crash_endpoint("entry-0", f"e{number}")
    watch = make_watch(entries, entries.tasks["entry-1"], REFUSES)
    watch.run_lost(FakeRequest(), "e9", None, engine=True)
    assert not entries.barred()


def test_a_restarted_endpoint_counts_as_another(entries):
    task = entries.tasks["entry-0"]
    watch = make_watch(entries, task, REFUSES)
    for number in range(3):
        entries.reactor.advance(0.1)
        watch.evidence.record_status("e0", f"life-{number}", False, 0.0)
        watch.run_lost(FakeRequest(), "e0", Sign.BEGAN, engine=True)
    assert entries.barred() == set(entries.tasks)


def test_the_fingerprint_is_equal_only_for_the_same_team_kind_and_body():
    repeated = request_fingerprint("ikeja", b"generation", b"body")
    assert repeated == request_fingerprint("ikeja", b"generation", b"body")
    others = {
        request_fingerprint("wuse", b"generation", b"body"),
        request_fingerprint("ikeja", b"call", b"body"),
        request_fingerprint("ikeja", b"generationb", b"ody"),
    }
    assert len(others | {repeated}) == 4

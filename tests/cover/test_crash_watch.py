"""Which lost runs prove that an endpoint ended, and what they say of the request."""

from unittest.mock import Mock

import pytest
from attrs import evolve
from twisted.internet.task import Clock as FakeReactor

from coursekeel.fetch import Ending, ExchangeHead
from coursekeel.forwarding import EndpointDirectory, EndpointRecord, RouteKind
from coursekeel.gateway._metrics import LostRun
from coursekeel.gateway.endpoints._crash_watch import CrashWatch
from coursekeel.quarantine import Quarantine, Sign
from coursekeel.suspects import (
    QuarantineGate,
    QuarantinePass,
)
from tests.common.moments import at
from tests.cover.test_fingerprint import CALL

WHOLE = evolve(CALL, route=evolve(CALL.route, kind=RouteKind.REPEATABLE))


class Watched:
    """A watch before endpoints whose answers the test gives."""

    def __init__(self) -> None:
        self.reactor = FakeReactor()
        clock = Mock(now_ms=lambda: self.reactor.seconds() * 1000)
        site = Mock(directory=EndpointDirectory())
        self.directory = site.directory
        for number in range(9):
            self.put(f"e{number}")
        self.sinks = []
        client = Mock(link=Mock(full=False))
        client.send_probe = lambda record, call, sink, limit: (
            self.sinks.append(sink) or Mock()
        )
        self.told: list = []
        self.quarantine = Quarantine()
        self.gate = QuarantineGate(clock, self.quarantine, self.told.extend, Mock())
        settings = Mock(timers=Mock(report_ms=150))
        self.health, metrics = Mock(), Mock()
        self.watch = CrashWatch(
            self.reactor, clock, settings, site, client, self.health, self.gate, metrics
        )

    def put(self, name: str, leaving: bool = False) -> None:
        record = EndpointRecord(name, "engines", "h", 1, "z", 8, leaving)
        self.directory.put(record, at(1))

    def lost(self, name: str, call=CALL, **run) -> None:
        self.watch.run_lost(call, LostRun(name, "ResponseFailed", **run))

    def refuse(self) -> None:
        self.sinks.pop().ended(Ending.NOT_SENT, "refused")

    def ends(self, name: str, call=CALL, **run) -> None:
        self.lost(name, call, **run)
        self.refuse()
        self.reactor.advance(0.1)

    def strikes(self, call=CALL) -> dict[str, Sign]:
        record = self.quarantine.record(call.fingerprint)
        return {x.endpoint_id: x.sign for x in record.strikes} if record else {}


@pytest.fixture
def watched():
    return Watched()


def test_an_endpoint_that_refuses_right_after_it_lost_a_run_has_ended(watched):
    watched.ends("e0", ran_ms=60)
    assert watched.strikes() == {"e0": Sign.BEGAN}
    watched.health.unreachable.assert_called_once_with("e0", "refused")
    assert len(watched.told) == 1


def test_an_endpoint_that_answers_lost_only_the_answer(watched):
    """Answers are lost on the way, and servers break answers off."""
    watched.lost("e0", ran_ms=60)
    sink = watched.sinks.pop()
    sink.head_arrived(ExchangeHead(404, []))
    sink.ended(Ending.WHOLE, "")
    assert watched.strikes() == {}
    watched.health.unreachable.assert_not_called()


def test_one_that_cuts_the_question_lives(watched):
    watched.lost("e0", ran_ms=60)
    watched.sinks.pop().ended(Ending.NO_ANSWER, "reset")
    assert watched.strikes() == {}


def test_an_endpoint_that_gives_reports_and_is_silent_has_ended(watched):
    watched.lost("e0", ran_ms=60)
    watched.reactor.advance(0.2)
    assert watched.strikes() == {"e0": Sign.BEGAN}


def test_a_plain_service_may_let_a_question_wait(watched):
    watched.lost("e0", WHOLE)
    watched.reactor.advance(0.2)
    assert watched.strikes(WHOLE) == {}


@pytest.mark.parametrize(
    ("run", "sign"),
    [
        ({}, Sign.UNSEEN),
        ({"ran_ms": 9_000}, Sign.BEGAN),
        ({"ran_ms": 500, "gave_ms": 400, "events": 9}, Sign.GAVE),
    ],
)
def test_what_was_seen_of_the_run_is_told(watched, run, sign):
    watched.ends("e0", **run)
    assert watched.strikes() == {"e0": sign}


def test_a_run_that_gave_for_longer_than_a_moment_is_proved_sound(watched):
    for number in range(3):
        watched.ends(f"e{number}", ran_ms=60)
    assert watched.gate.barred_ms(CALL) > 0
    watched.lost("e3", ran_ms=1_500, gave_ms=1_100, events=30)
    assert watched.gate.barred_ms(CALL) == 0


@pytest.mark.parametrize("leaving", [True, False])
def test_one_that_leaves_or_is_listed_no_more_ends_on_its_own(watched, leaving):
    if leaving:
        watched.put("e0", leaving=True)
    else:
        watched.directory.remove("e0", at(1))
    watched.lost("e0", ran_ms=60)
    assert watched.sinks == []


def test_runs_that_are_lost_together_ask_once(watched):
    watched.lost("e0", ran_ms=60)
    watched.lost("e0", evolve(CALL, body=b"another"), ran_ms=400)
    assert len(watched.sinks) == 1
    watched.refuse()
    assert len(watched.quarantine) == 2
    watched.lost("e1", ran_ms=60)
    assert len(watched.sinks) == 1


def test_one_that_is_let_run_on_trial_may_be_sent_until_it_ends_an_endpoint(watched):
    for number in range(3):
        watched.ends(f"e{number}", ran_ms=60)
    watched.reactor.advance(121)
    mine, anothers = (QuarantinePass(watched.gate, CALL) for _ in range(2))
    assert mine.may_send()
    assert not anothers.may_send()
    assert mine.may_send()
    watched.ends("e3", ran_ms=60)
    assert not mine.may_send()
    assert mine.barred_ms > 1_000_000

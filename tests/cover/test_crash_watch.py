"""Which lost runs prove a crash of their endpoint, and which strikes they cause."""

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
from tests.common.moments import position_at
from tests.cover.test_fingerprint import CALL

OTHER_CALL = evolve(CALL, body=b"another")
REPEATABLE_CALL = evolve(CALL, route=evolve(CALL.route, kind=RouteKind.REPEATABLE))


class CrashWatchHarness:
    """A `CrashWatch` and nine endpoints, whose probe results the test gives."""

    def __init__(self) -> None:
        self.reactor = FakeReactor()
        clock = Mock(now_ms=lambda: self.reactor.seconds() * 1000)
        site = Mock(directory=EndpointDirectory())
        self.directory = site.directory
        for number in range(9):
            self.put(f"e{number}")
        self.probes = []
        client = Mock(link=Mock(full=False))
        client.send_probe = lambda record, call, sink, *_: (
            self.probes.append(sink) or Mock()
        )
        self.reported_suspects: list = []
        self.quarantine = Quarantine()
        self.gate = QuarantineGate(
            clock, self.quarantine, self.reported_suspects.extend, Mock()
        )
        settings = Mock(timers=Mock(report_ms=150))
        self.health, metrics = Mock(), Mock()
        self.watch = CrashWatch(
            self.reactor, clock, settings, site, client, self.health, self.gate, metrics
        )

    def put(self, name: str, leaving: bool = False) -> None:
        record = EndpointRecord(name, "engines", "h", 1, "z", 8, leaving)
        self.directory.put(record, position_at(1))

    def lose_run(self, name: str, call=CALL, **run) -> None:
        self.watch.run_lost(call, LostRun(name, "ResponseFailed", **run))

    def refuse_probe(self) -> None:
        self.probes.pop().ended(Ending.NOT_SENT, "refused")

    def crash(self, name: str, call=CALL, **run) -> None:
        self.lose_run(name, call, **run)
        self.refuse_probe()
        self.reactor.advance(0.1)

    def strikes(self, call=CALL) -> dict[str, Sign]:
        record = self.quarantine.record(call.fingerprint)
        return (
            {strike.endpoint_id: strike.sign for strike in record.strikes}
            if record
            else {}
        )


@pytest.fixture
def harness():
    return CrashWatchHarness()


def test_an_endpoint_that_refuses_the_probe_has_crashed(harness):
    harness.crash("e0", ran_ms=60)
    assert harness.strikes() == {"e0": Sign.BEGAN}
    harness.health.unreachable.assert_called_once_with("e0", "refused")
    assert len(harness.reported_suspects) == 1


def test_an_endpoint_that_answers_the_probe_has_not_crashed(harness):
    """A lost answer may be due to the network, or cut by the server on purpose."""
    harness.lose_run("e0", ran_ms=60)
    sink = harness.probes.pop()
    sink.head_arrived(ExchangeHead(404, []))
    sink.ended(Ending.WHOLE, "")
    assert harness.strikes() == {}
    harness.health.unreachable.assert_not_called()


def test_an_endpoint_that_cuts_the_probe_has_not_crashed(harness):
    harness.lose_run("e0", ran_ms=60)
    harness.probes.pop().ended(Ending.NO_ANSWER, "reset")
    assert harness.strikes() == {}


def test_a_reporting_endpoint_that_closed_a_run_and_times_out_has_crashed(harness):
    harness.lose_run("e0", ran_ms=60, closed=True)
    harness.reactor.advance(0.2)
    assert harness.strikes() == {"e0": Sign.BEGAN}


def test_an_endpoint_that_is_silent_for_longer_than_sound_ones_has_crashed(harness):
    harness.lose_run("e0", ran_ms=60)
    harness.reactor.pump([0.05] * 55)
    assert harness.strikes() == {"e0": Sign.BEGAN}


def test_an_endpoint_that_is_silent_for_a_second_has_not_crashed(harness):
    """Requests of three sound endpoints that fell silent were barred everywhere."""
    for name in ("e0", "e1", "e2"):
        harness.lose_run(name, ran_ms=60)
    harness.reactor.pump([0.05] * 28)
    assert harness.strikes() == {}
    for sink in harness.probes[-3:]:
        sink.head_arrived(ExchangeHead(200, []))
        sink.ended(Ending.WHOLE, "")
    harness.reactor.pump([0.05] * 100)
    assert harness.strikes() == {}
    assert harness.gate.barred_ms(CALL) == 0


def test_a_run_that_is_closed_while_its_endpoint_is_silent_proves_the_crash(harness):
    harness.lose_run("e0", ran_ms=60)
    harness.reactor.pump([0.05] * 10)
    assert harness.strikes() == {}
    harness.lose_run("e0", OTHER_CALL, ran_ms=60, closed=True)
    harness.reactor.pump([0.05] * 10)
    assert harness.strikes() == harness.strikes(OTHER_CALL) == {"e0": Sign.BEGAN}


def test_a_probe_timeout_of_a_plain_service_is_no_crash(harness):
    harness.lose_run("e0", REPEATABLE_CALL)
    harness.reactor.advance(0.2)
    assert harness.strikes(REPEATABLE_CALL) == {}


@pytest.mark.parametrize(
    ("run", "sign"),
    [
        ({}, Sign.UNSEEN),
        ({"ran_ms": 9_000}, Sign.BEGAN),
        ({"ran_ms": 500, "streamed_ms": 400, "events": 9}, Sign.GAVE),
    ],
)
def test_the_strike_records_how_far_the_run_got(harness, run, sign):
    harness.crash("e0", **run)
    assert harness.strikes() == {"e0": sign}


def test_a_run_that_streamed_long_enough_proves_its_request_sound(harness):
    for number in range(3):
        harness.crash(f"e{number}", ran_ms=60)
    assert harness.gate.barred_ms(CALL) > 0
    harness.lose_run("e3", ran_ms=1_500, streamed_ms=1_100, events=30)
    assert harness.gate.barred_ms(CALL) == 0


@pytest.mark.parametrize("leaving", [True, False])
def test_a_leaving_or_unlisted_endpoint_is_not_probed(harness, leaving):
    if leaving:
        harness.put("e0", leaving=True)
    else:
        harness.directory.remove("e0", position_at(1), 0.0)
    harness.lose_run("e0", ran_ms=60)
    assert harness.probes == []


def test_runs_lost_together_share_one_probe(harness):
    harness.lose_run("e0", ran_ms=60)
    harness.lose_run("e0", evolve(CALL, body=b"another"), ran_ms=400)
    assert len(harness.probes) == 1
    harness.refuse_probe()
    assert len(harness.quarantine) == 2
    harness.lose_run("e1", ran_ms=60)
    assert len(harness.probes) == 1


def test_a_trial_request_may_be_sent_until_it_crashes_an_endpoint(harness):
    for number in range(3):
        harness.crash(f"e{number}", ran_ms=60)
    harness.reactor.advance(121)
    first_pass, second_pass = (QuarantinePass(harness.gate, CALL) for _ in range(2))
    assert first_pass.may_send()
    assert not second_pass.may_send()
    assert first_pass.may_send()
    harness.crash("e3", ran_ms=60)
    assert not first_pass.may_send()
    assert first_pass.barred_ms > 1_000_000

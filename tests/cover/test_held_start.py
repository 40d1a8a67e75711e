"""When the held start of a run is made, and when it is dropped."""

from unittest.mock import Mock

import pytest
from attrs import frozen
from twisted.internet.task import Clock as FakeReactor

from coursekeel.quarantine import Quarantine, Sign
from coursekeel.suspects import (
    HeldStart,
    PacingSettings,
    QuarantineGate,
    QuarantinePass,
    RunPacing,
    Suspect,
)


@frozen
class Request:
    """A request, by its fingerprint."""

    fingerprint: str = "f"
    part_fingerprints: tuple[str, ...] = ()


class Harness:
    """Two starts of one request, at a member that waits 50 ms for a probe."""

    def __init__(self) -> None:
        self.reactor = FakeReactor()
        clock = Mock(now_ms=lambda: self.reactor.seconds() * 1000)
        self.quarantine = Quarantine()
        pacing = RunPacing(self.quarantine, "m1", tuple, PacingSettings(50.0, 30.0))
        self.gate = QuarantineGate(clock, self.quarantine, Mock(), Mock(), pacing)
        permission = QuarantinePass(self.gate, Request())
        self.search = HeldStart(self.reactor, permission)
        self.copy = HeldStart(self.reactor, permission)
        self.started: list[str] = []

    def hold(self) -> None:
        self.gate.probe_begun(Suspect("f", Sign.BEGAN, 0.0))

    def advance(self, ms: float) -> None:
        for _ in range(round(ms / 5)):
            self.reactor.advance(0.005)


@pytest.fixture
def harness():
    return Harness()


def test_a_run_of_an_unsuspected_request_starts_at_once(harness):
    harness.search.run(lambda: harness.started.append("search"))
    assert harness.started == ["search"]


def test_a_held_run_starts_when_the_wait_is_over(harness):
    harness.hold()
    harness.search.run(lambda: harness.started.append("search"))
    harness.advance(40)
    assert harness.started == []
    harness.advance(20)
    assert harness.started == ["search"]


def test_a_held_run_starts_early_if_the_endpoint_lives(harness):
    harness.hold()
    harness.search.run(lambda: harness.started.append("search"))
    harness.gate.report_alive("e", [Suspect("f", Sign.BEGAN, 0.0)])
    harness.advance(10)
    assert harness.started == ["search"]


def test_a_stopped_start_is_not_made(harness):
    harness.hold()
    harness.search.run(lambda: harness.started.append("search"))
    harness.search.stop()
    harness.advance(100)
    assert harness.started == []


def test_a_held_search_survives_the_start_of_a_copy(harness):
    """A dropped search would leave its answer waiting until its patience ends."""
    harness.hold()
    harness.search.run(lambda: harness.started.append("search"))
    harness.copy.run(lambda: harness.started.append("copy"))
    harness.advance(60)
    assert harness.started == ["search", "copy"]

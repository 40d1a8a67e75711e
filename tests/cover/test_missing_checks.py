"""Missing endpoints are asked whether they serve, each as seldom as will do."""

from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock

from coursekeel.forwarding import EndpointDirectory, EndpointRecord
from coursekeel.gateway.endpoints._missing_checks import MissingChecks
from tests.common.moments import position_at

# Many more than are asked at a time.
ENDPOINTS = 300


class MissingWorld:
    """Endpoints that are all missing as of 0 s; the test answers what is asked."""

    def __init__(self) -> None:
        reactor = self.reactor = Clock()
        self.directory = EndpointDirectory()
        for number in range(ENDPOINTS):
            record = EndpointRecord(f"e{number}", "p", "127.0.0.1", number, "z", 8)
            self.directory.put(record, position_at(1))
        self.directory.begin_recovery(0.0)
        self.directory.replace_all([], position_at(2), 0.0)
        self.open = []
        self.asked = 0
        site = Mock(directory=self.directory)
        site.settings.timers.endpoints_own_state_ms = 800.0
        clock = Mock(now_ms=lambda: 1000 * reactor.seconds())
        checks = Mock(ask_missing=self._ask)
        self.missing_checks = MissingChecks(reactor, clock, site, checks)

    def _ask(self, endpoint_id, on_ended):
        self.asked += 1
        self.open.append((endpoint_id, 1000 * self.reactor.seconds(), on_ended))

    def answer_all(self, serving: bool) -> None:
        answered, self.open = self.open, []
        for endpoint_id, asked_ms, on_ended in answered:
            if serving:
                self.directory.missing.record_serving(endpoint_id, asked_ms)
            on_ended()

    def play(self, seconds: float, serving: bool) -> None:
        for _ in range(round(seconds / 0.05)):
            self.answer_all(serving)
            self.reactor.advance(0.05)


@pytest.fixture
def world():
    world = MissingWorld()
    world.missing_checks.endpoints_changed()
    return world


def test_all_endpoints_that_serve_stay_in_use_though_few_are_asked_at_a_time(world):
    """Guards against asking the first ones again and again."""
    for _ in range(60):
        world.reactor.advance(0.05)
        world.answer_all(True)
        world.reactor.advance(0)
    now_ms = 1000 * world.reactor.seconds()
    assert all(world.directory.may_take(f"e{n}", now_ms) for n in range(ENDPOINTS))


def test_few_endpoints_are_asked_at_a_time_though_all_are_missing(world):
    assert 0 < len(world.open) < ENDPOINTS
    world.reactor.advance(1)
    assert len(world.open) == world.asked < ENDPOINTS


def test_endpoints_that_serve_are_asked_seldom_and_stay_in_use(world):
    world.play(1.4, serving=True)
    assert world.asked <= 2 * ENDPOINTS
    world.play(4, serving=True)
    now_ms = 1000 * world.reactor.seconds()
    assert all(world.directory.may_take(f"e{n}", now_ms) for n in range(ENDPOINTS))
    assert world.asked <= 14 * ENDPOINTS


def test_endpoints_that_tell_nothing_are_not_asked_once_their_time_is_over(world):
    world.play(1.6, serving=False)
    asked = world.asked
    world.play(2, serving=False)
    assert world.asked == asked > ENDPOINTS

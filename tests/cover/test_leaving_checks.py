"""An answer that hints at a leaving leads to one question, and its answer decides."""

from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock

from coursekeel.fetch import Ending, ExchangeHead
from coursekeel.forwarding import EndpointDirectory, EndpointRecord, Pool
from coursekeel.gateway._adapters import EndpointCall, EndpointReport
from coursekeel.gateway.endpoints._leaving_checks import LeavingChecks
from coursekeel.gateway.endpoints._load_reports import LoadReports
from coursekeel.gateway.site._site_state import SiteState
from tests.common.moments import position_at

INTERVAL_S = 0.3
ENGINE = EndpointRecord("e1", "engines", "127.0.0.1", 1, "zone-1", 8)
PLAIN = EndpointRecord("s1", "plain", "127.0.0.1", 2, "zone-1", 8)
MUTE = EndpointRecord("m1", "mute", "127.0.0.1", 3, "zone-1", 8)
CLOSES, KEEPS = ExchangeHead(200, [], closes=True), ExchangeHead(200, [])
REPORT, HEALTH = EndpointCall(b"GET", b"/report"), EndpointCall(b"GET", b"/health")


class CheckedEndpoints:
    """Three pools of one endpoint each; the test answers what is asked."""

    def __init__(self) -> None:
        reactor = self.reactor = Clock()
        self.asked, self.sinks, self.told_reach = [], [], []
        self.directory = EndpointDirectory()
        for version, record in enumerate((ENGINE, PLAIN, MUTE), 1):
            self.directory.put(record, position_at(version))
        context = Mock(reactor=reactor)
        context.clock.now_ms = lambda: 1000 * reactor.seconds()
        context.settings.timers.report_ms = 150.0
        context.settings.timers.endpoints_own_state_ms = 800.0
        site = SiteState(reactor, context.clock, Mock(), self.directory, Mock())
        pools = (Pool("engines", reports=True), Pool("plain", health_path="/health"))
        site.routes = Mock(pools={pool.name: pool for pool in (*pools, Pool("mute"))})
        context.site = site
        context.endpoints.link.full = False
        context.endpoints.send_probe = self._send
        dialect = self.dialect = context.endpoints.dialect
        dialect.report = REPORT
        dialect.health_check = lambda path: HEALTH
        dialect.hints_at_leaving = lambda head: head.closes
        self.reports = LoadReports(context)
        self.checks = LeavingChecks(context, self.reports)

    def _send(self, endpoint, call, sink, timeout_ms, tells_reach=True):
        self.told_reach.append(tells_reach)
        self.asked.append((endpoint.endpoint_id, call))
        self.sinks.append(sink)
        return Mock()

    def answer(self, leaving: bool | None) -> None:
        self.dialect.read_report = lambda body: EndpointReport(0, 0, leaving=leaving)
        self.dialect.read_health = lambda head, endpoint_id: leaving
        sink = self.sinks.pop()
        sink.head_arrived(ExchangeHead(200, []))
        sink.ended(Ending.WHOLE, "")

    def may_take(self, endpoint_id: str) -> bool:
        return self.directory.may_take(endpoint_id, 1000 * self.reactor.seconds())


@pytest.fixture
def world():
    return CheckedEndpoints()


@pytest.mark.parametrize(
    ("name", "call", "times"), [("e1", REPORT, 1), ("s1", HEALTH, 2)]
)
def test_an_endpoint_that_says_it_leaves_takes_no_work_from_then_on(
    world, name, call, times
):
    world.checks.answered(name, CLOSES)
    assert world.asked == [(name, call)]
    for _ in range(times):
        assert world.may_take(name)
        world.answer(leaving=True)
    assert not world.may_take(name)
    world.reactor.advance(1)
    world.checks.answered(name, CLOSES)
    assert len(world.asked) == times


@pytest.mark.parametrize("leaving", [False, None])
@pytest.mark.parametrize("name", ["e1", "s1"])
def test_a_hint_alone_ends_no_use_of_an_endpoint(world, name, leaving):
    world.checks.answered(name, CLOSES)
    world.answer(leaving)
    assert world.may_take(name)


@pytest.mark.parametrize("leaving", [False, None])
def test_one_health_check_alone_ends_no_use_of_a_service(world, leaving):
    """Guards against marking a failing one whose answers close by chance."""
    world.checks.answered("s1", CLOSES)
    world.answer(leaving=True)
    world.answer(leaving)
    assert world.may_take("s1")


@pytest.mark.parametrize("name", ["e1", "s1"])
def test_many_hints_lead_to_one_question_at_a_time(world, name):
    for tenth in range(10):
        for _ in range(5):
            world.checks.answered(name, CLOSES)
            world.reactor.advance(INTERVAL_S / 50 - 1e-6)
        if tenth == 3:
            world.answer(leaving=False)
        assert len(world.asked) == 1
    world.reactor.advance(0.01)
    world.checks.answered(name, CLOSES)
    assert len(world.asked) == 2


def test_an_endpoint_whose_report_came_just_now_is_not_asked(world):
    world.reports.request_report("e1", Mock())
    world.answer(leaving=False)
    world.checks.answered("e1", CLOSES)
    assert len(world.asked) == 1


@pytest.mark.parametrize(
    ("name", "head"), [("e1", KEEPS), ("s1", KEEPS), ("m1", CLOSES), ("x1", CLOSES)]
)
def test_nothing_is_asked_without_a_hint_or_of_whom_cannot_answer(world, name, head):
    world.checks.answered(name, head)
    assert world.asked == []


def test_a_question_without_an_answer_ends_no_use_of_a_service(world):
    world.checks.answered("s1", CLOSES)
    world.sinks.pop().ended(Ending.CUT, "reset")
    assert world.may_take("s1")


@pytest.mark.parametrize(("name", "call"), [("e1", REPORT), ("s1", HEALTH)])
def test_a_missing_endpoint_that_answers_late_says_whether_it_serves(world, name, call):
    """Guards against dropping sound ones that send no reports, or at a busy time."""
    world.directory.begin_recovery(0.0)
    world.directory.remove(name, position_at(9), 0.0)
    ended = Mock()
    world.checks.ask_missing(name, ended)
    assert world.asked == [(name, call)]
    assert world.told_reach == [False], "ended ones would make the pool unreached"
    world.reactor.advance(0.35)
    ended.assert_not_called()
    world.answer(leaving=False)
    ended.assert_called_once_with()
    world.reactor.advance(1.0)
    world.checks.ask_missing(name, ended)
    world.answer(leaving=False)
    assert not world.directory.missing.is_over(name, 1_350.0 + 799.0)
    assert world.directory.missing.is_over(name, 1_350.0 + 800.0)


@pytest.mark.parametrize("name", ["m1", "x1"])
def test_a_missing_endpoint_that_cannot_tell_is_not_asked(world, name):
    ended = Mock()
    world.checks.ask_missing(name, ended)
    ended.assert_called_once_with()
    assert world.asked == []

"""AnswerDriver: events are handled one at a time, and the timer doesn't loop."""

import math
from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock as FakeReactor

from coursekeel.answers import (
    Action,
    AnswerCore,
    AnswerPolicy,
    Event,
    ExpectedModel,
    Interrupt,
    ReadingResumed,
    RequestEndpoint,
    Started,
    Tick,
)
from coursekeel.forwarding import EventLedger
from coursekeel.runtime import AnswerDriver, AnswerShell

PATIENCE_MS = 1_000
OWN_PAUSE_MS = 100.0


class Recorder(AnswerShell):
    """Records actions and events; carries out nothing."""

    def __init__(self) -> None:
        self.reactor = FakeReactor()
        clock = Mock(now_ms=lambda: self.reactor.seconds() * 1_000)
        policy = AnswerPolicy(patience_ms=PATIENCE_MS, first_token_ms=math.inf)
        core = AnswerCore("t/r", ExpectedModel("p", "", ""), policy, EventLedger())
        self.driver = AnswerDriver(core, self, self.reactor, clock, OWN_PAUSE_MS)
        self.actions: list[Action] = []
        self.events: list[Event] = []

    def carry_out(self, action: Action, now_ms: float) -> None:
        self.actions.append(action)

    def event_handled(self, event: Event, actions: list[Action]) -> None:
        self.events.append(event)
        assert len(self.events) < 50, "the alarm rings for ever"


@pytest.fixture
def shell() -> Recorder:
    recorder = Recorder()
    recorder.driver.handle_event(Started())
    return recorder


def test_an_answer_is_interrupted_when_its_patience_is_over(shell):
    shell.reactor.advance(PATIENCE_MS / 1_000)
    assert isinstance(shell.actions[-1], Interrupt)


def test_an_alarm_that_fires_late_is_set_again_only_once(shell):
    """Otherwise it would be set for a time in the past, be late again, and so on."""
    shell.reactor.advance(PATIENCE_MS / 1_000 + 10)
    assert shell.events == [Started(), ReadingResumed(), Tick()]
    assert isinstance(shell.actions[-1], Interrupt)


def test_no_tick_while_reading_is_held(shell):
    shell.driver.reading_held = True
    shell.reactor.advance(PATIENCE_MS / 1_000)
    assert shell.events == [Started()]
    shell.driver.reading_held = False
    shell.reactor.advance(0.5)
    assert shell.events == [Started(), Tick()]


def test_patience_ends_an_answer_while_silence_does_not_count(shell):
    shell.driver.stall_is_loss = lambda: False
    shell.reactor.advance(PATIENCE_MS / 1_000)
    assert shell.events == [Started(), ReadingResumed(), Tick()]
    assert isinstance(shell.actions[-1], Interrupt)


def test_an_event_during_the_handling_of_another_is_queued():
    shell = Recorder()
    order: list[str] = []

    def carry_out(action: Action, now_ms: float) -> None:
        if isinstance(action, RequestEndpoint):
            shell.driver.handle_event(Tick())
            order.append("sought")

    shell.carry_out = carry_out
    shell.event_handled = lambda event, actions: order.append(type(event).__name__)
    shell.driver.handle_event(Started())
    assert order == ["sought", "Started", "Tick"]


def test_a_cancelled_alarm_does_not_fire(shell):
    shell.driver.stop_alarm()
    shell.reactor.advance(100)
    assert shell.events == [Started()]


def test_an_alarm_for_a_past_time_is_set_without_a_negative_delay(shell):
    """The clock advances between two calls; the reactor refuses negative delays."""
    times_ms = iter(range(10_000, 20_000))
    shell.driver.clock.now_ms = lambda: float(next(times_ms))
    waits_s = []
    shell.driver.reactor = Mock(callLater=lambda wait_s, *_: waits_s.append(wait_s))
    shell.driver._set_alarm(9_000.0)
    assert waits_s == [0.0]

"""The driver of an answer's core: one event at a time, and an alarm that ends."""

import math
from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock as FakeReactor

from coursekeel.answers import (
    Action,
    AnswerCore,
    AnswerPolicy,
    Event,
    Expected,
    Interrupt,
    ReadingResumed,
    SeekEndpoint,
    Started,
    Tick,
)
from coursekeel.forwarding import EventLedger
from coursekeel.runtime import AnswerDriver, AnswerShell

PATIENCE_MS = 1_000
OWN_PAUSE_MS = 100.0


class Recorder(AnswerShell):
    """Keeps what it is asked; a search for an endpoint finds none."""

    def __init__(self) -> None:
        self.reactor = FakeReactor()
        clock = Mock(now_ms=lambda: self.reactor.seconds() * 1_000)
        policy = AnswerPolicy(patience_ms=PATIENCE_MS, first_token_ms=math.inf)
        core = AnswerCore("t/r", Expected("p", "", ""), policy, EventLedger())
        self.driver = AnswerDriver(core, self, self.reactor, clock, OWN_PAUSE_MS)
        self.actions: list[Action] = []
        self.events: list[Event] = []

    def carry_out(self, action: Action, now_ms: float) -> None:
        self.actions.append(action)

    def event_taken(self, event: Event, actions: list[Action]) -> None:
        self.events.append(event)
        assert len(self.events) < 50, "the alarm rings for ever"


@pytest.fixture
def shell() -> Recorder:
    made = Recorder()
    made.driver.tell(Started())
    return made


def test_an_answer_whose_patience_is_over_is_given_up(shell):
    shell.reactor.advance(PATIENCE_MS / 1_000)
    assert isinstance(shell.actions[-1], Interrupt)


def test_a_process_that_wakes_past_the_patience_gives_up_after_reading_once(shell):
    """Seen in a test: the alarm rang late, was set anew for the past, and rang again
    and again while the process did nothing else."""
    shell.reactor.advance(PATIENCE_MS / 1_000 + 10)
    assert shell.events == [Started(), ReadingResumed(), Tick()]
    assert isinstance(shell.actions[-1], Interrupt)


def test_while_reading_is_held_no_silence_is_judged(shell):
    shell.driver.reading_held = True
    shell.reactor.advance(PATIENCE_MS / 1_000)
    assert shell.events == [Started()]
    shell.driver.reading_held = False
    shell.reactor.advance(0.5)
    assert shell.events == [Started(), Tick()]


def test_while_silence_says_nothing_only_patience_ends(shell):
    shell.driver.silence_counts = lambda: False
    shell.reactor.advance(PATIENCE_MS / 1_000)
    assert shell.events == [Started(), ReadingResumed(), Tick()]
    assert isinstance(shell.actions[-1], Interrupt)


def test_an_event_told_in_the_middle_of_another_waits_its_turn():
    shell = Recorder()
    order: list[str] = []

    def carry_out(action: Action, now_ms: float) -> None:
        if isinstance(action, SeekEndpoint):
            shell.driver.tell(Tick())
            order.append("sought")

    shell.carry_out = carry_out
    shell.event_taken = lambda event, actions: order.append(type(event).__name__)
    shell.driver.tell(Started())
    assert order == ["sought", "Started", "Tick"]


def test_a_stopped_alarm_rings_no_more(shell):
    shell.driver.stop_alarm()
    shell.reactor.advance(100)
    assert shell.events == [Started()]


def test_an_alarm_for_a_moment_that_has_passed_rings_at_once_on_a_running_clock(shell):
    """Found by the soak, seed 100: a process that was paused woke with a request whose
    time was over; the clock moved on by a microsecond between two readings, and the
    reactor took no alarm with a wait below zero."""
    moment_ms = iter(range(10_000, 20_000))
    shell.driver.clock.now_ms = lambda: float(next(moment_ms))
    waits_s = []
    shell.driver.reactor = Mock(callLater=lambda wait_s, *_: waits_s.append(wait_s))
    shell.driver._set_alarm(9_000.0)
    assert waits_s == [0.0]

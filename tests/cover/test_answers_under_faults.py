"""Tokens exactly once, never mixed, whatever engines do."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from coursekeel.answers import AnswerCore, Loss
from tests.common.answer_world import AnswerWorld
from tests.common.examples import schedules, until_broken
from tests.common.naive import NaiveAnswer

ENDPOINTS = st.sampled_from(["a", "b", "c"])
LOSSES = st.sampled_from([Loss.CUT, Loss.CLOSED_EARLY, Loss.GONE, Loss.REFUSED])
WRONG_HEADS = st.sampled_from(["label", "model", "version", "position"])


class AnswerMachine(RuleBasedStateMachine):
    core_class: type = AnswerCore
    world: AnswerWorld

    @initialize(length=st.integers(1, 24), races=st.booleans())
    def begin(self, length, races):
        self.world = AnswerWorld(self.core_class, length, races)

    def attempt(self, data):
        return data.draw(st.sampled_from(self.world.readable()))

    @rule(endpoint=ENDPOINTS)
    def grant(self, endpoint):
        self.world.grant(endpoint)

    @precondition(lambda self: self.world.readable())
    @rule(data=st.data(), count=st.integers(1, 6))
    def stream(self, data, count):
        attempt = self.attempt(data)
        self.world.open_stream(attempt)
        self.world.generate(attempt, count)

    @precondition(lambda self: self.world.readable())
    @rule(data=st.data(), how=st.sampled_from(["", "", "reordered", "repeated"]))
    def arrive(self, data, how):
        self.world.arrive(self.attempt(data), how)

    @precondition(lambda self: self.world.readable())
    @rule(data=st.data())
    def line_is_lost(self, data):
        self.world.arrive(self.attempt(data), "skipped")

    @precondition(lambda self: self.world.readable())
    @rule(data=st.data())
    def line_of_another_run(self, data):
        self.world.crossed(self.attempt(data))

    @precondition(lambda self: self.world.readable())
    @rule(data=st.data(), wrong=WRONG_HEADS)
    def wrong_head(self, data, wrong):
        self.world.open_stream(self.attempt(data), wrong)

    @precondition(lambda self: self.world.readable())
    @rule(data=st.data())
    def finish(self, data):
        self.world.finish(self.attempt(data))

    @precondition(lambda self: self.world.readable())
    @rule(data=st.data(), loss=LOSSES)
    def lose(self, data, loss):
        self.world.lose(self.attempt(data), loss)

    @rule(endpoint=ENDPOINTS)
    def kill(self, endpoint):
        self.world.kill(endpoint)

    @rule(endpoint=ENDPOINTS)
    def freeze(self, endpoint):
        self.world.silent(endpoint)

    @rule(ms=st.floats(1, 2_000))
    def pass_time(self, ms):
        self.world.pass_time(ms)

    @rule(ms=st.floats(1, 10_000))
    def our_own_pause(self, ms):
        self.world.pause_of_ours(ms)

    def teardown(self):
        if hasattr(self, "world"):
            self.world.settle()


class NaiveMachine(AnswerMachine):
    core_class = NaiveAnswer


def test_tokens_come_exactly_once_and_are_never_mixed():
    run_state_machine_as_test(AnswerMachine, settings=schedules(300))


def test_the_naive_version_mixes_or_loses_tokens():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveMachine, settings=until_broken())


def world_at(tokens: int, races: bool = True) -> AnswerWorld:
    world = AnswerWorld(AnswerCore, 20, races)
    world.grant("a")
    world.open_stream(1)
    world.generate(1, tokens)
    world.arrive(1)
    return world


def test_a_cut_stream_is_taken_up_at_the_same_engine():
    world = world_at(8)
    world.lose(1, Loss.CUT)
    assert world.core.attempts[2].endpoint_id == "a"
    world.settle()
    assert world.completed
    assert len(world.core.attempts) == 2


def test_a_frozen_engine_that_wakes_first_stays():
    world = world_at(8)
    world.silent("a")
    world.generate(1, 2)
    world.arrive(1)
    world.grant("b")
    assert len(world.core.attempts) == 1


def test_a_late_token_of_the_loser_is_refused():
    world = world_at(8)
    world.generate(1, 2)
    world.silent("a")
    world.grant("b")
    world.open_stream(2)
    world.generate(2, 4)
    world.arrive(2)
    assert world.streams[1].closed
    assert world.core.ledger.next_position == 12


def test_a_line_of_another_run_is_refused_though_its_position_fits():
    """Found by a run of 10,000 schedules: a crossed line mixed two runs."""
    world = AnswerWorld(AnswerCore, 4)
    world.grant("a")
    world.open_stream(1)
    world.generate(1, 1)
    world.arrive(1, "skipped")
    world.silent("a")
    world.grant("a")
    world.open_stream(2)
    world.generate(2, 1)
    world.crossed(1)
    world.generate(1, 1)
    world.arrive(1)
    world.settle()
    assert world.completed


def test_without_racing_the_silent_stream_is_cancelled_first():
    world = world_at(8, races=False)
    world.silent("a")
    assert world.streams[1].closed


def test_our_own_pause_is_no_silence_of_others():
    world = world_at(8)
    world.pause_of_ours(10_000)
    assert not world.core.attempts[1].suspected


def test_a_request_that_kills_engines_is_stopped():
    world = AnswerWorld(AnswerCore, 20)
    recovery = world.core.recovery
    recovery.policy = type(recovery.policy)(deaths_before_stop=3)
    for endpoint in ("a", "b", "c"):
        world.grant(endpoint)
        attempt = max(world.streams)
        world.open_stream(attempt)
        world.kill(endpoint)
        for each in world.readable():
            world.open_stream(each)
    assert world.interrupted
    assert world.core.state == "interrupted"

"""Tokens are delivered exactly once and never mixed between runs."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from coursekeel.answers import AnswerCore, Loss, NoEndpointFree
from tests.common.answer_world import AnswerWorld
from tests.common.examples import schedules, until_failure
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

    def draw_attempt(self, data):
        return data.draw(st.sampled_from(self.world.open_attempts()))

    @rule(endpoint=ENDPOINTS)
    def grant(self, endpoint):
        self.world.grant(endpoint)

    @precondition(lambda self: self.world.open_attempts())
    @rule(data=st.data(), count=st.integers(1, 6))
    def stream(self, data, count):
        attempt = self.draw_attempt(data)
        self.world.open_stream(attempt)
        self.world.generate(attempt, count)

    @precondition(lambda self: self.world.open_attempts())
    @rule(data=st.data(), how=st.sampled_from(["", "", "reordered", "repeated"]))
    def deliver_line(self, data, how):
        self.world.deliver_line(self.draw_attempt(data), how)

    @precondition(lambda self: self.world.open_attempts())
    @rule(data=st.data())
    def lose_line(self, data):
        self.world.deliver_line(self.draw_attempt(data), "skipped")

    @precondition(lambda self: self.world.open_attempts())
    @rule(data=st.data())
    def deliver_line_of_other_run(self, data):
        self.world.deliver_line_of_other_run(self.draw_attempt(data))

    @precondition(lambda self: self.world.open_attempts())
    @rule(data=st.data(), wrong=WRONG_HEADS)
    def send_wrong_head(self, data, wrong):
        self.world.open_stream(self.draw_attempt(data), wrong)

    @precondition(lambda self: self.world.open_attempts())
    @rule(data=st.data())
    def finish(self, data):
        self.world.finish(self.draw_attempt(data))

    @precondition(lambda self: self.world.open_attempts())
    @rule(data=st.data(), loss=LOSSES)
    def lose_attempt(self, data, loss):
        self.world.lose_attempt(self.draw_attempt(data), loss)

    @rule(endpoint=ENDPOINTS)
    def crash(self, endpoint):
        self.world.crash(endpoint)

    @rule(endpoint=ENDPOINTS)
    def stall(self, endpoint):
        self.world.stall(endpoint)

    @rule(ms=st.floats(1, 2_000))
    def pass_time(self, ms):
        self.world.pass_time(ms)

    @rule(ms=st.floats(1, 10_000))
    def pause_process(self, ms):
        self.world.pause_process(ms)

    def teardown(self):
        if hasattr(self, "world"):
            self.world.run_until_ended()


class NaiveMachine(AnswerMachine):
    core_class = NaiveAnswer


def test_tokens_are_delivered_exactly_once_and_never_mixed():
    run_state_machine_as_test(AnswerMachine, settings=schedules(300))


def test_the_naive_version_mixes_or_loses_tokens():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveMachine, settings=until_failure())


def world_with_tokens(tokens: int, races: bool = True) -> AnswerWorld:
    world = AnswerWorld(AnswerCore, 20, races)
    world.grant("a")
    world.open_stream(1)
    world.generate(1, tokens)
    world.deliver_line(1)
    return world


def test_a_cut_stream_is_resumed_on_the_same_engine():
    world = world_with_tokens(8)
    world.lose_attempt(1, Loss.CUT)
    assert world.core.attempts[2].endpoint_id == "a"
    world.run_until_ended()
    assert world.completed
    assert len(world.core.attempts) == 2


def test_a_stalled_engine_that_recovers_first_is_kept():
    world = world_with_tokens(8)
    world.stall("a")
    world.generate(1, 2)
    world.deliver_line(1)
    world.grant("b")
    assert len(world.core.attempts) == 1


def test_a_stalled_run_is_closed_once_its_successor_progresses():
    world = world_with_tokens(8)
    world.generate(1, 2)
    world.stall("a")
    world.grant("b")
    world.open_stream(2)
    world.generate(2, 4)
    world.deliver_line(2)
    assert world.streams[1].closed
    assert world.core.ledger.next_position == 12


def test_a_line_of_another_run_is_rejected_at_a_fitting_position():
    """A line that arrives on the stream of another run must not mix the two runs."""
    world = AnswerWorld(AnswerCore, 4)
    world.grant("a")
    world.open_stream(1)
    world.generate(1, 1)
    world.deliver_line(1, "skipped")
    world.stall("a")
    world.grant("a")
    world.open_stream(2)
    world.generate(2, 1)
    world.deliver_line_of_other_run(1)
    world.generate(1, 1)
    world.deliver_line(1)
    world.run_until_ended()
    assert world.completed


def test_without_racing_a_stalled_stream_is_cancelled_before_its_successor_opens():
    world = world_with_tokens(8, races=False)
    world.stall("a")
    assert not world.streams[1].closed
    world.grant("b")
    assert world.streams[1].closed
    assert world.open_attempts() == [2]


def test_an_attempt_is_stalled_only_after_the_silence_limit():
    world = world_with_tokens(8, races=False)
    silence_ms = world.core.recovery.policy.silence_ms
    last_ms = world.core.attempts[1].last_received_ms
    assert world.core.stalled_attempts(last_ms + silence_ms - 1) == []
    assert world.core.stalled_attempts(last_ms + silence_ms) == [1]


def test_without_racing_a_stalled_stream_that_goes_on_is_kept():
    world = world_with_tokens(8, races=False)
    world.stall("a")
    world.generate(1, 2)
    world.deliver_line(1)
    world.grant("b")
    assert world.open_attempts() == [1]


def test_a_stalled_stream_without_an_endpoint_to_replace_it_is_kept():
    world = world_with_tokens(8, races=False)
    world.stall("a")
    world.handle(NoEndpointFree(1_000))
    assert world.open_attempts() == [1]
    assert not world.core.waits_on_suspected_run
    world.stall("a")
    world.grant("b")
    assert world.open_attempts() == [2]


def test_a_pause_of_this_process_suspects_no_stream():
    world = world_with_tokens(8)
    world.pause_process(10_000)
    assert not world.core.attempts[1].suspected


def test_a_request_that_crashes_engines_is_interrupted():
    world = AnswerWorld(AnswerCore, 20)
    recovery = world.core.recovery
    recovery.policy = type(recovery.policy)(deaths_before_stop=3)
    for endpoint in ("a", "b", "c"):
        world.grant(endpoint)
        attempt = max(world.streams)
        world.open_stream(attempt)
        world.crash(endpoint)
        for number in world.open_attempts():
            world.open_stream(number)
    assert world.interrupted
    assert world.core.state == "interrupted"

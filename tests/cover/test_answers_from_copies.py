"""A lost run resumes from its KV cache copy, else the prompt is prefilled again."""

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.answers import (
    AnswerCore,
    AnswerPolicy,
    AttemptEnded,
    CancelAttempt,
    CopyPlaced,
    EndpointGranted,
    EndpointStalled,
    ExpectedModel,
    FinishArrived,
    HeadArrived,
    Loss,
    OpenAttempt,
    RequestEndpoint,
    SetAlarm,
    Started,
    StreamHead,
    Tick,
    TokensArrived,
    Way,
)
from coursekeel.forwarding import EventLedger

POLICY = AnswerPolicy(
    patience_ms=20_000,
    first_token_ms=1e12,
    silence_ms=300,
    races=False,
    deaths_before_stop=5,
    reread_tries=0,
)
HANDOVER_MS = 250


class Driver:
    """Drives one answer and keeps the actions that the last event returned."""

    def __init__(self, policy: AnswerPolicy = POLICY) -> None:
        self.core = AnswerCore("r", ExpectedModel("p", "", ""), policy, EventLedger())
        self.now_ms = 0.0
        self.actions = self.core.handle(Started(), 0.0)

    def handle(self, event):
        self.actions = self.core.handle(event, self.now_ms)
        return self.actions

    def opened(self) -> OpenAttempt | None:
        return next(
            (action for action in self.actions if isinstance(action, OpenAttempt)), None
        )

    def cancelled(self) -> set[int]:
        """The attempts that the last event cancelled."""
        return {
            each.attempt for each in self.actions if isinstance(each, CancelAttempt)
        }

    def cancelled_by(self, event) -> set[int]:
        self.handle(event)
        return self.cancelled()

    def accept(self, number: int) -> None:
        """Let the engine of an attempt open its stream, if it hasn't."""
        self.actions = []
        if not self.core.attempts[number].streaming:
            label = self.core.attempts[number].label
            start = self.core.attempts[number].from_position
            head = StreamHead(label, label, "p", "", "", "", start)
            self.handle(HeadArrived(number, head))

    def stream(self, number: int, end: int) -> None:
        label = self.core.attempts[number].label
        start = self.core.ledger.next_position
        self.accept(number)
        at_head = self.actions
        numbers = list(range(start + 1, end + 1))
        events = [b"%d" % n for n in numbers]
        at_tokens = self.handle(TokensArrived(number, label, start, numbers, events))
        self.actions = [*at_head, *at_tokens]


def start_driver(copy: str = "b", policy: AnswerPolicy = POLICY) -> Driver:
    driver = Driver(policy)
    driver.handle(EndpointGranted("a"))
    if copy:
        driver.handle(CopyPlaced(1, copy))
    return driver


def test_a_cut_run_resumes_from_its_copy_without_routing():
    driver = start_driver()
    driver.stream(1, 5)
    driver.handle(AttemptEnded(1, Loss.CUT))
    opened = driver.opened()
    assert (opened.endpoint_id, opened.way, opened.from_position) == ("b", Way.COPY, 5)
    assert not any(isinstance(action, RequestEndpoint) for action in driver.actions)


def test_a_run_lost_during_prefill_resumes_from_its_copy():
    driver = start_driver()
    driver.handle(AttemptEnded(1, Loss.CUT))
    assert driver.opened().way is Way.COPY


def test_a_stalled_run_is_cancelled_before_its_copy_continues():
    driver = start_driver()
    driver.stream(1, 5)
    driver.handle(EndpointStalled("a"))
    kinds = [type(action) for action in driver.actions]
    assert kinds.index(CancelAttempt) < kinds.index(OpenAttempt)


def test_a_stalled_run_stays_open_while_its_copy_may_not_be_used():
    driver = start_driver()
    driver.stream(1, 5)
    driver.handle(EndpointStalled("a", may_use_copy=False))
    assert RequestEndpoint(frozenset("ab"), True, 5) in driver.actions
    assert not any(isinstance(each, CancelAttempt) for each in driver.actions)


def test_a_copy_that_could_not_be_used_is_used_once_the_run_is_lost():
    driver = start_driver()
    driver.stream(1, 5)
    driver.handle(EndpointStalled("a", may_use_copy=False))
    driver.handle(AttemptEnded(1, Loss.CUT))
    opened = driver.opened()
    assert (opened.endpoint_id, opened.way) == ("b", Way.COPY)


def test_without_a_copy_an_endpoint_is_requested_for_a_new_run():
    driver = start_driver(copy="")
    driver.stream(1, 5)
    driver.handle(AttemptEnded(1, Loss.CUT))
    assert driver.opened() is None
    assert any(isinstance(action, RequestEndpoint) for action in driver.actions)


def test_a_missing_copy_leads_to_a_new_prefill():
    driver = start_driver()
    driver.stream(1, 5)
    driver.handle(AttemptEnded(1, Loss.CUT))
    driver.handle(AttemptEnded(2, Loss.REFUSED))
    assert any(isinstance(action, RequestEndpoint) for action in driver.actions)
    driver.handle(EndpointGranted("c"))
    assert driver.opened().way is Way.PREFILL


def test_a_copy_is_used_when_the_run_cannot_be_read_again():
    """Reading the run again from a crashed engine must not lose its copy."""
    driver = Driver(evolve(POLICY, reread_tries=1))
    driver.handle(EndpointGranted("a"))
    driver.handle(CopyPlaced(1, "b"))
    driver.stream(1, 5)
    driver.handle(AttemptEnded(1, Loss.CUT))
    assert driver.opened().way is Way.OWN_STREAM
    driver.handle(AttemptEnded(2, Loss.NOT_SENT))
    opened = driver.opened()
    assert (opened.endpoint_id, opened.way) == ("b", Way.COPY)
    assert opened.run_id == driver.core.attempts[1].run_id


def start_racing_driver() -> Driver:
    driver = Driver(evolve(POLICY, races=True))
    driver.handle(EndpointGranted("a"))
    driver.handle(CopyPlaced(1, "b"))
    driver.stream(1, 5)
    driver.handle(EndpointStalled("a"))
    return driver


def test_a_stalled_run_is_raced_by_a_run_from_its_copy():
    driver = start_racing_driver()
    assert driver.opened().way is Way.COPY
    assert not any(isinstance(action, CancelAttempt) for action in driver.actions)
    driver.stream(1, 6)
    assert CancelAttempt(2) in driver.actions


def test_a_missing_copy_in_a_race_leads_to_a_new_prefill():
    driver = start_racing_driver()
    driver.handle(AttemptEnded(2, Loss.REFUSED))
    assert any(isinstance(action, RequestEndpoint) for action in driver.actions)
    driver.handle(EndpointGranted("c"))
    assert driver.opened().way is Way.PREFILL


def test_the_alarm_uses_the_stream_timeout_after_the_first_event():
    """After the first event, the alarm must use the shorter ``silence_ms``."""
    driver = start_driver()
    driver.now_ms = 1_000.0
    driver.stream(1, 1)
    alarms = [action for action in driver.actions if isinstance(action, SetAlarm)]
    assert alarms[-1].at_ms == 1_300.0
    driver.now_ms = 1_300.0
    driver.handle(Tick())
    assert driver.opened().way is Way.COPY


def test_a_run_from_a_copy_resumes_from_its_own_copy():
    driver = start_driver()
    driver.stream(1, 5)
    driver.handle(AttemptEnded(1, Loss.CUT))
    driver.handle(CopyPlaced(2, "c"))
    driver.stream(2, 9)
    driver.handle(AttemptEnded(2, Loss.CUT))
    opened = driver.opened()
    assert (opened.endpoint_id, opened.way, opened.from_position) == ("c", Way.COPY, 9)


@pytest.mark.parametrize("handover_ms", [0, HANDOVER_MS])
@given(
    steps=st.lists(
        st.sampled_from(["cut", "refuse", "silent", "tick", "more", "accept"])
    )
)
def test_at_most_one_run_is_open_at_any_time_but_during_a_handover(handover_ms, steps):
    """Without racing, a request must not run on two endpoints for longer."""
    driver = start_driver(policy=evolve(POLICY, handover_ms=handover_ms))
    open_numbers = {1}
    grant_count = 0
    for step in steps:
        if driver.core.ended:
            break
        driver.now_ms += 100.0
        open_numbers -= driver.cancelled_by(Tick())
        number = max(open_numbers, default=0)
        if step == "more" and number:
            driver.stream(number, driver.core.ledger.next_position + 1)
        elif step == "cut" and number:
            open_numbers.discard(number)
            driver.handle(AttemptEnded(number, Loss.CUT))
        elif step == "refuse" and number:
            open_numbers.discard(number)
            driver.handle(AttemptEnded(number, Loss.REFUSED))
        elif step == "accept" and number:
            driver.accept(number)
            assert len(open_numbers - driver.cancelled()) == 1
        elif step == "silent" and number:
            driver.handle(EndpointStalled(driver.core.attempts[number].endpoint_id))
        else:
            driver.handle(Tick())
        actions = list(driver.actions)
        while actions:
            action = actions.pop(0)
            if isinstance(action, CancelAttempt):
                open_numbers.discard(action.attempt)
            elif isinstance(action, OpenAttempt):
                open_numbers.add(action.attempt)
                actions += driver.handle(CopyPlaced(action.attempt, f"k{grant_count}"))
            elif isinstance(action, RequestEndpoint):
                grant_count += 1
                actions += driver.handle(EndpointGranted(f"g{grant_count}"))
        assert len(open_numbers) <= (2 if handover_ms else 1)
        if len(open_numbers) > 1:
            newest = driver.core.attempts[max(open_numbers)]
            assert driver.now_ms < newest.opened_ms + handover_ms
    if not driver.core.ended and open_numbers:
        number = max(open_numbers)
        driver.stream(number, driver.core.ledger.next_position + 1)
        label = driver.core.attempts[number].label
        position = driver.core.ledger.next_position
        driver.handle(FinishArrived(number, label, position, "end"))
        assert driver.core.state == "finished"


def count_lost_runs(run_duration_ms: float, reset_losses_after_ms: float) -> int:
    """How many runs an answer loses that each stream some events first."""
    policy = evolve(
        POLICY, deaths_before_stop=3, reset_losses_after_ms=reset_losses_after_ms
    )
    driver = Driver(policy)
    for number in range(1, 20):
        driver.handle(EndpointGranted(f"e{number}"))
        driver.stream(number, 2 * number - 1)
        driver.now_ms += run_duration_ms
        driver.stream(number, 2 * number)
        driver.handle(AttemptEnded(number, Loss.CUT))
        if driver.core.ended:
            return number
    return number


def test_events_before_each_crash_do_not_reset_the_count_of_lost_runs():
    """A few events before each crash must not reset the count of lost runs."""
    assert count_lost_runs(100, reset_losses_after_ms=1_000) == 3
    assert count_lost_runs(100, reset_losses_after_ms=0) == 19


def test_long_runs_reset_the_count_of_lost_runs():
    assert count_lost_runs(1_200, reset_losses_after_ms=1_000) == 19

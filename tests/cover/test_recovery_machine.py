"""Answers don't get stuck or repeat events when runs and copies fail."""

from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from coursekeel.answers import (
    AnswerCore,
    AnswerPolicy,
    AttemptEnded,
    CancelAttempt,
    Cancelled,
    Complete,
    CopyPlaced,
    DeadlineReached,
    EndpointGranted,
    EndpointStalled,
    ExpectedModel,
    FinishArrived,
    HeadArrived,
    Loss,
    NoEndpointFree,
    OpenAttempt,
    ReadingResumed,
    RequestEndpoint,
    RunState,
    Started,
    StreamHead,
    Tick,
    TokensArrived,
    Way,
)
from coursekeel.forwarding import EventLedger

ENDPOINTS = tuple("abcdef")
LENGTH = 40
STEP_MS = 50.0
LOSSES_WITHOUT_RUN = (Loss.NOT_SENT, Loss.REFUSED)


@define
class AttemptState:
    """The state of one attempt, as the test has driven it."""

    open_action: OpenAttempt
    copy_endpoint: str = ""
    losses: list[Loss] = field(factory=list)
    closed: bool = False


class RecoveryMachine(RuleBasedStateMachine):
    """Endpoints crash, stall, refuse attempts and miss copies, in any order."""

    @initialize(races=st.booleans(), own_tries=st.integers(0, 1))
    def start_answer(self, races: bool, own_tries: int) -> None:
        policy = AnswerPolicy(
            patience_ms=1_000_000,
            first_token_ms=1e12,
            silence_ms=300,
            races=races,
            deaths_before_stop=1_000,
            reread_tries=own_tries,
        )
        self.races = races
        self.core = AnswerCore("r", ExpectedModel("p", "", ""), policy, EventLedger())
        self.now_ms = 0.0
        self.states: dict[int, AttemptState] = {}
        self.seeking: frozenset[str] | None = None
        self.delivered = bytearray()
        self.completed = False
        self.handle(Started())

    def handle(self, event: object) -> None:
        for action in self.core.handle(event, self.now_ms):
            match action:
                case RequestEndpoint():
                    self.seeking = action.excluded
                case OpenAttempt():
                    self.check_copy(action)
                    self.states[action.attempt] = AttemptState(action)
                case CancelAttempt():
                    self.states[action.attempt].closed = True
                case Complete():
                    self.completed = True
        self.delivered += self.core.ledger.take()

    def check_copy(self, action: OpenAttempt) -> None:
        """Check that a copy was placed and that no other attempt continues it."""
        if action.way is not Way.COPY:
            return
        placed = [
            state
            for state in self.states.values()
            if state.copy_endpoint == action.endpoint_id
        ]
        assert placed
        open_copies = [
            state.open_action
            for state in self.states.values()
            if state.open_action.way is Way.COPY
            and state.open_action.endpoint_id == action.endpoint_id
            and not state.closed
        ]
        assert not open_copies

    def open_attempts(self) -> list[int]:
        return [number for number, state in self.states.items() if not state.closed]

    def pick_attempt(self, choice: int) -> int | None:
        numbers = self.open_attempts()
        return numbers[choice % len(numbers)] if numbers else None

    @rule(choice=st.integers(0, 5))
    def grant(self, choice: int) -> None:
        if self.seeking is None:
            return
        free = [name for name in ENDPOINTS if name not in self.seeking]
        if not free:
            return
        endpoint = free[choice % len(free)]
        self.seeking = None
        self.handle(EndpointGranted(endpoint))

    @rule()
    def refuse_replacement(self) -> None:
        if self.seeking is not None and self.core.waits_on_suspected_run:
            self.seeking = None
            open_attempts = self.open_attempts()
            self.handle(NoEndpointFree(1_000))
            assert self.open_attempts() == open_attempts

    @rule(choice=st.integers(0, 3), copy_to=st.sampled_from(ENDPOINTS))
    def place_copy(self, choice: int, copy_to: str) -> None:
        number = self.pick_attempt(choice)
        if number is None or copy_to == self.states[number].open_action.endpoint_id:
            return
        self.states[number].copy_endpoint = copy_to
        self.handle(CopyPlaced(number, copy_to))

    @rule(choice=st.integers(0, 3), count=st.integers(1, 6))
    def stream_events(self, choice: int, count: int) -> None:
        number = self.pick_attempt(choice)
        if number is None:
            return
        attempt = self.core.attempts[number]
        if not attempt.streaming:
            run_id = self.states[number].open_action.run_id or f"run-{number}"
            head = StreamHead(
                run_id, attempt.label, "p", "", "", "", attempt.from_position
            )
            self.handle(HeadArrived(number, head))
        if self.states[number].closed:
            return
        start = self.core.ledger.next_position
        numbers = list(range(start + 1, min(start + count, LENGTH) + 1))
        events = [b"%d," % n for n in numbers]
        if numbers:
            self.handle(TokensArrived(number, attempt.run_id, start, numbers, events))
        if self.core.ledger.next_position == LENGTH and not self.states[number].closed:
            self.states[number].closed = True
            self.handle(FinishArrived(number, attempt.run_id, LENGTH, "end"))

    @rule(choice=st.integers(0, 3), loss=st.sampled_from(list(Loss)))
    def lose_attempt(self, choice: int, loss: Loss) -> None:
        number = self.pick_attempt(choice)
        if number is None:
            return
        self.states[number].closed = True
        self.states[number].losses.append(loss)
        self.handle(AttemptEnded(number, loss))

    @rule(choice=st.integers(0, 3))
    def stall(self, choice: int) -> None:
        number = self.pick_attempt(choice)
        if number is not None:
            self.handle(EndpointStalled(self.states[number].open_action.endpoint_id))

    @rule(steps=st.integers(1, 10))
    def pass_time(self, steps: int) -> None:
        self.now_ms += steps * STEP_MS
        self.handle(Tick())

    @rule()
    def resume_reading(self) -> None:
        self.handle(ReadingResumed())

    @rule(chance=st.integers(0, 9))
    def reach_deadline(self, chance: int) -> None:
        if chance == 0 and not self.core.ended:
            self.handle(DeadlineReached())
            assert self.open_attempts() == []
            assert self.core.state == "interrupted"

    @rule(chance=st.integers(0, 9))
    def cancel(self, chance: int) -> None:
        if chance == 0:
            self.handle(Cancelled())

    @invariant()
    def events_are_delivered_once_and_in_order(self) -> None:
        held = self.core.ledger.next_position
        assert bytes(self.delivered) == b"".join(b"%d," % n for n in range(1, held + 1))
        assert self.completed == (self.core.state == "finished")

    @invariant()
    def at_most_two_attempts_are_open_or_one_without_racing(self) -> None:
        assert len(self.open_attempts()) <= (2 if self.races else 1)

    @invariant()
    def an_unfinished_answer_has_a_healthy_attempt_or_requests_an_endpoint(
        self,
    ) -> None:
        if self.core.ended:
            assert not self.open_attempts()
            return
        healthy = [
            number
            for number in self.open_attempts()
            if not self.core.attempts[number].suspected
        ]
        assert healthy or self.seeking is not None

    @invariant()
    def not_run_is_reported_only_if_no_attempt_ran(self) -> None:
        if self.core.run_state is RunState.NOT_RUN:
            losses_of_attempts = [state.losses[-1:] for state in self.states.values()]
            assert all(
                losses and losses[0] in LOSSES_WITHOUT_RUN
                for losses in losses_of_attempts
            )


TestRecovery = RecoveryMachine.TestCase
# Fewer examples can miss an answer that is stuck after a competing run was lost.
TestRecovery.settings = settings(max_examples=300, stateful_step_count=50)

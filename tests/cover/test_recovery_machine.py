"""Whatever becomes of runs and their copies, an answer is never stuck, never wrong."""

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
    EndpointSilent,
    Expected,
    FinishArrived,
    Granted,
    HeadArrived,
    Loss,
    OpenAttempt,
    ReadingResumed,
    RunState,
    SeekEndpoint,
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
NOT_RUN = (Loss.NOT_SENT, Loss.REFUSED)


@define
class Seen:
    """What the world knows of one attempt."""

    opened: OpenAttempt
    copy: str = ""
    losses: list[Loss] = field(factory=list)
    over: bool = False


class RecoveryMachine(RuleBasedStateMachine):
    """Endpoints die, fall silent, refuse and lie about copies, in any order."""

    @initialize(races=st.booleans(), own_tries=st.integers(0, 1))
    def begin(self, races: bool, own_tries: int) -> None:
        policy = AnswerPolicy(
            patience_ms=1_000_000,
            first_token_ms=1e12,
            silence_ms=300,
            races=races,
            deaths_before_stop=1_000,
            own_stream_tries=own_tries,
        )
        self.races = races
        self.core = AnswerCore("r", Expected("p", "", ""), policy, EventLedger())
        self.now_ms = 0.0
        self.seen: dict[int, Seen] = {}
        self.seeking: frozenset[str] | None = None
        self.given = bytearray()
        self.completed = False
        self.tell(Started())

    def tell(self, event: object) -> None:
        for action in self.core.handle(event, self.now_ms):
            match action:
                case SeekEndpoint():
                    self.seeking = action.excluded
                case OpenAttempt():
                    self.check_copy(action)
                    self.seen[action.attempt] = Seen(action)
                case CancelAttempt():
                    self.seen[action.attempt].over = True
                case Complete():
                    self.completed = True
        self.given += self.core.ledger.take()

    def check_copy(self, action: OpenAttempt) -> None:
        """A copy is taken up only where one was placed, by one run at a time."""
        if action.way is not Way.COPY:
            return
        kept = [each for each in self.seen.values() if each.copy == action.endpoint_id]
        assert kept
        mates = [
            each.opened
            for each in self.seen.values()
            if each.opened.way is Way.COPY
            and each.opened.endpoint_id == action.endpoint_id
            and not each.over
        ]
        assert not mates

    def open_attempts(self) -> list[int]:
        return [number for number, each in self.seen.items() if not each.over]

    def pick(self, choice: int) -> int | None:
        numbers = self.open_attempts()
        return numbers[choice % len(numbers)] if numbers else None

    @rule(choice=st.integers(0, 5))
    def grant(self, choice: int) -> None:
        if self.seeking is None:
            return
        free = [each for each in ENDPOINTS if each not in self.seeking]
        if not free:
            return
        endpoint = free[choice % len(free)]
        self.seeking = None
        self.tell(Granted(endpoint))

    @rule(choice=st.integers(0, 3), keeper=st.sampled_from(ENDPOINTS))
    def place_copy(self, choice: int, keeper: str) -> None:
        number = self.pick(choice)
        if number is None or keeper == self.seen[number].opened.endpoint_id:
            return
        self.seen[number].copy = keeper
        self.tell(CopyPlaced(number, keeper))

    @rule(choice=st.integers(0, 3), count=st.integers(1, 6))
    def stream(self, choice: int, count: int) -> None:
        number = self.pick(choice)
        if number is None:
            return
        attempt = self.core.attempts[number]
        if not attempt.streaming:
            run_id = self.seen[number].opened.run_id or f"run-{number}"
            head = StreamHead(
                run_id, attempt.label, "p", "", "", "", attempt.from_position
            )
            self.tell(HeadArrived(number, head))
        if self.seen[number].over:
            return
        start = self.core.ledger.next_position
        numbers = list(range(start + 1, min(start + count, LENGTH) + 1))
        events = [b"%d," % each for each in numbers]
        if numbers:
            self.tell(TokensArrived(number, attempt.run_id, start, numbers, events))
        if self.core.ledger.next_position == LENGTH and not self.seen[number].over:
            self.seen[number].over = True
            self.tell(FinishArrived(number, attempt.run_id, LENGTH, "end"))

    @rule(choice=st.integers(0, 3), loss=st.sampled_from(list(Loss)))
    def lose(self, choice: int, loss: Loss) -> None:
        number = self.pick(choice)
        if number is None:
            return
        self.seen[number].over = True
        self.seen[number].losses.append(loss)
        self.tell(AttemptEnded(number, loss))

    @rule(choice=st.integers(0, 3))
    def fall_silent(self, choice: int) -> None:
        number = self.pick(choice)
        if number is not None:
            self.tell(EndpointSilent(self.seen[number].opened.endpoint_id))

    @rule(steps=st.integers(1, 10))
    def pass_time(self, steps: int) -> None:
        self.now_ms += steps * STEP_MS
        self.tell(Tick())

    @rule()
    def wake_from_a_pause(self) -> None:
        self.tell(ReadingResumed())

    @rule(really=st.integers(0, 9))
    def leave(self, really: int) -> None:
        if really == 0:
            self.tell(Cancelled())

    @invariant()
    def events_come_once_and_in_order(self) -> None:
        held = self.core.ledger.next_position
        assert bytes(self.given) == b"".join(b"%d," % n for n in range(1, held + 1))
        assert self.completed == (self.core.state == "finished")

    @invariant()
    def at_most_as_many_runs_are_open_as_may_race(self) -> None:
        assert len(self.open_attempts()) <= (2 if self.races else 1)

    @invariant()
    def an_answer_that_has_not_ended_is_at_work_or_seeks(self) -> None:
        if self.core.ended:
            assert not self.open_attempts()
            return
        at_work = [
            number
            for number in self.open_attempts()
            if not self.core.attempts[number].suspected
        ]
        assert at_work or self.seeking is not None

    @invariant()
    def not_run_is_said_only_if_true(self) -> None:
        if self.core.run_state is RunState.NOT_RUN:
            ends = [each.losses[-1:] for each in self.seen.values()]
            assert all(end and end[0] in NOT_RUN for end in ends)


TestRecovery = RecoveryMachine.TestCase
# With fewer, a racer's loss that left the answer stuck wasn't always found.
TestRecovery.settings = settings(max_examples=300, stateful_step_count=50)

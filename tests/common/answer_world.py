"""One answer on simulated engines that fail, driven by a generated schedule.

Tokens come from `standins._tokens.Chain`, so that the check recognizes a sequence that
was spliced from two runs.
"""

import math
from collections import deque

from attrs import evolve

from coursekeel.answers import (
    AnswerPolicy,
    AttemptEnded,
    CancelAttempt,
    Complete,
    Deliver,
    EndpointGranted,
    EndpointStalled,
    ExpectedModel,
    FinishArrived,
    HeadArrived,
    Interrupt,
    Ledger,
    Loss,
    OpenAttempt,
    ReadingResumed,
    RequestEndpoint,
    SetAlarm,
    Started,
    StreamHead,
    Tick,
    TokensArrived,
    Way,
)
from standins._tokens import SALTS, Chain, first_foreign_token, prompt_digest, text_of

REQUEST = {"prompt": "a dossier", "seed": 3}
EXPECTED = ExpectedModel("dossier", "", "1")
POLICY = AnswerPolicy(patience_ms=5_000, first_token_ms=1_000, silence_ms=500)


class Run:
    """A run on one engine, which continues when its reader disconnects."""

    def __init__(self, endpoint: str, prefix: list[int], salt: int, label: str):
        self.endpoint = endpoint
        self.label = label
        self.start = len(prefix)
        self.salt = salt
        self.chain = Chain(prompt_digest(REQUEST), REQUEST["seed"], prefix)
        self.tokens: list[int] = []

    def token_at(self, position: int) -> int:
        while self.start + len(self.tokens) <= position:
            token = self.chain.next_token(self.salt)
            self.chain.extend(token)
            self.tokens.append(token)
        return self.tokens[position - self.start]


class Stream:
    """The stream of an attempt: a run read from a position, with lines in flight."""

    def __init__(self, run: Run | None, position: int, run_id: str) -> None:
        self.run = run
        self.run_id = run_id
        self.position = position
        self.opened = False
        self.closed = False
        self.in_flight: deque[TokensArrived] = deque()


class AnswerWorld:
    """Drives one core, the product's or the naive one, and checks its tokens."""

    def __init__(self, core_class, length: int, races: bool = True) -> None:
        self.length = length
        self.now_ms = 0.0
        self.alarm_ms = math.inf
        policy = AnswerPolicy(
            patience_ms=POLICY.patience_ms,
            first_token_ms=POLICY.first_token_ms,
            silence_ms=POLICY.silence_ms,
            races=races,
            deaths_before_stop=1_000,
        )
        ledger = Ledger("g-1")
        self.core = core_class("team/r/g-1", EXPECTED, policy, ledger)
        self.seeking: RequestEndpoint | None = None
        self.streams: dict[int, Stream] = {}
        self.runs: dict[str, Run] = {}
        self.crashed: set[str] = set()
        self.delivered = 0
        self.completed = False
        self.interrupted = False
        self.salt_count = 0
        self.handle(Started())

    # Handling of the core's actions.

    def handle(self, event) -> None:
        for action in self.core.handle(event, self.now_ms):
            self._carry_out(action)
        self.check()

    def _carry_out(self, action) -> None:
        match action:
            case RequestEndpoint():
                self.seeking = action
            case OpenAttempt():
                self._open(action)
            case CancelAttempt():
                self.streams[action.attempt].closed = True
            case Deliver():
                assert action.end > self.delivered
                self.delivered = action.end
            case SetAlarm():
                self.alarm_ms = action.at_ms
            case Complete():
                assert not self.completed
                self.completed = True
            case Interrupt():
                self.interrupted = True

    def _open(self, action: OpenAttempt) -> None:
        if action.way is Way.OWN_STREAM:
            run = self.runs.get(action.run_id)
            if run is None or run.endpoint in self.crashed:
                run = None
            stream = Stream(run, action.from_position, action.run_id)
        else:
            self.salt_count += 1
            attempt = self.core.attempts.get(action.attempt)
            label = attempt.label if attempt else "naive"
            prefix = self.core.ledger.tokens_from(0, action.from_position)
            run = Run(action.endpoint_id, prefix, self.salt_count % SALTS, label)
            run_id = f"run-{action.attempt}"
            self.runs[run_id] = run
            endpoint_crashed = action.endpoint_id in self.crashed
            stream = Stream(
                None if endpoint_crashed else run, action.from_position, run_id
            )
        self.streams[action.attempt] = stream

    def check(self) -> None:
        tokens = self.core.ledger.tokens_from(0)
        foreign_position = first_foreign_token(REQUEST, tokens)
        assert foreign_position is None, (
            f"token {foreign_position} belongs to another run"
        )
        if self.completed:
            assert len(tokens) == self.length, f"{len(tokens)} of {self.length} tokens"

    # Steps of the schedule.

    def open_attempts(self) -> list[int]:
        return [n for n, s in self.streams.items() if not s.closed]

    def grant(self, endpoint: str) -> None:
        if self.seeking is not None:
            self.seeking = None
            self.crashed.discard(endpoint)
            self.handle(EndpointGranted(endpoint))

    def open_stream(self, attempt: int, wrong: str = "") -> None:
        stream = self.streams[attempt]
        if stream.opened or stream.closed:
            return
        if stream.run is None:
            stream.closed = True
            self.handle(AttemptEnded(attempt, Loss.NOT_SENT))
            return
        stream.opened = True
        self.handle(
            HeadArrived(
                attempt,
                StreamHead(
                    stream.run_id,
                    "other/request/1" if wrong == "label" else stream.run.label,
                    "another" if wrong == "model" else EXPECTED.model,
                    EXPECTED.adapter,
                    "2" if wrong == "version" else EXPECTED.version,
                    "i",
                    stream.position + (wrong == "position"),
                ),
            )
        )

    def generate(self, attempt: int, count: int) -> None:
        """The engine sends a line, which is in flight until `deliver_line`."""
        stream = self.streams[attempt]
        if not stream.opened or stream.closed or stream.run is None:
            return
        if stream.run.endpoint in self.crashed:
            return
        end = min(stream.position + count, self.length)
        tokens = [stream.run.token_at(p) for p in range(stream.position, end)]
        if tokens:
            texts = [text_of(token) for token in tokens]
            line = TokensArrived(attempt, stream.run_id, stream.position, tokens, texts)
            stream.in_flight.append(line)
            stream.position = end

    def deliver_line(self, attempt: int, how: str = "") -> None:
        stream = self.streams[attempt]
        if not stream.in_flight:
            return
        match how:
            case "reordered":
                line = stream.in_flight.pop()
            case "skipped":
                stream.in_flight.popleft()
                return
            case "repeated":
                line = stream.in_flight[0]
            case _:
                line = stream.in_flight.popleft()
        if not stream.closed:
            self.handle(line)

    def deliver_line_of_other_run(self, attempt: int) -> None:
        """Deliver a line of the answer's other run on this stream."""
        others = [s for n, s in self.streams.items() if n != attempt and s.in_flight]
        if others and not self.streams[attempt].closed:
            line = others[0].in_flight[0]
            self.handle(evolve(line, attempt=attempt))

    def finish(self, attempt: int) -> None:
        stream = self.streams[attempt]
        done = stream.position >= self.length and not stream.in_flight
        if stream.opened and not stream.closed and done:
            stream.closed = True
            self.handle(FinishArrived(attempt, stream.run_id, self.length, "length"))

    def lose_attempt(self, attempt: int, loss: Loss) -> None:
        stream = self.streams[attempt]
        if not stream.closed:
            stream.closed = True
            stream.in_flight.clear()
            self.handle(AttemptEnded(attempt, loss))

    def crash(self, endpoint: str) -> None:
        self.crashed.add(endpoint)
        for attempt, stream in list(self.streams.items()):
            if stream.run is not None and stream.run.endpoint == endpoint:
                self.lose_attempt(attempt, Loss.CUT)

    def stall(self, endpoint: str) -> None:
        self.handle(EndpointStalled(endpoint))

    def pause_process(self, ms: float) -> None:
        self.now_ms += ms
        self.handle(ReadingResumed())

    def pass_time(self, ms: float) -> None:
        self.now_ms += ms
        if self.now_ms >= self.alarm_ms:
            self.alarm_ms = math.inf
            self.handle(Tick())

    def run_until_ended(self) -> None:
        """Step without further faults until the answer has ended."""
        for _ in range(400):
            if self.core.ended:
                return
            self.grant("calm")
            for attempt in self.open_attempts():
                self.open_stream(attempt)
                self.generate(attempt, 4)
                self.deliver_line(attempt)
                self.finish(attempt)
            self.pass_time(50)
        raise AssertionError(f"the answer did not end; it is {self.core.state}")

"""One answer among engines that fail, stepped by a generated schedule.

Every token is made by `standins._tokens.Chain`, so a splice of two runs shows whatever
the ledger believed.
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
    EndpointSilent,
    Expected,
    FinishArrived,
    Granted,
    HeadArrived,
    Interrupt,
    Ledger,
    Loss,
    OpenAttempt,
    ReadingResumed,
    SeekEndpoint,
    SetAlarm,
    Started,
    StreamHead,
    Tick,
    TokensArrived,
    Way,
)
from standins._tokens import SALTS, Chain, first_foreign_token, prompt_digest, text_of

REQUEST = {"prompt": "a dossier", "seed": 3}
SERVES = Expected("dossier", "", "1")
POLICY = AnswerPolicy(patience_ms=5_000, first_token_ms=1_000, silence_ms=500)


class Run:
    """A generation on one engine, which outlives its reader."""

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
    """What an attempt reads: a run, from a position, with lines under way."""

    def __init__(self, run: Run | None, position: int, run_id: str) -> None:
        self.run = run
        self.run_id = run_id
        self.position = position
        self.opened = False
        self.closed = False
        self.under_way: deque[TokensArrived] = deque()


class AnswerWorld:
    """Drives one core, the product's or the naive one, and checks what it lets out."""

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
        self.core = core_class("team/r/g-1", SERVES, policy, ledger)
        self.seeking: SeekEndpoint | None = None
        self.streams: dict[int, Stream] = {}
        self.runs: dict[str, Run] = {}
        self.dead: set[str] = set()
        self.delivered = 0
        self.completed = False
        self.interrupted = False
        self.salts = 0
        self.tell(Started())

    # The core's side.

    def tell(self, event) -> None:
        for action in self.core.handle(event, self.now_ms):
            self._carry_out(action)
        self.check()

    def _carry_out(self, action) -> None:
        match action:
            case SeekEndpoint():
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
            if run is None or run.endpoint in self.dead:
                run = None
            stream = Stream(run, action.from_position, action.run_id)
        else:
            self.salts += 1
            attempt = self.core.attempts.get(action.attempt)
            label = attempt.label if attempt else "naive"
            prefix = self.core.ledger.tokens_from(0, action.from_position)
            run = Run(action.endpoint_id, prefix, self.salts % SALTS, label)
            run_id = f"run-{action.attempt}"
            self.runs[run_id] = run
            gone = action.endpoint_id in self.dead
            stream = Stream(None if gone else run, action.from_position, run_id)
        self.streams[action.attempt] = stream

    def check(self) -> None:
        tokens = self.core.ledger.tokens_from(0)
        foreign = first_foreign_token(REQUEST, tokens)
        assert foreign is None, f"token {foreign} is another run's"
        if self.completed:
            assert len(tokens) == self.length, f"{len(tokens)} of {self.length} tokens"

    # The world's side: each step is one thing that may happen.

    def readable(self) -> list[int]:
        return [n for n, s in self.streams.items() if not s.closed]

    def grant(self, endpoint: str) -> None:
        if self.seeking is not None:
            self.seeking = None
            self.dead.discard(endpoint)
            self.tell(Granted(endpoint))

    def open_stream(self, attempt: int, wrong: str = "") -> None:
        stream = self.streams[attempt]
        if stream.opened or stream.closed:
            return
        if stream.run is None:
            stream.closed = True
            self.tell(AttemptEnded(attempt, Loss.NOT_SENT))
            return
        stream.opened = True
        self.tell(
            HeadArrived(
                attempt,
                StreamHead(
                    stream.run_id,
                    "other/request/1" if wrong == "label" else stream.run.label,
                    "another" if wrong == "model" else SERVES.model,
                    SERVES.adapter,
                    "2" if wrong == "version" else SERVES.version,
                    "i",
                    stream.position + (wrong == "position"),
                ),
            )
        )

    def generate(self, attempt: int, count: int) -> None:
        """The engine writes a line; it is under way until `arrive`."""
        stream = self.streams[attempt]
        if not stream.opened or stream.closed or stream.run is None:
            return
        if stream.run.endpoint in self.dead:
            return
        end = min(stream.position + count, self.length)
        tokens = [stream.run.token_at(p) for p in range(stream.position, end)]
        if tokens:
            texts = [text_of(each) for each in tokens]
            line = TokensArrived(attempt, stream.run_id, stream.position, tokens, texts)
            stream.under_way.append(line)
            stream.position = end

    def arrive(self, attempt: int, how: str = "") -> None:
        stream = self.streams[attempt]
        if not stream.under_way:
            return
        match how:
            case "reordered":
                line = stream.under_way.pop()
            case "skipped":
                stream.under_way.popleft()
                return
            case "repeated":
                line = stream.under_way[0]
            case _:
                line = stream.under_way.popleft()
        if not stream.closed:
            self.tell(line)

    def crossed(self, attempt: int) -> None:
        """A line of this answer's own other run comes on this stream."""
        others = [s for n, s in self.streams.items() if n != attempt and s.under_way]
        if others and not self.streams[attempt].closed:
            line = others[0].under_way[0]
            self.tell(evolve(line, attempt=attempt))

    def finish(self, attempt: int) -> None:
        stream = self.streams[attempt]
        done = stream.position >= self.length and not stream.under_way
        if stream.opened and not stream.closed and done:
            stream.closed = True
            self.tell(FinishArrived(attempt, stream.run_id, self.length, "length"))

    def lose(self, attempt: int, loss: Loss) -> None:
        stream = self.streams[attempt]
        if not stream.closed:
            stream.closed = True
            stream.under_way.clear()
            self.tell(AttemptEnded(attempt, loss))

    def kill(self, endpoint: str) -> None:
        self.dead.add(endpoint)
        for attempt, stream in list(self.streams.items()):
            if stream.run is not None and stream.run.endpoint == endpoint:
                self.lose(attempt, Loss.CUT)

    def silent(self, endpoint: str) -> None:
        self.tell(EndpointSilent(endpoint))

    def pause_of_ours(self, ms: float) -> None:
        self.now_ms += ms
        self.tell(ReadingResumed())

    def pass_time(self, ms: float) -> None:
        self.now_ms += ms
        if self.now_ms >= self.alarm_ms:
            self.alarm_ms = math.inf
            self.tell(Tick())

    def settle(self) -> None:
        """Without further faults every answer comes to its end."""
        for _ in range(400):
            if self.core.ended:
                return
            self.grant("calm")
            for attempt in self.readable():
                self.open_stream(attempt)
                self.generate(attempt, 4)
                self.arrive(attempt)
                self.finish(attempt)
            self.pass_time(50)
        raise AssertionError(f"the answer never ended: {self.core.state}")

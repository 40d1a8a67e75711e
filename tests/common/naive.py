"""Naive versions of the cores, which the property tests must find faults in.

The answer has one fixed timeout, restarts a lost run from its start and skips as many
tokens as were sent, and takes a closed connection for the end. The call is sent again
when no reply came.
"""

from coursekeel.answers import (
    AttemptEnded,
    CancelAttempt,
    Complete,
    Deliver,
    EndpointGranted,
    FinishArrived,
    Interrupt,
    Ledger,
    Loss,
    OpenAttempt,
    RequestEndpoint,
    RunState,
    SetAlarm,
    Started,
    Tick,
    TokensArrived,
    Way,
)

TIMEOUT_MS = 1_000.0
MAX_TRIES = 50


class NaiveAnswer:
    """Has the interface of `AnswerCore`, so that both run the same schedules."""

    def __init__(self, label, expected, policy, ledger: Ledger) -> None:
        self.ledger = ledger
        self.number = 0
        self.skip = 0
        self.last_received_ms = 0.0
        self.state = "waiting"
        self.attempts = {}

    @property
    def ended(self) -> bool:
        return self.state in ("finished", "interrupted")

    def handle(self, event, now_ms):
        if self.ended:
            return []
        match event:
            case Started():
                return [RequestEndpoint(frozenset(), False, 0), SetAlarm(now_ms + 1)]
            case EndpointGranted():
                self.number += 1
                self.skip = self.ledger.next_position
                self.last_received_ms = now_ms
                self.state = "running"
                opened = OpenAttempt(self.number, event.endpoint_id, Way.PREFILL, 0)
                return [opened, SetAlarm(now_ms + TIMEOUT_MS)]
            case TokensArrived() if event.attempt == self.number:
                return self._handle_tokens(event, now_ms)
            case FinishArrived() if event.attempt == self.number:
                return self._complete(event.reason)
            case AttemptEnded() if event.attempt == self.number:
                if event.loss is Loss.CLOSED_EARLY:
                    return self._complete("closed")
                return self._retry()
            case Tick():
                if (
                    self.state == "running"
                    and now_ms - self.last_received_ms >= TIMEOUT_MS
                ):
                    return [CancelAttempt(self.number), *self._retry()]
                return [SetAlarm(now_ms + TIMEOUT_MS)]
        return []

    def _handle_tokens(self, event, now_ms):
        self.last_received_ms = now_ms
        new_tokens = event.tokens[self.skip :]
        texts = event.texts[self.skip :]
        self.skip = max(0, self.skip - len(event.tokens))
        if not new_tokens:
            return []
        self.ledger.offer(self.ledger.next_position, new_tokens, texts)
        return [Deliver(self.ledger.next_position)]

    def _complete(self, reason):
        self.state = "finished"
        return [Complete(reason)]

    def _retry(self):
        if self.number >= MAX_TRIES:
            self.state = "interrupted"
            return [Interrupt("tries", RunState.UNKNOWN, 0, 0)]
        self.state = "recovering"
        return [RequestEndpoint(frozenset(), True, 0)]


class NaiveCall:
    """Sends a call again until a reply arrives or three tries failed."""

    def __init__(self) -> None:
        self.tries = 0
        self.reply = None

    def record_outcome(self, answered: bool) -> bool:
        """Record the outcome of a send; returns whether to send again."""
        self.tries += 1
        if answered:
            self.reply = RunState.RAN
        elif self.tries >= 3:
            self.reply = RunState.NOT_RUN
        return self.reply is None

"""The naive version: small, honest, and wrong under failure.

Round robin, one fixed timeout, a lost answer run again from its start with the tokens
already sent skipped, a closed connection taken for an end, and calls that are sent
again when no answer came.
"""

from coursekeel.answers import (
    AttemptEnded,
    CancelAttempt,
    Complete,
    Deliver,
    FinishArrived,
    Granted,
    Interrupt,
    Ledger,
    Loss,
    OpenAttempt,
    RunState,
    SeekEndpoint,
    SetAlarm,
    Started,
    Tick,
    TokensArrived,
    Way,
)

TIMEOUT_MS = 1_000.0
TRIES = 50


class NaiveAnswer:
    """Speaks the events and actions of `AnswerCore`, so both run the same schedule."""

    def __init__(self, label, expected, policy, ledger: Ledger) -> None:
        self.ledger = ledger
        self.number = 0
        self.skip = 0
        self.heard_ms = 0.0
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
                return [SeekEndpoint(frozenset(), False, 0), SetAlarm(now_ms + 1)]
            case Granted():
                self.number += 1
                self.skip = self.ledger.next_position
                self.heard_ms = now_ms
                self.state = "running"
                opened = OpenAttempt(self.number, event.endpoint_id, Way.PREFILL, 0)
                return [opened, SetAlarm(now_ms + TIMEOUT_MS)]
            case TokensArrived() if event.attempt == self.number:
                return self._tokens(event, now_ms)
            case FinishArrived() if event.attempt == self.number:
                return self._complete(event.reason)
            case AttemptEnded() if event.attempt == self.number:
                if event.loss is Loss.CLOSED_EARLY:
                    return self._complete("closed")
                return self._again()
            case Tick():
                if self.state == "running" and now_ms - self.heard_ms >= TIMEOUT_MS:
                    return [CancelAttempt(self.number), *self._again()]
                return [SetAlarm(now_ms + TIMEOUT_MS)]
        return []

    def _tokens(self, event, now_ms):
        self.heard_ms = now_ms
        fresh = event.tokens[self.skip :]
        texts = event.texts[self.skip :]
        self.skip = max(0, self.skip - len(event.tokens))
        if not fresh:
            return []
        self.ledger.offer(self.ledger.next_position, fresh, texts)
        return [Deliver(self.ledger.next_position)]

    def _complete(self, reason):
        self.state = "finished"
        return [Complete(reason)]

    def _again(self):
        if self.number >= TRIES:
            self.state = "interrupted"
            return [Interrupt("tries", RunState.UNKNOWN, 0, 0)]
        self.state = "recovering"
        return [SeekEndpoint(frozenset(), True, 0)]


class NaiveCall:
    """Sends, and sends again until something answers."""

    def __init__(self) -> None:
        self.tries = 0
        self.reply = None

    def after(self, answered: bool) -> bool:
        """Take the outcome of a send; says whether to send again."""
        self.tries += 1
        if answered:
            self.reply = RunState.RAN
        elif self.tries >= 3:
            self.reply = RunState.NOT_RUN
        return self.reply is None

"""The life of one answer: a deterministic core without clock or sockets.

The shell calls `AnswerCore.handle` with each event and the present time, and carries
out the actions it gets back. Two attempts may run at once; whichever extends the
ledger first stays, and nothing the other sends later is taken, because its
continuation is conditioned on a sequence that is no longer the answer's.

Owns the answer's state and its ledger. Relies on `Recovery` for what follows a loss.
"""

from typing import Any, Generic, Protocol, TypeVar

from coursekeel.answers._attempt import Attempt, Expected
from coursekeel.answers._attempts import AttemptSet
from coursekeel.answers._events import (
    Action,
    AttemptEnded,
    CancelAttempt,
    Cancelled,
    Complete,
    CopyPlaced,
    Deliver,
    EndpointSilent,
    Event,
    Fenced,
    FinishArrived,
    Granted,
    HeadArrived,
    NothingFree,
    ReadingResumed,
    RunState,
    Started,
    StopWork,
    Tick,
    TokensArrived,
    Way,
)
from coursekeel.answers._ledger import Offer, OfferKind
from coursekeel.answers._policy import AnswerPolicy
from coursekeel.answers._recovery import Recovery
from coursekeel.charts import load_chart

__all__ = ["AnswerCore", "PieceLedger"]

_ENDED = ("finished", "interrupted", "cancelled", "fenced")


class PieceLedger(Protocol):
    """What an answer is kept in: tokens, or events that carry their own number."""

    @property
    def next_position(self) -> int:
        """Where the next piece stands."""

    def offer(self, position: int, tokens: list[int], texts: list[Any]) -> Offer:
        """Take the pieces that stand at ``position`` and after, each once."""


_LedgerT = TypeVar("_LedgerT", bound=PieceLedger)


class AnswerCore(Generic[_LedgerT]):
    """Decides what happens to one answer.

    ``label`` is the answer's identity, ``team/request_id``; engines echo it with the
    attempt's number.
    """

    def __init__(
        self, label: str, expected: Expected, policy: AnswerPolicy, ledger: _LedgerT
    ) -> None:
        self.label = label
        self.expected = expected
        self.ledger = ledger
        self.finish_reason = ""
        self._machine = load_chart("answer").machine()
        self._attempts = AttemptSet(label)
        self.recovery = Recovery(
            policy, self._attempts, self._machine, lambda: ledger.next_position
        )

    @property
    def attempts(self) -> dict[int, Attempt]:
        """Every attempt so far, by its number."""
        return self._attempts.by_number

    @property
    def state(self) -> str:
        """Where the answer stands in its chart."""
        return self._machine.state

    @property
    def ended(self) -> bool:
        """Say whether nothing more will come."""
        return self._machine.state in _ENDED

    @property
    def run_state(self) -> RunState:
        """What may truthfully be said of whether the request was run."""
        return self.recovery.run_state

    @property
    def bad_endpoints(self) -> frozenset[str]:
        """Endpoints that lost a run of this answer, or wouldn't take one."""
        return frozenset(self.recovery.bad_endpoints)

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Take one event and say what is to be done."""
        if self.ended:
            return self._after_the_end(event)
        match event:
            case TokensArrived():
                return self._tokens(event, now_ms)
            case HeadArrived():
                return self._head(event, now_ms)
            case FinishArrived():
                return self._finish(event, now_ms)
            case AttemptEnded():
                return self._attempt_ended(event, now_ms)
            case EndpointSilent():
                return self._endpoint_silent(event, now_ms)
            case Tick():
                return self.recovery.tick(now_ms)
            case ReadingResumed():
                return self._reading_resumed(now_ms)
            case Granted():
                return self.recovery.granted(event.endpoint_id, now_ms)
            case CopyPlaced():
                self._attempts.known(event.attempt).copy_id = event.endpoint_id
                return []
            case NothingFree():
                self._machine.feed("nothing_free")
                self.recovery.retry_after_ms = event.retry_after_ms
                return []
            case Started():
                return self._start(event, now_ms)
            case Fenced():
                self._machine.feed("fenced")
                return [*self._attempts.cancel_all(stops_run=False), StopWork()]
            case Cancelled():
                self._machine.feed("cancelled")
                return [*self._attempts.cancel_all(), StopWork()]

    def withdraw(self) -> None:
        """Routing refused the request, which never ran."""
        self._machine.feed("patience_over")

    def _after_the_end(self, event: Event) -> list[Action]:
        """A head that comes too late must not leave a run behind."""
        if isinstance(event, HeadArrived):
            return [CancelAttempt(event.attempt)]
        return []

    def _start(self, event: Started, now_ms: float) -> list[Action]:
        """Look for an endpoint, or take up the run that a journal last spoke of."""
        self.recovery.begin(now_ms)
        if not event.run_id:
            return [*self.recovery.seek(), self.recovery.alarm()]
        self._machine.feed("granted")
        position = self.ledger.next_position
        attempt = self._attempts.new(
            event.endpoint_id, Way.OWN_STREAM, position, now_ms
        )
        attempt.run_id = event.run_id
        attempt.label = event.label or attempt.label
        return self.recovery.open(attempt)

    # What an attempt gives.

    def _head(self, event: HeadArrived, now_ms: float) -> list[Action]:
        attempt = self._attempts.known(event.attempt)
        if not attempt.live:
            return [CancelAttempt(attempt.number)]
        if attempt.streaming:
            # A second head: the stream goes on with somebody else's answer.
            return self.recovery.drop(attempt, now_ms)
        attempt.heard_ms = now_ms
        if attempt.accept_head(event.head, self.expected):
            return []
        return self.recovery.rejected(attempt, now_ms)

    def _tokens(self, event: TokensArrived, now_ms: float) -> list[Action]:
        attempt = self._attempts.known(event.attempt)
        if not attempt.live:
            return []
        if not attempt.streaming or event.run_id != attempt.run_id:
            return self.recovery.drop(attempt, now_ms)
        attempt.heard_ms = now_ms
        attempt.doubted = False
        offer = self.ledger.offer(event.position, event.tokens, event.texts)
        match offer.kind:
            case OfferKind.EXTENDED:
                return self._extended(attempt, now_ms)
            case OfferKind.REPEATED:
                return []
            case OfferKind.GAP:
                return self.recovery.reread(attempt, now_ms)
            case OfferKind.DIVERGED:
                return self.recovery.drop(attempt, now_ms)

    def _extended(self, winner: Attempt, now_ms: float) -> list[Action]:
        actions: list[Action] = [Deliver(self.ledger.next_position)]
        if winner.progressed_ms is None:
            winner.progressed_ms = now_ms
            # The alarm that is set is for the first piece, which may take long.
            actions.append(self.recovery.alarm())
        self.recovery.progressed(now_ms - winner.progressed_ms)
        if len(self._attempts) > 1:
            actions += self._attempts.cancel_others(winner)
        return actions

    def _finish(self, event: FinishArrived, now_ms: float) -> list[Action]:
        attempt = self._attempts.known(event.attempt)
        if not attempt.streaming:
            return []
        if event.run_id != attempt.run_id:
            return self.recovery.drop(attempt, now_ms)
        if event.position > self.ledger.next_position:
            return self.recovery.reread(attempt, now_ms)
        if event.position < self.ledger.next_position:
            return self.recovery.drop(attempt, now_ms)
        attempt.machine.feed("finished")
        self._machine.feed("finished")
        self.finish_reason = event.reason
        return [*self._attempts.cancel_all(), Complete(event.reason)]

    def _attempt_ended(self, event: AttemptEnded, now_ms: float) -> list[Action]:
        attempt = self._attempts.known(event.attempt)
        if not attempt.live:
            return []
        return self.recovery.ended(attempt, event.loss, now_ms)

    # Silence.

    def _endpoint_silent(self, event: EndpointSilent, now_ms: float) -> list[Action]:
        silent = [
            each
            for each in self._attempts.live
            if each.endpoint_id == event.endpoint_id and not each.doubted
        ]
        doubt = self.recovery.doubt
        return [action for each in silent for action in doubt(each, now_ms)]

    def _reading_resumed(self, now_ms: float) -> list[Action]:
        for each in self._attempts.live:
            each.heard_ms = now_ms
        return [self.recovery.alarm()]

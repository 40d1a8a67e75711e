"""State of one answer: a deterministic core without clock or sockets.

The shell calls `AnswerCore.handle` with each event and the current time, and carries
out the returned actions. Two attempts may run at once. The one that extends the ledger
first is kept; all later tokens of the other are refused, because it generated them
after a different sequence.

Owns the answer's state and its ledger. Relies on `Recovery` after a lost attempt.
"""

from typing import Any, Generic, Protocol, TypeVar

from coursekeel.answers._attempt import Attempt, ExpectedModel
from coursekeel.answers._attempts import AttemptSet
from coursekeel.answers._events import (
    Action,
    AnswerFenced,
    AttemptEnded,
    CancelAttempt,
    Cancelled,
    Complete,
    CopyPlaced,
    DeadlineReached,
    Deliver,
    EndpointGranted,
    EndpointStalled,
    Event,
    FinishArrived,
    HeadArrived,
    NoEndpointFree,
    ReadingResumed,
    RunState,
    Started,
    StopSending,
    Tick,
    TokensArrived,
    Way,
)
from coursekeel.answers._ledger import OfferOutcome, OfferResult
from coursekeel.answers._policy import AnswerPolicy
from coursekeel.answers._recovery import Recovery
from coursekeel.charts import load_chart

__all__ = ["AnswerCore", "PieceLedger"]

_FINAL_STATES = ("finished", "interrupted", "cancelled", "fenced")


class PieceLedger(Protocol):
    """Stores the pieces of an answer: tokens, or events that carry their own number."""

    @property
    def next_position(self) -> int:
        """The position of the next piece."""

    def offer(self, position: int, tokens: list[int], texts: list[Any]) -> OfferResult:
        """Append those pieces, from ``position`` on, that aren't held yet."""


_LedgerT = TypeVar("_LedgerT", bound=PieceLedger)


class AnswerCore(Generic[_LedgerT]):
    """Handles the events of one answer.

    ``label`` identifies the answer, as ``team/request_id``; engines echo it with the
    attempt's number.
    """

    def __init__(
        self,
        label: str,
        expected: ExpectedModel,
        policy: AnswerPolicy,
        ledger: _LedgerT,
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
        """The answer's state, as its chart names it."""
        return self._machine.state

    @property
    def ended(self) -> bool:
        """Whether the answer is in a final state."""
        return self._machine.state in _FINAL_STATES

    def stalled_attempts(self, now_ms: float) -> list[int]:
        """The numbers of the attempts that a `Tick` would suspect now."""
        return [attempt.number for attempt in self.recovery.stalled(now_ms)]

    @property
    def waits_on_suspected_run(self) -> bool:
        """Whether a suspected run is open that may still send the rest."""
        return any(attempt.suspected for attempt in self._attempts.live)

    @property
    def has_healthy_run(self) -> bool:
        """Whether a run is open that isn't suspected."""
        return self._attempts.has_healthy

    @property
    def runs(self) -> int:
        """How many attempts may have run at their endpoints."""
        return self._attempts.runs

    @property
    def may_run_again(self) -> bool:
        """Whether the policy allows one more run of the request."""
        return self.recovery.may_run_again

    @property
    def run_state(self) -> RunState:
        """Whether the request ran, as far as can be guaranteed."""
        return self.recovery.run_state

    @property
    def excluded_endpoints(self) -> frozenset[str]:
        """Endpoints that lost or refused a run since the answer's last progress."""
        return frozenset(self.recovery.excluded_endpoints)

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Handle one event and return the actions for the shell, in order."""
        if self.ended:
            return self._handle_after_end(event)
        match event:
            case TokensArrived():
                return self._handle_tokens(event, now_ms)
            case HeadArrived():
                return self._handle_head(event, now_ms)
            case FinishArrived():
                return self._handle_finish(event, now_ms)
            case AttemptEnded():
                return self._handle_attempt_ended(event, now_ms)
            case EndpointStalled():
                return self._handle_endpoint_silent(event, now_ms)
            case Tick():
                return self.recovery.handle_alarm(now_ms)
            case ReadingResumed():
                return self._handle_reading_resumed(now_ms)
            case EndpointGranted():
                return self.recovery.use_endpoint(event.endpoint_id, now_ms)
            case CopyPlaced():
                self._attempts.get(event.attempt).copy_id = event.endpoint_id
                return []
            case NoEndpointFree():
                self._machine.feed("nothing_free")
                self.recovery.retry_after_ms = event.retry_after_ms
                return self.recovery.keep_suspected(now_ms)
            case DeadlineReached():
                return self.recovery.interrupt_at_deadline()
            case Started():
                return self._handle_started(event, now_ms)
            case AnswerFenced():
                self._machine.feed("fenced")
                return [*self._attempts.cancel_all(stops_run=False), StopSending()]
            case Cancelled():
                self._machine.feed("cancelled")
                return [*self._attempts.cancel_all(), StopSending()]

    @property
    def is_searching(self) -> bool:
        """Whether a request for an endpoint is pending."""
        return self.recovery.is_searching

    def search_withdrawn(self) -> None:
        """Forget a pending request for an endpoint: a suspected run has recovered."""
        self.recovery.search_withdrawn()

    def withdraw(self) -> None:
        """End the answer because routing refused the request before it ran."""
        self._machine.feed("patience_over")

    def _handle_after_end(self, event: Event) -> list[Action]:
        """Cancel a run whose head arrives after the answer has ended."""
        if isinstance(event, HeadArrived):
            return [CancelAttempt(event.attempt)]
        return []

    def _handle_started(self, event: Started, now_ms: float) -> list[Action]:
        """Request an endpoint, or read the run again that the journal names."""
        self.recovery.start_waiting(now_ms)
        if not event.run_id:
            return [*self.recovery.request_endpoint(), self.recovery.next_alarm()]
        self._machine.feed("granted")
        position = self.ledger.next_position
        attempt = self._attempts.new(
            event.endpoint_id, Way.OWN_STREAM, position, now_ms
        )
        attempt.run_id = event.run_id
        attempt.label = event.label or attempt.label
        return self.recovery.open_attempt(attempt)

    # Events of an attempt's stream.

    def _handle_head(self, event: HeadArrived, now_ms: float) -> list[Action]:
        attempt = self._attempts.get(event.attempt)
        if not attempt.live:
            return [CancelAttempt(attempt.number)]
        if attempt.streaming:
            # A second head means that the connection now carries another answer.
            return self.recovery.drop_attempt(attempt, now_ms)
        attempt.last_received_ms = now_ms
        if attempt.accept_head(event.head, self.expected):
            return self.recovery.successor_accepted()
        return self.recovery.replace_rejected(attempt, now_ms)

    def _handle_tokens(self, event: TokensArrived, now_ms: float) -> list[Action]:
        attempt = self._attempts.get(event.attempt)
        if not attempt.live:
            return []
        if not attempt.streaming or event.run_id != attempt.run_id:
            return self.recovery.drop_attempt(attempt, now_ms)
        attempt.last_received_ms = now_ms
        attempt.suspected = False
        offer = self.ledger.offer(event.position, event.tokens, event.texts)
        match offer.kind:
            case OfferOutcome.EXTENDED:
                return self._handle_extension(attempt, now_ms)
            case OfferOutcome.REPEATED:
                return []
            case OfferOutcome.GAP:
                return self.recovery.reread_run(attempt, now_ms)
            case OfferOutcome.DIVERGED:
                return self.recovery.drop_attempt(attempt, now_ms)

    def _handle_extension(self, winner: Attempt, now_ms: float) -> list[Action]:
        """Deliver new pieces, and cancel all attempts but the one that sent them."""
        actions: list[Action] = [Deliver(self.ledger.next_position)]
        if winner.first_piece_ms is None:
            winner.first_piece_ms = now_ms
            # The alarm was set with the longer timeout of the first piece.
            actions.append(self.recovery.next_alarm())
        self.recovery.record_progress(now_ms - winner.first_piece_ms)
        if len(self._attempts) > 1:
            actions += self._attempts.cancel_others(winner)
        return actions

    def _handle_finish(self, event: FinishArrived, now_ms: float) -> list[Action]:
        attempt = self._attempts.get(event.attempt)
        if not attempt.streaming:
            return []
        if event.run_id != attempt.run_id:
            return self.recovery.drop_attempt(attempt, now_ms)
        if event.position > self.ledger.next_position:
            return self.recovery.reread_run(attempt, now_ms)
        if event.position < self.ledger.next_position:
            return self.recovery.drop_attempt(attempt, now_ms)
        attempt.machine.feed("finished")
        self._machine.feed("finished")
        self.finish_reason = event.reason
        return [*self._attempts.cancel_all(), Complete(event.reason)]

    def _handle_attempt_ended(self, event: AttemptEnded, now_ms: float) -> list[Action]:
        attempt = self._attempts.get(event.attempt)
        if not attempt.live:
            return []
        return self.recovery.handle_loss(attempt, event.loss, now_ms)

    # Stalled endpoints.

    def _handle_endpoint_silent(
        self, event: EndpointStalled, now_ms: float
    ) -> list[Action]:
        stalled = [
            attempt
            for attempt in self._attempts.live
            if attempt.endpoint_id == event.endpoint_id and not attempt.suspected
        ]
        actions: list[Action] = []
        for attempt in stalled:
            actions += self.recovery.suspect(attempt, now_ms, event.may_use_copy)
        return actions

    def _handle_reading_resumed(self, now_ms: float) -> list[Action]:
        for attempt in self._attempts.live:
            attempt.last_received_ms = now_ms
        return [self.recovery.next_alarm()]

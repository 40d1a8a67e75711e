"""The life of one answer: a deterministic core without clock or sockets.

The shell calls `AnswerCore.handle` with each event and the present time, and carries
out the actions it gets back. Two attempts may run at once; whichever extends the
ledger first stays, and nothing the other sends later is taken, because its
continuation is conditioned on a sequence that is no longer the answer's.
"""

import math
from typing import Any, Generic, Protocol, TypeVar

from coursekeel.answers._attempt import Attempt, Expected
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
    Interrupt,
    Loss,
    NothingFree,
    OpenAttempt,
    ReadingResumed,
    RunState,
    SeekEndpoint,
    SetAlarm,
    Started,
    StopWork,
    Tick,
    TokensArrived,
    Way,
)
from coursekeel.answers._ledger import Offer, OfferKind
from coursekeel.answers._policy import AnswerPolicy
from coursekeel.charts import load_chart
from coursekeel.errors import InvariantBroken

__all__ = ["AnswerCore", "PieceLedger"]

_AT_MOST_RACING = 2
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
        self.policy = policy
        self.ledger = ledger
        self.attempts: dict[int, Attempt] = {}
        self.finish_reason = ""
        self.deaths = 0
        self._machine = load_chart("answer").machine()
        self._numbers = 0
        self._seeking = False
        self._waiting_since_ms: float | None = None
        self._own_stream_tries = 0
        self._bad_endpoints: set[str] = set()
        self._retry_after_ms = policy.retry_after_ms

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
        if self.ledger.next_position:
            return RunState.RAN
        ran = any(each.may_have_run for each in self.attempts.values())
        return RunState.UNKNOWN if ran else RunState.NOT_RUN

    @property
    def bad_endpoints(self) -> frozenset[str]:
        """Endpoints that lost a run of this answer, or wouldn't take one."""
        return frozenset(self._bad_endpoints)

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
                return self._tick(now_ms)
            case ReadingResumed():
                return self._reading_resumed(now_ms)
            case Granted():
                return self._granted(event, now_ms)
            case CopyPlaced():
                self._known(event.attempt).copy_id = event.endpoint_id
                return []
            case NothingFree():
                self._machine.feed("nothing_free")
                self._retry_after_ms = event.retry_after_ms
                return []
            case Started():
                return self._start(event, now_ms)
            case Fenced():
                self._machine.feed("fenced")
                return [*self._cancel_all(stops_run=False), StopWork()]
            case Cancelled():
                self._machine.feed("cancelled")
                return [*self._cancel_all(), StopWork()]

    def withdraw(self) -> None:
        """Routing refused the request, which never ran."""
        self._machine.feed("patience_over")

    def _after_the_end(self, event: Event) -> list[Action]:
        """A grant or head that comes too late must not leave a run behind."""
        if isinstance(event, HeadArrived):
            return [CancelAttempt(event.attempt)]
        return []

    # Attempts begin.

    def _start(self, event: Started, now_ms: float) -> list[Action]:
        self._waiting_since_ms = now_ms
        if not event.run_id:
            return [*self._seek(), self._alarm()]
        self._machine.feed("granted")
        return self._open(
            event.endpoint_id, Way.OWN_STREAM, now_ms, event.run_id, event.label
        )

    def _seek(self) -> list[Action]:
        if self._seeking:
            return []
        self._seeking = True
        busy = {each.endpoint_id for each in self._live()}
        held = self.ledger.next_position
        continuing = bool(self.attempts)
        return [SeekEndpoint(frozenset(self._bad_endpoints | busy), continuing, held)]

    def _granted(self, event: Granted, now_ms: float) -> list[Action]:
        self._seeking = False
        if self._undoubted():
            # A doubted stream spoke again, so it needs no successor.
            return []
        given_up = self._give_up_racers()
        self._machine.feed("granted")
        return [*given_up, *self._open(event.endpoint_id, Way.PREFILL, now_ms)]

    def _give_up_racers(self) -> list[Action]:
        """Make room for one more run among those that may race."""
        given_up = self._live()[: 1 - _AT_MOST_RACING]
        for each in given_up:
            each.machine.feed("superseded")
        return [CancelAttempt(each.number) for each in given_up]

    def _open(
        self,
        endpoint_id: str,
        way: Way,
        now_ms: float,
        run_id: str = "",
        label: str = "",
    ) -> list[Action]:
        self._numbers += 1
        attempt = Attempt(
            self._numbers,
            endpoint_id,
            way,
            self.ledger.next_position,
            label or f"{self.label}/{self._numbers}",
            now_ms,
            run_id=run_id,
        )
        self.attempts[attempt.number] = attempt
        opened = OpenAttempt(
            attempt.number, endpoint_id, way, attempt.from_position, attempt.run_id
        )
        return [opened, self._alarm()]

    def _head(self, event: HeadArrived, now_ms: float) -> list[Action]:
        attempt = self._known(event.attempt)
        if not attempt.live:
            return [CancelAttempt(attempt.number)]
        if attempt.streaming:
            # A second head: the stream goes on with somebody else's answer.
            return self._drop(attempt, now_ms)
        attempt.heard_ms = now_ms
        if attempt.accept_head(event.head, self.expected):
            return []
        self._bad_endpoints.add(attempt.endpoint_id)
        return [CancelAttempt(attempt.number), *self._recover(now_ms)]

    # Tokens.

    def _tokens(self, event: TokensArrived, now_ms: float) -> list[Action]:
        attempt = self._known(event.attempt)
        if not attempt.live:
            return []
        if not attempt.streaming or event.run_id != attempt.run_id:
            return self._drop(attempt, now_ms)
        attempt.heard_ms = now_ms
        attempt.doubted = False
        offer = self.ledger.offer(event.position, event.tokens, event.texts)
        match offer.kind:
            case OfferKind.EXTENDED:
                return self._extended(attempt)
            case OfferKind.REPEATED:
                return []
            case OfferKind.GAP:
                return self._reread(attempt, now_ms)
            case OfferKind.DIVERGED:
                return self._drop(attempt, now_ms)

    def _extended(self, winner: Attempt) -> list[Action]:
        actions: list[Action] = [Deliver(self.ledger.next_position)]
        if not winner.progressed:
            winner.progressed = True
            # The alarm that stands is for the first piece, which may take long.
            actions.append(self._alarm())
        self._waiting_since_ms = None
        self._own_stream_tries = 0
        self.deaths = 0
        if self._bad_endpoints:
            self._bad_endpoints.clear()
        if len(self.attempts) > 1:
            actions += self._supersede(winner)
        return actions

    def _supersede(self, winner: Attempt) -> list[Action]:
        others = [each for each in self._live() if each is not winner]
        for each in others:
            each.machine.feed("superseded")
        return [CancelAttempt(each.number) for each in others]

    def _finish(self, event: FinishArrived, now_ms: float) -> list[Action]:
        attempt = self._known(event.attempt)
        if not attempt.streaming:
            return []
        if event.run_id != attempt.run_id:
            return self._drop(attempt, now_ms)
        if event.position > self.ledger.next_position:
            return self._reread(attempt, now_ms)
        if event.position < self.ledger.next_position:
            return self._drop(attempt, now_ms)
        attempt.machine.feed("finished")
        self._machine.feed("finished")
        self.finish_reason = event.reason
        return [*self._cancel_all(), Complete(event.reason)]

    # Losses.

    def _reread(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """Tokens are missing between what is held and what came: read them again."""
        attempt.machine.feed("lost")
        return [
            CancelAttempt(attempt.number, stops_run=False),
            *self._own_stream_or_else(attempt, now_ms),
        ]

    def _drop(self, attempt: Attempt, now_ms: float) -> list[Action]:
        attempt.machine.feed("lost")
        self._bad_endpoints.add(attempt.endpoint_id)
        return [CancelAttempt(attempt.number), *self._recover(now_ms)]

    def _attempt_ended(self, event: AttemptEnded, now_ms: float) -> list[Action]:
        attempt = self._known(event.attempt)
        if not attempt.live:
            return []
        was_streaming = attempt.streaming
        attempt.machine.feed("lost")
        if was_streaming:
            return self._own_stream_or_else(attempt, now_ms)
        if event.loss in (Loss.NOT_SENT, Loss.REFUSED):
            attempt.may_have_run = False
            return self._recover_from(attempt, now_ms)
        return self._died(attempt, now_ms)

    def _copy_or_else(self, lost: Attempt, now_ms: float) -> list[Action]:
        """A copy of the run's memory goes on without reading the prompt again."""
        if not self._has_copy(lost) or self._undoubted():
            return self._recover(now_ms)
        self._mark_lost(now_ms)
        return self._open_copy(lost, now_ms)

    def _has_copy(self, attempt: Attempt) -> bool:
        return bool(attempt.copy_id) and attempt.copy_id not in self._bad_endpoints

    def _open_copy(self, attempt: Attempt, now_ms: float) -> list[Action]:
        # A grant that is still on its way finds a live attempt and opens nothing.
        self._machine.feed("granted")
        run_id = attempt.run_id or attempt.label
        return self._open(attempt.copy_id, Way.COPY, now_ms, run_id, attempt.label)

    def _own_stream_or_else(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """The engine's own run is the cheapest way on, if the engine still lives."""
        if not attempt.run_id or self._own_stream_tries >= self.policy.own_stream_tries:
            return self._died(attempt, now_ms)
        self._own_stream_tries += 1
        self._mark_lost(now_ms)
        self._machine.feed("granted")
        opened = self._open(
            attempt.endpoint_id, Way.OWN_STREAM, now_ms, attempt.run_id, attempt.label
        )
        # If the engine doesn't answer, the same run's copy is the next way on.
        self.attempts[self._numbers].copy_id = attempt.copy_id
        return opened

    def _recover_from(self, attempt: Attempt, now_ms: float) -> list[Action]:
        if attempt.way is Way.OWN_STREAM:
            return self._died(attempt, now_ms)
        self._bad_endpoints.add(attempt.endpoint_id)
        return self._recover(now_ms)

    def _died(self, attempt: Attempt, now_ms: float) -> list[Action]:
        self.deaths += 1
        self._bad_endpoints.add(attempt.endpoint_id)
        if self.deaths >= self.policy.deaths_before_stop:
            return self._interrupt("request_stops_engines", "unstoppable")
        return self._copy_or_else(attempt, now_ms)

    def _recover(self, now_ms: float) -> list[Action]:
        if self._undoubted():
            return []
        self._mark_lost(now_ms)
        return [*self._seek(), self._alarm()]

    def _mark_lost(self, now_ms: float) -> None:
        if self._waiting_since_ms is None:
            self._waiting_since_ms = now_ms
        if self._machine.state == "running" and not self._live():
            self._machine.feed("lost")

    # Time.

    def _endpoint_silent(self, event: EndpointSilent, now_ms: float) -> list[Action]:
        silent = [
            each
            for each in self._live()
            if each.endpoint_id == event.endpoint_id and not each.doubted
        ]
        return [action for each in silent for action in self._doubt(each, now_ms)]

    def _doubt(self, attempt: Attempt, now_ms: float) -> list[Action]:
        attempt.doubted = True
        self._bad_endpoints.add(attempt.endpoint_id)
        if self._waiting_since_ms is None:
            self._waiting_since_ms = now_ms
        if self.policy.races:
            return self._race(attempt, now_ms)
        attempt.machine.feed("lost")
        return [
            CancelAttempt(attempt.number),
            *self._copy_or_else(attempt, now_ms),
        ]

    def _race(self, doubted: Attempt, now_ms: float) -> list[Action]:
        """A second run beside one that may speak again; from its copy if it has one."""
        if not self._has_copy(doubted):
            return [*self._seek(), self._alarm()]
        return [*self._give_up_racers(), *self._open_copy(doubted, now_ms)]

    def _tick(self, now_ms: float) -> list[Action]:
        if self._patience_over(now_ms):
            return self._interrupt("interrupted", "patience_over")
        actions: list[Action] = []
        for each in self._live():
            if not each.doubted and now_ms >= self._due_ms(each):
                actions += self._doubt(each, now_ms)
        return actions if self.ended else [*actions, self._alarm()]

    def _reading_resumed(self, now_ms: float) -> list[Action]:
        for each in self._live():
            each.heard_ms = now_ms
        return [self._alarm()]

    def _patience_over(self, now_ms: float) -> bool:
        since = self._waiting_since_ms
        return since is not None and now_ms >= since + self.policy.patience_ms

    def _due_ms(self, attempt: Attempt) -> float:
        if attempt.progressed:
            return attempt.heard_ms + self.policy.silence_ms
        if attempt.way is Way.COPY:
            return attempt.opened_ms + self.policy.copy_first_ms
        return attempt.opened_ms + self.policy.first_token_ms

    def _alarm(self) -> SetAlarm:
        due = [self._due_ms(each) for each in self._live() if not each.doubted]
        if self._waiting_since_ms is not None:
            due.append(self._waiting_since_ms + self.policy.patience_ms)
        return SetAlarm(min(due, default=math.inf))

    # Ends.

    def _interrupt(self, code: str, reason: str) -> list[Action]:
        stopped = self._cancel_all()
        if self._machine.state == "running":
            # The last attempt may be doubted and still open when patience ends.
            self._machine.feed("lost")
        self._machine.feed(reason)
        word = Interrupt(
            code, self.run_state, self.ledger.next_position, self._retry_after_ms
        )
        return [*stopped, word]

    def _cancel_all(self, stops_run: bool = True) -> list[Action]:
        live = self._live()
        for each in live:
            each.machine.feed("superseded")
        return [CancelAttempt(each.number, stops_run) for each in live]

    def _live(self) -> list[Attempt]:
        return [each for each in self.attempts.values() if each.live]

    def _undoubted(self) -> bool:
        """Say whether an attempt is at work that nothing speaks against."""
        return any(not each.doubted for each in self._live())

    def _known(self, number: int) -> Attempt:
        attempt = self.attempts.get(number)
        if attempt is None:
            raise InvariantBroken(
                f"answer {self.label}: attempt {number} was never opened"
            )
        return attempt

"""The task that owns one answer: its core, its streams to engines, its readers.

Relies on `AnswerPlacement` for where runs go, and on `AnswerDriver` to feed the core.
"""

import math
from collections.abc import Callable
from typing import Any

from attrs import define, field

from coursekeel.answers import (
    Action,
    AnswerCore,
    AttemptEnded,
    CancelAttempt,
    Cancelled,
    Complete,
    CopyPlaced,
    Deliver,
    EndpointSilent,
    Event,
    Granted,
    HeadArrived,
    Interrupt,
    Ledger,
    Loss,
    NothingFree,
    OpenAttempt,
    ReadingResumed,
    RunState,
    SeekEndpoint,
    Started,
    StopWork,
    StreamHead,
    TokensArrived,
    Way,
)
from coursekeel.endpoints import EngineAdapter, GenerationOrder, SilenceWatch
from coursekeel.entry.answers._answer_measures import AnswerMeasures
from coursekeel.entry.answers._answer_placement import AnswerPlacement
from coursekeel.entry.answers._follower import FollowedAnswer, Follower
from coursekeel.entry.answers._open_stream import (
    AttemptListener,
    OpenStream,
    StreamOwner,
)
from coursekeel.entry.answers._requests import GenerationRequest
from coursekeel.entry.answers._sinks import Refusal
from coursekeel.entry.suspects._endpoint_watch import EndpointWatch
from coursekeel.observe import Metrics
from coursekeel.reactor import Reactor
from coursekeel.routing import Decision, Grant
from coursekeel.runtime import (
    AnswerDriver,
    AnswerShell,
    Clock,
    RoutingTask,
    spawn,
)
from coursekeel.suspects import QuarantineGate, QuarantinePass, sign_of

__all__ = ["AnswerPorts", "AnswerTask"]

# An alarm this late tells of a pause of this process. Less than the least silence that
# a profile judges by (`silence_floor_ms`, 400).
_OWN_PAUSE_MS = 250.0
_MESSAGES = {
    "interrupted": "no endpoint could go on with the answer in time",
    "request_stops_engines": "engines died while they ran this request",
    "too_late": "the request can't be served in its time",
    "queue_full": "too many requests wait",
    "no_endpoint": "no endpoint serves this model now",
    "cancelled": "the answer was given up",
}


@define(eq=False)
class AnswerPorts:
    """What an answer's task is given by its entry.

    ``copies`` says whether other engines keep copies of the runs' memory.
    """

    reactor: Reactor
    clock: Clock
    routing: RoutingTask
    silence: SilenceWatch
    metrics: Metrics
    engine: Callable[[str], EngineAdapter | None]
    ended: Callable[["AnswerTask"], None]
    run_known: Callable[["AnswerTask", str, StreamHead], None]
    gate: QuarantineGate
    watch: EndpointWatch
    caller_lead_tokens: int
    copies: bool


@define(eq=False)
class AnswerTask(StreamOwner, FollowedAnswer, AnswerShell):
    """One answer at work. Messages are taken one at a time, in order."""

    request: GenerationRequest
    core: AnswerCore[Ledger]
    ports: AnswerPorts
    durable_right_ms: Callable[[], float] | None = None
    journal_end: Callable[[], int] | None = None
    stored: bool = False
    refusal: Refusal | None = None
    gone: bool = False
    fenced: bool = False
    begun: bool = False
    unsettled: bool = False
    followers: list[Follower[Any]] = field(factory=list)
    arrived_ms: float = field(init=False)
    _driver: AnswerDriver = field(init=False)
    _open: dict[int, OpenStream] = field(factory=dict)
    _placement: AnswerPlacement = field(init=False)
    _leave: QuarantinePass = field(init=False)
    _measures: AnswerMeasures = field(init=False)

    def __attrs_post_init__(self) -> None:
        ports = self.ports
        self.arrived_ms = ports.clock.now_ms()
        self._driver = AnswerDriver(
            self.core, self, ports.reactor, ports.clock, _OWN_PAUSE_MS
        )
        self._placement = AnswerPlacement(ports.routing, ports.clock, self.request)
        self._leave = QuarantinePass(ports.gate, self.request)
        self._measures = AnswerMeasures(
            self.request, self.core.label, self.ports.metrics, self.arrived_ms
        )

    # What readers see.

    @property
    def ledger(self) -> Ledger:
        """The answer's tokens."""
        return self.core.ledger

    @property
    def ended(self) -> bool:
        """Say whether nothing more will come."""
        return self.core.ended or self.gone

    @property
    def settled(self) -> bool:
        """Say whether this process may end without losing anything of the answer."""
        return self.ended and not self.followers and not self.unsettled

    @property
    def finish_reason(self) -> str:
        """Why a finished answer ended where it did."""
        return self.core.finish_reason

    @property
    def deliverable_end(self) -> int:
        """How many tokens may leave for readers now."""
        if self.journal_end is None:
            return self.ledger.next_position
        return self.journal_end()

    def right_left_ms(self) -> float:
        """How long this entry may speak for the answer from now on."""
        return math.inf if self.durable_right_ms is None else self.durable_right_ms()

    def follow(self, follower: Follower[Any]) -> None:
        """Add a reader and give it what there is."""
        self.followers.append(follower)
        follower.wake()
        self._hold_or_read()

    def left(self, follower: Follower[Any]) -> None:
        """A reader left or has everything."""
        if follower in self.followers:
            self.followers.remove(follower)
        self._hold_or_read()

    def left_behind(self) -> None:
        """A slow reader took some more: the engine may be read again."""
        self._hold_or_read()

    def wake_followers(self) -> None:
        """Something that readers see has changed."""
        for follower in list(self.followers):
            follower.wake()
        self._hold_or_read()

    # Messages.

    def tell(self, event: Event, now_ms: float | None = None) -> None:
        """Take an event; actions it leads to are carried out before the next one.

        ``now_ms`` spares reading the clock twice for a line of tokens.
        """
        if isinstance(event, Started):
            self.begun = True
        self._driver.tell(event, now_ms)

    def event_taken(self, event: Event, actions: list[Action]) -> None:
        """Give back a place that was granted and not taken."""
        if isinstance(event, Granted):
            self._placement.give_back()

    def head(self, attempt: int, head: StreamHead) -> None:
        """A stream opened."""
        opened = self._open.get(attempt)
        if opened is not None:
            opened.run_id = head.run_id
            opened.head_ms = self.ports.clock.now_ms()
        self.tell(HeadArrived(attempt, head))
        if attempt in self._open and not self.ended:
            self.ports.run_known(self, self._open[attempt].endpoint_id, head)

    def line(self, attempt: int, line: TokensArrived) -> None:
        """Tokens came on a stream: its endpoint lives."""
        now_ms = self.ports.clock.now_ms()
        opened = self._open.get(attempt)
        if opened is None:
            return
        if opened.first_ms is None:
            self._first_line(opened, now_ms)
        else:
            self.ports.silence.heard(opened.endpoint_id, now_ms)
        self.tell(line, now_ms)

    def _first_line(self, opened: OpenStream, now_ms: float) -> None:
        opened.first_ms = now_ms
        self.ports.silence.opened(opened.endpoint_id, now_ms)
        if opened.holds_place:
            router = self.ports.routing.router
            router.succeeded(opened.endpoint_id, self.request.policy.name)

    def stream_ended(self, attempt: int, loss: Loss) -> None:
        """A stream is over."""
        opened = self._open.get(attempt)
        if opened is not None:
            if loss is Loss.REFUSED:
                now_ms = self.ports.clock.now_ms()
                self.ports.routing.router.turned_away(opened.endpoint_id, now_ms)
            elif loss is not Loss.NOT_SENT and opened.begins:
                self._run_lost(opened)
            self._let_go(attempt)
        if not self.core.ended:
            self.tell(AttemptEnded(attempt, loss))

    def _run_lost(self, opened: OpenStream) -> None:
        now_ms = self.ports.clock.now_ms()
        ran_ms = None if opened.head_ms is None else now_ms - opened.head_ms
        gave_ms = None if opened.first_ms is None else now_ms - opened.first_ms
        sign = sign_of(ran_ms, gave_ms)
        self.ports.watch.run_lost(self.request, opened.endpoint_id, sign, engine=True)

    def endpoint_silent(self, endpoint_id: str) -> None:
        """The whole endpoint fell silent."""
        if not self._driver.reading_held:
            self.tell(EndpointSilent(endpoint_id))

    # Actions.

    def carry_out(self, action: Action, now_ms: float) -> None:
        """Do what the core asks for."""
        match action:
            case Deliver():
                self._delivered(now_ms)
            case SeekEndpoint():
                self._search(action)
            case OpenAttempt():
                self._open_attempt(action)
            case CancelAttempt():
                self._cancel(action)
            case Complete():
                self.ports.gate.proved_sound(self.request)
                self._end()
            case Interrupt():
                self.refusal = Refusal(
                    action.code,
                    _MESSAGES.get(action.code, action.code),
                    self._known_run(action.run),
                    action.retry_after_ms,
                    action.held_tokens,
                )
                self._end()
            case StopWork():
                self._end()

    def _delivered(self, now_ms: float) -> None:
        self._measures.delivered(now_ms)
        self.wake_followers()

    def _search(self, action: SeekEndpoint) -> None:
        self._measures.resumes_if(action.held_tokens)
        self._placement.search(action, self._decided)

    def _decided(self, decision: Decision) -> None:
        if not isinstance(decision, Grant):
            self.refusal = Refusal(
                decision.code,
                _MESSAGES.get(decision.code, decision.code),
                self._known_run(self.core.run_state),
                decision.retry_after_ms,
            )
            self.tell(NothingFree(decision.retry_after_ms))
            self._refused_by_routing()
        elif self.ended:
            self._placement.give_back()
        else:
            self.tell(Granted(decision.endpoint_id))

    def _known_run(self, run: RunState) -> RunState:
        """Under a caller's key only a stored row proves that nobody else runs it."""
        if run is RunState.NOT_RUN and self.request.keyed and not self.stored:
            return RunState.UNKNOWN
        return run

    def _refused_by_routing(self) -> None:
        """Routing refuses only what never ran, and the refusal is final."""
        self.core.withdraw()
        self._end()

    def _open_attempt(self, action: OpenAttempt) -> None:
        if not self._leave.may_send():
            self._refuse_barred()
            return
        engine = self.ports.engine(action.endpoint_id)
        if engine is None or not self._placement.may_have(action):
            self._placement.give_back()
            self.tell(AttemptEnded(action.attempt, Loss.NOT_SENT))
            return
        holds_place = self._placement.take_place(action)
        self._measures.attempt_opened(action)
        listener = AttemptListener(self, action.attempt)
        if action.way is Way.OWN_STREAM:
            position = action.from_position
            stream = engine.take_up(action.run_id, position, listener)
        else:
            order = self._order(action, self._place_copy(action))
            stream = engine.open(order, listener)
        opened = OpenStream(
            action.endpoint_id,
            stream,
            self.ports.clock.now_ms(),
            holds_place,
            begins=action.way is not Way.OWN_STREAM,
        )
        opened.run_id = action.run_id
        self._open[action.attempt] = opened

    def _refuse_barred(self) -> None:
        """Endpoints ended under what is asked, here or at other entries."""
        self.refusal = Refusal(
            "request_stops_engines",
            _MESSAGES["request_stops_engines"],
            self._known_run(self.core.run_state),
            math.ceil(self._leave.barred_ms),
            self.ledger.next_position,
        )
        self.tell(Cancelled())

    def _place_copy(self, action: OpenAttempt) -> str:
        """Choose who keeps a copy of this run, and return the engine's address."""
        if not self.ports.copies:
            return ""
        keeper = self._placement.keeper(action, self.core.bad_endpoints)
        engine = self.ports.engine(keeper)
        if engine is None:
            return ""
        self.tell(CopyPlaced(action.attempt, keeper))
        return engine.address

    def _order(self, action: OpenAttempt, copy_to: str) -> GenerationOrder:
        request = self.request
        return GenerationOrder(
            label=self.core.attempts[action.attempt].label,
            serves=request.model.serves,
            request=request.body,
            prompt_tokens=request.prompt_tokens,
            prefix_tokens=self.ledger.tokens_from(0),
            priority=-request.policy.rank,
            cache_salt=request.team.name,
            may_send=lambda: self._may_run_at(action.endpoint_id),
            copy_to=copy_to,
            copy_of=action.run_id if action.way is Way.COPY else "",
        )

    def _may_run_at(self, endpoint_id: str) -> bool:
        """Say whether a run may begin there, now that its connection stands."""
        may_run = not self.ended and self._leave.may_send()
        return may_run and self._placement.takes_work(endpoint_id)

    def _cancel(self, action: CancelAttempt) -> None:
        opened = self._open.get(action.attempt)
        if opened is None:
            return
        opened.stream.close()
        self._let_go(action.attempt)
        engine = self.ports.engine(opened.endpoint_id)
        # While the right to speak has lapsed, the run may be the next owner's.
        stops_run = action.stops_run and self.may_send()
        if stops_run and opened.run_id and engine is not None:
            spawn(engine.stop(opened.run_id), "stop_run", self.ports.reactor)

    def _let_go(self, attempt: int) -> None:
        opened = self._open.pop(attempt)
        if opened.first_ms is not None:
            self.ports.silence.closed(opened.endpoint_id)
        if opened.holds_place:
            run_ms = self.ports.clock.now_ms() - opened.opened_ms
            self.ports.routing.released(opened.endpoint_id, run_ms)

    # Back pressure.

    def _hold_or_read(self) -> None:
        """Hold the engine up while the only readers are far behind.

        A durable answer isn't held: it runs to its end without its caller.
        """
        if self.stored or self.core.ended or not self.followers:
            lead = 0
        else:
            ahead = max(each.cursor for each in self.followers)
            lead = self.ledger.next_position - ahead
        hold = lead > self.ports.caller_lead_tokens
        if hold == self._driver.reading_held:
            return
        self._driver.reading_held = hold
        for each in self._open.values():
            if hold:
                each.stream.pause()
            else:
                each.stream.resume()
        if not hold:
            self.tell(ReadingResumed())

    # The end.

    def _end(self) -> None:
        self._driver.stop_alarm()
        self._placement.stop()
        for attempt in list(self._open):
            self._open[attempt].stream.close()
            self._let_go(attempt)
        self._placement.give_back()
        self.ports.ended(self)
        self.wake_followers()

"""The task of one answer: its core, its streams to engines and its readers.

Relies on `AnswerPlacement` to choose engines, and on `AnswerDriver` to pass events to
the core.
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
    EndpointGranted,
    EndpointStalled,
    Event,
    HeadArrived,
    Interrupt,
    Ledger,
    Loss,
    NoEndpointFree,
    OpenAttempt,
    ReadingResumed,
    RequestEndpoint,
    RunState,
    Started,
    StopSending,
    StreamHead,
    TokensArrived,
    Way,
)
from coursekeel.endpoints import EngineAdapter, GenerationOrder, SilenceWatch
from coursekeel.entry.answers._answer_metrics import AnswerMetrics
from coursekeel.entry.answers._answer_placement import AnswerPlacement
from coursekeel.entry.answers._endpoint_questions import EndpointQuestions
from coursekeel.entry.answers._follower import FollowedAnswer, Follower
from coursekeel.entry.answers._open_stream import (
    AttemptListener,
    OpenStream,
    StreamOwner,
)
from coursekeel.entry.answers._requests import GenerationRequest
from coursekeel.entry.answers._sinks import Refusal
from coursekeel.entry.answers._successor_check import SuccessorCheck
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
from coursekeel.suspects import HeldStart, QuarantineGate, QuarantinePass, sign_of

__all__ = ["AnswerPorts", "AnswerTask"]

# A timer that fires this late means that this process was paused. Must stay below the
# shortest silence that marks an endpoint as stalled (`silence_floor_ms`).
_OWN_PAUSE_MS = 250.0
_REFUSAL_MESSAGES = {
    "interrupted": "no endpoint could go on with the answer in time",
    "request_stops_engines": "engines died while they ran this request",
    "too_late": "the request can't be served in its time",
    "queue_full": "too many requests wait",
    "no_endpoint": "no endpoint serves this model now",
    "cancelled": "the answer was given up",
}


@define(eq=False)
class AnswerPorts:
    """Dependencies of an answer's task, provided by its entry.

    ``engine`` returns the adapter of an endpoint, or None. ``on_ended`` and
    ``on_run_opened`` are callbacks. ``copies`` enables copies of the runs'
    memory on other engines.
    """

    reactor: Reactor
    clock: Clock
    routing: RoutingTask
    silence: SilenceWatch
    metrics: Metrics
    engine: Callable[[str], EngineAdapter | None]
    on_ended: Callable[["AnswerTask"], None]
    on_run_opened: Callable[["AnswerTask", str, StreamHead], None]
    gate: QuarantineGate
    watch: EndpointWatch
    questions: EndpointQuestions
    caller_lead_tokens: int
    copies: bool


@define(eq=False)
class AnswerTask(StreamOwner, FollowedAnswer, AnswerShell):
    """One running answer. Events are handled one at a time, in order.

    ``stored`` is set once the answer's row is in the store, ``gone`` once another entry
    owns the answer, ``fenced`` if that entry took it over from this one.
    """

    request: GenerationRequest
    core: AnswerCore[Ledger]
    ports: AnswerPorts
    lease_left_ms: Callable[[], float] | None = None
    journaled_tokens: Callable[[], int] | None = None
    stored: bool = False
    refusal: Refusal | None = None
    gone: bool = False
    fenced: bool = False
    has_started: bool = False
    end_unstored: bool = False
    followers: list[Follower[Any]] = field(factory=list)
    arrived_ms: float = field(init=False)
    _driver: AnswerDriver = field(init=False)
    _open_streams: dict[int, OpenStream] = field(factory=dict)
    _placement: AnswerPlacement = field(init=False)
    _is_searching: bool = False
    _successor_check: SuccessorCheck = field(init=False)
    _quarantine_pass: QuarantinePass = field(init=False)
    _held_search: HeldStart = field(init=False)
    _held_copy: HeldStart = field(init=False)
    _metrics: AnswerMetrics = field(init=False)

    def __attrs_post_init__(self) -> None:
        ports = self.ports
        self.arrived_ms = ports.clock.now_ms()
        self._driver = AnswerDriver(
            self.core,
            self,
            ports.reactor,
            ports.clock,
            _OWN_PAUSE_MS,
            stall_is_loss=self._stalled_run_suspected,
        )
        self._placement = AnswerPlacement(ports.routing, ports.clock, self.request)
        self._successor_check = SuccessorCheck(
            ports.reactor,
            ports.questions,
            self.core,
            self._placement,
            self._run_may_be_left,
        )
        self._quarantine_pass = QuarantinePass(ports.gate, self.request)
        self._held_search = HeldStart(ports.reactor, self._quarantine_pass)
        self._held_copy = HeldStart(ports.reactor, self._quarantine_pass)
        self._metrics = AnswerMetrics(
            self.request, self.core.label, self.ports.metrics, self.arrived_ms
        )

    # Interface for readers.

    @property
    def ledger(self) -> Ledger:
        """The answer's tokens."""
        return self.core.ledger

    @property
    def ended(self) -> bool:
        """Whether the answer produces no more tokens here."""
        return self.core.ended or self.gone

    @property
    def settled(self) -> bool:
        """Whether this process may exit without losing any part of the answer."""
        return self.ended and not self.followers and not self.end_unstored

    @property
    def finish_reason(self) -> str:
        """The engine's reason for finishing the answer."""
        return self.core.finish_reason

    @property
    def deliverable_end(self) -> int:
        """The number of tokens that may be sent to readers now."""
        if self.journaled_tokens is None:
            return self.ledger.next_position
        return self.journaled_tokens()

    def right_left_ms(self) -> float:
        """How long from now this entry may send tokens; infinite without a lease."""
        return math.inf if self.lease_left_ms is None else self.lease_left_ms()

    def follow(self, follower: Follower[Any]) -> None:
        """Add a reader and send it the tokens that are available."""
        self.followers.append(follower)
        follower.wake()
        self._pause_or_resume_streams()

    def remove_follower(self, follower: Follower[Any]) -> None:
        """Remove a reader that disconnected or has received the whole answer."""
        if follower in self.followers:
            self.followers.remove(follower)
        self._pause_or_resume_streams()

    def reader_progressed(self) -> None:
        """Resume reading from engines if a slow reader has made enough progress."""
        self._pause_or_resume_streams()

    def wake_followers(self) -> None:
        """Send readers what became available."""
        for follower in list(self.followers):
            follower.wake()
        self._pause_or_resume_streams()

    # Events.

    def handle_event(self, event: Event, now_ms: float | None = None) -> None:
        """Pass an event to the core and carry out the resulting actions.

        ``now_ms`` is the current time, if the caller has already read the clock.
        """
        if isinstance(event, Started):
            self.has_started = True
        self._driver.handle_event(event, now_ms)

    def event_handled(self, event: Event, actions: list[Action]) -> None:
        """Return a granted slot that the core did not use."""
        if isinstance(event, EndpointGranted):
            self._placement.return_slot()

    def handle_head(self, attempt: int, head: StreamHead) -> None:
        """Handle the head of an attempt's stream."""
        opened = self._open_streams.get(attempt)
        if opened is not None:
            opened.run_id = head.run_id
            opened.head_ms = self.ports.clock.now_ms()
        self.handle_event(HeadArrived(attempt, head))
        if attempt in self._open_streams and not self.ended:
            self.ports.on_run_opened(
                self, self._open_streams[attempt].endpoint_id, head
            )

    def handle_tokens(self, attempt: int, event: TokensArrived) -> None:
        """Handle tokens of a stream; they also show that its endpoint is alive."""
        now_ms = self.ports.clock.now_ms()
        opened = self._open_streams.get(attempt)
        if opened is None:
            return
        if opened.first_tokens_ms is None:
            self._note_first_tokens(opened, now_ms)
        else:
            self.ports.silence.record_tokens(opened.endpoint_id, now_ms)
        self.handle_event(event, now_ms)

    def _note_first_tokens(self, opened: OpenStream, now_ms: float) -> None:
        opened.first_tokens_ms = now_ms
        self.ports.silence.add_stream(opened.endpoint_id, now_ms)
        if opened.holds_slot:
            router = self.ports.routing.router
            router.record_success(opened.endpoint_id, self.request.policy.name)

    def handle_stream_end(self, attempt: int, loss: Loss) -> None:
        """Handle the end of an attempt's stream."""
        opened = self._open_streams.get(attempt)
        if opened is not None:
            if loss is Loss.REFUSED:
                now_ms = self.ports.clock.now_ms()
                self.ports.routing.router.record_refusal(opened.endpoint_id, now_ms)
            elif loss is not Loss.NOT_SENT and opened.begins:
                self._report_lost_run(opened)
            self._release_attempt(attempt)
        if not self.core.ended:
            self.handle_event(AttemptEnded(attempt, loss))

    def _report_lost_run(self, opened: OpenStream) -> None:
        now_ms = self.ports.clock.now_ms()
        ran_ms = None if opened.head_ms is None else now_ms - opened.head_ms
        streamed_ms = (
            None if opened.first_tokens_ms is None else now_ms - opened.first_tokens_ms
        )
        sign = sign_of(ran_ms, streamed_ms)
        self.ports.watch.run_lost(self.request, opened.endpoint_id, sign, engine=True)

    def endpoint_stalled(self, endpoint_id: str) -> None:
        """Handle the report that an endpoint has stalled on all its streams."""
        if self._driver.reading_held:
            return
        self._successor_check.endpoint_stalled(endpoint_id)

    def _stalled_run_suspected(self) -> bool:
        """Return whether a run that stalled is suspected now; called by the driver."""
        return self._successor_check.suspects_now(self.ports.clock.now_ms())

    def _run_may_be_left(self, endpoint_id: str) -> None:
        if not self._driver.reading_held:
            self.handle_event(EndpointStalled(endpoint_id))

    # Actions.

    def carry_out(self, action: Action, now_ms: float) -> None:
        """Carry out an action of the core."""
        match action:
            case Deliver():
                self._on_delivered(now_ms)
            case RequestEndpoint():
                self._search_engine(action)
            case OpenAttempt():
                self._start_attempt(action)
            case CancelAttempt():
                self._cancel_attempt(action)
            case Complete():
                self.ports.gate.report_success(self.request)
                self._close()
            case Interrupt():
                self.refusal = Refusal(
                    action.code,
                    _REFUSAL_MESSAGES.get(action.code, action.code),
                    self._reported_run_state(action.run),
                    action.retry_after_ms,
                    action.held_tokens,
                )
                self._close()
            case StopSending():
                self._close()

    def _on_delivered(self, now_ms: float) -> None:
        if self._is_searching:
            self._stop_searching()
            self.core.search_withdrawn()
        self._metrics.record_delivery(now_ms)
        self.wake_followers()

    def _search_engine(self, action: RequestEndpoint) -> None:
        self._is_searching = True
        self._metrics.note_resumption(action.held_tokens)
        self._held_search.run(lambda: self._placement.search(action, self._on_decision))

    def _stop_searching(self) -> None:
        """Withdraw the search, so that it takes no retry from lost runs."""
        self._is_searching = False
        self._held_search.stop()
        self._placement.stop()

    def _on_decision(self, decision: Decision) -> None:
        self._is_searching = False
        if not isinstance(decision, Grant):
            self.refusal = Refusal(
                decision.code,
                _REFUSAL_MESSAGES.get(decision.code, decision.code),
                self._reported_run_state(self.core.run_state),
                decision.retry_after_ms,
            )
            self.handle_event(NoEndpointFree(decision.retry_after_ms))
            self._refused_by_routing()
        elif self.ended:
            self._placement.return_slot()
        else:
            self.handle_event(EndpointGranted(decision.endpoint_id))

    def _reported_run_state(self, run: RunState) -> RunState:
        """The run state to report to the caller.

        If the caller chose the request id, another entry may run the same request until
        this entry's row is stored.
        """
        if run is RunState.NOT_RUN and self.request.keyed and not self.stored:
            return RunState.UNKNOWN
        return run

    def _refused_by_routing(self) -> None:
        """End the answer; routing only refuses requests that never ran."""
        self.core.withdraw()
        self._close()

    def _start_attempt(self, action: OpenAttempt) -> None:
        """Open an attempt; one that routing did not choose may have to wait first."""
        if action.way is Way.COPY:
            self._held_copy.run(lambda: self._open_copy(action))
        else:
            self._open_attempt(action)

    def _open_copy(self, action: OpenAttempt) -> None:
        if self.core.attempts[action.attempt].live:
            self._open_attempt(action)

    def _open_attempt(self, action: OpenAttempt) -> None:
        if not self._quarantine_pass.may_send():
            self._refuse_barred()
            return
        engine = self.ports.engine(action.endpoint_id)
        if engine is None or not self._placement.may_use(action):
            self._placement.return_slot()
            self.handle_event(AttemptEnded(action.attempt, Loss.NOT_SENT))
            return
        holds_slot = self._placement.take_slot(action)
        self._metrics.record_attempt(action)
        listener = AttemptListener(self, action.attempt)
        if action.way is Way.OWN_STREAM:
            position = action.from_position
            stream = engine.reattach(action.run_id, position, listener)
        else:
            order = self._order(action, self._choose_copy_engine(action))
            stream = engine.open(order, listener)
        opened = OpenStream(
            action.endpoint_id,
            stream,
            self.ports.clock.now_ms(),
            holds_slot,
            begins=action.way is not Way.OWN_STREAM,
        )
        opened.run_id = action.run_id
        self._open_streams[action.attempt] = opened

    def _refuse_barred(self) -> None:
        """Refuse a quarantined request: endpoints crashed while they ran it."""
        self.refusal = Refusal(
            "request_stops_engines",
            _REFUSAL_MESSAGES["request_stops_engines"],
            self._reported_run_state(self.core.run_state),
            math.ceil(self._quarantine_pass.barred_ms),
            self.ledger.next_position,
        )
        self.handle_event(Cancelled())

    def _choose_copy_engine(self, action: OpenAttempt) -> str:
        """Choose an engine to keep a copy of this run; return its address or empty."""
        if not self.ports.copies:
            return ""
        copy_endpoint_id = self._placement.choose_copy_endpoint(
            action, self.core.excluded_endpoints
        )
        engine = self.ports.engine(copy_endpoint_id)
        if engine is None:
            return ""
        self.handle_event(CopyPlaced(action.attempt, copy_endpoint_id))
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
            may_send=lambda: self._may_start_run(action.endpoint_id),
            copy_to=copy_to,
            copy_of=action.run_id if action.way is Way.COPY else "",
        )

    def _may_start_run(self, endpoint_id: str) -> bool:
        """Whether the run may still start there once its connection is open."""
        may_run = not self.ended and self._quarantine_pass.may_send()
        return may_run and self._placement.accepts_work(endpoint_id)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        opened = self._open_streams.get(action.attempt)
        if opened is None:
            return
        opened.stream.close()
        self._release_attempt(action.attempt)
        engine = self.ports.engine(opened.endpoint_id)
        # After the lease has lapsed the run may belong to the next owner.
        stops_run = action.stops_run and self.may_send()
        if stops_run and opened.run_id and engine is not None:
            spawn(engine.stop(opened.run_id), "stop_run", self.ports.reactor)

    def _release_attempt(self, attempt: int) -> None:
        opened = self._open_streams.pop(attempt)
        if opened.first_tokens_ms is not None:
            self.ports.silence.remove_stream(opened.endpoint_id)
        if opened.holds_slot:
            run_ms = self.ports.clock.now_ms() - opened.opened_ms
            self.ports.routing.release(opened.endpoint_id, run_ms)

    # Back pressure.

    def _pause_or_resume_streams(self) -> None:
        """Pause the streams while even the fastest reader is far behind.

        A stored answer is never paused: it runs to its end without readers.
        """
        if self.stored or self.core.ended or not self.followers:
            lead = 0
        else:
            most_read = max(follower.cursor for follower in self.followers)
            lead = self.ledger.next_position - most_read
        hold = lead > self.ports.caller_lead_tokens
        if hold == self._driver.reading_held:
            return
        self._driver.reading_held = hold
        for opened in self._open_streams.values():
            if hold:
                opened.stream.pause()
            else:
                opened.stream.resume()
        if not hold:
            self.handle_event(ReadingResumed())

    # End of the answer.

    def _close(self) -> None:
        self._driver.stop_alarm()
        self._stop_searching()
        self._successor_check.stop()
        self._held_copy.stop()
        for attempt in list(self._open_streams):
            self._open_streams[attempt].stream.close()
            self._release_attempt(attempt)
        self._placement.return_slot()
        self.ports.on_ended(self)
        self.wake_followers()

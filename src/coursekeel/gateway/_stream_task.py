"""The task of one answer that is a stream of numbered events.

An `AnswerCore` decides, as it does for generations on the product's own engines: here
a piece is an event, a copy of a run's memory is kept by an endpoint of another
availability zone, and a lost run goes on from it.
"""

import math

from attrs import define, field

from coursekeel.answers import (
    Action,
    AnswerCore,
    AnswerPolicy,
    AttemptEnded,
    CancelAttempt,
    Cancelled,
    Complete,
    CopyPlaced,
    Deliver,
    Event,
    Expected,
    Granted,
    HeadArrived,
    Interrupt,
    Loss,
    OpenAttempt,
    SeekEndpoint,
    Started,
    StopWork,
    StreamHead,
    Way,
)
from coursekeel.answers import RunState as Run
from coursekeel.fetch import ExchangeHead
from coursekeel.forwarding import (
    EndpointRecord,
    EventLedger,
    RouteKind,
)
from coursekeel.gateway import _adapters as adapters
from coursekeel.gateway._placement import Placement
from coursekeel.gateway._ports import Forwarded, ForwardingPorts
from coursekeel.gateway._reply import CallerReply
from coursekeel.gateway._report_task import ReportTask
from coursekeel.gateway._stream_attempt import AttemptOwner, StreamAttempt
from coursekeel.routing import Decision, Grant
from coursekeel.runtime import AnswerDriver, AnswerShell

__all__ = ["StreamTask"]

_RETRY_AFTER_MS = 150.0
_ELSEWHERE_MS = 50.0
# An alarm this late tells of a pause of this process. Less than `silence_ms`, so that a
# pause isn't taken for the silence of every endpoint at once. Chosen, not measured.
_OWN_PAUSE_MS = 100.0
_OK = 200


@define(eq=False)
class StreamTask(AttemptOwner, AnswerShell):
    """Drives one stream from its request to its last event."""

    ports: ForwardingPorts
    reports: ReportTask
    call: Forwarded
    reply: CallerReply
    core: AnswerCore[EventLedger] = field(init=False)
    _driver: AnswerDriver = field(init=False)
    _open: dict[int, StreamAttempt] = field(factory=dict)
    _refused: str = ""
    _retry_after_ms: float = _RETRY_AFTER_MS
    _lost_ms: float | None = None
    _ways: list[str] = field(factory=list)
    _placement: Placement = field(init=False)
    _first_ms: float | None = None

    def __attrs_post_init__(self) -> None:
        call, timers = self.call, self.ports.settings.timers
        self._placement = Placement(self.ports, self.reports, call)
        resumable = call.route.kind is RouteKind.RESUMABLE
        now_ms = self.ports.clock.now_ms()
        policy = AnswerPolicy(
            patience_ms=max(int(call.due_ms - now_ms), 1),
            first_token_ms=math.inf,
            silence_ms=timers.silence_ms if resumable else math.inf,
            races=False,
            deaths_before_stop=max(call.route.tries, 1) if resumable else 1,
            own_stream_tries=0,
            retry_after_ms=int(_RETRY_AFTER_MS),
        )
        self.core = AnswerCore(
            call.caller.request_id,
            Expected(call.pool, "", ""),
            policy,
            EventLedger(call.caller.resume_after or 0),
        )
        self._driver = AnswerDriver(
            self.core, self, self.ports.reactor, self.ports.clock, _OWN_PAUSE_MS
        )

    def start(self) -> None:
        """Begin; the reply comes by itself."""
        self.reply.on_gone(self._caller_left)
        self.ports.budget(self.call.pool).succeeded()
        self.tell(Started())

    def tell(self, event: Event) -> None:
        """Take an event; what comes while one is being taken waits its turn."""
        self._driver.tell(event)

    def event_taken(self, event: Event, actions: list[Action]) -> None:
        """Give back a place that is granted when a copy has taken the run up."""
        if isinstance(event, Granted) and not _opens(actions):
            self._placement.give_back(event.endpoint_id)

    def carry_out(self, action: Action, now_ms: float) -> None:
        """Do what the core asks for."""
        match action:
            case SeekEndpoint():
                self._begin_seek(action)
            case OpenAttempt():
                self._open_attempt(action)
            case CancelAttempt():
                self._cancel(action.attempt)
            case Deliver():
                self._deliver()
            case Complete():
                self._complete()
            case Interrupt():
                self._interrupt(action)
            case StopWork():
                self._stop_work()

    def _begin_seek(self, action: SeekEndpoint) -> None:
        if self._refused:
            self._refuse()
        else:
            self._placement.seek(action, self._decided)

    def _decided(self, decision: Decision) -> None:
        if isinstance(decision, Grant):
            self.tell(Granted(decision.endpoint_id))
            return
        self._refused = decision.code
        self._retry_after_ms = decision.retry_after_ms
        self._refuse()

    # Attempts.

    def _open_attempt(self, action: OpenAttempt) -> None:
        record = self._placement.record_for(action)
        if record is not None and self._may_send():
            self._send(action, record)
            return
        self._give_back(action)
        self.tell(AttemptEnded(action.attempt, Loss.NOT_SENT))

    def _may_send(self) -> bool:
        """Say whether a run may be sent now; if not, the next search is refused."""
        if self._refused:
            return False
        budget = self.ports.budget(self.call.pool)
        if not self.ports.belief_fits(self.call):
            self._refused = "belief_old"
        elif self._ways and not budget.take(self.ports.clock.now_ms()):
            self._refused = "retry_budget"
        else:
            return True
        self._retry_after_ms = _ELSEWHERE_MS
        return False

    def _give_back(self, action: OpenAttempt) -> None:
        """Nothing is sent to the endpoint, so its place is free again.

        A copy's place wasn't granted: it is taken when the run is sent there.
        """
        if action.way is not Way.COPY:
            self._placement.give_back(action.endpoint_id)

    def _send(self, action: OpenAttempt, record: EndpointRecord) -> None:
        ports, call = self.ports, self.call
        now_ms = ports.clock.now_ms()
        self._ways.append(action.way.value)
        if action.way is Way.COPY:
            ports.routing.router.adopt(action.endpoint_id)
        copy = self._placement.place_copy(
            action,
            lambda place: self.tell(CopyPlaced(action.attempt, place)),
        )
        position = self.core.ledger.next_position
        from_copy = action.way is Way.COPY
        load = ports.routing.router.load(action.endpoint_id)
        ports.metrics.chosen(
            call,
            action.endpoint_id,
            action.way.value,
            load,
            self._placement.candidates,
            copy,
        )
        send = adapters.Send(
            record,
            call.caller.request_id,
            call.team_name,
            call.due_ms - now_ms,
            resume_after=position if position or from_copy else None,
            copy_to=copy,
            copy_from=record.address if from_copy else "",
            copied_run=call.caller.request_id if from_copy else "",
            urgent=len(self._ways) > 1,
        )
        attempt = StreamAttempt(
            self, action.attempt, action.endpoint_id, from_copy, now_ms
        )
        self._open[action.attempt] = attempt
        attempt.open(send)

    def _cancel(self, number: int) -> None:
        attempt = self._open.pop(number, None)
        if attempt is None:
            return
        if not self.core.ended and self._lost_ms is None:
            self.lost(attempt.endpoint_id, "silent")
        attempt.close()

    def is_open(self, number: int) -> bool:
        """Say whether the attempt is still one of the answer's."""
        return number in self._open

    def attempt_over(self, number: int) -> None:
        """The attempt's connection ended by itself."""
        self._open.pop(number, None)

    def opened(self, attempt: int, head: ExchangeHead) -> None:
        """An endpoint answered with a stream of this request."""
        if not self.reply.head_sent:
            self._first_ms = self.ports.clock.now_ms()
            headers = self.ports.dialect.answer_headers(head)
            self.reply.head(head.status, headers)
        label = self.core.attempts[attempt].label
        position = self.core.attempts[attempt].from_position
        self.tell(
            HeadArrived(
                attempt,
                StreamHead(label, label, self.call.pool, "", "", "", position),
            )
        )

    def answered_otherwise(self, attempt: int, head: ExchangeHead, body: bytes) -> None:
        """An endpoint gave a final answer that isn't a stream."""
        self._say("answered", head.status)
        if self.reply.head_sent:
            self.reply.cut()
        else:
            headers = self.ports.dialect.answer_headers(head)
            self.reply.whole(head.status, headers, body)
        self.tell(Cancelled())

    # What the caller gets.

    def _deliver(self) -> None:
        if self._lost_ms is not None:
            waited_ms = self.ports.clock.now_ms() - self._lost_ms
            self.ports.metrics.resumed(self.call, self._ways[-1], waited_ms)
            self._lost_ms = None
        self.reply.write(self.core.ledger.take())

    def lost(self, endpoint_id: str, why: str) -> None:
        """An attempt that had sent events was lost."""
        if self._lost_ms is None:
            self._lost_ms = self.ports.clock.now_ms()
        position = self.core.ledger.next_position
        self.ports.metrics.run_lost(self.call, endpoint_id, why, position)
        self._placement.lost(endpoint_id)

    def _complete(self) -> None:
        self._say("answered", _OK)
        self._stop_work()
        self.reply.finish()

    def _interrupt(self, action: Interrupt) -> None:
        code = "timeout" if action.code == "interrupted" else action.code
        self._stop_work()
        if self.reply.head_sent:
            self._say(code, 0)
            self.reply.cut()
        elif action.run is Run.NOT_RUN:
            self._say(code, 503)
            self.reply.refuse(503, code, self._retry_after_ms)
        else:
            status = 504 if code == "timeout" else 502
            self._say(code, status)
            self.reply.refuse(status, code)

    def _refuse(self) -> None:
        """Routing has nothing for the request, and it is told so at once."""
        if self.reply.head_sent:
            self._say(self._refused, 0)
            self.reply.cut()
        else:
            # Only 503 says that the request has not run.
            status = 503 if self.core.run_state is Run.NOT_RUN else 502
            self._say(self._refused, status)
            self.reply.refuse(status, self._refused, self._retry_after_ms)
        self.tell(Cancelled())

    def _caller_left(self) -> None:
        if not self.core.ended:
            self._say("caller_left", 0)
            self.tell(Cancelled())

    def _stop_work(self) -> None:
        self._placement.stop()
        for number in list(self._open):
            self._cancel(number)
        self._driver.stop_alarm()

    def _say(self, code: str, status: int) -> None:
        self.ports.metrics.ended(
            self.call, code, status, len(self._ways), self._first_ms, self._ways
        )


def _opens(actions: list[Action]) -> bool:
    return any(isinstance(each, OpenAttempt) for each in actions)

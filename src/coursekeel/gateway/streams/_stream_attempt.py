"""One run of a stream at one endpoint: reads its events and detects its loss.

Rule: before the first event `FirstEventWatch` decides whether the run is overdue, after
it `StallCheck`. A reset connection, an event without a number and a response that
doesn't belong to the request lose the run at once.

Owns the exchange and the bytes of the incomplete last event.
"""

from abc import ABC, abstractmethod
from http import HTTPStatus

from attrs import define, evolve, field

from coursekeel.answers import (
    AnswerCore,
    AttemptEnded,
    Event,
    FinishArrived,
    Loss,
    TokensArrived,
)
from coursekeel.fetch import (
    Ending,
    Exchange,
    ExchangeHead,
    ExchangeSink,
    Overrun,
    record_overrun,
)
from coursekeel.forwarding import (
    EndpointRecord,
    EventLedger,
    RouteKind,
    event_number,
    split_events,
)
from coursekeel.gateway._adapters import (
    HeadVerdict,
    OutboundRequest,
)
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway._metrics import LostRun
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._refusals import GatewayRefusal
from coursekeel.gateway.endpoints._load_reports import LoadReports
from coursekeel.gateway.streams._begin_watch import FirstEventWatch
from coursekeel.gateway.streams._silence_doubt import NO_REPORT
from coursekeel.gateway.streams._successors import SuccessorLookup
from coursekeel.settings import AnswerSettings

__all__ = ["AttemptOwner", "StreamAttempt"]

# A run that has produced output for so long doesn't crash its endpoint by a part of its
# prompt: an endpoint that does so ends about when it begins to write.
_SOUND_OUTPUT_MS = 200.0


class AttemptOwner(ABC):
    """The stream's task that an attempt belongs to."""

    context: GatewayContext
    reports: LoadReports
    successors: SuccessorLookup
    call: AdmittedRequest
    core: AnswerCore[EventLedger]

    @property
    @abstractmethod
    def has_begun(self) -> bool:
        """Whether a part of the answer was sent to the caller."""

    @abstractmethod
    def handle_event(self, event: Event) -> None:
        """Pass an event of the attempt to the core."""

    @abstractmethod
    def is_open(self, number: int) -> bool:
        """Return whether the attempt still belongs to the stream."""

    @abstractmethod
    def may_still_send(self, endpoint: EndpointRecord) -> bool:
        """Return whether a run may still be sent, once its connection is open."""

    @abstractmethod
    def may_still_relay(self) -> bool:
        """Return whether a run may still be sent to a member."""

    @abstractmethod
    def stream_opened(self, attempt: int, head: ExchangeHead) -> None:
        """Handle the response head that opens the stream of this request."""

    @abstractmethod
    def final_response_received(self, head: ExchangeHead, body: bytes) -> None:
        """Handle a final response that is not a stream."""

    @abstractmethod
    def not_sent(self) -> None:
        """Record that the request of an attempt reached no endpoint."""

    @abstractmethod
    def attempt_ended(self, number: int) -> None:
        """Remove an attempt whose connection has ended."""

    @abstractmethod
    def run_overdue(self, number: int, reason: str, overdue_ms: float) -> None:
        """Replace a run that may be lost, if a retry and an endpoint allow it.

        ``reason`` is the log value of its loss, ``overdue_ms`` for how long nothing has
        spoken for the run.
        """

    @abstractmethod
    def report_late(self, number: int) -> None:
        """Record that the report of an open run's endpoint is late."""

    @abstractmethod
    def run_not_listed(self, number: int) -> None:
        """Give up a run without an event that its endpoint doesn't list, or keep it."""

    @abstractmethod
    def run_lost(self, lost: LostRun) -> None:
        """Record that a run was lost before its answer was complete."""

    @abstractmethod
    def relay_lost(self, lost: LostRun) -> None:
        """Record that a member lost a run; that tells nothing of endpoints."""

    @abstractmethod
    def relay_not_run(self, tries: int) -> None:
        """Record that a member didn't run the request; it had been given ``tries``."""

    @abstractmethod
    def relay_refused(self, refusal: GatewayRefusal) -> None:
        """Handle a member's refusal that holds at every instance.

        The attempt ends as not sent after that.
        """


@define(eq=False)
class StreamAttempt(ExchangeSink):
    """One run at one endpoint; ``from_copy`` if it continues from a copy kept there.

    ``number`` is the attempt's number in the core; ``started_ms`` is when it was sent.
    ``overdue_reason`` is why it is to be replaced, a log value, empty if it isn't;
    ``overdue_since_ms`` since when.
    """

    task: AttemptOwner
    number: int
    endpoint_id: str
    from_copy: bool
    started_ms: float
    overdue_reason: str = ""
    overdue_since_ms: float | None = None
    _outbound: OutboundRequest | None = None
    _exchange: Exchange | None = None
    _head: ExchangeHead | None = None
    _streaming: bool = False
    _events: int = 0
    _closed: bool = False
    _head_received_ms: float | None = None
    _first_event_ms: float | None = None
    _parts_reported: bool = False
    _buffer: bytearray = field(factory=bytearray)
    _watch: FirstEventWatch | None = None

    def open(self, outbound: OutboundRequest, permit_lapses_ms: float | None) -> None:
        """Send the request, and watch for the first event of a resumable route.

        ``permit_lapses_ms`` is the time until which the permit for it may be used.
        """
        self._send(outbound, permit_lapses_ms)
        if self.task.call.route.kind is RouteKind.RESUMABLE:
            self._start_first_event_watch()

    @property
    def is_relayed(self) -> bool:
        """Whether a member serves the run."""
        return False

    def set_overdue(self, reason: str) -> None:
        """Record that the run is to be replaced, for a log value; empty: it isn't."""
        self.overdue_reason = reason
        self.overdue_since_ms = self.task.context.clock.now_ms() if reason else None

    @property
    def first_event_ms(self) -> float | None:
        """When the run's first event arrived, None before it."""
        return self._first_event_ms

    def _send(
        self, outbound: OutboundRequest, permit_lapses_ms: float | None = None
    ) -> None:
        self._outbound = outbound
        endpoints = self.task.context.endpoints
        self._exchange = endpoints.send(
            self.task.call, outbound, self, permit_lapses_ms
        )

    def close(self) -> None:
        """Abort the run; the endpoint stops it when the connection closes."""
        if self._exchange is not None:
            self._exchange.abort()
        self._release(failed=False)

    def _start_first_event_watch(self) -> None:
        task = self.task
        self._watch = FirstEventWatch(
            task.context.reactor,
            task.context.clock,
            task.reports,
            self.endpoint_id,
            task.call.caller.request_id,
            lambda ms: task.run_overdue(self.number, NO_REPORT, ms),
            lambda: task.run_not_listed(self.number),
            lambda: task.report_late(self.number),
        )
        self._watch.start()

    def report_lost(self, why: str) -> None:
        """Report the run as lost now, for the reason ``why`` (a log value)."""
        self.task.run_lost(self.loss_record(why))

    def loss_record(self, why: str) -> LostRun:
        """Describe the run as lost now, for the reason ``why`` (a log value)."""
        now_ms = self.task.context.clock.now_ms()
        ran_ms = (
            None if self._head_received_ms is None else now_ms - self._head_received_ms
        )
        streamed_ms = (
            None if self._first_event_ms is None else now_ms - self._first_event_ms
        )
        return LostRun(
            self.endpoint_id,
            why,
            ran_ms,
            streamed_ms,
            self._events,
            self._closed,
            self.overdue_since_ms,
        )

    def may_send(self) -> bool:
        assert self._outbound is not None
        return self.task.may_still_send(self._outbound.endpoint)

    # The response.

    def head_arrived(self, head: ExchangeHead) -> None:
        self._head = head
        task = self.task
        self._head_received_ms = task.context.clock.now_ms()
        if self._verdict(head) is HeadVerdict.RAN and head.status == HTTPStatus.OK:
            self._streaming = True
            task.stream_opened(self.number, head)
        elif self._exchange is not None:
            self._exchange.max_body_bytes = self._answers.max_body_bytes

    def _verdict(self, head: ExchangeHead) -> HeadVerdict:
        dialect = self.task.context.endpoints.dialect
        return dialect.judge(head, self.task.call.caller.request_id)

    def data_arrived(self, data: bytes) -> None:
        searched = len(self._buffer)
        self._buffer += data
        if not self._streaming:
            return
        self._handle_events(split_events(self._buffer, searched))
        if len(self._buffer) > self._answers.max_event_bytes:
            self._event_too_large()

    @property
    def _answers(self) -> AnswerSettings:
        return self.task.context.settings.now.answers

    def _event_too_large(self) -> None:
        if self.task.is_open(self.number):
            record_overrun(Overrun.EVENT, self.endpoint_id, len(self._buffer))
            self.lose(Overrun.EVENT.value)

    def _handle_events(self, events: list[bytes]) -> None:
        numbered = [(event_number(event), event) for event in events]
        numbers = [number for number, _ in numbered if number is not None]
        if len(numbers) < len(events):
            self.lose("event_without_number")
            return
        if numbers:
            if not self._events:
                self._first_event_received()
            self._events += len(numbers)
            self._report_sound_parts()
            self._events_received(numbers, events)

    def _first_event_received(self) -> None:
        self._stop_watch()
        task = self.task
        self._first_event_ms = task.context.clock.now_ms()
        router = task.context.routing.router
        load = router.load(self.endpoint_id)
        if load is not None and not self.from_copy:
            waited_ms = self._first_event_ms - self.started_ms
            load.reading.began(task.call.caller.prompt_tokens, waited_ms)
        if not self.from_copy:
            took_ms = self._first_event_ms - self.started_ms
            task.context.versions.first_event(task.call, self.endpoint_id, took_ms)
        router.record_success(self.endpoint_id, task.call.route.name)

    def _report_sound_parts(self) -> None:
        """Clear the prompt's parts once the run has produced output for a while."""
        task, first_ms = self.task, self._first_event_ms
        if self._parts_reported or first_ms is None:
            return
        if task.context.clock.now_ms() - first_ms >= _SOUND_OUTPUT_MS:
            self._parts_reported = True
            task.context.quarantine.report_parts_sound(task.call)

    def _events_received(self, numbers: list[int], events: list[bytes]) -> None:
        label = self.task.core.attempts[self.number].label
        position = numbers[0] - 1
        self.task.handle_event(
            TokensArrived(self.number, label, position, numbers, events)
        )

    def ended(self, ending: Ending, reason: str) -> None:
        if ending is Ending.WITHHELD:
            self._not_sent()
            self._end(Loss.NOT_SENT)
            return
        if ending is Ending.NOT_SENT:
            self._not_reached(reason)
            self._not_sent()
            self._end(Loss.NOT_SENT)
            return
        self._closed = ending in (Ending.CUT, Ending.NO_ANSWER)
        if self._head is None:
            self.lose(reason)
        elif not self._streaming:
            self._non_stream_response(self._head, ending is Ending.WHOLE)
        elif ending is Ending.WHOLE and not self._buffer:
            self._stream_finished()
        else:
            self.lose(reason or "torn_event")

    def _not_sent(self) -> None:
        self.task.not_sent()

    def _not_reached(self, reason: str) -> None:
        self.task.context.health.unreachable(self.endpoint_id, reason)

    def _stream_finished(self) -> None:
        task = self.task
        label = task.core.attempts[self.number].label
        position = task.core.ledger.next_position
        self._record_version_outcome(failed=False)
        self._release(failed=False)
        task.attempt_ended(self.number)
        task.handle_event(FinishArrived(self.number, label, position, "end"))

    def _record_version_outcome(self, failed: bool) -> None:
        context = self.task.context
        took_ms = context.clock.now_ms() - self.started_ms
        context.versions.ended(self.task.call, self.endpoint_id, failed, took_ms)

    def _non_stream_response(self, head: ExchangeHead, whole: bool) -> None:
        task = self.task
        verdict = self._verdict(head)
        if verdict is HeadVerdict.OTHER_INSTANCE:
            self._other_instance_answered(head)
        elif verdict is HeadVerdict.NOT_RUN:
            self._request_rejected()
        elif self._is_final_response(verdict, head, whole):
            self._record_version_outcome(
                head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            )
            self._release(failed=False)
            task.attempt_ended(self.number)
            task.final_response_received(head, bytes(self._buffer))
        else:
            self.lose(f"status_{head.status}")

    def _other_instance_answered(self, head: ExchangeHead) -> None:
        """Handle a response from another incarnation, which ran nothing.

        A copy is stored at an address: one that was placed after a restart is kept by
        the successor, so the run continues there instead of reading its prompt again.
        """
        task = self.task
        pool, endpoint_id = task.call.pool, self.endpoint_id
        task.context.health.replaced(endpoint_id)
        successor_id = task.context.endpoints.dialect.incarnation_named(head)
        if self.from_copy:
            on_found = self._retry_copy_at_successor
            task.successors.find(pool, endpoint_id, successor_id, on_found)
            return
        task.successors.find(pool, endpoint_id, successor_id, _ignore_successor)
        self._end(Loss.REFUSED)

    def _retry_copy_at_successor(self, successor: EndpointRecord | None) -> None:
        if not self.task.is_open(self.number):
            return
        if successor is None or self._outbound is None:
            self._end(Loss.REFUSED)
            return
        routing = self.task.context.routing
        routing.return_unused(self.endpoint_id, 0)
        routing.router.count_run_at_copy(successor.endpoint_id)
        self.endpoint_id = successor.endpoint_id
        self._head = None
        self._head_received_ms = self._first_event_ms = None
        self._events = 0
        self._buffer.clear()
        self._stop_watch()
        self._start_first_event_watch()
        self._send(evolve(self._outbound, endpoint=successor))

    def _request_rejected(self) -> None:
        """End the attempt; a missing copy doesn't mean that the endpoint is full.

        Neither does it if the endpoint sheds load as it announced by its limit.
        """
        context = self.task.context
        limited = context.endpoints.limits.per_s(self.endpoint_id) is not None
        if not self.from_copy and not limited:
            now_ms = context.clock.now_ms()
            context.routing.router.record_refusal(self.endpoint_id, now_ms)
        self._end(Loss.REFUSED)

    def _is_final_response(
        self, verdict: HeadVerdict, head: ExchangeHead, whole: bool
    ) -> bool:
        """Return True if the caller gets this response.

        A resumable stream is sent again after a 5xx response. Once the caller has a
        part of the stream, no response but a stream can go on with it.
        """
        if verdict is not HeadVerdict.RAN or not whole or self.task.has_begun:
            return False
        runs_once = self.task.call.route.kind is not RouteKind.RESUMABLE
        return runs_once or head.status < HTTPStatus.INTERNAL_SERVER_ERROR

    def lose(self, why: str) -> None:
        """Give the run up as lost, for the reason ``why`` (a log value)."""
        self.report_lost(why)
        if self._exchange is not None:
            self._exchange.abort()
        self._end(Loss.CUT, failed=True)

    def _end(self, loss: Loss, failed: bool = False) -> None:
        if loss is not Loss.CUT:
            metrics = self.task.context.metrics
            metrics.try_ended(self.task.call, self.endpoint_id, loss.value)
        self._release(failed)
        self.task.attempt_ended(self.number)
        self.task.handle_event(AttemptEnded(self.number, loss))

    def _release(self, failed: bool) -> None:
        self._stop_watch()
        context = self.task.context
        run_ms = context.clock.now_ms() - self.started_ms
        context.routing.release(self.endpoint_id, run_ms, failed)

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.stop()
            self._watch = None


def _ignore_successor(_: EndpointRecord | None) -> None:
    """Do nothing: routing uses the successor for new requests once it is adopted."""

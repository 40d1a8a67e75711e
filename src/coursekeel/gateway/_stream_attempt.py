"""One run at one endpoint: reads its events, and watches over its silence."""

from abc import ABC, abstractmethod
from typing import Any

from attrs import define, field

from coursekeel.answers import (
    AnswerCore,
    AttemptEnded,
    EndpointSilent,
    Event,
    FinishArrived,
    Loss,
    TokensArrived,
)
from coursekeel.fetch import Ending, Exchange, ExchangeHead, ExchangeSink
from coursekeel.forwarding import EventLedger, RouteKind, event_number, split_events
from coursekeel.gateway import _adapters as adapters
from coursekeel.gateway._ports import Forwarded, ForwardingPorts
from coursekeel.gateway._report_task import ReportTask

__all__ = ["AttemptOwner", "StreamAttempt"]

_FIRST_LOOK_MS = 450.0
_LOOK_AGAIN_MS = 400.0
_REPORTS_MISSED = 2
_SURELY_TAKEN_MS = 700.0
_OK = 200
_FIRST_FAILURE = 500


class AttemptOwner(ABC):
    """The answer that an attempt belongs to."""

    ports: ForwardingPorts
    reports: ReportTask
    call: Forwarded
    core: AnswerCore[EventLedger]

    @abstractmethod
    def tell(self, event: Event) -> None:
        """Take an event of the attempt."""

    @abstractmethod
    def is_open(self, number: int) -> bool:
        """Say whether the attempt is still one of the answer's."""

    @abstractmethod
    def opened(self, attempt: int, head: ExchangeHead) -> None:
        """An endpoint answered with a stream of this request."""

    @abstractmethod
    def answered_otherwise(self, attempt: int, head: ExchangeHead, body: bytes) -> None:
        """An endpoint gave a final answer that isn't a stream."""

    @abstractmethod
    def attempt_over(self, number: int) -> None:
        """The attempt's connection ended by itself."""

    @abstractmethod
    def lost(self, endpoint_id: str, why: str) -> None:
        """An attempt was lost before the answer was whole."""


@define(eq=False)
class StreamAttempt(ExchangeSink):
    """One run at one endpoint: reads its events and watches over its silence."""

    task: AttemptOwner
    number: int
    endpoint_id: str
    from_copy: bool
    started_ms: float
    _exchange: Exchange | None = None
    _head: ExchangeHead | None = None
    _streaming: bool = False
    _spoke: bool = False
    _buffer: bytearray = field(factory=bytearray)
    _look: Any = None
    _missed: int = 0

    def open(self, send: adapters.Send) -> None:
        """Send the request."""
        ports = self.task.ports
        self._exchange = ports.open(
            self.task.call, send, self, ports.settings.timers.connect_ms
        )
        if self.task.call.route.kind is RouteKind.RESUMABLE:
            self._look_after(_FIRST_LOOK_MS)

    def close(self) -> None:
        """End the run; the endpoint stops when its connection closes."""
        if self._exchange is not None:
            self._exchange.abort()
        self._release(failed=False)

    # Until the first event, the endpoint's report is the only sign of its life.

    def _look_after(self, wait_ms: float) -> None:
        reactor = self.task.ports.reactor
        self._look = reactor.callLater(wait_ms / 1000, self._ask)

    def _ask(self) -> None:
        if not self._spoke:
            self.task.reports.ask(self.endpoint_id, self._reported)

    def _reported(self, report: adapters.EndpointReport | None) -> None:
        if self._spoke or not self.task.is_open(self.number):
            return
        missing = report is None or self._is_absent(report)
        self._missed = self._missed + 1 if missing else 0
        if self._missed >= _REPORTS_MISSED:
            self._given_up(report)
            return
        self._look_after(_LOOK_AGAIN_MS if report is not None else 0.0)

    def _is_absent(self, report: adapters.EndpointReport) -> bool:
        """Say whether the endpoint shows no trace of a run it has long been sent.

        Seen on a played day: an endpoint in good health took requests and never ran
        them; the caller's own patience was the only end, after 18 s.
        """
        waited_ms = self.task.ports.clock.now_ms() - self.started_ms
        if waited_ms < _SURELY_TAKEN_MS or report.unread_runs is None:
            return False
        listed = self.task.call.caller.request_id in report.runs
        return not listed and report.unread_runs == 0

    def _given_up(self, report: adapters.EndpointReport | None) -> None:
        if report is None:
            self.task.lost(self.endpoint_id, "no_report")
            self.task.tell(EndpointSilent(self.endpoint_id))
        else:
            self._lost("not_running")

    # The answer.

    def head_arrived(self, head: ExchangeHead) -> None:
        self._head = head
        task = self.task
        state = task.ports.dialect.state(head, task.call.caller.request_id)
        if state is adapters.RunState.RAN and head.status == _OK:
            self._streaming = True
            task.opened(self.number, head)

    def data_arrived(self, data: bytes) -> None:
        self._buffer += data
        if not self._streaming:
            return
        events = split_events(self._buffer)
        numbered = [(event_number(each), each) for each in events]
        numbers = [number for number, _ in numbered if number is not None]
        if len(numbers) < len(events):
            self._lost("event_without_number")
            return
        if numbers:
            self._spoke = True
            self._take(numbers, events)

    def _take(self, numbers: list[int], events: list[bytes]) -> None:
        label = self.task.core.attempts[self.number].label
        position = numbers[0] - 1
        self.task.tell(TokensArrived(self.number, label, position, numbers, events))

    def ended(self, ending: Ending, reason: str) -> None:
        task = self.task
        if ending is Ending.NOT_SENT:
            task.ports.endpoint_failed(self.endpoint_id, reason)
            self._over(Loss.NOT_SENT)
        elif self._head is None:
            self._lost(reason)
        elif not self._streaming:
            self._other_answer(self._head, ending)
        elif ending is Ending.WHOLE and not self._buffer:
            self._finished()
        else:
            self._lost(reason or "torn_event")

    def _finished(self) -> None:
        task = self.task
        label = task.core.attempts[self.number].label
        position = task.core.ledger.next_position
        self._release(failed=False)
        task.attempt_over(self.number)
        task.tell(FinishArrived(self.number, label, position, "end"))

    def _other_answer(self, head: ExchangeHead, ending: Ending) -> None:
        task = self.task
        state = task.ports.dialect.state(head, task.call.caller.request_id)
        if state is adapters.RunState.OTHER_INSTANCE:
            task.ports.endpoint_replaced(self.endpoint_id)
            self._over(Loss.REFUSED)
        elif state is adapters.RunState.NOT_RUN:
            self._turned_away()
        elif self._is_final(state, head, ending):
            self._release(failed=False)
            task.attempt_over(self.number)
            task.answered_otherwise(self.number, head, bytes(self._buffer))
        else:
            self._lost(f"status_{head.status}")

    def _turned_away(self) -> None:
        """A copy that isn't there says nothing of the endpoint's room."""
        if not self.from_copy:
            ports = self.task.ports
            ports.routing.router.turned_away(self.endpoint_id, ports.clock.now_ms())
        self._over(Loss.REFUSED)

    def _is_final(
        self, state: adapters.RunState, head: ExchangeHead, ending: Ending
    ) -> bool:
        """An endpoint's own failure is passed on only if no other can do better."""
        if state is not adapters.RunState.RAN or ending is not Ending.WHOLE:
            return False
        once = self.task.call.route.kind is not RouteKind.RESUMABLE
        return once or head.status < _FIRST_FAILURE

    def _lost(self, why: str) -> None:
        self.task.lost(self.endpoint_id, why)
        if self._exchange is not None:
            self._exchange.abort()
        self._over(Loss.CUT, failed=True)

    def _over(self, loss: Loss, failed: bool = False) -> None:
        if loss is not Loss.CUT:
            ports = self.task.ports
            ports.metrics.try_ended(self.task.call, self.endpoint_id, loss.value)
        self._release(failed)
        self.task.attempt_over(self.number)
        self.task.tell(AttemptEnded(self.number, loss))

    def _release(self, failed: bool) -> None:
        if self._look is not None and self._look.active():
            self._look.cancel()
        ports = self.task.ports
        run_ms = ports.clock.now_ms() - self.started_ms
        ports.routing.released(self.endpoint_id, run_ms, failed)

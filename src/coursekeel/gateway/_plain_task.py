"""The task of one request whose answer is a whole body."""

from typing import Any

from attrs import define, field

from coursekeel.answers import RunState as Run
from coursekeel.calls import (
    Begin,
    CallAction,
    CallCore,
    CallEvent,
    CallPolicy,
    CallReply,
    Reply,
    Send,
    SendEnded,
    SendOutcome,
    ServiceReply,
)
from coursekeel.fetch import Ending, Exchange, ExchangeHead, ExchangeSink
from coursekeel.forwarding import RouteKind
from coursekeel.gateway import _adapters as adapters
from coursekeel.gateway._ports import Forwarded, ForwardingPorts
from coursekeel.gateway._reply import CallerReply
from coursekeel.routing import Decision, Grant, Seek

__all__ = ["PlainTask"]

_QUEUED_SHARE = 0.25
_TRY_TARGETS = 1.5
_RETRY_AFTER_MS = 100
_LEAST_REMAINING_MS = 5.0


@define(eq=False)
class PlainTask:
    """Drives a `CallCore`: finds an endpoint, sends, and gives the final word."""

    ports: ForwardingPorts
    call: Forwarded
    reply: CallerReply
    core: CallCore = field(init=False)
    _tried: set[str] = field(factory=set)
    _ticket: int | None = None
    _current: "_Try | None" = None
    _deadline: Any = None
    _code: str = ""
    _retry_after_ms: float = _RETRY_AFTER_MS

    def __attrs_post_init__(self) -> None:
        route = self.call.route
        policy = CallPolicy(
            route.kind is RouteKind.REPEATABLE,
            tries=max(route.tries, 1),
            retry_after_ms=_RETRY_AFTER_MS,
        )
        self.core = CallCore(policy, None, keyed=False)

    def start(self) -> None:
        """Begin; the reply comes by itself."""
        self.reply.on_gone(self._caller_left)
        left_ms = self.call.due_ms - self.ports.clock.now_ms()
        self._deadline = self.ports.reactor.callLater(max(left_ms, 0) / 1000, self._due)
        self.ports.budget(self.call.pool).succeeded()
        self._tell(Begin())

    def _tell(self, event: CallEvent) -> None:
        for action in self.core.handle(event):
            self._carry_out(action)

    def _carry_out(self, action: CallAction) -> None:
        match action:
            case Send():
                self._seek()
            case Reply():
                self._final(action.reply)
            case _:
                raise AssertionError(f"no claim was asked for: {action}")

    # Finding an endpoint and sending.

    def _seek(self) -> None:
        now_ms = self.ports.clock.now_ms()
        if self._tried and not self.ports.budget(self.call.pool).take(now_ms):
            self._code = "retry_budget"
            self._tell(SendEnded(SendOutcome.NO_ENDPOINT))
            return
        route = self.call.route
        seek = Seek(
            ticket=0,
            team=self.call.team_name,
            request_class=route.name,
            rank=self.call.rank,
            model=self.call.pool,
            cost_tokens=1.0,
            deadline_ms=min(self.call.due_ms, now_ms + _QUEUED_SHARE * route.target_ms),
            excluded=frozenset(self._tried),
        )
        self._ticket = self.ports.routing.seek(seek, self._decided)

    def _decided(self, decision: Decision) -> None:
        self._ticket = None
        if not isinstance(decision, Grant):
            self._code = decision.code
            self._retry_after_ms = decision.retry_after_ms
            self._tell(SendEnded(SendOutcome.NO_ENDPOINT))
            return
        self._tried.add(decision.endpoint_id)
        self._send(decision.endpoint_id)

    def _send(self, endpoint_id: str) -> None:
        ports, call = self.ports, self.call
        now_ms = ports.clock.now_ms()
        record = ports.directory.record(endpoint_id)
        remaining_ms = call.due_ms - now_ms
        if record is None or remaining_ms < _LEAST_REMAINING_MS:
            ports.routing.returned(endpoint_id, call.caller.prompt_tokens)
            self._tell(SendEnded(SendOutcome.NOT_SENT))
            return
        if not ports.belief_fits(call):
            ports.routing.returned(endpoint_id, call.caller.prompt_tokens)
            self._code = "belief_old"
            self._tell(SendEnded(SendOutcome.NO_ENDPOINT))
            return
        send = adapters.Send(
            record, call.caller.request_id, call.team_name, remaining_ms
        )
        load = ports.routing.router.load(endpoint_id)
        ports.metrics.chosen(call, endpoint_id, "whole", load)
        self._current = _Try(self, endpoint_id, now_ms)
        self._current.open(send, self._try_limit_ms(remaining_ms))

    def _try_limit_ms(self, remaining_ms: float) -> float | None:
        """How long one try may take while another could still follow it."""
        route = self.call.route
        last = len(self._tried) >= route.tries
        if last or route.kind is not RouteKind.REPEATABLE:
            return None
        tries_left = route.tries - len(self._tried) + 1
        return max(remaining_ms / tries_left, _TRY_TARGETS * route.target_ms)

    def try_ended(self, outcome: ServiceReply | SendOutcome) -> None:
        """The try under way came to its end."""
        self._current = None
        self._tell(SendEnded(outcome))

    # Ends.

    def _final(self, word: CallReply) -> None:
        self._stop_deadline()
        reply = word.reply
        if reply is not None:
            self._say("answered", reply.status)
            self.reply.whole(reply.status, reply.headers, reply.body)
        elif word.run is Run.NOT_RUN:
            code = self._code or word.code
            self._say(code, 503)
            self.reply.refuse(503, code, self._retry_after_ms)
        else:
            self._say(word.code, 502)
            self.reply.refuse(502, word.code)

    def _due(self) -> None:
        """The route's or the caller's time is over: the final word comes now."""
        self._deadline = None
        may_have_run = self._current is not None or self.core.may_have_run
        self._stop_work()
        if may_have_run:
            self._say("timeout", 504)
            self.reply.refuse(504, "timeout")
        else:
            self._say("too_late", 503)
            self.reply.refuse(503, "too_late", _RETRY_AFTER_MS)

    def _caller_left(self) -> None:
        self._say("caller_left", 0)
        self._stop_deadline()
        self._stop_work()

    def _stop_work(self) -> None:
        if self._ticket is not None:
            self.ports.routing.withdraw(self._ticket)
            self._ticket = None
        if self._current is not None:
            self._current.abandon()
            self._current = None

    def _stop_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _say(self, code: str, status: int) -> None:
        self.ports.metrics.ended(self.call, code, status, len(self._tried))


@define(eq=False)
class _Try(ExchangeSink):
    """One send to one endpoint; its sink reads the whole answer."""

    task: PlainTask
    endpoint_id: str
    started_ms: float
    _exchange: Exchange | None = None
    _limit: Any = None
    _head: ExchangeHead | None = None
    _body: list[bytes] = field(factory=list)

    def open(self, send: adapters.Send, limit_ms: float | None) -> None:
        """Send; after ``limit_ms`` without a whole answer the try is given up."""
        ports = self.task.ports
        if limit_ms is not None:
            self._limit = ports.reactor.callLater(limit_ms / 1000, self._too_long)
        self._exchange = ports.open(
            self.task.call, send, self, ports.settings.timers.connect_ms
        )

    def head_arrived(self, head: ExchangeHead) -> None:
        self._head = head

    def data_arrived(self, data: bytes) -> None:
        self._body.append(data)

    def ended(self, ending: Ending, reason: str) -> None:
        self._stop_limit()
        outcome = self._outcome(ending, reason)
        failed = not isinstance(outcome, ServiceReply) or outcome.failed
        self._say(outcome)
        self._release(failed)
        if outcome is SendOutcome.TURNED_AWAY:
            ports = self.task.ports
            ports.routing.router.turned_away(self.endpoint_id, ports.clock.now_ms())
        self.task.try_ended(outcome)

    def _say(self, outcome: ServiceReply | SendOutcome) -> None:
        if isinstance(outcome, SendOutcome):
            word = outcome.value
        elif outcome.failed:
            word = f"status_{outcome.status}"
        else:
            return
        self.task.ports.metrics.try_ended(self.task.call, self.endpoint_id, word)

    def _outcome(self, ending: Ending, reason: str) -> ServiceReply | SendOutcome:
        ports = self.task.ports
        if ending is Ending.NOT_SENT:
            ports.endpoint_failed(self.endpoint_id, reason)
            return SendOutcome.NOT_SENT
        if self._head is None:
            return SendOutcome.MAYBE_SENT
        state = ports.dialect.state(self._head, self.task.call.caller.request_id)
        match state:
            case adapters.RunState.OTHER_INSTANCE:
                ports.endpoint_replaced(self.endpoint_id)
                return SendOutcome.NOT_SENT
            case adapters.RunState.NOT_RUN:
                return SendOutcome.TURNED_AWAY
            case adapters.RunState.RAN if ending is Ending.WHOLE:
                return self._reply(self._head)
            case _:
                return SendOutcome.MAYBE_SENT

    def _reply(self, head: ExchangeHead) -> ServiceReply:
        headers = tuple(self.task.ports.dialect.answer_headers(head))
        return ServiceReply(head.status, "", b"".join(self._body), headers)

    def _too_long(self) -> None:
        self._limit = None
        assert self._exchange is not None
        self._exchange.abort()
        self._release(failed=True)
        self._say(SendOutcome.MAYBE_SENT)
        self.task.try_ended(SendOutcome.MAYBE_SENT)

    def abandon(self) -> None:
        """Nobody waits for the answer any more."""
        self._stop_limit()
        if self._exchange is not None:
            self._exchange.abort()
        self._release(failed=False)

    def _release(self, failed: bool) -> None:
        ports = self.task.ports
        run_ms = ports.clock.now_ms() - self.started_ms
        ports.routing.released(self.endpoint_id, run_ms, failed)

    def _stop_limit(self) -> None:
        if self._limit is not None:
            self._limit.cancel()
            self._limit = None

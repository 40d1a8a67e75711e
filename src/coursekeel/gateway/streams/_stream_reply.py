"""The reply to the caller of a stream, with its metrics and log events.

Rule: the head is sent with the first events. Until then nothing is on the wire, and the
request can still be refused.

Owns the reply, the head of the run that is open, and the time when a run was lost while
none has resumed. A reply ends once; later calls do nothing.
"""

from http import HTTPStatus

from attrs import define, field

from coursekeel.fetch import ExchangeHead
from coursekeel.gateway._caller_reply import CallerReply
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway._metrics import LostRun
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._refusals import GatewayRefusal

__all__ = ["StreamReply"]

# The status in the log of a reply whose head was sent already.
_NO_STATUS = 0

# The outcome of a stream that ended as its endpoint ended it.
_ANSWERED = "answered"


@define(eq=False)
class StreamReply:
    """One stream's reply; ``ways`` are the values of `Way` of its runs, in order."""

    context: GatewayContext
    call: AdmittedRequest
    reply: CallerReply
    ways: list[str] = field(factory=list)
    _head: ExchangeHead | None = None
    _opened_ms: float | None = None
    _run_lost_ms: float | None = None
    _position: int = 0
    _waits_for: str = ""

    @property
    def is_recovering(self) -> bool:
        """Whether a run was lost and no event has arrived since."""
        return self._run_lost_ms is not None

    def stream_opened(self, head: ExchangeHead) -> None:
        """Keep the head of a run that opens a stream, for the events that it sends."""
        self._head = head
        if self._opened_ms is None:
            self._opened_ms = self.context.clock.now_ms()

    def _send_head(self) -> None:
        if self._head is not None and not self.reply.head_sent:
            headers = self.context.endpoints.dialect.answer_headers(self._head)
            self.reply.head(self._head.status, headers)

    def run_lost(self, lost: LostRun, position: int) -> None:
        """Record a run lost at ``position`` (in events), and when recovery started."""
        if self._run_lost_ms is None:
            since_ms = lost.overdue_since_ms
            self._run_lost_ms = since_ms or self.context.clock.now_ms()
        self.context.metrics.run_lost(self.call, lost, position)

    def waits(self, code: str, ahead: int) -> None:
        """Log once, until events arrive, that the stream waits; ``code`` is for what.

        ``ahead`` is the number of streams that wait for a retry before it.
        """
        if not self._waits_for:
            self.context.metrics.stream_waits(self.call, code, ahead, self._position)
        self._waits_for = code

    def deliver(self, events: bytes, position: int) -> None:
        """Send events, the last of which has the number ``position``.

        The first ones after a loss end the recovery.
        """
        if self._run_lost_ms is not None:
            waited_ms = self.context.clock.now_ms() - self._run_lost_ms
            self.context.metrics.resumed(self.call, self.ways[-1], waited_ms)
            self._run_lost_ms = None
        self._waits_for = ""
        self._position = position
        self._send_head()
        self.reply.write(events)

    def log_completed(self) -> None:
        """Log that the stream is complete."""
        self._log_end(_ANSWERED, HTTPStatus.OK)

    def finish(self) -> None:
        """Close the reply of a complete stream, which may have no events."""
        self._send_head()
        self.reply.finish()

    def final_response_received(self, head: ExchangeHead, body: bytes) -> None:
        """Pass on a final response that is not a stream; no event was delivered yet."""
        self._log_end(_ANSWERED, head.status)
        headers = self.context.endpoints.dialect.answer_headers(head)
        self.reply.whole(head.status, headers, body)

    def refuse_or_cut(self, refusal: GatewayRefusal) -> None:
        """End the reply: with the refusal, or by a cut if its head was sent."""
        if self.reply.head_sent:
            self._log_end(refusal.code, _NO_STATUS)
            self.reply.cut()
        else:
            self._log_end(refusal.code, refusal.status)
            self.reply.refuse(refusal)

    def caller_left(self) -> None:
        """Log that the caller closed its connection."""
        self._log_end("caller_left", _NO_STATUS)

    def _log_end(self, code: str, status: int) -> None:
        context = self.context
        retries_left = None
        if code != _ANSWERED:
            budget = context.budgets.of(self.call.pool)
            retries_left = budget.left(context.clock.now_ms())
        context.metrics.ended(
            self.call,
            code,
            status,
            len(self.ways),
            self._opened_ms,
            self.ways,
            self._position,
            retries_left,
            self._waits_for,
        )

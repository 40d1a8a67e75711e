"""What the caller of a stream gets, and what is counted and logged of it.

Owns the reply, when its first event left, and since when it has been waiting for a lost
run to go on. A reply ends once; what comes after that does nothing.
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

# The log's status of a reply whose head has left: no other can be given.
_NO_STATUS = 0


@define(eq=False)
class StreamReply:
    """One stream's reply. ``ways`` are those that its runs took, in order."""

    context: GatewayContext
    call: AdmittedRequest
    reply: CallerReply
    ways: list[str] = field(factory=list)
    _head_sent_ms: float | None = None
    _run_lost_ms: float | None = None

    @property
    def is_recovering(self) -> bool:
        """Say whether a run was lost, and nothing has come since."""
        return self._run_lost_ms is not None

    def stream_opened(self, head: ExchangeHead) -> None:
        """A run's stream opened; the first one's head is the reply's."""
        if self.reply.head_sent:
            return
        self._head_sent_ms = self.context.clock.now_ms()
        headers = self.context.endpoints.dialect.answer_headers(head)
        self.reply.head(head.status, headers)

    def run_lost(self, lost: LostRun, position: int) -> None:
        """A run was lost after ``position`` events."""
        if self._run_lost_ms is None:
            self._run_lost_ms = self.context.clock.now_ms()
        self.context.metrics.run_lost(self.call, lost, position)

    def deliver(self, events: bytes) -> None:
        """Send events on."""
        if self._run_lost_ms is not None:
            waited_ms = self.context.clock.now_ms() - self._run_lost_ms
            self.context.metrics.resumed(self.call, self.ways[-1], waited_ms)
            self._run_lost_ms = None
        self.reply.write(events)

    def log_completed(self) -> None:
        """The stream is whole."""
        self._log_end("answered", HTTPStatus.OK)

    def finish(self) -> None:
        """Close the reply of a whole stream."""
        self.reply.finish()

    def final_response_received(self, head: ExchangeHead, body: bytes) -> None:
        """An endpoint gave a final answer that isn't a stream."""
        self._log_end("answered", head.status)
        if self.reply.head_sent:
            self.reply.cut()
        else:
            headers = self.context.endpoints.dialect.answer_headers(head)
            self.reply.whole(head.status, headers, body)

    def refuse_or_cut(self, refusal: GatewayRefusal) -> None:
        """Nothing more will come; an answer that has begun is visibly cut."""
        if self.reply.head_sent:
            self._log_end(refusal.code, _NO_STATUS)
            self.reply.cut()
        else:
            self._log_end(refusal.code, refusal.status)
            self.reply.refuse(refusal)

    def caller_left(self) -> None:
        """Nobody waits any more."""
        self._log_end("caller_left", _NO_STATUS)

    def _log_end(self, code: str, status: int) -> None:
        self.context.metrics.ended(
            self.call, code, status, len(self.ways), self._head_sent_ms, self.ways
        )

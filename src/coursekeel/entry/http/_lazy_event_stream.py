"""An event stream that can still answer with an HTTP error before its first event."""

from typing import Any

from twisted.internet.defer import Deferred

from coursekeel.answers import EventId
from coursekeel.entry.answers._sinks import Refusal
from coursekeel.entry.http._common import refuse
from coursekeel.entry.http._event_sinks import MOVED_REFUSAL, EventStream

__all__ = ["LazyEventStream"]


class LazyEventStream(EventStream):
    """An event stream whose headers are sent with its first event.

    A refusal before that becomes an HTTP error with its status and Retry-After header.
    """

    def __init__(
        self,
        request: Any,
        request_id: str,
        model: str,
        chat: bool,
        open_streams: set[EventStream],
        result: "Deferred[Any]",
    ) -> None:
        super().__init__(request, request_id, model, chat)
        self._open_streams = open_streams
        self._result = result
        self._started = False

    def _ensure_started(self) -> None:
        if self._started:
            return
        self._started = True
        self.open()
        self._open_streams.add(self)

    def stored(self) -> None:
        """Report, once, that the request is stored and will be completed."""
        self._ensure_started()
        super().stored()

    def restart(self, generation: str) -> None:
        """Tell the caller to drop the tokens it holds: a new generation starts."""
        self._ensure_started()
        super().restart(generation)

    def tokens(self, upto: EventId, tokens: list[int], text: str) -> None:
        """Write tokens as one event."""
        self._ensure_started()
        super().tokens(upto, tokens, text)

    def finish(self, reason: str, upto: EventId) -> None:
        """Write the last event and end the stream."""
        self._ensure_started()
        super().finish(reason, upto)

    def refuse(self, refusal: Refusal) -> None:
        """Answer with an HTTP error, or an error event if the stream has started."""
        if self._started:
            super().refuse(refusal)
            return
        self.over = True
        self._result.callback(refuse(self._request, refusal))

    def redirect_caller(self) -> None:
        """Tell the caller to retry; with an HTTP error before the first event."""
        if self._started:
            super().redirect_caller()
        elif self._connection.withdraw():
            self.refuse(MOVED_REFUSAL)
        else:
            self.over = True

    def _close(self) -> None:
        self._open_streams.discard(self)
        self.over = True
        self._request.unregisterProducer()
        self._result.callback(b"")

    def stopProducing(self) -> None:
        """The connection was lost."""
        super().stopProducing()
        self._request.unregisterProducer()
        self._open_streams.discard(self)
        if not self._result.called:
            self._result.callback(b"")

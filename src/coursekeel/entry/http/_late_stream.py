"""An event stream that can still turn into an HTTP error before its first event."""

from typing import Any

from twisted.internet.defer import Deferred

from coursekeel.answers import EventId
from coursekeel.entry.answers._sinks import Refusal
from coursekeel.entry.http._common import refuse
from coursekeel.entry.http._event_sinks import EventStream

__all__ = ["LateStream"]


class LateStream(EventStream):
    """An event stream whose headers go out with its first event.

    Until then a refusal can still be an HTTP error, with its status and when to come
    back, and not an event in a stream that looked like a success.
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
        self._begun = False

    def _begin(self) -> None:
        if self._begun:
            return
        self._begun = True
        self.open()
        self._open_streams.add(self)

    def stored(self) -> None:
        """Tell that the request will be carried to its end."""
        self._begin()
        super().stored()

    def restart(self, generation: str) -> None:
        """Tell the caller to drop what it holds."""
        self._begin()
        super().restart(generation)

    def tokens(self, upto: EventId, tokens: list[int], text: str) -> None:
        """Write tokens as one event."""
        self._begin()
        super().tokens(upto, tokens, text)

    def finish(self, reason: str, upto: EventId) -> None:
        """Write the last event."""
        self._begin()
        super().finish(reason, upto)

    def refuse(self, refusal: Refusal) -> None:
        """Write the final word, as an HTTP error if nothing was written before."""
        if self._begun:
            super().refuse(refusal)
            return
        self.over = True
        self._result.callback(refuse(self._request, refusal))

    def _close(self) -> None:
        self._open_streams.discard(self)
        self.over = True
        self._request.unregisterProducer()
        self._result.callback(b"")

    def stopProducing(self) -> None:
        """The caller is gone."""
        super().stopProducing()
        self._request.unregisterProducer()
        self._open_streams.discard(self)
        if not self._result.called:
            self._result.callback(b"")

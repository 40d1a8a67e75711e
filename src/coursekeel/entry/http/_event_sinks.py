"""Sinks that write an answer to a caller: server-sent events, or one JSON body."""

from typing import Any

import orjson

from coursekeel.answers import EventId, RunState
from coursekeel.entry.answers._sinks import AnswerSink, Refusal, SendingRight
from coursekeel.entry.http._common import error_body
from coursekeel.entry.http._guarded_connection import GuardedConnection, connection_of

__all__ = ["MOVED_REFUSAL", "EventStream", "WholeAnswer"]

# For a caller to whom nothing was sent of an answer that another entry owns by now.
MOVED_REFUSAL = Refusal("moved", "ask again", RunState.UNKNOWN, 500)
_DONE = b"data: [DONE]\n\n"


def _event(name: str, body: Any) -> bytes:
    return b"event: %s\ndata: %s\n\n" % (name.encode(), orjson.dumps(body))


class EventStream(AnswerSink):
    """Writes an answer as server-sent events.

    It is the connection's push producer: while the caller's buffer is full it accepts
    no tokens, and only its position in the ledger is kept.
    """

    def __init__(self, request: Any, request_id: str, model: str, chat: bool) -> None:
        self._request = request
        self._connection = connection_of(request)
        self._paused = False
        self.over = False
        self.held: EventId | None = None
        self.wake: Any = None
        self.source_moved: Any = None
        self._stored_sent = False
        kind = b"chat.completion.chunk" if chat else b"text_completion"
        self._head = b'"id":%s,"object":"%s","model":%s' % (
            orjson.dumps(request_id),
            kind,
            orjson.dumps(model),
        )
        self._text = b'"delta":{"content":%s}' if chat else b'"text":%s'
        self._request_id = request_id

    def open(self) -> None:
        """Send the headers; from here on even errors are events."""
        request = self._request
        request.setHeader("content-type", "text/event-stream")
        request.setHeader("cache-control", "no-store")
        request.setHeader("x-request-id", self._request_id)
        request.registerProducer(self, True)
        request.write(b": open\n\n")

    def keep_alive(self) -> None:
        """Write a comment, so that the caller and proxies keep the connection open."""
        if not self.full:
            self._request.write(b": alive\n\n")

    # Producer interface, called by the transport.

    def pauseProducing(self) -> None:
        """The caller's buffer is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """The caller's buffer has room."""
        self._paused = False
        if self.wake is not None:
            self.wake()

    def stopProducing(self) -> None:
        """The connection was lost."""
        self.over = True

    # Sink interface, called by the answer's reader.

    def set_sending_right(self, right: SendingRight | None) -> None:
        """Send what is written from now on only while this right holds."""
        self._connection.guard(right)

    @property
    def full(self) -> bool:
        """Say whether the caller's buffer is full or the stream over."""
        return self._paused or self.over

    def stored(self) -> None:
        """Report, once, that the request is stored and will be completed."""
        if not self._stored_sent:
            self._stored_sent = True
            self._request.write(_event("stored", {}))

    def restart(self, generation: str) -> None:
        """Tell the caller to drop the tokens it holds: a new generation starts."""
        self.held = None
        self._request.write(_event("restart", {"generation": generation}))

    def tokens(self, upto: EventId, tokens: list[int], text: str) -> None:
        """Write tokens as one event."""
        self.held = upto
        ids = ",".join(map(str, tokens)).encode()
        self._request.write(
            b'id: %s\ndata: {%s,"choices":[{"index":0,%s,"token_ids":[%s],'
            b'"finish_reason":null}]}\n\n'
            % (
                str(upto).encode(),
                self._head,
                self._text % orjson.dumps(text),
                ids,
            )
        )

    def finish(self, reason: str, upto: EventId) -> None:
        """Write the last event and end the stream; the answer is complete."""
        self._request.write(
            b'id: %s\ndata: {%s,"choices":[{"index":0,%s,"token_ids":[],'
            b'"finish_reason":%s}],"usage":{"completion_tokens":%d}}\n\n'
            % (
                str(upto).encode(),
                self._head,
                self._text % b'""',
                orjson.dumps(reason),
                upto.position,
            )
            + _DONE
        )
        self._close()

    def refuse(self, refusal: Refusal) -> None:
        """Write an error event and end the stream."""
        self._request.write(_event("error", error_body(refusal)))
        self._close()

    def moved(self) -> None:
        """Another entry owns the answer now: have the reader follow it there."""
        if self.source_moved is not None:
            self.set_sending_right(None)
            self.source_moved()
        else:
            self.redirect_caller()

    def redirect_caller(self) -> None:
        """Tell the caller to reconnect, since another entry owns the answer.

        If unsent bytes are buffered, the connection is aborted instead.
        """
        if not self._connection.withdraw():
            self.over = True
            return
        self._request.write(_event("moved", {"come_back": True}))
        self._close()

    def _close(self) -> None:
        self.over = True
        self._request.unregisterProducer()
        self._request.finish()


class WholeAnswer(AnswerSink):
    """Collects an answer and passes its JSON body, or a `Refusal`, to ``done``."""

    def __init__(
        self,
        connection: GuardedConnection,
        request_id: str,
        model: str,
        chat: bool,
        done: Any,
    ) -> None:
        self._connection = connection
        self._request_id = request_id
        self._model = model
        self._chat = chat
        self._done = done
        self._tokens: list[int] = []
        self._texts: list[str] = []
        self.over = False
        self.held: EventId | None = None
        self.wake: Any = None
        self.source_moved: Any = None

    def set_sending_right(self, right: SendingRight | None) -> None:
        """Send the answer only while this right holds."""
        self._connection.guard(right)

    @property
    def full(self) -> bool:
        """Say whether the answer is over; an open one accepts all tokens."""
        return self.over

    def stored(self) -> None:
        """Do nothing: a JSON body has no place for progress."""

    def restart(self, generation: str) -> None:
        """Drop the collected tokens: a new generation starts."""
        self.held = None
        self._tokens.clear()
        self._texts.clear()

    def tokens(self, upto: EventId, tokens: list[int], text: str) -> None:
        """Collect tokens."""
        self.held = upto
        self._tokens += tokens
        self._texts.append(text)

    def finish(self, reason: str, upto: EventId) -> None:
        """Pass on the complete answer."""
        self.over = True
        text = "".join(self._texts)
        message = {"message": {"role": "assistant", "content": text}}
        choice = {
            "index": 0,
            **(message if self._chat else {"text": text}),
            "token_ids": self._tokens,
            "finish_reason": reason,
        }
        self._done(
            {
                "id": self._request_id,
                "object": "chat.completion" if self._chat else "text_completion",
                "model": self._model,
                "choices": [choice],
                "usage": {"completion_tokens": upto.position},
                "event_id": str(upto),
            }
        )

    def refuse(self, refusal: Refusal) -> None:
        """Pass on the refusal."""
        self.over = True
        self._done(refusal)

    def moved(self) -> None:
        """Another entry owns the answer now: have the reader follow it there."""
        if self.source_moved is not None:
            self.set_sending_right(None)
            self.source_moved()

    def redirect_caller(self) -> None:
        """Refuse with ``moved``: nothing was sent yet, so the caller can just retry."""
        if self._connection.withdraw():
            self.refuse(MOVED_REFUSAL)
        else:
            self.over = True

"""Answers as callers see them: server-sent events, or one JSON body."""

from typing import Any

import orjson

from coursekeel.answers import EventId, RunState
from coursekeel.entry.answers._sinks import AnswerSink, Refusal, SendingRight
from coursekeel.entry.http._common import error_body
from coursekeel.entry.http._guarded_connection import GuardedConnection, connection_of

__all__ = ["EventStream", "WholeAnswer"]

_DONE = b"data: [DONE]\n\n"


def _event(name: str, body: Any) -> bytes:
    return b"event: %s\ndata: %s\n\n" % (name.encode(), orjson.dumps(body))


class EventStream(AnswerSink):
    """Writes an answer as server-sent events.

    It is the connection's producer: while the caller's buffer is full it takes nothing
    and its place in the ledger is all that is kept for it.
    """

    def __init__(self, request: Any, request_id: str, model: str, chat: bool) -> None:
        self._request = request
        self._connection = connection_of(request)
        self._paused = False
        self.over = False
        self.held: EventId | None = None
        self.wake: Any = None
        self.source_moved: Any = None
        self._told_stored = False
        kind = b"chat.completion.chunk" if chat else b"text_completion"
        self._head = b'"id":%s,"object":"%s","model":%s' % (
            orjson.dumps(request_id),
            kind,
            orjson.dumps(model),
        )
        self._text = b'"delta":{"content":%s}' if chat else b'"text":%s'
        self._request_id = request_id

    def open(self) -> None:
        """Send the headers; from here on every word is an event."""
        request = self._request
        request.setHeader("content-type", "text/event-stream")
        request.setHeader("cache-control", "no-store")
        request.setHeader("x-request-id", self._request_id)
        request.registerProducer(self, True)
        request.write(b": open\n\n")

    def keep_alive(self) -> None:
        """Show that the entry lives."""
        if not self.full:
            self._request.write(b": alive\n\n")

    # The transport's side.

    def pauseProducing(self) -> None:
        """The caller's buffer is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """The caller's buffer has room."""
        self._paused = False
        if self.wake is not None:
            self.wake()

    def stopProducing(self) -> None:
        """The caller is gone."""
        self.over = True

    # The answer's side.

    def guard_by(self, right: SendingRight | None) -> None:
        """Let what is written leave only under this right."""
        self._connection.guard(right)

    @property
    def full(self) -> bool:
        """Say whether the caller is slow."""
        return self._paused or self.over

    def stored(self) -> None:
        """Tell that the request will be carried to its end."""
        if not self._told_stored:
            self._told_stored = True
            self._request.write(_event("stored", {}))

    def restart(self, generation: str) -> None:
        """Tell the caller to drop what it holds."""
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
        """Write the last event, which makes the answer whole."""
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
        """Write the final word."""
        self._request.write(_event("error", error_body(refusal)))
        self._close()

    def moved(self) -> None:
        """Look for the answer where it is now."""
        if self.source_moved is not None:
            self.guard_by(None)
            self.source_moved()
        else:
            self.come_back()

    def come_back(self) -> None:
        """Send the caller to another entry.

        If something waits to leave, the connection just ends: that says the same.
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
    """Collects an answer and gives it as one JSON body."""

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

    def guard_by(self, right: SendingRight | None) -> None:
        """Let the answer leave only under this right."""
        self._connection.guard(right)

    @property
    def full(self) -> bool:
        """Memory is bounded by the answer's own length."""
        return self.over

    def stored(self) -> None:
        """Nothing to tell before the end."""

    def restart(self, generation: str) -> None:
        """Drop what was collected."""
        self.held = None
        self._tokens.clear()
        self._texts.clear()

    def tokens(self, upto: EventId, tokens: list[int], text: str) -> None:
        """Collect tokens."""
        self.held = upto
        self._tokens += tokens
        self._texts.append(text)

    def finish(self, reason: str, upto: EventId) -> None:
        """Give the whole answer."""
        self.over = True
        text = "".join(self._texts)
        shown = {"message": {"role": "assistant", "content": text}}
        choice = {
            "index": 0,
            **(shown if self._chat else {"text": text}),
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
        """Give the final word."""
        self.over = True
        self._done(refusal)

    def moved(self) -> None:
        """Look for the answer where it is now."""
        if self.source_moved is not None:
            self.guard_by(None)
            self.source_moved()

    def come_back(self) -> None:
        """Nothing was given out yet, so the caller may simply ask again."""
        if self._connection.withdraw():
            self.refuse(Refusal("moved", "ask again", RunState.UNKNOWN, 500))
        else:
            self.over = True

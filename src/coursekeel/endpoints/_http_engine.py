"""Engines over HTTP: JSON requests, and streams of JSON lines."""

import logging
from http import HTTPStatus
from typing import Any

import orjson
from attrs import define, field
from twisted.internet import defer
from twisted.internet.error import ConnectError
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from coursekeel.answers import Loss, StreamHead
from coursekeel.endpoints._adapter import (
    EndpointStatus,
    EngineAdapter,
    EngineStream,
    GenerationOrder,
    OrderOutcome,
    StreamListener,
    Unreachable,
)
from coursekeel.endpoints._http_body import ChunkedBody
from coursekeel.endpoints._orders import Order
from coursekeel.fetch import (
    AnswerLost,
    DirectAgents,
    Fetcher,
    HttpReply,
    MaySend,
    NotReached,
)
from coursekeel.intents import ModelName
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor

__all__ = ["HttpEngine"]

# Longer texts are cut, to keep log lines short.
_MAX_FAULT_CHARACTERS = 200

# The response of an engine that checks epochs to an order with an old one.
_OLD_EPOCH = HTTPStatus.CONFLICT
# The longest line of a stream, which holds some tokens. It limits the memory that a
# broken engine can use here.
_LINE_LIMIT_BYTES = 1 << 20
_JSON = Headers({"content-type": ["application/json"]})


class _LineReader(LineOnlyReceiver):
    """Splits a response's body into lines for its stream."""

    delimiter = b"\n"
    MAX_LENGTH = _LINE_LIMIT_BYTES

    def __init__(self, stream: "_HttpStream") -> None:
        self._stream = stream

    def lineReceived(self, line: bytes) -> None:
        if line:
            self._stream.line(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        self._stream.lost(Loss.CUT)

    def connectionLost(self, reason: Any = None) -> None:
        clean = reason is not None and reason.check(ResponseDone)
        self._stream.lost(Loss.CLOSED_EARLY if clean else Loss.CUT)


class _HttpStream(EngineStream):
    def __init__(self, listener: StreamListener) -> None:
        self._listener = listener
        self._reader = _LineReader(self)
        self._request: defer.Deferred[Any] | None = None
        self._closed = False
        self._paused = False

    def start(self, request: "defer.Deferred[Any]") -> None:
        self._request = request
        request.addCallbacks(self._on_response, self._on_failure)

    def _on_response(self, response: Any) -> None:
        self._request = None
        if self._closed:
            response.deliverBody(_Discard())
            return
        if response.code != HTTPStatus.OK:
            response.deliverBody(_Discard())
            self.lost(Loss.REFUSED)
            return
        response.deliverBody(self._reader)
        if self._paused:
            self.pause()

    def _on_failure(self, failure: Failure) -> None:
        self._request = None
        self.lost(Loss.NOT_SENT if failure.check(ConnectError) else Loss.GONE)

    def line(self, line: bytes) -> None:
        if self._closed:
            return
        try:
            message = orjson.loads(line)
            self._dispatch(message)
        except (ValueError, KeyError, TypeError):
            # After an invalid line the position is unsure; the stream is opened again.
            self.lost(Loss.CUT)

    def _dispatch(self, message: dict[str, Any]) -> None:
        tokens = message.get("t")
        if tokens is not None:
            self._listener.tokens(message["r"], message["p"], tokens, message["s"])
        elif "head" in message:
            self._listener.head(_head(message["head"]))
        else:
            self._listener.finish(message["r"], message["p"], message["finish"])

    def lost(self, loss: Loss) -> None:
        if not self._closed:
            self._closed = True
            self._disconnect()
            self._listener.ended(loss)

    def pause(self) -> None:
        self._paused = True
        transport: Any = self._reader.transport
        if transport is not None:
            transport.pauseProducing()

    def resume(self) -> None:
        self._paused = False
        transport: Any = self._reader.transport
        if transport is not None:
            transport.resumeProducing()

    def close(self) -> None:
        self._closed = True
        self._disconnect()

    def _disconnect(self) -> None:
        if self._request is not None:
            self._request.cancel()
        elif self._reader.transport is not None:
            transport: Any = self._reader.transport
            transport.loseConnection()


class _Discard(LineOnlyReceiver):
    """Closes the connection of a response whose body is not needed."""

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        return


def _head(raw: dict[str, Any]) -> StreamHead:
    return StreamHead(
        run_id=raw["run_id"],
        label=raw["for"],
        model=raw["model"],
        adapter=raw["adapter"],
        version=raw["version"],
        incarnation=raw["incarnation"],
        from_position=raw["from"],
    )


@define(eq=False)
class HttpEngine(EngineAdapter):
    """An engine or the control interface of a plain service.

    ``address`` is host and port; ``timeout_ms`` bounds each call except streams.
    """

    reactor: Reactor
    address: str
    connect_ms: int
    timeout_ms: int
    _stream_agents: DirectAgents = field(init=False)
    _fetcher: Fetcher = field(init=False)
    _unpooled_fetcher: Fetcher = field(init=False)

    def __attrs_post_init__(self) -> None:
        # Each stream closes its connection, so none is kept for reuse.
        self._stream_agents = DirectAgents(
            self.reactor, self.connect_ms, keeps_connections=False
        )
        self._fetcher = Fetcher(self.reactor, self.connect_ms)
        self._unpooled_fetcher = Fetcher(
            self.reactor, self.connect_ms, keeps_connections=False
        )

    def open(self, order: GenerationOrder, listener: StreamListener) -> EngineStream:
        """Start a run and stream it to the listener."""
        stream = _HttpStream(listener)
        body = ChunkedBody(_run_body(order))
        agent = self._stream_agents.agent(order.may_send)
        stream.start(agent.request(b"POST", self._url("/generate"), _JSON, body))
        return stream

    def reattach(
        self, run_id: str, position: int, listener: StreamListener
    ) -> EngineStream:
        """Stream a run that the engine already has, from token ``position`` on."""
        stream = _HttpStream(listener)
        url = self._url(f"/streams/{run_id}?from={position}")
        stream.start(self._stream_agents.agent().request(b"GET", url))
        return stream

    async def stop(self, run_id: str) -> None:
        """Request that the engine stop a run."""
        await self._call("DELETE", f"/streams/{run_id}", None)

    async def status(
        self, new_connection: bool = False
    ) -> EndpointStatus | Unreachable:
        """Query the endpoint's status; ``new_connection`` opens a new connection."""
        fetcher = self._unpooled_fetcher if new_connection else self._fetcher
        reply = await self._call("GET", "/status", None, fetcher=fetcher)
        if isinstance(reply, Unreachable):
            return reply
        try:
            return _status(orjson.loads(reply.body))
        except (ArithmeticError, KeyError, TypeError, ValueError) as failure:
            fault = f"{type(failure).__name__}: {failure}"[:_MAX_FAULT_CHARACTERS]
            log_event(
                "status_unreadable", logging.WARNING, fault=fault, at=self.address
            )
            return Unreachable(False, "unreadable status")

    async def give(self, order: Order, epoch: int, may_send: MaySend) -> OrderOutcome:
        """Send an order with the epoch of the group's lease."""
        body: dict[str, Any] = {
            "order": order.kind.value,
            "group": order.group,
            "epoch": epoch,
            "role": order.role,
        }
        if order.serves is not None:
            serves = order.serves
            body["serves"] = [serves.model, serves.adapter, serves.version]
        reply = await self._call("POST", "/orders", orjson.dumps(body), may_send)
        if isinstance(reply, Unreachable):
            return OrderOutcome.NOT_SENT if reply.refused else OrderOutcome.UNSURE
        if reply.status == _OLD_EPOCH:
            return OrderOutcome.OLD_EPOCH
        return (
            OrderOutcome.OBEYED
            if reply.status == HTTPStatus.OK
            else OrderOutcome.UNSURE
        )

    async def _call(
        self,
        method: str,
        path: str,
        data: bytes | None,
        may_send: MaySend | None = None,
        fetcher: Fetcher | None = None,
    ) -> HttpReply | Unreachable:
        url = f"http://{self.address}{path}"
        outcome = await (fetcher or self._fetcher).ask(
            method, url, self.timeout_ms, data, may_send=may_send
        )
        match outcome:
            case HttpReply():
                return outcome
            case NotReached():
                return Unreachable(True, outcome.reason)
            case AnswerLost():
                return Unreachable(False, outcome.reason)

    def _url(self, path: str) -> bytes:
        return f"http://{self.address}{path}".encode()


def _run_body(order: GenerationOrder) -> list[bytes]:
    """The request that starts a run: JSON around the caller's request body."""
    envelope = {
        "for": order.label,
        "model": order.serves.model,
        "adapter": order.serves.adapter,
        "version": order.serves.version,
        "prompt_tokens": order.prompt_tokens,
        "prefix_tokens": order.prefix_tokens,
        "priority": order.priority,
        "cache_salt": order.cache_salt,
        "copy_to": order.copy_to,
        "copy_of": order.copy_of,
    }
    head = orjson.dumps(envelope)[:-1] + b',"request":'
    return [head, order.request, b"}"]


def _count(raw: dict[str, Any], name: str) -> int:
    count = raw[name]
    if type(count) is not int or count < 0:
        raise ValueError(f"{name}: got {count!r:.40}, expected a count")
    return count


def _status(raw: dict[str, Any]) -> EndpointStatus:
    return EndpointStatus(
        incarnation=str(raw["incarnation"]),
        leaving=bool(raw["leaving"]),
        running=_count(raw, "running"),
        queued=_count(raw, "queued"),
        slots=_count(raw, "slots"),
        serves=tuple(ModelName(*name) for name in raw["models"]),
        role=str(raw.get("role", "")),
    )

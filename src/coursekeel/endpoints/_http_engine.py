"""Engines met over HTTP: JSON requests, streams of JSON lines."""

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
from coursekeel.reactor import Reactor

__all__ = ["HttpEngine"]

# An engine that checks epochs refuses an order under an old one so.
_OLD_EPOCH = HTTPStatus.CONFLICT
# The longest line of an engine's stream; a line is some tokens. It bounds what a broken
# engine can make this process hold.
_LINE_LIMIT_BYTES = 1 << 20
_JSON = Headers({"content-type": ["application/json"]})


class _Lines(LineOnlyReceiver):
    """Turns a response's body into the listener's calls."""

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
        self._lines = _Lines(self)
        self._request: defer.Deferred[Any] | None = None
        self._over = False
        self._paused = False

    def start(self, request: "defer.Deferred[Any]") -> None:
        self._request = request
        request.addCallbacks(self._answered, self._failed)

    def _answered(self, response: Any) -> None:
        self._request = None
        if self._over:
            response.deliverBody(_Discard())
            return
        if response.code != HTTPStatus.OK:
            response.deliverBody(_Discard())
            self.lost(Loss.REFUSED)
            return
        response.deliverBody(self._lines)
        if self._paused:
            self.pause()

    def _failed(self, failure: Failure) -> None:
        self._request = None
        self.lost(Loss.NOT_SENT if failure.check(ConnectError) else Loss.GONE)

    def line(self, line: bytes) -> None:
        if self._over:
            return
        try:
            said = orjson.loads(line)
            self._say(said)
        except (ValueError, KeyError, TypeError):
            # What can't be read can't be counted on; reading again sorts it out.
            self.lost(Loss.CUT)

    def _say(self, said: dict[str, Any]) -> None:
        tokens = said.get("t")
        if tokens is not None:
            self._listener.tokens(said["r"], said["p"], tokens, said["s"])
        elif "head" in said:
            self._listener.head(_head(said["head"]))
        else:
            self._listener.finish(said["r"], said["p"], said["finish"])

    def lost(self, loss: Loss) -> None:
        if not self._over:
            self._over = True
            self._shut()
            self._listener.ended(loss)

    def pause(self) -> None:
        self._paused = True
        transport: Any = self._lines.transport
        if transport is not None:
            transport.pauseProducing()

    def resume(self) -> None:
        self._paused = False
        transport: Any = self._lines.transport
        if transport is not None:
            transport.resumeProducing()

    def close(self) -> None:
        self._over = True
        self._shut()

    def _shut(self) -> None:
        if self._request is not None:
            self._request.cancel()
        elif self._lines.transport is not None:
            transport: Any = self._lines.transport
            transport.loseConnection()


class _Discard(LineOnlyReceiver):
    """Closes a connection whose body nobody wants."""

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
    """An engine, or a plain service's control side, at ``address`` (host:port)."""

    reactor: Reactor
    address: str
    connect_ms: int
    timeout_ms: int
    _streams: DirectAgents = field(init=False)
    _fetcher: Fetcher = field(init=False)
    _fresh: Fetcher = field(init=False)

    def __attrs_post_init__(self) -> None:
        # A stream closes its connection, so none is kept for reuse.
        self._streams = DirectAgents(
            self.reactor, self.connect_ms, keeps_connections=False
        )
        self._fetcher = Fetcher(self.reactor, self.connect_ms)
        self._fresh = Fetcher(self.reactor, self.connect_ms, keeps_connections=False)

    def open(self, order: GenerationOrder, listener: StreamListener) -> EngineStream:
        """Ask for a run."""
        stream = _HttpStream(listener)
        body = ChunkedBody(_chunks(order))
        agent = self._streams.agent(order.may_send)
        stream.start(agent.request(b"POST", self._url("/generate"), _JSON, body))
        return stream

    def take_up(
        self, run_id: str, position: int, listener: StreamListener
    ) -> EngineStream:
        """Read a run that the engine has, from ``position`` on."""
        stream = _HttpStream(listener)
        url = self._url(f"/streams/{run_id}?from={position}")
        stream.start(self._streams.agent().request(b"GET", url))
        return stream

    async def stop(self, run_id: str) -> None:
        """Tell the engine to stop a run."""
        await self._ask("DELETE", f"/streams/{run_id}", None)

    async def status(self, anew: bool = False) -> EndpointStatus | Unreachable:
        """Ask the endpoint for its word."""
        fetcher = self._fresh if anew else self._fetcher
        answer = await self._ask("GET", "/status", None, fetcher=fetcher)
        if isinstance(answer, Unreachable):
            return answer
        return _status(orjson.loads(answer.body))

    async def give(self, order: Order, epoch: int, may_give: MaySend) -> OrderOutcome:
        """Give an order under the lease's epoch."""
        body: dict[str, Any] = {
            "order": order.kind.value,
            "group": order.group,
            "epoch": epoch,
            "role": order.role,
        }
        if order.serves is not None:
            serves = order.serves
            body["serves"] = [serves.model, serves.adapter, serves.version]
        answer = await self._ask("POST", "/orders", orjson.dumps(body), may_give)
        if isinstance(answer, Unreachable):
            return OrderOutcome.NOT_SENT if answer.refused else OrderOutcome.UNSURE
        if answer.status == _OLD_EPOCH:
            return OrderOutcome.OLD_EPOCH
        return (
            OrderOutcome.OBEYED
            if answer.status == HTTPStatus.OK
            else OrderOutcome.UNSURE
        )

    async def _ask(
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


def _chunks(order: GenerationOrder) -> list[bytes]:
    """The envelope around the caller's request, which is not copied."""
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


def _status(raw: dict[str, Any]) -> EndpointStatus:
    return EndpointStatus(
        incarnation=str(raw["incarnation"]),
        leaving=bool(raw["leaving"]),
        running=int(raw["running"]),
        queued=int(raw["queued"]),
        slots=int(raw["slots"]),
        serves=tuple(ModelName(*each) for each in raw["models"]),
        role=str(raw.get("role", "")),
    )

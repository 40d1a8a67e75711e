"""The task that owns the gRPC server and the channels to other entries."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpc
import orjson
from attrs import define, field
from twisted.internet.defer import Deferred

from coursekeel.endpoints import LeavingMark
from coursekeel.intents import Configuration
from coursekeel.membership import Greeting, Isolation, PeerBook
from coursekeel.observe import log_event
from coursekeel.peers import peer_pb2, peer_pb2_grpc
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic

__all__ = ["FollowServer", "PeerRequestFailed", "PeersTask", "SuspectServer"]

# A peer that doesn't reply within this time is skipped in this round. Equal to the
# default interval of greetings.
_GREETING_TIMEOUT_S = 1.0
# Limit of a message; the largest is a configuration at the size of docs/CAPACITY.md.
_BODY_LIMIT_BYTES = 32 << 20
# Shortest interval of pings that a server accepts; channels ping half as often.
_MIN_PING_INTERVAL_MS = 1_000
# How often a reader whose buffer is full is checked for room.
_ROOM_CHECK_S = 0.02
_CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", _BODY_LIMIT_BYTES),
    ("grpc.keepalive_time_ms", 2 * _MIN_PING_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", 2 * _MIN_PING_INTERVAL_MS),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.enable_http_proxy", 0),
]
_SERVER_OPTIONS = [
    ("grpc.max_receive_message_length", _BODY_LIMIT_BYTES),
    ("grpc.http2.min_ping_interval_without_data_ms", _MIN_PING_INTERVAL_MS),
    ("grpc.so_reuseport", 0),
]

FollowServer = Callable[[peer_pb2.FollowRequest], AsyncIterator[peer_pb2.FollowReply]]
SuspectServer = Callable[[peer_pb2.SuspectNews], peer_pb2.SuspectNews]


@define(frozen=True)
class PeerRequestFailed:
    """A request to a peer failed; ``refused`` if its address refused the connection."""

    refused: bool
    reason: str


def as_deferred(work: Awaitable[Any]) -> "Deferred[Any]":
    """Run an asyncio coroutine on the reactor's loop."""
    return Deferred.fromFuture(asyncio.ensure_future(work))


@define(eq=False)
class PeersTask(peer_pb2_grpc.PeerServicer):
    """Exchanges greetings with peers, reads their configuration, relays answers.

    ``make_greeting`` builds this entry's greeting, ``on_greeting`` gets each one
    received, ``follow_server`` and ``suspect_server`` serve the peers' requests.
    """

    reactor: Reactor
    clock: Clock
    book: PeerBook
    isolation: Isolation
    interval_ms: float
    make_greeting: Callable[[], Greeting]
    on_greeting: Callable[[Greeting], None]
    configuration: Callable[[], Configuration]
    follow_server: FollowServer
    suspect_server: SuspectServer
    sent_bytes: int = 0
    received_bytes: int = 0
    port: int = 0
    _server: Any = None
    _stopped: bool = False
    _channels: dict[str, tuple[str, Any]] = field(factory=dict)
    _loop: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._loop = Periodic(self.reactor, "greeting", self.interval_ms, self._round)

    async def listen(self, host: str, port: int) -> int:
        """Open the gRPC server; returns its port, which the kernel chooses for 0."""
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(self, self._server)
        self.port = self._server.add_insecure_port(f"{host}:{port}")
        await as_deferred(self._server.start())
        return self.port

    def start(self) -> None:
        """Start greeting peers periodically."""
        self._loop.start()

    async def stop(self) -> None:
        """Close the server and all channels; open requests are cut."""
        self._stopped = True
        self._loop.stop()
        for _, channel in self._channels.values():
            await as_deferred(channel.close())
        if self._server is not None:
            await as_deferred(self._server.stop(0))

    # Serving.

    async def Greet(self, request: Any, context: Any) -> Any:
        """Reply to a greeting with this entry's own."""
        self.received_bytes += request.ByteSize()
        self._greeting_received(_from_message(request))
        reply = _to_message(self.make_greeting())
        self.sent_bytes += reply.ByteSize()
        return reply

    async def ReadConfiguration(self, request: Any, context: Any) -> Any:
        """Return the configuration that is applied here."""
        current = self.configuration()
        body = orjson.dumps(current.to_json())
        return peer_pb2.ConfigurationReply(revision=current.revision, body=body)

    async def TellSuspects(self, request: Any, context: Any) -> Any:
        """Merge a peer's records of suspect requests; reply with those it asks for."""
        return self.suspect_server(request)

    async def Follow(self, request: Any, context: Any) -> Any:
        """Stream an answer that this entry owns to a peer."""
        async for reply in self.follow_server(request):
            yield reply

    # Greetings.

    async def _round(self) -> None:
        for instance_id in self.book.peers_to_greet():
            await self.greet(instance_id)

    async def greet_all(self, names: list[str]) -> None:
        """Greet these peers now, concurrently."""
        greetings = [as_deferred(self._greet(name)) for name in names]
        for greeting in greetings:
            await greeting

    async def greet(self, instance_id: str) -> None:
        """Greet one peer now."""
        await as_deferred(self._greet(instance_id))

    async def _greet(self, instance_id: str) -> None:
        stub = self._stub(instance_id)
        if stub is None:
            return
        message = _to_message(self.make_greeting())
        self.sent_bytes += message.ByteSize()
        request_ms = self.clock.now_ms()
        try:
            reply = await stub.Greet(message, timeout=_GREETING_TIMEOUT_S)
        except grpc.aio.AioRpcError as failure:
            if _is_refusal(failure):
                self.book.record_refused_connection(instance_id)
            return
        except asyncio.CancelledError:
            if not self._stopped:
                raise
            # Closing a channel cancels its calls; a stopping entry ignores that.
            return
        self.received_bytes += reply.ByteSize()
        self.isolation.record_response(request_ms)
        self._greeting_received(_from_message(reply))

    def _greeting_received(self, greeting: Greeting) -> None:
        self.book.record_greeting(greeting)
        self.on_greeting(greeting)

    # Requests to peers.

    async def send_suspects(self, instance_id: str, news: Any) -> Any:
        """Send a peer suspect records; returns its reply, None if the call failed."""
        return await as_deferred(self._tell_suspects(instance_id, news))

    async def _tell_suspects(self, instance_id: str, news: Any) -> Any:
        stub = self._stub(instance_id)
        if stub is None:
            return None
        try:
            return await stub.TellSuspects(news, timeout=_GREETING_TIMEOUT_S)
        except grpc.aio.AioRpcError as failure:
            log_event("suspects_untold", peer=instance_id, reason=failure.code().name)
            return None
        except asyncio.CancelledError:
            if not self._stopped:
                raise
            return None

    async def read_highest(self) -> Configuration | None:
        """The configuration of the highest revision among the reachable peers."""
        newest: Configuration | None = None
        unread = 0
        for instance_id in self.book.names:
            current = await as_deferred(self._read_configuration(instance_id))
            unread += current is None
            if current is not None and (
                newest is None or current.revision > newest.revision
            ):
                newest = current
        if unread:
            # One line for all peers, since there may be hundreds.
            log_event(
                "peers_unread",
                unread=unread,
                peers=len(self.book.names),
                without_address=len(self.book.without_address),
            )
        return newest

    async def _read_configuration(self, instance_id: str) -> Configuration | None:
        """A peer's configuration; None if it has none or the call failed."""
        stub = self._stub(instance_id)
        if stub is None:
            return None
        request_ms = self.clock.now_ms()
        try:
            reply = await stub.ReadConfiguration(
                peer_pb2.ConfigurationRequest(), timeout=_GREETING_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            return None
        except asyncio.CancelledError:
            if not self._stopped:
                raise
            return None
        self.isolation.record_response(request_ms)
        if not reply.revision:
            return None
        return Configuration.from_json(orjson.loads(reply.body))

    async def follow(
        self,
        instance_id: str,
        request: Any,
        took: Callable[[Any], bool],
        has_room: Callable[[], bool],
    ) -> PeerRequestFailed | None:
        """Follow an answer at a peer; returns why it failed, None at a normal end.

        ``took`` handles each reply and returns whether to go on. Nothing is read while
        ``has_room`` returns False, so that HTTP/2 flow control slows the peer down and
        this entry's memory stays bounded.
        """
        refused: PeerRequestFailed | None = await as_deferred(
            self._follow(instance_id, request, took, has_room)
        )
        return refused

    async def _follow(
        self,
        instance_id: str,
        request: Any,
        took: Callable[[Any], bool],
        has_room: Callable[[], bool],
    ) -> PeerRequestFailed | None:
        stub = self._stub(instance_id)
        if stub is None:
            return PeerRequestFailed(False, "the peer's address isn't known")
        call = stub.Follow(request)
        try:
            async for reply in call:
                if not took(reply):
                    call.cancel()
                    return None
                while not has_room():
                    await asyncio.sleep(_ROOM_CHECK_S)
        except grpc.aio.AioRpcError as failure:
            return PeerRequestFailed(_is_refusal(failure), str(failure.details()))
        except asyncio.CancelledError:
            return None
        return None

    def _stub(self, instance_id: str) -> Any:
        """The gRPC stub of a peer; None if its address is unknown or after `stop`."""
        address = self.book.address(instance_id)
        if self._stopped or not address:
            return None
        entry = self._channels.get(instance_id)
        if entry is None or entry[0] != address:
            channel = grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
            entry = self._channels[instance_id] = (address, channel)
            log_event("peer_channel", peer=instance_id, address=address)
        return peer_pb2_grpc.PeerStub(entry[1])


def _is_refusal(failure: grpc.aio.AioRpcError) -> bool:
    if failure.code() is not grpc.StatusCode.UNAVAILABLE:
        return False
    return "refused" in str(failure.details()).lower()


def _to_message(greeting: Greeting) -> Any:
    return peer_pb2.Greeting(
        instance_id=greeting.instance_id,
        incarnation=greeting.incarnation,
        seen_revision=greeting.seen_revision,
        applied_revision=greeting.applied_revision,
        leaving=greeting.leaving,
        marks=[
            peer_pb2.LeavingMark(endpoint_id=m.endpoint_id, incarnation=m.incarnation)
            for m in greeting.marks
        ],
        suspects_digest=greeting.suspects_digest,
        address=greeting.address,
    )


def _from_message(message: Any) -> Greeting:
    return Greeting(
        message.instance_id,
        message.incarnation,
        message.seen_revision,
        message.applied_revision,
        message.leaving,
        tuple(LeavingMark(m.endpoint_id, m.incarnation) for m in message.marks),
        message.suspects_digest,
        message.address,
    )

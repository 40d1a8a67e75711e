"""Relaying between entries: one sends its caller the answer that another owns.

The owner checks its lease as it sends each reply, and sends the remaining lease time.
The relaying entry drops a reply that arrives later than that after the previous reply:
the owner may have been paused between its check and its send, and another entry may
have taken the answer over meanwhile.
"""

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from typing import Any

from attrs import define, field

from coursekeel.answers import EventId, RunState
from coursekeel.entry.answers._answer_task import AnswerTask
from coursekeel.entry.answers._follower import Follower
from coursekeel.entry.answers._sinks import (
    HELD_OUTPUT_POLL_S,
    AnswerSink,
    Refusal,
    SendingRight,
)
from coursekeel.peers import peer_pb2

__all__ = [
    "RelayFreshness",
    "RelaySink",
    "held_event_id",
    "pass_reply",
    "relay_request",
    "serve_follow",
]

# Replies queued for a slow reader before the follower pauses.
_MAX_QUEUED_REPLIES = 64


class RelaySink(AnswerSink):
    """Queues an answer as replies to a peer; is `full` while the peer is slow."""

    def __init__(self) -> None:
        self._replies: asyncio.Queue[Any] = asyncio.Queue()
        self._over = False

    def set_sending_right(self, right: SendingRight | None) -> None:
        """Do nothing: `serve_follow` checks the lease as it sends each reply."""

    @property
    def full(self) -> bool:
        """Whether the queue is full or the stream is over."""
        return self._over or self._replies.qsize() >= _MAX_QUEUED_REPLIES

    def stored(self) -> None:
        """Send that the request is stored."""
        self._put(stored=True)

    def restart(self, generation: str) -> None:
        """Send that another generation starts."""
        self._put(restart=True, generation=generation)

    def tokens(self, upto: EventId, tokens: list[int], text: str) -> None:
        """Send tokens."""
        self._put(
            generation=upto.generation,
            position=upto.position,
            digest=upto.digest,
            tokens=tokens,
            text=text,
        )

    def finish(self, reason: str, upto: EventId) -> None:
        """Send the finish reason."""
        self._put(
            finish_reason=reason,
            generation=upto.generation,
            position=upto.position,
            digest=upto.digest,
        )
        self._over = True

    def refuse(self, refusal: Refusal) -> None:
        """Send the refusal."""
        self._put(
            error_code=refusal.code,
            text=refusal.message,
            run=refusal.run.value,
            retry_after_ms=refusal.retry_after_ms,
            held_tokens=refusal.held_tokens,
        )
        self._over = True

    def redirect_caller(self) -> None:
        """Make the peer look up the answer's owner again for its reader."""
        self.moved()

    def moved(self) -> None:
        """Send that this entry no longer owns the answer."""
        self._put(moved=True)
        self._over = True

    def _put(self, **fields: Any) -> None:
        self._replies.put_nowait(peer_pb2.FollowReply(found=True, **fields))

    @property
    def drained(self) -> bool:
        """Whether the last reply has been taken from the queue."""
        return self._over and self._replies.empty()

    async def next_reply(self) -> Any:
        """Wait for the next reply to send."""
        return await self._replies.get()


def held_event_id(request: Any) -> EventId | None:
    """The reader's last event id in a follow request, or None."""
    if not request.generation:
        return None
    return EventId(request.generation, request.position, request.digest)


def relay_request(team: str, request_id: str, held: EventId | None) -> Any:
    """Build a request to follow an answer after the event id ``held``."""
    request = peer_pb2.FollowRequest(team=team, request_id=request_id)
    if held is not None:
        request.generation = held.generation
        request.position = held.position
        request.digest = held.digest
    return request


async def serve_follow(
    request: Any, find: Callable[[str, str], AnswerTask | None]
) -> AsyncIterator[Any]:
    """Yield the replies to a follow request; ``find`` looks up local answers."""
    task = find(request.team, request.request_id)
    if task is None or task.gone:
        yield peer_pb2.FollowReply(found=False)
        return
    yield peer_pb2.FollowReply(found=True)
    sink = RelaySink()
    follower = Follower(task, sink, held_event_id(request))
    task.follow(follower)
    try:
        while not sink.drained:
            reply = await _wait_until_sendable(await sink.next_reply(), task)
            yield reply
            if reply.moved:
                return
            follower.wake()
    finally:
        follower.over = True
        task.remove_follower(follower)


async def _wait_until_sendable(reply: Any, right: SendingRight) -> Any:
    """Wait until the reply may be sent; return "moved" if it never may be."""
    while not right.gone:
        lease_left_ms = right.right_left_ms()
        if lease_left_ms > 0:
            reply.right_ms = (
                0 if math.isinf(lease_left_ms) else math.ceil(lease_left_ms)
            )
            return reply
        await asyncio.sleep(HELD_OUTPUT_POLL_S)
    return peer_pb2.FollowReply(found=True, moved=True)


@define
class RelayFreshness:
    """Checks by arrival times that an owner's replies were sent under its lease.

    ``requested_ms`` is the time of the request. The owner checks its lease for a reply
    after it sent the previous one. So if both arrive within the lease time that the
    second states, the lease was valid on its arrival; the margin that successors wait
    covers the network delay of the first.
    """

    requested_ms: float
    _last_reply_ms: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._last_reply_ms = self.requested_ms

    def accepts(self, reply: Any, now_ms: float) -> bool:
        """Whether a reply that arrives now may be sent to the caller."""
        since_last_ms, self._last_reply_ms = now_ms - self._last_reply_ms, now_ms
        return not reply.right_ms or since_last_ms < reply.right_ms


def pass_reply(reply: Any, sink: AnswerSink) -> bool:
    """Pass a peer's reply to a sink; return False if it is the last one."""
    if reply.stored:
        sink.stored()
    if reply.restart:
        sink.restart(reply.generation)
    upto = EventId(reply.generation, reply.position, reply.digest)
    if reply.tokens:
        sink.tokens(upto, list(reply.tokens), reply.text)
    if reply.finish_reason:
        sink.finish(reply.finish_reason, upto)
        return False
    if reply.error_code:
        sink.refuse(
            Refusal(
                reply.error_code,
                reply.text,
                RunState(reply.run),
                reply.retry_after_ms,
                reply.held_tokens,
            )
        )
        return False
    return not reply.moved

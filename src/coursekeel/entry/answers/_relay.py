"""Answers between entries: one relays to its caller what another drives.

The owner looks whether it may still speak as each reply goes, and says how long it may.
The relaying entry passes a reply on only if it comes within that time of the reply
before: between its look and its send the owner may have been paused, and the answer may
be another's by now. Guards against: a relay passed a token of the former owner on in 2
of 2 plays of `test_a_token_under_way_to_a_relay_…`.
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
    HELD_LOOK_S,
    AnswerSink,
    Refusal,
    SendingRight,
)
from coursekeel.peers import peer_pb2

__all__ = [
    "RelayFreshness",
    "RelaySink",
    "held_in",
    "relay_request",
    "serve_follow",
    "take_reply",
]

# Replies held for a slow reader before its peer is held up.
_MOST_WAITING = 64


class RelaySink(AnswerSink):
    """Turns an answer into replies to the peer; a slow peer holds nothing but 64."""

    def __init__(self) -> None:
        self._replies: asyncio.Queue[Any] = asyncio.Queue()
        self._over = False

    def guard_by(self, right: SendingRight | None) -> None:
        """Nothing to do: each reply is looked at again when it goes."""

    @property
    def full(self) -> bool:
        """Say whether the peer is slow."""
        return self._over or self._replies.qsize() >= _MOST_WAITING

    def stored(self) -> None:
        """Tell that the request is safe."""
        self._put(stored=True)

    def restart(self, generation: str) -> None:
        """Tell that another generation starts."""
        self._put(restart=True, generation=generation)

    def tokens(self, upto: EventId, tokens: list[int], text: str) -> None:
        """Pass tokens on."""
        self._put(
            generation=upto.generation,
            position=upto.position,
            digest=upto.digest,
            tokens=tokens,
            text=text,
        )

    def finish(self, reason: str, upto: EventId) -> None:
        """Pass the end on."""
        self._put(
            finish_reason=reason,
            generation=upto.generation,
            position=upto.position,
            digest=upto.digest,
        )
        self._over = True

    def refuse(self, refusal: Refusal) -> None:
        """Pass the final word on."""
        self._put(
            error_code=refusal.code,
            text=refusal.message,
            run=refusal.run.value,
            retry_after_ms=refusal.retry_after_ms,
            held_tokens=refusal.held_tokens,
        )
        self._over = True

    def come_back(self) -> None:
        """The peer asks the table again on its reader's behalf."""
        self.moved()

    def moved(self) -> None:
        """Tell that this entry no longer drives the answer."""
        self._put(moved=True)
        self._over = True

    def _put(self, **fields: Any) -> None:
        self._replies.put_nowait(peer_pb2.FollowReply(found=True, **fields))

    @property
    def drained(self) -> bool:
        """Say whether everything was passed on and nothing will come."""
        return self._over and self._replies.empty()

    async def next_reply(self) -> Any:
        """The next reply to pass on."""
        return await self._replies.get()


def held_in(request: Any) -> EventId | None:
    """What the reader holds, as the request says it."""
    if not request.generation:
        return None
    return EventId(request.generation, request.position, request.digest)


def relay_request(team: str, request_id: str, held: EventId | None) -> Any:
    """A request to follow an answer from what the reader holds."""
    request = peer_pb2.FollowRequest(team=team, request_id=request_id)
    if held is not None:
        request.generation = held.generation
        request.position = held.position
        request.digest = held.digest
    return request


async def serve_follow(
    request: Any, find: Callable[[str, str], AnswerTask | None]
) -> AsyncIterator[Any]:
    """The replies to one follow request."""
    task = find(request.team, request.request_id)
    if task is None or task.gone:
        yield peer_pb2.FollowReply(found=False)
        return
    yield peer_pb2.FollowReply(found=True)
    sink = RelaySink()
    follower = Follower(task, sink, held_in(request))
    task.follow(follower)
    try:
        while not sink.drained:
            reply = await _vouched_for(await sink.next_reply(), task)
            yield reply
            if reply.moved:
                return
            follower.wake()
    finally:
        follower.over = True
        task.left(follower)


async def _vouched_for(reply: Any, right: SendingRight) -> Any:
    """The reply, once this entry may speak; if it never may again, that instead."""
    while not right.gone:
        left_ms = right.right_left_ms()
        if left_ms > 0:
            reply.right_ms = 0 if math.isinf(left_ms) else math.ceil(left_ms)
            return reply
        await asyncio.sleep(HELD_LOOK_S)
    return peer_pb2.FollowReply(found=True, moved=True)


@define
class RelayFreshness:
    """Judges an owner's replies by when they come; ``asked_ms`` is when it was asked.

    A reply was looked at after the one before it had been sent. So if both come within
    the right's time, the right stood when the second came; what the first needed on the
    network is covered by the margin that successors wait.
    """

    asked_ms: float
    _heard_ms: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._heard_ms = self.asked_ms

    def vouches_for(self, reply: Any, now_ms: float) -> bool:
        """Say whether a reply that comes now may be passed on."""
        silent_ms, self._heard_ms = now_ms - self._heard_ms, now_ms
        return not reply.right_ms or silent_ms < reply.right_ms


def take_reply(reply: Any, sink: AnswerSink) -> bool:
    """Give a peer's reply to a sink; False once nothing more is to come."""
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

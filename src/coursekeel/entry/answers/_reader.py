"""Finds the owner of an answer for a caller, again whenever the owner changes."""

import logging
from enum import Enum
from typing import Any, Protocol

from attrs import define, field
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from coursekeel.answers import AnswerRecord, EventId, RecordState, RunState, digest_of
from coursekeel.entry.answers._adoption_task import AdoptionTask
from coursekeel.entry.answers._answer_registry import AnswerRegistry
from coursekeel.entry.answers._answer_task import AnswerTask
from coursekeel.entry.answers._follower import Follower
from coursekeel.entry.answers._relay import RelayFreshness, relay_request, take_reply
from coursekeel.entry.answers._sinks import AnswerSink, Refusal
from coursekeel.entry.control._peers_task import PeersTask
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock
from coursekeel.storage import Unavailable

__all__ = ["AnswerReader", "CallerSink", "ReaderPorts", "instance_of"]

# Delay between two lookups of an answer's owner.
_LOOK_AGAIN_S = 0.1
# The owner is looked up again if its first reply takes longer: it may be paused.
_FIRST_REPLY_S = 1.5


class CallerSink(Protocol):
    """A sink whose reader is a caller; ``held`` is the caller's last event id.

    The reader sets the callbacks ``wake`` and ``source_moved``.
    """

    over: bool
    held: EventId | None
    wake: Any
    source_moved: Any


class _Found(Enum):
    SERVED = "served"
    LOOK_AGAIN = "look_again"
    ABSENT = "absent"


@define(eq=False)
class ReaderPorts:
    """Dependencies of readers, provided by their entry."""

    reactor: Reactor
    clock: Clock
    registry: AnswerRegistry
    peers: PeersTask
    adoption: AdoptionTask
    instance_id: str
    patience_ms: float


def instance_of(incarnation: str) -> str:
    """The instance id that an incarnation's or generation's name begins with."""
    return incarnation.partition("~")[0]


@define(eq=False)
class AnswerReader:
    """Sends one answer to one caller, from whichever entry owns it."""

    ports: ReaderPorts
    team: str
    request_id: str
    sink: Any
    _follower: Follower[AnswerTask] | None = None
    _moved: "Deferred[None] | None" = field(default=None)

    async def read(self) -> bool:
        """Send the answer to its end; return False if there is no such answer."""
        give_up_ms = self.ports.clock.now_ms() + self.ports.patience_ms
        while not self.sink.over:
            task = self.ports.registry.find(self.team, self.request_id)
            if task is not None and not task.gone:
                await self.follow(task)
                give_up_ms = self.ports.clock.now_ms() + self.ports.patience_ms
                continue
            found = await self._elsewhere()
            if found is _Found.ABSENT:
                return False
            if found is _Found.SERVED:
                give_up_ms = self.ports.clock.now_ms() + self.ports.patience_ms
                continue
            if self.ports.clock.now_ms() > give_up_ms:
                self._give_up()
                break
            await deferLater(self.ports.reactor, _LOOK_AGAIN_S)
        return True

    async def follow(self, task: AnswerTask) -> None:
        """Send an answer that this entry runs, until it ends or moves."""
        ended: Deferred[None] = Deferred()
        self._moved = ended
        follower = Follower(task, self.sink, self.sink.held)
        self.sink.guard_by(task)
        self._follower = follower
        self.sink.wake = lambda: self._wake(follower)
        self.sink.source_moved = lambda: self._leave(ended)
        task.follow(follower)
        if self.sink.over:
            self._leave(ended)
        await ended

    def _wake(self, follower: Follower[AnswerTask]) -> None:
        follower.wake()
        follower.task.left_behind()

    def sink_closed(self) -> None:
        """Detach from the answer: the caller left or has received its end."""
        follower, self._follower = self._follower, None
        if follower is not None:
            follower.over = True
            follower.task.left(follower)
            self.ports.registry.left(follower.task)
        if self._moved is not None:
            self._leave(self._moved)

    def _leave(self, ended: "Deferred[None]") -> None:
        if not ended.called:
            ended.callback(None)

    # Answers of other entries.

    async def _elsewhere(self) -> _Found:
        self.sink.guard_by(None)
        found = await self.ports.registry.store.read(self.team, self.request_id)
        if isinstance(found, Unavailable) or found is None:
            return await self._by_hint(store_out=found is not None)
        record, _ = found
        if record.state is not RecordState.RUNNING:
            return await self._replay(record)
        owner = instance_of(record.owner)
        if record.owner == self.ports.registry.journal.incarnation:
            return _Found.LOOK_AGAIN
        return await self._relay(owner, record.owner)

    async def _by_hint(self, store_out: bool) -> _Found:
        """Without a row, try the entry whose generation the caller has read."""
        held = self.sink.held
        owner = instance_of(held.generation) if held is not None else ""
        if owner and owner != self.ports.instance_id:
            found = await self._relay(owner, "")
            if found is _Found.SERVED:
                return found
        return _Found.LOOK_AGAIN if store_out else _Found.ABSENT

    async def _relay(self, owner: str, incarnation: str) -> _Found:
        """Send the answer through the entry that owns it.

        ``incarnation`` is sealed if the owner refuses connections; empty if unknown.
        """
        clock = self.ports.clock
        relay = _Relay(self.sink, clock, RelayFreshness(clock.now_ms()))
        request = relay_request(self.team, self.request_id, self.sink.held)
        following = self.ports.peers.follow(owner, request, relay.took, relay.has_room)
        timer = self.ports.reactor.callLater(_FIRST_REPLY_S, relay.give_up)
        done: Deferred[Any] = Deferred.fromCoroutine(following)
        relay.call = done
        try:
            outcome = await done
        except CancelledError:
            # No first reply in time: the owner is looked up again.
            outcome = None
        except Exception as failure:
            log_event(
                "relay_failed",
                logging.WARNING,
                owner=owner,
                request=self.request_id,
                error=f"{type(failure).__name__}: {failure}",
            )
            outcome = None
        finally:
            if timer.active():
                timer.cancel()
        if outcome is not None and outcome.refused and incarnation:
            log_event("owner_refuses", owner=owner, request=self.request_id)
            await self.ports.adoption.seal_refusing(owner, incarnation)
            await self.ports.adoption.adopt_one(self.team, self.request_id)
            return _Found.LOOK_AGAIN
        return _Found.SERVED if relay.served else _Found.LOOK_AGAIN

    async def _replay(self, record: AnswerRecord) -> _Found:
        """Send an answer that ended from the store."""
        result = await self.ports.registry.store.result(record)
        if isinstance(result, Unavailable):
            return _Found.LOOK_AGAIN
        start = self._start_of(result.tokens, record.generation)
        end = len(result.tokens)
        upto = EventId(record.generation, end, digest_of(result.tokens))
        self.sink.stored()
        if start < end:
            text = "".join(result.texts[start:])
            self.sink.tokens(upto, result.tokens[start:], text)
        if record.state is RecordState.FINISHED:
            self.sink.finish(record.finish_reason, upto)
        else:
            self.sink.refuse(_refusal_of(record))
        return _Found.SERVED

    def _start_of(self, tokens: list[int], generation: str) -> int:
        held = self.sink.held
        if held is None:
            return 0
        if digest_of(tokens[: held.position]) == held.digest and (
            held.position <= len(tokens)
        ):
            return int(held.position)
        self.sink.restart(generation)
        return 0

    def _give_up(self) -> None:
        refusal = Refusal(
            "answer_unreachable",
            "neither the answer's owner nor the store can be reached",
            RunState.UNKNOWN,
            2_000,
        )
        self.sink.refuse(refusal)


def _refusal_of(record: AnswerRecord) -> Refusal:
    run = RunState.RAN if record.held_tokens else RunState.UNKNOWN
    code = record.error_code or record.state.value
    return Refusal(code, "the answer ended early", run, 0, record.held_tokens)


@define(eq=False)
class _Relay:
    """State of one relay; ``first`` is set by the first reply, ``served`` by the first
    one that was accepted.
    """

    sink: AnswerSink
    clock: Clock
    freshness: RelayFreshness
    served: bool = False
    first: bool = False
    call: Any = None

    def took(self, reply: Any) -> bool:
        self.first = True
        if not reply.found:
            return False
        if not self.freshness.vouches_for(reply, self.clock.now_ms()):
            log_event("relay_stale", right_ms=reply.right_ms)
            return False
        self.served = True
        if getattr(self.sink, "over", False):
            return False
        return take_reply(reply, self.sink)

    def has_room(self) -> bool:
        return getattr(self.sink, "over", False) or not self.sink.full

    def give_up(self) -> None:
        if not self.first and self.call is not None:
            self.call.cancel()

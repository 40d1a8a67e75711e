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
from coursekeel.entry.answers._relay import RelayFreshness, pass_reply, relay_request
from coursekeel.entry.answers._sinks import AnswerSink, Refusal
from coursekeel.entry.control._peers_task import PeersTask
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock
from coursekeel.storage import Unavailable

__all__ = ["AnswerReader", "CallerSink", "ReaderPorts", "instance_of"]

# Delay between two lookups of an answer's owner.
_LOOKUP_RETRY_S = 0.1
# The owner is looked up again if its first reply takes longer: it may be paused.
_FIRST_REPLY_TIMEOUT_S = 1.5


class CallerSink(Protocol):
    """A sink whose reader is a caller; ``held`` is the caller's last event id.

    The reader sets the callbacks ``wake`` and ``source_moved``.
    """

    over: bool
    held: EventId | None
    wake: Any
    source_moved: Any


class _ReadOutcome(Enum):
    SERVED = "served"
    RETRY = "look_again"
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
    _following_ended: "Deferred[None] | None" = field(default=None)

    async def read(self) -> bool:
        """Send the answer to its end; return False if there is no such answer."""
        deadline_ms = self.ports.clock.now_ms() + self.ports.patience_ms
        while not self.sink.over:
            task = self.ports.registry.find(self.team, self.request_id)
            if task is not None and not task.gone:
                await self.follow(task)
                deadline_ms = self.ports.clock.now_ms() + self.ports.patience_ms
                continue
            found = await self._read_elsewhere()
            if found is _ReadOutcome.ABSENT:
                return False
            if found is _ReadOutcome.SERVED:
                deadline_ms = self.ports.clock.now_ms() + self.ports.patience_ms
                continue
            if self.ports.clock.now_ms() > deadline_ms:
                self._refuse_unreachable()
                break
            await deferLater(self.ports.reactor, _LOOKUP_RETRY_S)
        return True

    async def follow(self, task: AnswerTask) -> None:
        """Send an answer that this entry runs, until it ends or moves."""
        ended: Deferred[None] = Deferred()
        self._following_ended = ended
        follower = Follower(task, self.sink, self.sink.held)
        self.sink.set_sending_right(task)
        self._follower = follower
        self.sink.wake = lambda: self._resume(follower)
        self.sink.source_moved = lambda: self._stop_following(ended)
        task.follow(follower)
        if self.sink.over:
            self._stop_following(ended)
        await ended

    def _resume(self, follower: Follower[AnswerTask]) -> None:
        follower.wake()
        follower.task.reader_progressed()

    def sink_closed(self) -> None:
        """Detach from the answer: the caller left or has received its end."""
        follower, self._follower = self._follower, None
        if follower is not None:
            follower.over = True
            follower.task.remove_follower(follower)
            self.ports.registry.on_reader_left(follower.task)
        if self._following_ended is not None:
            self._stop_following(self._following_ended)

    def _stop_following(self, ended: "Deferred[None]") -> None:
        if not ended.called:
            ended.callback(None)

    # Answers of other entries.

    async def _read_elsewhere(self) -> _ReadOutcome:
        self.sink.set_sending_right(None)
        found = await self.ports.registry.store.read(self.team, self.request_id)
        if isinstance(found, Unavailable) or found is None:
            return await self._relay_from_former_owner(store_out=found is not None)
        record, _ = found
        if record.state is not RecordState.RUNNING:
            return await self._replay(record)
        owner = instance_of(record.owner)
        if record.owner == self.ports.registry.journal.incarnation:
            return _ReadOutcome.RETRY
        return await self._relay(owner, record.owner)

    async def _relay_from_former_owner(self, store_out: bool) -> _ReadOutcome:
        """Without a row, try the entry whose generation the caller has read."""
        held = self.sink.held
        owner = instance_of(held.generation) if held is not None else ""
        if owner and owner != self.ports.instance_id:
            found = await self._relay(owner, "")
            if found is _ReadOutcome.SERVED:
                return found
        return _ReadOutcome.RETRY if store_out else _ReadOutcome.ABSENT

    async def _relay(self, owner: str, incarnation: str) -> _ReadOutcome:
        """Send the answer through the entry that owns it.

        ``incarnation`` is sealed if the owner refuses connections; empty if unknown.
        """
        clock = self.ports.clock
        relay = _Relay(self.sink, clock, RelayFreshness(clock.now_ms()))
        request = relay_request(self.team, self.request_id, self.sink.held)
        following = self.ports.peers.follow(
            owner, request, relay.on_reply, relay.has_room
        )
        timer = self.ports.reactor.callLater(
            _FIRST_REPLY_TIMEOUT_S, relay.cancel_if_silent
        )
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
            await self.ports.adoption.seal_unreachable(owner, incarnation)
            await self.ports.adoption.adopt_one(self.team, self.request_id)
            return _ReadOutcome.RETRY
        return _ReadOutcome.SERVED if relay.served else _ReadOutcome.RETRY

    async def _replay(self, record: AnswerRecord) -> _ReadOutcome:
        """Send an answer that ended from the store."""
        result = await self.ports.registry.store.result(record)
        if isinstance(result, Unavailable):
            return _ReadOutcome.RETRY
        start = self._start_position(result.tokens, record.generation)
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
        return _ReadOutcome.SERVED

    def _start_position(self, tokens: list[int], generation: str) -> int:
        held = self.sink.held
        if held is None:
            return 0
        if digest_of(tokens[: held.position]) == held.digest and (
            held.position <= len(tokens)
        ):
            return int(held.position)
        self.sink.restart(generation)
        return 0

    def _refuse_unreachable(self) -> None:
        refusal = Refusal(
            "answer_unreachable",
            "the answer's owner and the store can't be reached now",
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
    """State of one relay.

    ``replied`` is set by the first reply, ``served`` by the first accepted one.
    """

    sink: AnswerSink
    clock: Clock
    freshness: RelayFreshness
    served: bool = False
    replied: bool = False
    call: Any = None

    def on_reply(self, reply: Any) -> bool:
        self.replied = True
        if not reply.found:
            return False
        if not self.freshness.accepts(reply, self.clock.now_ms()):
            log_event("relay_stale", right_ms=reply.right_ms)
            return False
        self.served = True
        if getattr(self.sink, "over", False):
            return False
        return pass_reply(reply, self.sink)

    def has_room(self) -> bool:
        return getattr(self.sink, "over", False) or not self.sink.full

    def cancel_if_silent(self) -> None:
        if not self.replied and self.call is not None:
            self.call.cancel()

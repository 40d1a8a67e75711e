"""Brings one reader up to an answer's end, at the reader's own pace."""

from abc import abstractmethod
from typing import Any, Generic, TypeVar

from attrs import define

from coursekeel.answers import EventId, Ledger
from coursekeel.entry.answers._sinks import AnswerSink, Refusal, SendingRight

__all__ = ["FollowedAnswer", "Follower"]

# Tokens of one event to a caller that is far behind.
_MOST_TOKENS_AN_EVENT = 512
# A caller that holds a little more than this entry waits for the rest instead of being
# told to drop it. Some seconds of a stream.
_WAIT_AT_MOST_TOKENS = 256


class FollowedAnswer(SendingRight):
    """What a reader sees of an answer.

    ``stored`` says that the answer outlives its entry, ``gone`` that it isn't this
    entry's any more, ``fenced`` that another has taken it over.
    """

    stored: bool
    fenced: bool
    refusal: Refusal | None

    @property
    @abstractmethod
    def ledger(self) -> Ledger:
        """The answer's tokens."""

    @property
    @abstractmethod
    def ended(self) -> bool:
        """Say whether nothing more will come."""

    @property
    @abstractmethod
    def finish_reason(self) -> str:
        """Why a finished answer ended where it did."""

    @property
    @abstractmethod
    def deliverable_end(self) -> int:
        """How many tokens may leave for readers now."""

    @abstractmethod
    def left(self, follower: "Follower[Any]") -> None:
        """A reader left or has everything."""


_AnswerT = TypeVar("_AnswerT", bound=FollowedAnswer)


@define(eq=False)
class Follower(Generic[_AnswerT]):
    """A cursor on a ledger: nothing is buffered for a slow reader but its place.

    ``held`` is what the reader says it holds; it is continued only once the ledger has
    reached that place and the digests agree.
    """

    task: _AnswerT
    sink: AnswerSink
    held: EventId | None = None
    cursor: int = 0
    over: bool = False
    _told_stored: bool = False

    def wake(self) -> None:
        """Give the reader what it may have by now."""
        if self.over or self.sink.full:
            return
        if self.task.gone:
            # What the ledger gained lately may not be in the answer of the new owner.
            self._leave()
            return
        if not self.task.may_send():
            return
        if self.task.stored and not self._told_stored:
            self._told_stored = True
            self.sink.stored()
        if self.held is not None and not self._verify(self.held):
            return
        self._advance()
        if self.task.ended and not self.sink.full:
            self._end()

    def _verify(self, held: EventId) -> bool:
        """Settle whether the reader's tokens are a prefix of this ledger's.

        A ledger that is still shorter can't tell yet. Waiting for it costs the reader
        some tokens' time and often spares it starting anew.
        """
        ledger = self.task.ledger
        missing = held.position - ledger.next_position
        if 0 < missing <= _WAIT_AT_MOST_TOKENS and not self.task.ended:
            return False
        self.held = None
        if ledger.agrees_with(held.position, held.digest):
            self.cursor = held.position
        else:
            self.sink.restart(ledger.generation)
        return True

    def _advance(self) -> None:
        end = self.task.deliverable_end
        while self.cursor < end and not self.sink.full:
            upto = min(end, self.cursor + _MOST_TOKENS_AN_EVENT)
            self._give(upto)

    def _give(self, upto: int) -> None:
        ledger = self.task.ledger
        tokens = ledger.tokens_from(self.cursor, upto)
        text = ledger.text_between(self.cursor, upto)
        event_id = EventId(ledger.generation, upto, ledger.digest_at(upto))
        self.cursor = upto
        self.sink.tokens(event_id, tokens, text)

    def _leave(self) -> None:
        self.over = True
        if self.task.fenced:
            self.sink.come_back()
        else:
            self.sink.moved()
        self.task.left(self)

    def _end(self) -> None:
        refusal = self.task.refusal
        if refusal is not None:
            self.over = True
            self.sink.refuse(refusal)
        elif self.cursor == self.task.ledger.next_position:
            self.over = True
            self.sink.finish(self.task.finish_reason, self.task.ledger.event_id)
        if self.over:
            self.task.left(self)

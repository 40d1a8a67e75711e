"""Sends an answer to one reader at the reader's pace."""

from abc import abstractmethod
from typing import Any, Generic, TypeVar

from attrs import define

from coursekeel.answers import EventId, Ledger
from coursekeel.entry.answers._sinks import AnswerSink, Refusal, SendingRight

__all__ = ["FollowedAnswer", "Follower"]

# Limit of tokens in one event.
_MAX_TOKENS_PER_EVENT = 512
# A reader that has up to this many more tokens than the ledger waits for the ledger to
# catch up before it is restarted. A few seconds of a stream.
_MAX_MISSING_TOKENS = 256


class FollowedAnswer(SendingRight):
    """Interface of an answer for its readers.

    ``stored`` says that the answer's row is in the store, ``gone`` that this entry does
    not own the answer any more, ``fenced`` that another has taken it over.
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
        """Whether the answer produces no more tokens here."""

    @property
    @abstractmethod
    def finish_reason(self) -> str:
        """The engine's reason for finishing the answer."""

    @property
    @abstractmethod
    def deliverable_end(self) -> int:
        """The number of tokens that may be sent to readers now."""

    @abstractmethod
    def remove_follower(self, follower: "Follower[Any]") -> None:
        """Remove a reader that disconnected or has received the whole answer."""


_AnswerT = TypeVar("_AnswerT", bound=FollowedAnswer)


@define(eq=False)
class Follower(Generic[_AnswerT]):
    """One reader's position in a ledger; nothing else is buffered for it.

    ``held`` is the reader's last event id; the reader continues from there if the
    digest matches the ledger's, otherwise it restarts.
    """

    task: _AnswerT
    sink: AnswerSink
    held: EventId | None = None
    cursor: int = 0
    over: bool = False
    _stored_reported: bool = False

    def wake(self) -> None:
        """Send the reader what is available and may be sent."""
        if self.over or self.sink.full:
            return
        if self.task.gone:
            # The new owner's answer may differ from the ledger's latest tokens.
            self._send_moved()
            return
        if not self.task.may_send():
            return
        if self.task.stored and not self._stored_reported:
            self._stored_reported = True
            self.sink.stored()
        if self.held is not None and not self._verify_held(self.held):
            return
        self._send_available()
        if self.task.ended and not self.sink.full:
            self._send_end()

    def _verify_held(self, held: EventId) -> bool:
        """Check that the reader's tokens are a prefix of the ledger; restart it if not.

        Returns False while the ledger is slightly shorter: waiting for it often avoids
        a restart.
        """
        ledger = self.task.ledger
        missing = held.position - ledger.next_position
        if 0 < missing <= _MAX_MISSING_TOKENS and not self.task.ended:
            return False
        self.held = None
        if ledger.has_prefix(held.position, held.digest):
            self.cursor = held.position
        else:
            self.sink.restart(ledger.generation)
        return True

    def _send_available(self) -> None:
        end = self.task.deliverable_end
        while self.cursor < end and not self.sink.full:
            upto = min(end, self.cursor + _MAX_TOKENS_PER_EVENT)
            self._send_tokens(upto)

    def _send_tokens(self, upto: int) -> None:
        ledger = self.task.ledger
        tokens = ledger.tokens_from(self.cursor, upto)
        text = ledger.text_between(self.cursor, upto)
        event_id = EventId(ledger.generation, upto, ledger.digest_at(upto))
        self.cursor = upto
        self.sink.tokens(event_id, tokens, text)

    def _send_moved(self) -> None:
        self.over = True
        if self.task.fenced:
            self.sink.redirect_caller()
        else:
            self.sink.moved()
        self.task.remove_follower(self)

    def _send_end(self) -> None:
        refusal = self.task.refusal
        if refusal is not None:
            self.over = True
            self.sink.refuse(refusal)
        elif self.cursor == self.task.ledger.next_position:
            self.over = True
            self.sink.finish(self.task.finish_reason, self.task.ledger.event_id)
        if self.over:
            self.task.remove_follower(self)

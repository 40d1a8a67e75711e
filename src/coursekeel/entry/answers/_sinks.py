"""Where an answer goes: the interface that callers' and peers' streams share."""

from abc import ABC, abstractmethod

from attrs import frozen

from coursekeel.answers import EventId, RunState

__all__ = ["HELD_LOOK_S", "AnswerSink", "Refusal", "SendingRight"]

# How often a right that has lapsed is asked for again while something waits for it; the
# table is asked each time, too. It answers within some ms.
HELD_LOOK_S = 0.05


@frozen
class Refusal:
    """A final word that isn't the answer. ``run`` is what is known of the request."""

    code: str
    message: str
    run: RunState
    retry_after_ms: int = 0
    held_tokens: int = 0


class SendingRight(ABC):
    """Whether an answer may still be spoken for here; it changes while nobody looks.

    ``gone`` says that it never will be again.
    """

    gone: bool

    @abstractmethod
    def right_left_ms(self) -> float:
        """How long the right lasts from now on, unless it is renewed; at most 0 if it
        has lapsed.
        """

    def may_send(self) -> bool:
        """Say whether this entry may speak for the answer now."""
        return self.right_left_ms() > 0


class AnswerSink(ABC):
    """Takes one answer, in order; after `finish`, `refuse` or `moved` nothing comes."""

    @abstractmethod
    def guard_by(self, right: SendingRight | None) -> None:
        """What follows is said under this right; under none it leaves freely."""

    @property
    @abstractmethod
    def full(self) -> bool:
        """Say whether the reader is slow and nothing should be given for now."""

    @abstractmethod
    def stored(self) -> None:
        """The request is safe in the store: it will be carried to its end."""

    @abstractmethod
    def restart(self, generation: str) -> None:
        """The reader must drop what it holds: another generation starts at 0."""

    @abstractmethod
    def tokens(self, upto: EventId, tokens: list[int], text: str) -> None:
        """Tokens that bring the reader up to ``upto``."""

    @abstractmethod
    def finish(self, reason: str, upto: EventId) -> None:
        """The answer is whole."""

    @abstractmethod
    def refuse(self, refusal: Refusal) -> None:
        """The answer will not be given, or not further."""

    @abstractmethod
    def come_back(self) -> None:
        """This entry lost the answer to another: the reader must ask again."""

    @abstractmethod
    def moved(self) -> None:
        """Another entry owns the answer now: ask again."""

"""Interface of answer streams to callers and peers."""

from abc import ABC, abstractmethod

from attrs import frozen

from coursekeel.answers import EventId, RunState

__all__ = ["HELD_OUTPUT_POLL_S", "AnswerSink", "Refusal", "SendingRight"]

# Interval of checks for a lapsed lease while output waits for it. Each check also
# starts a renewal.
HELD_OUTPUT_POLL_S = 0.05


@frozen
class Refusal:
    """A final error instead of the answer's end.

    ``run`` says whether the request may have run, ``held_tokens`` how many tokens it
    has produced.
    """

    code: str
    message: str
    run: RunState
    retry_after_ms: int = 0
    held_tokens: int = 0


class SendingRight(ABC):
    """Whether this entry may send an answer now; changes with time, so check each time.

    ``gone`` says that it never may again.
    """

    gone: bool

    @abstractmethod
    def right_left_ms(self) -> float:
        """How long from now sending is allowed without a renewal; at most 0 if it has
        lapsed.
        """

    def may_send(self) -> bool:
        """Whether this entry may send the answer now."""
        return self.right_left_ms() > 0


class AnswerSink(ABC):
    """Receives one answer.

    The last call is `finish`, `refuse`, `redirect_caller` or `moved`.
    """

    @abstractmethod
    def set_sending_right(self, right: SendingRight | None) -> None:
        """Send all further output only while ``right`` allows it; None is no limit."""

    @property
    @abstractmethod
    def full(self) -> bool:
        """Whether the reader is slow and the sink should get nothing for now."""

    @abstractmethod
    def stored(self) -> None:
        """Report that the request is stored and will be completed."""

    @abstractmethod
    def restart(self, generation: str) -> None:
        """Make the reader drop its tokens: another generation starts at 0."""

    @abstractmethod
    def tokens(self, upto: EventId, tokens: list[int], text: str) -> None:
        """Send tokens and their text; ``upto`` is the event id after them."""

    @abstractmethod
    def finish(self, reason: str, upto: EventId) -> None:
        """Report that the answer is complete."""

    @abstractmethod
    def refuse(self, refusal: Refusal) -> None:
        """Report that the answer won't be completed."""

    @abstractmethod
    def redirect_caller(self) -> None:
        """End the stream: another entry took the answer over, the reader must retry."""

    @abstractmethod
    def moved(self) -> None:
        """End the stream: another entry owns the answer."""

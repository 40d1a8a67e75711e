"""The stream of one attempt, and the interface of the answer that owns it."""

from abc import ABC, abstractmethod

from attrs import define

from coursekeel.answers import Event, FinishArrived, Loss, StreamHead, TokensArrived
from coursekeel.endpoints import EngineStream, StreamListener

__all__ = ["AttemptListener", "OpenStream", "StreamOwner"]


class StreamOwner(ABC):
    """Interface of an answer for its attempts' streams."""

    @abstractmethod
    def handle_event(self, event: Event, now_ms: float | None = None) -> None:
        """Handle an event; ``now_ms`` is the current time if already read."""

    @abstractmethod
    def handle_head(self, attempt: int, head: StreamHead) -> None:
        """Handle the head of an attempt's stream."""

    @abstractmethod
    def handle_tokens(self, attempt: int, event: TokensArrived) -> None:
        """Handle tokens of a stream."""

    @abstractmethod
    def handle_stream_end(self, attempt: int, loss: Loss) -> None:
        """Handle the end of an attempt's stream."""


@define(eq=False)
class OpenStream:
    """An open stream, and whether it holds a slot of its endpoint.

    ``begins`` says that the stream started its run; ``head_ms`` and ``first_tokens_ms``
    are the times of its head and its first tokens.
    """

    endpoint_id: str
    stream: EngineStream
    opened_ms: float
    holds_slot: bool
    begins: bool
    run_id: str = ""
    head_ms: float | None = None
    first_tokens_ms: float | None = None


class AttemptListener(StreamListener):
    """Turns a stream's callbacks into its answer's events."""

    __slots__ = ("_attempt", "_owner")

    def __init__(self, owner: StreamOwner, attempt: int) -> None:
        self._owner = owner
        self._attempt = attempt

    def head(self, head: StreamHead) -> None:
        """Handle the stream's head."""
        self._owner.handle_head(self._attempt, head)

    def tokens(
        self, run_id: str, position: int, tokens: list[int], texts: list[str]
    ) -> None:
        """Handle tokens of a run, the first of them at ``position``."""
        event = TokensArrived(self._attempt, run_id, position, tokens, texts)
        self._owner.handle_tokens(self._attempt, event)

    def finish(self, run_id: str, position: int, reason: str) -> None:
        """Handle the engine's finish marker."""
        self._owner.handle_event(FinishArrived(self._attempt, run_id, position, reason))

    def ended(self, loss: Loss) -> None:
        """Handle the end of the stream, with or without a finish marker."""
        self._owner.handle_stream_end(self._attempt, loss)

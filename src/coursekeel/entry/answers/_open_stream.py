"""A stream of one attempt, and who is told what it says."""

from abc import ABC, abstractmethod

from attrs import define

from coursekeel.answers import Event, FinishArrived, Loss, StreamHead, TokensArrived
from coursekeel.endpoints import EngineStream, StreamListener

__all__ = ["AttemptListener", "OpenStream", "StreamOwner"]


class StreamOwner(ABC):
    """The answer that an attempt's stream belongs to."""

    @abstractmethod
    def tell(self, event: Event, now_ms: float | None = None) -> None:
        """Take a message of the stream."""

    @abstractmethod
    def head(self, attempt: int, head: StreamHead) -> None:
        """A stream opened."""

    @abstractmethod
    def line(self, attempt: int, line: TokensArrived) -> None:
        """Tokens came on a stream: its endpoint lives."""

    @abstractmethod
    def stream_ended(self, attempt: int, loss: Loss) -> None:
        """A stream is over."""


@define(eq=False)
class OpenStream:
    """A stream under way, and the place at its endpoint that it holds.

    ``begins`` says that its run begins with it; ``head_ms`` and ``first_ms`` are when
    its head and its first line came.
    """

    endpoint_id: str
    stream: EngineStream
    opened_ms: float
    holds_place: bool
    begins: bool
    run_id: str = ""
    head_ms: float | None = None
    first_ms: float | None = None


class AttemptListener(StreamListener):
    """Turns a stream's calls into its answer's messages."""

    __slots__ = ("_attempt", "_owner")

    def __init__(self, owner: StreamOwner, attempt: int) -> None:
        self._owner = owner
        self._attempt = attempt

    def head(self, head: StreamHead) -> None:
        """The stream said what serves it."""
        self._owner.head(self._attempt, head)

    def tokens(
        self, run_id: str, position: int, tokens: list[int], texts: list[str]
    ) -> None:
        """Tokens of a run came that stand at ``position`` and after."""
        line = TokensArrived(self._attempt, run_id, position, tokens, texts)
        self._owner.line(self._attempt, line)

    def finish(self, run_id: str, position: int, reason: str) -> None:
        """The engine's own finish marker came."""
        self._owner.tell(FinishArrived(self._attempt, run_id, position, reason))

    def ended(self, loss: Loss) -> None:
        """The stream is over, whether or not a finish marker came before."""
        self._owner.stream_ended(self._attempt, loss)

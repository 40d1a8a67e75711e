"""What coursekeel asks of a model engine or plain service, whatever its protocol."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

from attrs import frozen

from coursekeel.answers import Loss, StreamHead
from coursekeel.endpoints._orders import Order
from coursekeel.intents import ModelName

__all__ = [
    "EndpointStatus",
    "EngineAdapter",
    "EngineStream",
    "GenerationOrder",
    "OrderOutcome",
    "StreamListener",
    "Unreachable",
]


@frozen
class GenerationOrder:
    """A run that an engine is asked for.

    ``request`` is the caller's request as it came, so that a batch of photographs is
    held once; ``prefix_tokens`` are what the answer holds already. ``cache_salt``
    keeps one team's prompts out of another's cache. ``copy_to`` is the address of an
    engine that shall keep a copy of the run's memory, empty if none shall; ``copy_of``
    is the run whose copy this engine keeps, empty if the prompt is to be read.
    ``may_send`` is asked once the connection stands: a run may have been given up, or
    its engine have left, while this process was paused.
    """

    label: str
    serves: ModelName
    request: bytes
    prompt_tokens: int
    prefix_tokens: list[int]
    priority: int
    cache_salt: str
    may_send: Callable[[], bool]
    copy_to: str = ""
    copy_of: str = ""


@frozen
class EndpointStatus:
    """An endpoint's own word of itself."""

    incarnation: str
    leaving: bool
    running: int
    queued: int
    slots: int
    serves: tuple[ModelName, ...]
    role: str


@frozen
class Unreachable:
    """The endpoint gave no word; ``refused`` if its address refused the connection."""

    refused: bool
    reason: str


class OrderOutcome(Enum):
    """How an order went."""

    OBEYED = "obeyed"
    OLD_EPOCH = "old_epoch"
    NOT_SENT = "not_sent"
    UNSURE = "unsure"


class StreamListener(ABC):
    """Takes what a stream says; `ended` comes last, and once."""

    @abstractmethod
    def head(self, head: StreamHead) -> None:
        """The stream said what serves it."""

    @abstractmethod
    def tokens(
        self, run_id: str, position: int, tokens: list[int], texts: list[str]
    ) -> None:
        """Tokens of a run came that stand at ``position`` and after."""

    @abstractmethod
    def finish(self, run_id: str, position: int, reason: str) -> None:
        """The engine's own finish marker came."""

    @abstractmethod
    def ended(self, loss: Loss) -> None:
        """The stream is over, whether or not a finish marker came before."""


class EngineStream(ABC):
    """A stream under way."""

    @abstractmethod
    def pause(self) -> None:
        """Stop reading, so that the engine is held up instead of memory filling."""

    @abstractmethod
    def resume(self) -> None:
        """Read on."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection; `StreamListener.ended` is not called after this."""


class EngineAdapter(ABC):
    """One engine; ``address`` is what other engines know it by."""

    address: str

    @abstractmethod
    def open(self, order: GenerationOrder, listener: StreamListener) -> EngineStream:
        """Ask for a run."""

    @abstractmethod
    def take_up(
        self, run_id: str, position: int, listener: StreamListener
    ) -> EngineStream:
        """Read a run that the engine has, from ``position`` on."""

    @abstractmethod
    async def stop(self, run_id: str) -> None:
        """Tell the engine to stop a run; a lost word is made good by its linger."""

    @abstractmethod
    async def status(self, anew: bool = False) -> EndpointStatus | Unreachable:
        """Ask the endpoint for its word.

        ``anew`` asks on a connection of its own: one that was kept may just have been
        closed, which says nothing of whether the endpoint lives.
        """

    @abstractmethod
    async def give(
        self, order: Order, epoch: int, may_give: Callable[[], bool]
    ) -> OrderOutcome:
        """Give an order under the lease's epoch.

        ``may_give`` is asked again once a connection has been made.
        """

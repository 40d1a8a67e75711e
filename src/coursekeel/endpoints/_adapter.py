"""The interface to model engines and plain services, independent of the protocol."""

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
    """A run to start on an engine.

    ``request`` is the caller's request body, unchanged and not copied.
    ``prefix_tokens`` are the answer's tokens so far. ``cache_salt`` separates the
    teams' prompt caches. ``copy_to`` is the address of an engine that is to keep a copy
    of the run's memory, ``copy_of`` the run whose copy this engine has; each may be
    empty. ``may_send`` is called once the connection is made, since the run may have
    been abandoned while connecting.
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
    """An endpoint's own status report."""

    incarnation: str
    leaving: bool
    running: int
    queued: int
    slots: int
    serves: tuple[ModelName, ...]
    role: str


@frozen
class Unreachable:
    """No status was received; ``refused`` if no connection could be made."""

    refused: bool
    reason: str


class OrderOutcome(Enum):
    """The outcome of sending an order.

    ``OLD_EPOCH``: the endpoint refused the epoch as outdated. ``UNSURE``: the order may
    have had its effect.
    """

    OBEYED = "obeyed"
    OLD_EPOCH = "old_epoch"
    NOT_SENT = "not_sent"
    UNSURE = "unsure"


class StreamListener(ABC):
    """Receives the events of a stream; `ended` is called last, and once."""

    @abstractmethod
    def head(self, head: StreamHead) -> None:
        """The head arrived, which names the run and the model that serves it."""

    @abstractmethod
    def tokens(
        self, run_id: str, position: int, tokens: list[int], texts: list[str]
    ) -> None:
        """Tokens of a run arrived; ``position`` is that of the first in the answer."""

    @abstractmethod
    def finish(self, run_id: str, position: int, reason: str) -> None:
        """The engine's finish marker arrived; ``position`` follows the last token."""

    @abstractmethod
    def ended(self, loss: Loss) -> None:
        """The stream closed, with or without a finish marker before."""


class EngineStream(ABC):
    """An open stream of a run."""

    @abstractmethod
    def pause(self) -> None:
        """Stop reading, which applies back pressure to the engine."""

    @abstractmethod
    def resume(self) -> None:
        """Continue reading."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection; `StreamListener.ended` is not called after this."""


class EngineAdapter(ABC):
    """One engine; other engines reach it at ``address`` (host and port)."""

    address: str

    @abstractmethod
    def open(self, order: GenerationOrder, listener: StreamListener) -> EngineStream:
        """Start a run and stream it to the listener."""

    @abstractmethod
    def reattach(
        self, run_id: str, position: int, listener: StreamListener
    ) -> EngineStream:
        """Stream a run that the engine already has, from token ``position`` on."""

    @abstractmethod
    async def stop(self, run_id: str) -> None:
        """Request that the engine stop a run.

        If the request is lost, the engine stops the run after its linger time.
        """

    @abstractmethod
    async def status(
        self, new_connection: bool = False
    ) -> EndpointStatus | Unreachable:
        """Query the endpoint's status.

        ``new_connection`` opens a new connection: a kept one may just have been closed,
        which does not mean that the endpoint failed.
        """

    @abstractmethod
    async def give(
        self, order: Order, epoch: int, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Send an order with the epoch of the group's lease.

        ``may_send`` is called once a connection has been made; False withholds the
        order.
        """

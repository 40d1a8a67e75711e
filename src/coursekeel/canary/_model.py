"""The types of a rollout: its order, phases and bounds, and the record of its state.

An operator orders that a pool's traffic move to endpoints of one version. These start
beside the old ones. The old endpoints stop as soon as the record says `completed`, the
new ones some seconds after it says `rolled_back`.

Owns no state.
"""

from abc import ABC, abstractmethod
from enum import Enum

from attrs import frozen

from coursekeel.forwarding import StorePosition

__all__ = [
    "CanaryBounds",
    "Phase",
    "RecordConflict",
    "RecordFailed",
    "RolloutOrder",
    "RolloutRecord",
    "RolloutRecords",
    "RolloutState",
    "Side",
    "order_id",
    "pool_of_order",
]


_ORDER_ID_PREFIX = "rollout/"


@frozen
class RolloutOrder:
    """``pool`` is to be served by version ``target`` within ``duration_ms``."""

    pool: str
    target: str
    duration_ms: float


def order_id(pool: str) -> str:
    """The id under which a pool's order is an entry of the store's table."""
    return f"{_ORDER_ID_PREFIX}{pool}"


def pool_of_order(entry_id: str) -> str:
    """The pool of an order's entry; empty if the entry isn't an order."""
    return (
        entry_id.removeprefix(_ORDER_ID_PREFIX)
        if entry_id.startswith(_ORDER_ID_PREFIX)
        else ""
    )


class Side(Enum):
    """The endpoints of a pool: of versions in force before the order, or its target."""

    OLD = "old"
    NEW = "new"


class Phase(Enum):
    """The phases of a rollout.

    ``TRYING``: a share of the new requests goes to the new version. ``CLOSING``: all
    new requests do, while the old version's runs finish.
    """

    TRYING = "trying"
    CLOSING = "closing"
    ROLLED_BACK = "rolled_back"
    COMPLETED = "completed"

    @property
    def final(self) -> bool:
        """Say whether the rollout is over."""
        return self in (Phase.ROLLED_BACK, Phase.COMPLETED)

    @property
    def rank(self) -> int:
        """The precedence of phases: an instance moves only to one of a higher rank."""
        return list(Phase).index(self)


class RolloutState(Enum):
    """The state of a rollout as operators read it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@frozen
class CanaryBounds:
    """The limits on the requests that a bad version may receive.

    It may get the ``share`` of its pool's requests, and ``slack`` requests more. No
    request may be sent to it later than ``rollback_ms`` after its fiftieth bad answer.
    """

    share: float = 0.1
    slack: float = 50
    rollback_ms: float = 5_000


@frozen
class RolloutRecord:
    """A pool's record and its store position; ``state`` is None if there is none."""

    state: RolloutState | None
    target: str
    moment: StorePosition

    def is_for(self, order: RolloutOrder, order_position: StorePosition) -> bool:
        """Say whether the record is of this order, and newer than the order."""
        return self.target == order.target and self.moment > order_position


@frozen
class RecordConflict:
    """The record has changed since it was read; read it again before a write."""


@frozen
class RecordFailed:
    """The store didn't answer; a write may have succeeded."""

    reason: str


class RolloutRecords(ABC):
    """The records in which operators read the states of their orders."""

    @abstractmethod
    async def read(self, pool: str, timeout_ms: float) -> RolloutRecord | RecordFailed:
        """Read one pool's record."""

    @abstractmethod
    async def write(
        self,
        order: RolloutOrder,
        state: RolloutState,
        before: RolloutRecord,
        timeout_ms: float,
    ) -> RolloutRecord | RecordConflict | RecordFailed:
        """Write a state if the record is still ``before`` (compare-and-set)."""

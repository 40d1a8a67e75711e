"""What a roll-out is: an order, its phases, its bounds, and the record of its state.

An operator orders that a pool's traffic move to endpoints of one version. These start
beside the old ones; the old ones stop at once when the record says `completed`, and the
new ones some seconds after it says `rolled_back`.

Owns nothing.
"""

from abc import ABC, abstractmethod
from enum import Enum

from attrs import frozen

from coursekeel.forwarding import StoreMoment

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


_ORDER = "rollout/"


@frozen
class RolloutOrder:
    """``pool`` is to be served by endpoints of version ``target`` within the time."""

    pool: str
    target: str
    duration_ms: float


def order_id(pool: str) -> str:
    """The id of a pool's order among the entries of its table."""
    return f"{_ORDER}{pool}"


def pool_of_order(entry_id: str) -> str:
    """The pool whose order an entry is; empty if it is another entry."""
    return entry_id.removeprefix(_ORDER) if entry_id.startswith(_ORDER) else ""


class Side(Enum):
    """Which endpoints of a pool: those in force before the order, or its target's."""

    OLD = "old"
    NEW = "new"


class Phase(Enum):
    """How far a roll-out is.

    ``TRYING``: a share of new requests goes to the new version. ``CLOSING``: all new
    requests do, and the old version's runs end.
    """

    TRYING = "trying"
    CLOSING = "closing"
    ROLLED_BACK = "rolled_back"
    COMPLETED = "completed"

    @property
    def final(self) -> bool:
        """Say whether nothing of the roll-out changes any more."""
        return self in (Phase.ROLLED_BACK, Phase.COMPLETED)

    @property
    def rank(self) -> int:
        """The later phase counts; a record that says `completed` counts most."""
        return list(Phase).index(self)


class RolloutState(Enum):
    """What operators read of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@frozen
class CanaryBounds:
    """What a bad version may get, of all requests to its pool and beside that.

    ``rollback_ms`` after its fiftieth bad answer nothing more may be sent to it.
    """

    share: float = 0.1
    slack: float = 50
    rollback_ms: float = 5_000


@frozen
class RolloutRecord:
    """The record as it lies in the store; without a ``state`` there is none."""

    state: RolloutState | None
    target: str
    moment: StoreMoment

    def answers(self, order: RolloutOrder, given: StoreMoment) -> bool:
        """Say whether it is of an order that was given at a moment, and not older."""
        return self.target == order.target and self.moment > given


@frozen
class RecordConflict:
    """Somebody else wrote meanwhile: the record is to be read again."""


@frozen
class RecordFailed:
    """The store gave no answer; the write may have been done."""

    reason: str


class RolloutRecords(ABC):
    """Where operators read what became of their orders."""

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
        """Write it in place of ``before``, if that still stands there."""

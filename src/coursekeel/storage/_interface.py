"""The interface to the platform's services, and the outcomes of its operations.

Every operation returns its outcome as a value. After ``Unavailable`` it surely had no
effect; after ``Unsure`` it may have had one, so the caller must read back before it
relies on either.
"""

from abc import ABC, abstractmethod
from typing import Any

from attrs import field, frozen

__all__ = [
    "Committed",
    "Conflict",
    "Fetched",
    "InstanceList",
    "ListedInstance",
    "Platform",
    "Row",
    "Rows",
    "TransactOutcome",
    "Transaction",
    "Unavailable",
    "Unsure",
]


@frozen
class Row:
    """One table row; ``version`` increases with each write to the key."""

    key: str
    version: int
    value: dict[str, Any]


@frozen
class Transaction:
    """Writes that take effect together if all expected versions match.

    ``expected`` maps a key to the version it must have, 0 for an absent row.
    A value of None in ``writes`` deletes the row.
    """

    expected: dict[str, int] = field(factory=dict)
    writes: dict[str, dict[str, Any] | None] = field(factory=dict)


@frozen
class Committed:
    """The write took effect; ``versions`` holds the new version of each key."""

    versions: dict[str, int] = field(factory=dict)


@frozen
class Conflict:
    """The transaction had no effect; ``rows`` are those whose version didn't match.

    A row is None if it is absent.
    """

    rows: dict[str, Row | None]


@frozen
class Unavailable:
    """The operation surely had no effect."""

    reason: str


@frozen
class Unsure:
    """The operation may have taken effect; its response was lost."""

    reason: str


@frozen
class Rows:
    """Rows by key; a key that is absent from the table is absent here."""

    rows: dict[str, Row]


@frozen
class Fetched:
    """An object's bytes, or None where no such object exists."""

    data: bytes | None


@frozen
class ListedInstance:
    """One instance of the platform's list.

    ``kind`` is entry, engine or service, ``address`` host and port.
    """

    instance_id: str
    kind: str
    zone: str
    address: str
    leaving: bool = False


@frozen
class InstanceList:
    """The platform's list of instances, which lags by some seconds."""

    instances: tuple[ListedInstance, ...]


TransactOutcome = Committed | Conflict | Unavailable | Unsure


class Platform(ABC):
    """The platform's services that coursekeel uses: table, objects, instance list."""

    @abstractmethod
    async def transact(self, transaction: Transaction) -> TransactOutcome:
        """Apply a transaction to the table."""

    @abstractmethod
    async def read(self, keys: list[str]) -> Rows | Unavailable:
        """Read rows by key."""

    @abstractmethod
    async def scan(self, prefix: str, limit: int) -> Rows | Unavailable:
        """Read up to ``limit`` rows whose keys start with ``prefix``, in key order."""

    @abstractmethod
    async def put_object(
        self, key: str, data: bytes
    ) -> Committed | Unavailable | Unsure:
        """Store an object whole, replacing one of the same key."""

    @abstractmethod
    async def get_object(self, key: str) -> Fetched | Unavailable:
        """Fetch an object."""

    @abstractmethod
    async def delete_object(self, key: str) -> Committed | Unavailable | Unsure:
        """Delete an object; deleting one that isn't there is no error."""

    @abstractmethod
    async def list_instances(self) -> InstanceList | Unavailable:
        """Read the platform's list of live and leaving instances."""

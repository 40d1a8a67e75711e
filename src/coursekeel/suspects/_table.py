"""The interface to the store that keeps barred requests while instances restart.

Owns no state; each kind of store has its own adapter.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from attrs import frozen

__all__ = ["StoredRows", "SuspectTable", "TableFailed"]


@frozen
class StoredRows:
    """All rows by fingerprint, and the time of the read by the store's clock."""

    values: Mapping[str, bytes]
    store_ms: float


@frozen
class TableFailed:
    """The store didn't answer, or its answer was invalid."""

    reason: str


class SuspectTable(ABC):
    """The rows of barred requests, by fingerprint."""

    @abstractmethod
    async def read(self, timeout_ms: float) -> StoredRows | TableFailed:
        """Read all rows."""

    @abstractmethod
    async def write(
        self, kept: Mapping[str, bytes], gone: Sequence[str], timeout_ms: float
    ) -> TableFailed | None:
        """Atomically put ``kept`` and remove ``gone``; None if that succeeded."""

"""What a site's store must offer so that barred requests outlast all instances.

Owns the interface only; each kind of store has its adapter.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from attrs import frozen

__all__ = ["KeptRows", "SuspectTable", "TableFailed"]


@frozen
class KeptRows:
    """What a table keeps by key, and the moment of the store's clock that it is of."""

    values: Mapping[str, bytes]
    store_ms: float


@frozen
class TableFailed:
    """The store gave no answer, or one that can't be used."""

    reason: str


class SuspectTable(ABC):
    """Where barred requests are kept."""

    @abstractmethod
    async def read(self, timeout_ms: float) -> KeptRows | TableFailed:
        """Read all rows."""

    @abstractmethod
    async def write(
        self, kept: Mapping[str, bytes], gone: Sequence[str], timeout_ms: float
    ) -> TableFailed | None:
        """Put and remove rows, all or nothing; None if it was done."""

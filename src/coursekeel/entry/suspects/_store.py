"""Stores suspect records in the platform's store, so that they survive restarts.

Owns the rows' keys; the quarantine owns their content. Relies on `Platform`.
"""

from collections.abc import Mapping, Sequence

import orjson
from attrs import define

from coursekeel.runtime import Clock
from coursekeel.storage import Committed, Platform, Transaction, Unavailable
from coursekeel.suspects import StoredRows, SuspectTable, TableFailed
from coursekeel.units import MS_PER_SECOND

__all__ = ["EntrySuspects"]

_PREFIX = "suspects/"
# As many as an entry keeps in memory; a scan may leave out the rest.
_MAX_ROWS = 512


@define(eq=False)
class EntrySuspects(SuspectTable):
    """Reads and writes the rows under one prefix.

    The platform reports no time of its own; the wall clock is precise enough for bars
    that last minutes.
    """

    platform: Platform
    clock: Clock

    async def read(self, timeout_ms: float) -> StoredRows | TableFailed:
        """Read all rows; the platform applies its own timeout."""
        rows = await self.platform.scan(_PREFIX, _MAX_ROWS)
        if isinstance(rows, Unavailable):
            return TableFailed(rows.reason)
        values = {
            key.removeprefix(_PREFIX): orjson.dumps(row.value)
            for key, row in rows.rows.items()
        }
        return StoredRows(values, self.clock.wall_s() * MS_PER_SECOND)

    async def write(
        self, kept: Mapping[str, bytes], gone: Sequence[str], timeout_ms: float
    ) -> TableFailed | None:
        """Put and remove rows in one transaction; the platform applies its own timeout.

        No version is expected: all entries write the same merged records, so the order
        of their writes doesn't matter.
        """
        writes = {f"{_PREFIX}{key}": orjson.loads(value) for key, value in kept.items()}
        writes |= dict.fromkeys(f"{_PREFIX}{key}" for key in gone)
        outcome = await self.platform.transact(Transaction({}, writes))
        if isinstance(outcome, Committed):
            return None
        return TableFailed(type(outcome).__name__)

"""Rows of the entries' own table that keep which requests are barred.

Owns the rows' keys. What a row holds is the quarantine's; relies on `Platform`.
"""

from collections.abc import Mapping, Sequence

import orjson
from attrs import define

from coursekeel.runtime import Clock
from coursekeel.storage import Committed, Platform, Transaction, Unavailable
from coursekeel.suspects import KeptRows, SuspectTable, TableFailed
from coursekeel.units import MS_PER_SECOND

__all__ = ["EntrySuspects"]

_PREFIX = "suspects/"
# As many as an entry remembers. A scan that ends there leaves out what it would forget.
_MOST_ROWS = 512


@define(eq=False)
class EntrySuspects(SuspectTable):
    """Reads and writes the rows under one prefix.

    The platform tells no time of its own; the calendar's will do for bars of minutes.
    """

    platform: Platform
    clock: Clock

    async def read(self, timeout_ms: float) -> KeptRows | TableFailed:
        """Read all rows; the platform bounds the time itself."""
        rows = await self.platform.scan(_PREFIX, _MOST_ROWS)
        if isinstance(rows, Unavailable):
            return TableFailed(rows.reason)
        values = {
            key.removeprefix(_PREFIX): orjson.dumps(row.value)
            for key, row in rows.rows.items()
        }
        return KeptRows(values, self.clock.wall_s() * MS_PER_SECOND)

    async def write(
        self, kept: Mapping[str, bytes], gone: Sequence[str], timeout_ms: float
    ) -> TableFailed | None:
        """Put and remove rows, all or nothing; the platform bounds the time itself.

        What is put is what all entries merged, so that it doesn't matter whose comes
        last: no row is expected to be as it was.
        """
        writes = {f"{_PREFIX}{key}": orjson.loads(value) for key, value in kept.items()}
        writes |= dict.fromkeys(f"{_PREFIX}{key}" for key in gone)
        outcome = await self.platform.transact(Transaction({}, writes))
        if isinstance(outcome, Committed):
            return None
        return TableFailed(type(outcome).__name__)

"""The task that deletes expired answers and claims."""

from random import Random

from attrs import define, field, frozen

from coursekeel.items import log_unreadable
from coursekeel.numbers import parse_whole
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic
from coursekeel.storage import Platform, Row, Transaction, Unavailable
from coursekeel.units import SECONDS_PER_MINUTE

__all__ = ["ExpiryTask"]

_INTERVAL_MS = 30_000
# Limit of rows per scan, so that a round stays short.
_MAX_ROWS_PER_SCAN = 100


@frozen
class _Due:
    """A row that expires after a minute of the wall clock, by its key."""

    minute: int
    key: str


@define(eq=False)
class ExpiryTask:
    """Deletes answers and claims whose retention time has passed.

    Uses wall-clock minutes; nothing relies on the instances' clocks agreeing. Every
    entry does this at randomized intervals.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    instance_id: str
    random: Random
    _loop: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        interval_ms = _INTERVAL_MS * (1 + self.random.random())
        self._loop = Periodic(self.reactor, "expiry", interval_ms, self._round)

    def start(self) -> None:
        """Start deleting expired rows."""
        self._loop.start()

    def stop(self) -> None:
        """Stop deleting expired rows."""
        self._loop.stop()

    async def _round(self) -> None:
        rows = await self.platform.scan("expires/", _MAX_ROWS_PER_SCAN)
        if isinstance(rows, Unavailable):
            return
        now_minute = self.clock.wall_s() // SECONDS_PER_MINUTE
        for row in rows.rows.values():
            due = _due(row)
            if due is None:
                log_unreadable(
                    "expires", row.key, "expected expires/MINUTE/… and a key"
                )
            elif due.minute < now_minute:
                await self._expire(row, due.key)

    async def _expire(self, due: Row, key: str) -> None:
        rows = await self.platform.read([key])
        if isinstance(rows, Unavailable):
            return
        writes: dict[str, None] = {due.key: None}
        expected = {due.key: due.version}
        row = rows.rows.get(key)
        if row is not None:
            writes[key] = None
            expected[key] = row.version
            for field_name in ("prompt_object", "result_object"):
                if row.value.get(field_name):
                    await self.platform.delete_object(row.value[field_name])
        await self.platform.transact(Transaction(expected, dict(writes)))
        log_event("expired", key=key)


def _due(row: Row) -> _Due | None:
    """What a row of the list of expiries says; None if it is malformed."""
    minute = parse_whole(row.key.split("/")[1])
    key = row.value.get("key")
    if minute is None or not isinstance(key, str):
        return None
    return _Due(minute, key)

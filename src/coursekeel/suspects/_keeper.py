"""Stores barred requests, so that they stay barred when all instances restart.

Rule: the row of a barred request is written by each instance that recorded a strike for
it, and removed by the one that clears it. Every instance reads the table once, when it
starts; after that, updates come from the other members (`coursekeel.quarantine`). When
the store was restored from an older copy, missing rows are written again by the
instances that recorded strikes, and by one member chosen for each request, since those
instances may be gone.

Owns the pending writes, at most one row a request. Relies on `SuspectTable`.
"""

from collections.abc import Callable

from attrs import define, field

from coursekeel.observe import log_event
from coursekeel.quarantine import (
    Quarantine,
    QuarantineEvent,
    StoredSuspect,
    UnreadableQuarantine,
    decode_stored,
    encode_stored,
    record_of,
    to_sent_record,
)
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic
from coursekeel.suspects._table import SuspectTable, TableFailed

__all__ = ["SuspectKeeper"]

# Between two calls, whether the first one failed or not.
_CALL_INTERVAL_MS = 500.0
# The platform's store accepts a hundred rows in one call.
_MAX_ROWS_PER_CALL = 50
# As many requests as `Quarantine` keeps records of.
_MAX_CHANGED_HERE = 512


@define(eq=False)
class SuspectKeeper:
    """Reads the table at the start, and writes this instance's changes to it."""

    reactor: Reactor
    clock: Clock
    table: SuspectTable
    quarantine: Quarantine
    timeout_ms: float
    _changed_here: dict[str, None] = field(factory=dict)
    _pending: dict[str, None] = field(factory=dict)
    _store_clock_offset_ms: float | None = None
    _work: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._work = Periodic(
            self.reactor, "suspects", _CALL_INTERVAL_MS, self._synchronize
        )

    def start(self) -> None:
        """Begin to read the table."""
        self._work.start()

    def stop(self) -> None:
        """Make no more calls to the store."""
        self._work.stop()

    def store_restored(self, is_assigned: Callable[[str], bool]) -> None:
        """Write rows again after the store was restored from an older copy.

        ``is_assigned`` says whether this member is the one chosen for a fingerprint.
        The table is read again first, for its rows and for its clock.
        """
        self._store_clock_offset_ms = None
        barred = self.quarantine.barred_fingerprints()
        rewritten = [f for f in barred if f in self._changed_here or is_assigned(f)]
        log_event("suspects_written_again", rows=len(rewritten))
        self._pending |= dict.fromkeys(rewritten)
        self._work.start()

    def touched(self, fingerprint: str) -> None:
        """Note that this instance itself changed a request's record."""
        self._changed_here[fingerprint] = None
        if len(self._changed_here) > _MAX_CHANGED_HERE:
            del self._changed_here[next(iter(self._changed_here))]
        if self.quarantine.is_barred(fingerprint):
            self._schedule(fingerprint)

    def changed(self, event: QuarantineEvent) -> None:
        """Handle that a request was barred or cleared."""
        if event.fingerprint in self._changed_here:
            self._schedule(event.fingerprint)

    def _schedule(self, fingerprint: str) -> None:
        self._pending[fingerprint] = None
        self._work.start()

    async def _synchronize(self) -> None:
        done = await (
            self._read() if self._store_clock_offset_ms is None else self._write()
        )
        if done and not self._pending:
            self._work.stop()

    async def _read(self) -> bool:
        sent_ms = self.clock.now_ms()
        rows = await self.table.read(self.timeout_ms)
        if isinstance(rows, TableFailed):
            log_event("suspects_unread", reason=rows.reason)
            return False
        self._store_clock_offset_ms = rows.store_ms - sent_ms
        for fingerprint, value in rows.values.items():
            self._load_row(fingerprint, value, sent_ms)
        return True

    def _load_row(self, fingerprint: str, value: bytes, now_ms: float) -> None:
        """Merge a row; one that is invalid or bars nothing is to be removed."""
        kept = decode_stored(value)
        if isinstance(kept, UnreadableQuarantine):
            log_event("suspect_unreadable", fingerprint=fingerprint, fault=kept.fault)
            self._pending[fingerprint] = None
            return
        assert self._store_clock_offset_ms is not None
        age_ms = max(0.0, now_ms + self._store_clock_offset_ms - kept.stored_ms)
        self.quarantine.merge(record_of(kept.record, now_ms - age_ms), now_ms)
        if not self.quarantine.is_barred(fingerprint):
            self._pending[fingerprint] = None

    async def _write(self) -> bool:
        now_ms = self.clock.now_ms()
        batch = list(self._pending)[:_MAX_ROWS_PER_CALL]
        if not batch:
            return True
        for fingerprint in batch:
            del self._pending[fingerprint]
        barred = [f for f in batch if self.quarantine.is_barred(f)]
        rows = {fingerprint: self._row(fingerprint, now_ms) for fingerprint in barred}
        removed = [fingerprint for fingerprint in batch if fingerprint not in rows]
        failed = await self.table.write(rows, removed, self.timeout_ms)
        if failed is None:
            return True
        log_event("suspects_unwritten", reason=failed.reason, rows=len(batch))
        self._pending = dict.fromkeys(batch) | self._pending
        return False

    def _row(self, fingerprint: str, now_ms: float) -> bytes:
        record = self.quarantine.record(fingerprint)
        assert record is not None and self._store_clock_offset_ms is not None
        stored_ms = round(now_ms + self._store_clock_offset_ms, 1)
        return encode_stored(StoredSuspect(to_sent_record(record, now_ms), stored_ms))

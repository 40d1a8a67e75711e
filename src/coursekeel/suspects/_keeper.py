"""Keeps barred requests in the site's store, so that they outlast all instances.

Rule: what bars a request is written by those that saw an endpoint end under it, and
removed by whoever proves it sound; every instance reads the table once, when it starts.
What the others know travels between them (`coursekeel.quarantine`): the table is for
the moment at which nobody is left who could tell. Rows that a store forgot when it came
back from an older copy are written again by those that saw an endpoint end, and by one
of all members for each request, since those that saw it may be gone.

Owns what is still to be written, at most one row a request. Relies on `SuspectTable`.
"""

from collections.abc import Callable

from attrs import define, field

from coursekeel.observe import log_event
from coursekeel.quarantine import (
    KeptSuspect,
    Quarantine,
    QuarantineEvent,
    UnreadableQuarantine,
    decode_kept,
    encode_kept,
    record_of,
    told_of,
)
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic
from coursekeel.suspects._table import SuspectTable, TableFailed

__all__ = ["SuspectKeeper"]

# The pause after a call that failed, and between two writes: what is learned at once is
# written at once.
_PAUSE_MS = 500.0
# Rows in one call; the users' store takes a hundred.
_MOST_ROWS = 50
# Requests that are remembered as struck here, as many as `Quarantine` remembers.
_MAX_OWN = 512


@define(eq=False)
class SuspectKeeper:
    """Reads the table once, and writes what this instance has to."""

    reactor: Reactor
    clock: Clock
    table: SuspectTable
    quarantine: Quarantine
    timeout_ms: float
    _own: dict[str, None] = field(factory=dict)
    _due: dict[str, None] = field(factory=dict)
    _store_ahead_ms: float | None = None
    _work: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._work = Periodic(self.reactor, "suspects", _PAUSE_MS, self._do)

    def start(self) -> None:
        """Read what was known before this instance began."""
        self._work.start()

    def stop(self) -> None:
        """Call the store no more."""
        self._work.stop()

    def store_restored(self, is_mine: Callable[[str], bool]) -> None:
        """The table is that of an older copy; ``is_mine``: written again from here.

        The copy is read first: its rows and its clock may be of another time.
        """
        self._store_ahead_ms = None
        barred = self.quarantine.barred_fingerprints()
        again = [each for each in barred if each in self._own or is_mine(each)]
        log_event("suspects_written_again", rows=len(again))
        self._due |= dict.fromkeys(again)
        self._work.start()

    def touched(self, fingerprint: str) -> None:
        """This instance learned something of a request by itself."""
        self._own[fingerprint] = None
        if len(self._own) > _MAX_OWN:
            del self._own[next(iter(self._own))]
        if self.quarantine.is_barred(fingerprint):
            self._is_due(fingerprint)

    def changed(self, event: QuarantineEvent) -> None:
        """A request is barred, or no longer."""
        if event.fingerprint in self._own:
            self._is_due(event.fingerprint)

    def _is_due(self, fingerprint: str) -> None:
        self._due[fingerprint] = None
        self._work.start()

    async def _do(self) -> None:
        done = await (self._read() if self._store_ahead_ms is None else self._write())
        if done and not self._due:
            self._work.stop()

    async def _read(self) -> bool:
        sent_ms = self.clock.now_ms()
        rows = await self.table.read(self.timeout_ms)
        if isinstance(rows, TableFailed):
            log_event("suspects_unread", reason=rows.reason)
            return False
        self._store_ahead_ms = rows.store_ms - sent_ms
        for fingerprint, value in rows.values.items():
            self._take(fingerprint, value, sent_ms)
        return True

    def _take(self, fingerprint: str, value: bytes, now_ms: float) -> None:
        """Take a row; what can't be read or is forgotten is removed."""
        kept = decode_kept(value)
        if isinstance(kept, UnreadableQuarantine):
            log_event("suspect_unreadable", fingerprint=fingerprint, fault=kept.fault)
            self._due[fingerprint] = None
            return
        assert self._store_ahead_ms is not None
        age_ms = max(0.0, now_ms + self._store_ahead_ms - kept.stored_ms)
        self.quarantine.merge(record_of(kept.record, now_ms - age_ms), now_ms)
        if not self.quarantine.is_barred(fingerprint):
            self._due[fingerprint] = None

    async def _write(self) -> bool:
        now_ms = self.clock.now_ms()
        batch = list(self._due)[:_MOST_ROWS]
        if not batch:
            return True
        for each in batch:
            del self._due[each]
        barred = [each for each in batch if self.quarantine.is_barred(each)]
        kept = {each: self._value(each, now_ms) for each in barred}
        gone = [each for each in batch if each not in kept]
        failed = await self.table.write(kept, gone, self.timeout_ms)
        if failed is None:
            return True
        log_event("suspects_unwritten", reason=failed.reason, rows=len(batch))
        self._due = dict.fromkeys(batch) | self._due
        return False

    def _value(self, fingerprint: str, now_ms: float) -> bytes:
        record = self.quarantine.record(fingerprint)
        assert record is not None and self._store_ahead_ms is not None
        stored_ms = round(now_ms + self._store_ahead_ms, 1)
        return encode_kept(KeptSuspect(told_of(record, now_ms), stored_ms))

"""Decides which requests are barred, by the endpoints that crashed while running them.

Rule: three strikes bar a request. Of the requests that an endpoint had when it crashed,
only those with the strongest `Sign` get a strike that counts. Crashes within a few ms
count as one, since no request crashes a whole availability zone at once. A request that
is answered, or that produced output for a while, is cleared: its record starts again at
the next epoch.

When a bar is over, one instance may let the request run once, as a trial. It first bars
the request for ten times as long at all members, so that neither a crash of its own nor
a lost message permits a second trial. A request that always crashes endpoints gets
three trials in the first day; one that was barred wrongly runs again after two minutes.

Owns the records, which are bounded in number and expire. Times are in ms of this
process's clock. Does no I/O.
"""

from collections.abc import Iterable
from functools import partial

import xxhash
from attrs import define, evolve, field, frozen

from coursekeel.quarantine._record import (
    MAX_NAME_CHARACTERS,
    Sign,
    Strike,
    SuspectRecord,
    count_crashes,
    merge_records,
)

__all__ = ["Barred", "Quarantine", "QuarantineEvent", "Trial", "cut_fingerprint"]

# A request may crash two endpoints before it is barred.
_STRIKES_TO_BAR = 3
# Each trial multiplies the bar: trials are after 2 and 22 minutes, 3.7 and 37 hours,
# three in a day, as many as the users allow.
_FIRST_BAR_MS = 120_000.0
_BAR_GROWTH = 10
# The bar grows no further after this many trials: 14 days.
_MAX_GROWTH_TRIALS = 4
# How long after the end of its bar an unchanged record is kept.
_RETENTION_MS = 86_400_000.0
_MAX_RECORDS = 512
_HOUR_MS = 3_600_000.0
# Cuts by endpoints that live are recorded under a fingerprint with this prefix. They
# prove less than crashes, so the first bar is short and the record soon dropped.
_CUT_PREFIX = "c-"
_FIRST_CUT_BAR_MS = 2_000.0
_CUT_RETENTION_MS = 60_000.0


def cut_fingerprint(fingerprint: str) -> str:
    """The fingerprint under which cuts by living endpoints are recorded."""
    return (_CUT_PREFIX + fingerprint)[:MAX_NAME_CHARACTERS]


@frozen
class Barred:
    """The request may not be sent for another ``remaining_ms``."""

    remaining_ms: float


@frozen
class Trial:
    """The bar is over: one instance may let the request run once."""


@frozen
class QuarantineEvent:
    """A request was barred or cleared; for the log and the store."""

    fingerprint: str
    barred: bool
    endpoint_ids: tuple[str, ...]


@define(eq=False)
class Quarantine:
    """This instance's records of suspect requests.

    The owner reads and clears ``events``.
    """

    events: list[QuarantineEvent] = field(factory=list)
    _records: dict[str, SuspectRecord] = field(factory=dict)
    _barred: frozenset[str] = frozenset()
    _digest: int = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def barred(self) -> int:
        """The number of barred requests, those that await a trial included."""
        return len(self._barred)

    def barred_fingerprints(self) -> list[str]:
        """The barred requests, those that await a trial included."""
        return list(self._barred)

    def record(self, fingerprint: str) -> SuspectRecord | None:
        """The record of a request; None if it isn't suspect."""
        return self._records.get(fingerprint)

    # Verdicts.

    def is_barred(self, fingerprint: str) -> bool:
        """Say whether a request is barred or awaits a trial."""
        return fingerprint in self._barred

    def verdict(self, fingerprint: str, now_ms: float) -> Barred | Trial | None:
        """Say whether a request may be sent; None if it may, without a trial."""
        if fingerprint not in self._barred:
            return None
        remaining_ms = _bar_end_ms(self._records[fingerprint]) - now_ms
        return Barred(remaining_ms) if remaining_ms > 0 else Trial()

    def begin_trial(self, fingerprint: str, now_ms: float) -> SuspectRecord:
        """Begin a trial of a barred request, which bars it for all others.

        The returned record must be sent to all members.
        """
        record = self._records[fingerprint]
        trial_record = evolve(record, trials=record.trials + 1, changed_ms=now_ms)
        self._replace(trial_record, now_ms)
        return trial_record

    def is_trial_valid(self, trial_record: SuspectRecord) -> bool:
        """Say whether the record is unchanged since `begin_trial` returned it."""
        record = self._records.get(trial_record.fingerprint)
        return record is not None and record.content == trial_record.content

    # Updates.

    def add_strike(
        self, fingerprint: str, endpoint_id: str, sign: Sign, now_ms: float
    ) -> SuspectRecord | None:
        """Record that an endpoint crashed while it had the request.

        Returns the new record, or None if nothing changed.
        """
        record = self._records.get(fingerprint) or SuspectRecord(fingerprint)
        strike = Strike.of(endpoint_id, sign, now_ms)
        if record.is_full and not record.has_strike_of(strike.endpoint_id):
            record = record.condensed(now_ms)
        struck = record.with_strike(strike)
        return struck if self._update(struck, now_ms) else None

    def clear(self, fingerprint: str, now_ms: float) -> SuspectRecord | None:
        """Clear a request that ran without crashing its endpoint.

        Returns the new record, or None if the request wasn't suspect.
        """
        record = self._records.get(fingerprint)
        if record is None or not (record.strikes or record.trials):
            return None
        cleared = SuspectRecord(fingerprint, record.epoch + 1, changed_ms=now_ms)
        self._replace(cleared, now_ms)
        return cleared

    def merge(self, received: SuspectRecord, now_ms: float) -> bool:
        """Merge a record from another member or the store; False if nothing changed."""
        if now_ms >= _expires_ms(received):
            return False
        record = self._records.get(received.fingerprint)
        merged = received if record is None else merge_records(record, received)
        return self._update(merged, now_ms)

    def forget(self, now_ms: float) -> None:
        """Remove expired records."""
        expired = [f for f, r in self._records.items() if now_ms >= _expires_ms(r)]
        for fingerprint in expired:
            self._remove(fingerprint)
        if expired:
            self._update_barred()

    # For synchronization with other members.

    @property
    def digest(self) -> str:
        """A digest of all records' content, equal at members that hold the same."""
        return f"{self._digest:016x}"

    def known(self, now_ms: float) -> list[SuspectRecord]:
        """All records, the most suspect first."""
        weight = partial(self._weight, now_ms=now_ms)
        return sorted(self._records.values(), key=weight, reverse=True)

    # Bookkeeping.

    def _update(self, record: SuspectRecord, now_ms: float) -> bool:
        """Store a record; False if only its times differ or there is no room for it."""
        known = self._records.get(record.fingerprint)
        if known is not None and known.content == record.content:
            # The merge may have moved a time back.
            self._records[record.fingerprint] = record
            return False
        self._replace(record, now_ms)
        return record.fingerprint in self._records

    def _replace(self, record: SuspectRecord, now_ms: float) -> None:
        if record.fingerprint in self._records:
            self._remove(record.fingerprint)
        self._records[record.fingerprint] = record
        self._digest ^= _hash_of(record)
        if len(self._records) > _MAX_RECORDS:
            weight = partial(self._weight, now_ms=now_ms)
            self._remove(min(self._records.values(), key=weight).fingerprint)
        self._update_barred()

    def _remove(self, fingerprint: str) -> None:
        self._digest ^= _hash_of(self._records.pop(fingerprint))

    def _weight(
        self, record: SuspectRecord, now_ms: float
    ) -> tuple[bool, int, float, str]:
        """The order of eviction, lightest first.

        Ages are in whole hours and ties go by fingerprint, so that members whose clocks
        differ slightly keep the same records.
        """
        barred = record.fingerprint in self._barred
        hours = (now_ms - record.last_change_ms) // _HOUR_MS
        return (barred, len(record.strikes), -hours, record.fingerprint)

    def _update_barred(self) -> None:
        """Find the barred requests again, and add an event for each change."""
        before, self._barred = self._barred, frozenset(self._find_barred())
        for fingerprint in sorted(before ^ self._barred):
            record = self._records.get(fingerprint, SuspectRecord(fingerprint))
            endpoint_ids = tuple(strike.endpoint_id for strike in record.strikes)
            barred = fingerprint in self._barred
            self.events.append(QuarantineEvent(fingerprint, barred, endpoint_ids))

    def _find_barred(self) -> Iterable[str]:
        suspects = [
            r for r in self._records.values() if len(r.strikes) >= _STRIKES_TO_BAR
        ]
        if not suspects:
            return
        strongest_signs = self._strongest_signs()
        for record in suspects:
            if _count_possible_crashes(record, strongest_signs) >= _STRIKES_TO_BAR:
                yield record.fingerprint

    def _strongest_signs(self) -> dict[str, int]:
        """By endpoint, the strongest sign of any request there."""
        signs: dict[str, int] = {}
        for record in self._records.values():
            for strike in record.strikes:
                known = signs.get(strike.endpoint_id, 0)
                signs[strike.endpoint_id] = max(known, strike.sign.value)
        return signs


def _hash_of(record: SuspectRecord) -> int:
    return xxhash.xxh64_intdigest(repr(record.content).encode())


def _count_possible_crashes(
    record: SuspectRecord, strongest_signs: dict[str, int]
) -> int:
    """How many separate crashes the request may have caused."""
    return count_crashes(
        strike.at_ms
        for strike in record.strikes
        if strike.sign.value == strongest_signs[strike.endpoint_id]
    )


def _bar_end_ms(record: SuspectRecord) -> float:
    growth = float(_BAR_GROWTH ** min(record.trials, _MAX_GROWTH_TRIALS))
    first_ms = _FIRST_CUT_BAR_MS if _records_cuts(record) else _FIRST_BAR_MS
    return record.last_change_ms + first_ms * growth


def _expires_ms(record: SuspectRecord) -> float:
    kept_ms = _CUT_RETENTION_MS if _records_cuts(record) else _RETENTION_MS
    return _bar_end_ms(record) + kept_ms


def _records_cuts(record: SuspectRecord) -> bool:
    return record.fingerprint.startswith(_CUT_PREFIX)

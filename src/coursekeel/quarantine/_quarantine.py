"""Quarantine: may a request be sent, under which endpoints have ended?

Rule: a request is barred once three endpoints ended under it. Of the requests that an
endpoint had when it ended only the likeliest count: those that had begun there and
given nothing, if there are any; else those that had just begun to give; else all
(`Sign`). Endpoints that ended at the same moment count as one, since no request ends a
whole availability zone at once. Whatever is answered, or gave for longer than a moment,
is proved sound and begins anew.

A barred request gets back: when its bar is over one instance may let it run once, and
bars it for ten times as long before it does, so that neither its own end nor a lost
message lets another try. So a request that does end its servers has three more in a
day, and one that was barred wrongly is back after two minutes.

Owns the records, which are bounded in number and forgotten in time. A core: each moment
is given, in ms of this process's clock.
"""

import math
from collections.abc import Iterable
from functools import partial

import xxhash
from attrs import define, evolve, field, frozen

from coursekeel.quarantine._record import Sign, Strike, SuspectRecord, merged

__all__ = ["Barred", "Quarantine", "QuarantineEvent", "Trial"]

# The users' bound counts from the third endpoint that a request ended.
_STRIKES = 3
# Ends that lie closer together than this have one cause. A request that ended one
# endpoint needs at least 55 ms to end the next (58 ends of a recorded day), and the
# resets of one moment are seen within a few ms, or tens on a busy instance.
_TOGETHER_MS = 30.0
# The first bar, and how much longer each next one is: trials after 2 and 22 minutes,
# 3.7 and 37 hours, three in a day, as many as the users allow.
_BAR_MS = 120_000.0
_LONGER = 10  # see above
# Longer bars than this are none of a request's that still exists: 14 days.
_MOST_TRIALS = 4
# A record of which nothing more was heard is kept for a day after its bar.
_FORGOTTEN_MS = 86_400_000.0
# Requests that are remembered; beyond that the least suspect go first, of these the
# oldest by the hour, and then by their fingerprints: members whose clocks differ by
# some ms must keep the same ones, or they would send each other the rest for ever. 512
# are 65 datagrams (`bench.quarantine`).
_MAX_RECORDS = 512
_HOUR_MS = 3_600_000.0  # see above


@frozen
class Barred:
    """The request may not be sent for ``left_ms``."""

    left_ms: float


@frozen
class Trial:
    """The bar is over: one instance may let the request run once."""


@frozen
class QuarantineEvent:
    """Something for the log: a request was barred, or is no longer."""

    fingerprint: str
    barred: bool
    endpoint_ids: tuple[str, ...]


@define(eq=False)
class Quarantine:
    """What this instance knows of requests under which endpoints ended."""

    events: list[QuarantineEvent] = field(factory=list)
    _records: dict[str, SuspectRecord] = field(factory=dict)
    _barred: frozenset[str] = frozenset()
    _digest: int = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def barred(self) -> int:
        """How many requests are barred, those included whose bar is over."""
        return len(self._barred)

    def barred_fingerprints(self) -> list[str]:
        """The requests that are barred, those included whose bar is over."""
        return list(self._barred)

    def record(self, fingerprint: str) -> SuspectRecord | None:
        """What is known of a request."""
        return self._records.get(fingerprint)

    # May it be sent?

    def is_barred(self, fingerprint: str) -> bool:
        """Say whether a request is barred, or was and its bar is over."""
        return fingerprint in self._barred

    def verdict(self, fingerprint: str, now_ms: float) -> Barred | Trial | None:
        """Say whether a request may be sent; None if nothing speaks against it."""
        if fingerprint not in self._barred:
            return None
        left_ms = _bar_end_ms(self._records[fingerprint]) - now_ms
        return Barred(left_ms) if left_ms > 0 else Trial()

    def begin_trial(self, fingerprint: str, now_ms: float) -> SuspectRecord:
        """Let a request run once; for all others it is barred from now on."""
        record = self._records[fingerprint]
        tried = evolve(record, trials=record.trials + 1, changed_ms=now_ms)
        self._put(tried, now_ms)
        return tried

    def trial_stands(self, tried: SuspectRecord) -> bool:
        """Say whether nothing was learned since a trial began."""
        record = self._records.get(tried.fingerprint)
        return record is not None and record.content == tried.content

    # What is learned.

    def strike(
        self, fingerprint: str, endpoint_id: str, sign: Sign, now_ms: float
    ) -> SuspectRecord | None:
        """An endpoint ended while it had the request; None if that was known."""
        record = self._records.get(fingerprint) or SuspectRecord(fingerprint)
        struck = record.struck(Strike.of(endpoint_id, sign, now_ms))
        return struck if self._take(struck, now_ms) else None

    def proved_sound(self, fingerprint: str, now_ms: float) -> SuspectRecord | None:
        """The request ran and its endpoint lives; None if it wasn't suspect."""
        record = self._records.get(fingerprint)
        if record is None or not (record.strikes or record.trials):
            return None
        sound = SuspectRecord(fingerprint, record.epoch + 1, changed_ms=now_ms)
        self._put(sound, now_ms)
        return sound

    def merge(self, told: SuspectRecord, now_ms: float) -> bool:
        """Take what another member knows; False if it is nothing new."""
        if now_ms >= _forgotten_ms(told):
            return False
        record = self._records.get(told.fingerprint)
        both = told if record is None else merged(record, told)
        return self._take(both, now_ms)

    def forget(self, now_ms: float) -> None:
        """Drop what is too old to matter."""
        old = [f for f, each in self._records.items() if now_ms >= _forgotten_ms(each)]
        for each in old:
            self._drop(each)
        if old:
            self._judge()

    # What is told.

    @property
    def digest(self) -> str:
        """The same at all members that know the same."""
        return f"{self._digest:016x}"

    def known(self, now_ms: float) -> list[SuspectRecord]:
        """All records, the most suspect first."""
        heaviest = partial(self._weight, now_ms=now_ms)
        return sorted(self._records.values(), key=heaviest, reverse=True)

    # Bookkeeping.

    def _take(self, record: SuspectRecord, now_ms: float) -> bool:
        known = self._records.get(record.fingerprint)
        if known is not None and known.content == record.content:
            # Not news; but of the same word the older counts.
            self._records[record.fingerprint] = record
            return False
        self._put(record, now_ms)
        return record.fingerprint in self._records

    def _put(self, record: SuspectRecord, now_ms: float) -> None:
        if record.fingerprint in self._records:
            self._drop(record.fingerprint)
        self._records[record.fingerprint] = record
        self._digest ^= _hash_of(record)
        if len(self._records) > _MAX_RECORDS:
            lightest = partial(self._weight, now_ms=now_ms)
            self._drop(min(self._records.values(), key=lightest).fingerprint)
        self._judge()

    def _drop(self, fingerprint: str) -> None:
        self._digest ^= _hash_of(self._records.pop(fingerprint))

    def _weight(
        self, record: SuspectRecord, now_ms: float
    ) -> tuple[bool, int, float, str]:
        barred = record.fingerprint in self._barred
        hours = (now_ms - record.last_ms) // _HOUR_MS
        return (barred, len(record.strikes), -hours, record.fingerprint)

    def _judge(self) -> None:
        """Find who is barred now, and tell of who wasn't or was before."""
        before, self._barred = self._barred, frozenset(self._guilty())
        for each in sorted(before ^ self._barred):
            record = self._records.get(each, SuspectRecord(each))
            struck = tuple(strike.endpoint_id for strike in record.strikes)
            barred = each in self._barred
            self.events.append(QuarantineEvent(each, barred, struck))

    def _guilty(self) -> Iterable[str]:
        suspects = [r for r in self._records.values() if len(r.strikes) >= _STRIKES]
        if not suspects:
            return
        likeliest = self._likeliest()
        for each in suspects:
            if _ends(each, likeliest) >= _STRIKES:
                yield each.fingerprint

    def _likeliest(self) -> dict[str, int]:
        """By endpoint, the strongest sign that any request has there."""
        found: dict[str, int] = {}
        for record in self._records.values():
            for each in record.strikes:
                known = found.get(each.endpoint_id, 0)
                found[each.endpoint_id] = max(known, each.sign.value)
        return found


def _hash_of(record: SuspectRecord) -> int:
    return xxhash.xxh64_intdigest(repr(record.content).encode())


def _ends(record: SuspectRecord, likeliest: dict[str, int]) -> int:
    """How many endpoints the request ended, as far as can be told."""
    moments = sorted(
        each.at_ms
        for each in record.strikes
        if each.sign.value == likeliest[each.endpoint_id]
    )
    count, last_ms = 0, -math.inf
    for each in moments:
        count += each - last_ms > _TOGETHER_MS
        last_ms = each
    return count


def _bar_end_ms(record: SuspectRecord) -> float:
    longer = float(_LONGER ** min(record.trials, _MOST_TRIALS))
    return record.last_ms + _BAR_MS * longer


def _forgotten_ms(record: SuspectRecord) -> float:
    return _bar_end_ms(record) + _FORGOTTEN_MS

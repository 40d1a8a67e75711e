"""Decides how long the next run of a suspect request waits, so that copies take turns.

Crashes that coincide count as one (`coursekeel.quarantine`), so copies of one request
that start at the same moment at several instances would crash an endpoint each for
every strike that counts. Two rules prevent that:

- After a loss the request waits until the endpoint's probe has ended and, if that
  endpoint crashed, until the other members have the strike. Both waits are short.
- While strikes of a request coincide, its copies start one after another: each member
  has its place in an order by hash, and copies at one member follow each other. The
  wait begins anew with each further strike, so the first copy decides for the rest.

A request that is cleared, or barred, waits no longer. Times are in ms of this process's
clock. Does no I/O.
"""

import math
from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash
from attrs import define, field, frozen

from coursekeel.quarantine import Quarantine, SuspectRecord

__all__ = ["PacingSettings", "RunPacing", "WantedRun"]

# Longer than a crash takes from the start of the run until all members know of it: a
# request of this kind crashes its endpoint after 54 to 121 ms.
_TURN_MS = 150.0
# The last member's turn begins at most this long after the first one's.
_MAX_TURNS_MS = 2_000.0
# As many requests as `Quarantine` keeps records of.
_MAX_REQUESTS = 512

_ValueT = TypeVar("_ValueT")


@frozen
class PacingSettings:
    """How long a request waits after a loss, at most.

    ``probe_ms``: for the probe of its endpoint. ``news_ms``: after a crash, for other
    members to exchange strikes with this one.
    """

    probe_ms: float
    news_ms: float


@frozen
class WantedRun:
    """A run that is to start: its request, its ``holder``, and since when it waits."""

    fingerprint: str
    holder: int
    since_ms: float


@frozen
class _Start:
    holder: int
    at_ms: float


@define(eq=False)
class RunPacing:
    """The waits of this instance's requests.

    ``own`` identifies this member, ``others`` returns the ids of all others.
    """

    quarantine: Quarantine
    own: str
    others: Callable[[], Iterable[str]]
    settings: PacingSettings
    _last_starts: dict[str, _Start] = field(factory=dict)
    _settled_ms: dict[str, float] = field(factory=dict)

    @property
    def is_waiting(self) -> bool:
        """Whether a request may wait for a probe or for other members."""
        return bool(self._settled_ms)

    def run_lost(self, fingerprint: str, now_ms: float) -> None:
        """Hold the request for the probe of an endpoint that may have crashed."""
        self._drop_ended_waits(now_ms)
        _put(self._settled_ms, fingerprint, now_ms + self.settings.probe_ms)

    def endpoint_crashed(self, fingerprint: str, now_ms: float) -> None:
        """Hold the request until the other members have the strike."""
        _put(self._settled_ms, fingerprint, now_ms + self.settings.news_ms)

    def settled(self, fingerprint: str) -> None:
        """End the wait: nothing crashed, or all members have the strike."""
        self._settled_ms.pop(fingerprint, None)

    def run_started(self, fingerprint: str, holder: int, now_ms: float) -> None:
        """Note the start of a run; only requests with strikes are noted."""
        if self.quarantine.record(fingerprint) is not None:
            _put(self._last_starts, fingerprint, _Start(holder, now_ms))

    def hold_ms(self, run: WantedRun, now_ms: float) -> float:
        """How long the run waits from now if nothing changes; 0 if it may start."""
        if self.quarantine.is_barred(run.fingerprint):
            return 0.0
        self._drop_ended_waits(now_ms)
        starts_ms = self._settled_ms.get(run.fingerprint, -math.inf)
        record = self.quarantine.record(run.fingerprint)
        if record is not None and record.has_coinciding_strikes:
            starts_ms = max(starts_ms, self._turn_ms(run, record))
        return max(0.0, starts_ms - now_ms)

    def _drop_ended_waits(self, now_ms: float) -> None:
        for fingerprint in [f for f, at in self._settled_ms.items() if at <= now_ms]:
            del self._settled_ms[fingerprint]

    def _turn_ms(self, run: WantedRun, record: SuspectRecord) -> float:
        others = list(self.others())
        turn_ms = min(_TURN_MS, _MAX_TURNS_MS / (len(others) + 1))
        place = _hash_of(run.fingerprint, self.own)
        rank = sum(_hash_of(run.fingerprint, other) < place for other in others)
        starts_ms = max(run.since_ms, record.last_strike_ms) + rank * turn_ms
        last = self._last_starts.get(run.fingerprint)
        if last is not None and last.holder != run.holder:
            starts_ms = max(starts_ms, last.at_ms + _TURN_MS)
        return starts_ms


def _hash_of(fingerprint: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{fingerprint} {member}".encode())


def _put(entries: dict[str, _ValueT], key: str, value: _ValueT) -> None:
    """Put an entry last, and drop the first one if there are too many."""
    entries.pop(key, None)
    entries[key] = value
    if len(entries) > _MAX_REQUESTS:
        del entries[next(iter(entries))]

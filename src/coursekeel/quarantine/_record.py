"""The record of one suspect request, and how two copies of it are merged.

The merge is commutative, associative and idempotent, so members that received the same
records agree in any order of delivery. The record with the higher epoch wins, since
each epoch begins with a run that cleared the request, or with a record that was full
and kept only some of its strikes; within one epoch strikes are united. Times are in ms
of this process's clock. Does no I/O.
"""

import math
from collections.abc import Iterable
from enum import Enum

import xxhash
from attrs import evolve, field, frozen

__all__ = [
    "MAX_NAME_CHARACTERS",
    "Sign",
    "Strike",
    "SuspectRecord",
    "count_crashes",
    "merge_records",
]

# Strikes that follow each other within this time have one cause: the resets of one
# failure are seen within tens of ms, and a repeated request usually takes longer: at
# least 55 ms between 58 crashes of a recorded day.
_SAME_CAUSE_MS = 30.0

# Three strikes bar a request; a zone that fails adds many at one time. A record with
# this many still fits one datagram.
_MAX_STRIKES = 12
_CONDENSED_STRIKES = 6
# The length of a fingerprint; longer endpoint ids are hashed, so that a record with the
# most strikes fits one datagram.
MAX_NAME_CHARACTERS = 24


class Sign(Enum):
    """What a lost run had shown at its endpoint, from least to most suspicious.

    ``UNSEEN``: nothing, so that it may not have begun. ``GAVE``: output, but only since
    shortly before. ``BEGAN``: it had begun and produced no output.
    """

    UNSEEN = 1
    GAVE = 2
    BEGAN = 3


@frozen
class Strike:
    """One endpoint that crashed while it had the request; create it with `of`."""

    endpoint_id: str
    sign: Sign
    at_ms: float

    @classmethod
    def of(cls, endpoint_id: str, sign: Sign, at_ms: float) -> "Strike":
        """A strike whose endpoint id is hashed if it is too long for a datagram."""
        if len(endpoint_id) > MAX_NAME_CHARACTERS:
            endpoint_id = xxhash.xxh64_hexdigest(endpoint_id.encode())
        return cls(endpoint_id, sign, at_ms)


@frozen
class SuspectRecord:
    """What is recorded of one request, by its fingerprint.

    ``epoch`` counts how often it was cleared or condensed, ``trials`` how often it was
    let run since it was barred; ``changed_ms`` is when either last changed.
    """

    fingerprint: str
    epoch: int = 0
    trials: int = 0
    changed_ms: float = float("-inf")
    strikes: tuple[Strike, ...] = field(default=())

    @property
    def last_change_ms(self) -> float:
        """When the epoch, the trials or the strikes last changed."""
        return max([self.changed_ms, *(strike.at_ms for strike in self.strikes)])

    @property
    def last_strike_ms(self) -> float:
        """When the last strike was; minus infinity without one."""
        return max((strike.at_ms for strike in self.strikes), default=-math.inf)

    @property
    def separate_crashes(self) -> int:
        """How many crashes the strikes count as."""
        return count_crashes(strike.at_ms for strike in self.strikes)

    @property
    def has_coinciding_strikes(self) -> bool:
        """Whether endpoints crashed together, so that they count as one crash."""
        return self.separate_crashes < len(self.strikes)

    @property
    def content(self) -> tuple[object, ...]:
        """What members compare: all but the times, since their clocks differ."""
        strikes = tuple((x.endpoint_id, x.sign.value) for x in self.strikes)
        return (self.fingerprint, self.epoch, self.trials, strikes)

    def condensed(self, now_ms: float) -> "SuspectRecord":
        """A copy in a new epoch with fewer strikes that count as many crashes.

        Of strikes that coincide, the weaker signs are dropped first.
        """
        kept = self.strikes
        for strike in sorted(self.strikes, key=lambda x: (x.sign.value, x.at_ms)):
            if len(kept) <= _CONDENSED_STRIKES:
                break
            fewer = tuple(each for each in kept if each is not strike)
            if count_crashes(each.at_ms for each in fewer) == self.separate_crashes:
                kept = fewer
        return evolve(self, epoch=self.epoch + 1, changed_ms=now_ms, strikes=kept)

    def has_strike_of(self, endpoint_id: str) -> bool:
        """Whether this endpoint crashed while it had the request."""
        return any(strike.endpoint_id == endpoint_id for strike in self.strikes)

    @property
    def is_full(self) -> bool:
        """Whether the strike of a further endpoint may find no room."""
        return len(self.strikes) >= _MAX_STRIKES

    def with_strike(self, strike: Strike) -> "SuspectRecord":
        """A copy with one strike more."""
        return evolve(self, strikes=_merge_strikes(self.strikes, (strike,)))


def count_crashes(times_ms: Iterable[float]) -> int:
    """How many separate crashes there were; those that coincide count as one."""
    count, last_ms = 0, -math.inf
    for at_ms in sorted(times_ms):
        count += at_ms - last_ms > _SAME_CAUSE_MS
        last_ms = at_ms
    return count


def merge_records(one: SuspectRecord, other: SuspectRecord) -> SuspectRecord:
    """Merge two records of one request.

    Of equal changes the earlier time counts: ages grow inaccurate on their way, and the
    later one would move forward with each round of gossip.
    """
    if one.epoch != other.epoch:
        return max(one, other, key=lambda record: record.epoch)
    newer, older = sorted((one, other), key=lambda record: -record.trials)
    changed_ms = newer.changed_ms
    if newer.trials == older.trials:
        changed_ms = min(newer.changed_ms, older.changed_ms)
    return evolve(
        newer,
        changed_ms=changed_ms,
        strikes=_merge_strikes(one.strikes, other.strikes),
    )


def _merge_strikes(
    one: tuple[Strike, ...], other: tuple[Strike, ...]
) -> tuple[Strike, ...]:
    """One strike for each endpoint: the strongest sign and the earliest time."""
    by_endpoint: dict[str, Strike] = {}
    for strike in (*one, *other):
        known = by_endpoint.get(strike.endpoint_id, strike)
        sign = max(known.sign, strike.sign, key=lambda sign: sign.value)
        at_ms = min(known.at_ms, strike.at_ms)
        by_endpoint[strike.endpoint_id] = Strike(strike.endpoint_id, sign, at_ms)
    ordered = sorted(by_endpoint.values(), key=lambda strike: strike.endpoint_id)
    return tuple(ordered[:_MAX_STRIKES])

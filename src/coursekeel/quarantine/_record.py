"""The record of one suspect request, and how two copies of it are merged.

The merge is commutative, associative and idempotent, so members that received the same
records agree in any order of delivery. The record with the higher epoch wins, since
each epoch begins with a run that cleared the request; within one epoch strikes are
united. Times are in ms of this process's clock. Does no I/O.
"""

from enum import Enum

import xxhash
from attrs import evolve, field, frozen

__all__ = ["MAX_NAME_CHARACTERS", "Sign", "Strike", "SuspectRecord", "merge_records"]

# Three strikes bar a request; a zone that fails adds many at one time. A record with
# this many still fits one datagram.
_MAX_STRIKES = 12
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

    ``epoch`` counts how often it was cleared, ``trials`` how often it was let run in
    this epoch after it was barred; ``changed_ms`` is when either last changed.
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
    def content(self) -> tuple[object, ...]:
        """What members compare: all but the times, since their clocks differ."""
        strikes = tuple((x.endpoint_id, x.sign.value) for x in self.strikes)
        return (self.fingerprint, self.epoch, self.trials, strikes)

    def with_strike(self, strike: Strike) -> "SuspectRecord":
        """A copy with one strike more."""
        return evolve(self, strikes=_merge_strikes(self.strikes, (strike,)))


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

"""What is known of one request under which endpoints ended, as all members merge it.

Owns the form of a record and its merge, which is the same in any order and however
often it is done: the higher epoch counts alone, since a request that was proved sound
begins anew; within one, endpoints are added up. A core: moments are of this process's
clock, in ms.
"""

from enum import Enum

import xxhash
from attrs import evolve, field, frozen

__all__ = ["MAX_NAME", "Sign", "Strike", "SuspectRecord", "merged"]

# Endpoints in one record. Three end it; more are those that ended at the same moment,
# of which as many fit one datagram.
_MAX_STRIKES = 12
# Fingerprints have 24 characters; longer ids of endpoints are hashed. A datagram bears
# a record with the most endpoints.
MAX_NAME = 24


class Sign(Enum):
    """What was seen of a run at an endpoint that ended under it; the likeliest last.

    ``UNSEEN``: nothing, so that it may not have begun. ``GAVE``: it had begun to give
    its answer a moment ago. ``BEGAN``: it began, and gave nothing.
    """

    UNSEEN = 1
    GAVE = 2
    BEGAN = 3


@frozen
class Strike:
    """One endpoint that ended while it had the request; made by `of`."""

    endpoint_id: str
    sign: Sign
    at_ms: float

    @classmethod
    def of(cls, endpoint_id: str, sign: Sign, at_ms: float) -> "Strike":
        """A strike by an endpoint's id, however long a site makes its ids.

        A long one is known here by its hash, or a record would fit no datagram.
        """
        if len(endpoint_id) > MAX_NAME:
            endpoint_id = xxhash.xxh64_hexdigest(endpoint_id.encode())
        return cls(endpoint_id, sign, at_ms)


@frozen
class SuspectRecord:
    """One request, by its fingerprint.

    ``epoch`` is how often it was proved sound, ``trials`` how often it was let run
    after it was barred, both at ``changed_ms`` last.
    """

    fingerprint: str
    epoch: int = 0
    trials: int = 0
    changed_ms: float = float("-inf")
    strikes: tuple[Strike, ...] = field(default=())

    @property
    def last_ms(self) -> float:
        """When the last thing was learned of it."""
        return max([self.changed_ms, *(each.at_ms for each in self.strikes)])

    @property
    def content(self) -> tuple[object, ...]:
        """What two members must agree in; their clocks differ."""
        struck = tuple((each.endpoint_id, each.sign.value) for each in self.strikes)
        return (self.fingerprint, self.epoch, self.trials, struck)

    def struck(self, strike: Strike) -> "SuspectRecord":
        """The same with one endpoint more."""
        return evolve(self, strikes=_union(self.strikes, (strike,)))


def merged(one: SuspectRecord, other: SuspectRecord) -> SuspectRecord:
    """What both together know. Of the same word the older counts, or echoes that take
    time on their way would make it ever younger."""
    if one.epoch != other.epoch:
        return max(one, other, key=lambda each: each.epoch)
    newer, older = sorted((one, other), key=lambda each: -each.trials)
    changed_ms = newer.changed_ms
    if newer.trials == older.trials:
        changed_ms = min(newer.changed_ms, older.changed_ms)
    return evolve(
        newer, changed_ms=changed_ms, strikes=_union(one.strikes, other.strikes)
    )


def _union(one: tuple[Strike, ...], other: tuple[Strike, ...]) -> tuple[Strike, ...]:
    found: dict[str, Strike] = {}
    for each in (*one, *other):
        known = found.get(each.endpoint_id, each)
        sign = max(known.sign, each.sign, key=lambda sign: sign.value)
        at_ms = min(known.at_ms, each.at_ms)
        found[each.endpoint_id] = Strike(each.endpoint_id, sign, at_ms)
    ordered = sorted(found.values(), key=lambda each: each.endpoint_id)
    return tuple(ordered[:_MAX_STRIKES])

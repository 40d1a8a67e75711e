"""What was seen of each version's answers, as counters that only grow.

Rule: each instance counts its own requests' ends by route and side. A counter belongs
to one life of one instance, and of two values of it the greater counts, so that a
message that is repeated, late or out of order changes nothing. Routes share a bounded
number of rows by hashing, and latencies fall into buckets, so that what an instance
tells has a bounded size.

Owns the counters. A core.
"""

import math
from collections.abc import Iterable

import xxhash
from attrs import define, field, frozen

from coursekeel.canary._model import Side

__all__ = ["ROUTE_ROWS", "Evidence", "RowKey", "Tally", "latency_bucket", "row_of"]

# Routes that share a row hide a fault of one of them behind the other; more rows make
# more datagrams.
ROUTE_ROWS = 8
# Each bucket is the square root of two wider than the one before; 32 reach a minute.
_BUCKETS_A_DOUBLING = 2
_LAST_BUCKET = 32

RowKey = tuple[int, Side]


def row_of(route: str) -> int:
    """The row that counts a route's requests."""
    return xxhash.xxh64_intdigest(route.encode()) % ROUTE_ROWS


def latency_bucket(took_ms: float) -> int:
    """The bucket of a latency; a millisecond or less is in the first."""
    if took_ms <= 1:
        return 0
    return min(math.ceil(_BUCKETS_A_DOUBLING * math.log2(took_ms)), _LAST_BUCKET)


@frozen
class Tally:
    """``answers`` came to an end, ``failed`` of them badly.

    ``latencies`` counts the others by their bucket.
    """

    answers: int = 0
    failed: int = 0
    latencies: tuple[int, ...] = (0,) * (_LAST_BUCKET + 1)

    def plus(self, other: "Tally") -> "Tally":
        """Both together."""
        pairs = zip(self.latencies, other.latencies, strict=True)
        return Tally(
            self.answers + other.answers,
            self.failed + other.failed,
            tuple(a + b for a, b in pairs),
        )

    def minus(self, other: "Tally") -> "Tally":
        """What came since ``other``."""
        pairs = zip(self.latencies, other.latencies, strict=True)
        return Tally(
            self.answers - other.answers,
            self.failed - other.failed,
            tuple(a - b for a, b in pairs),
        )

    def at_least(self, other: "Tally") -> "Tally":
        """The greater of each counter."""
        pairs = zip(self.latencies, other.latencies, strict=True)
        return Tally(
            max(self.answers, other.answers),
            max(self.failed, other.failed),
            tuple(max(a, b) for a, b in pairs),
        )

    def ended(self, failed: bool, took_ms: float) -> "Tally":
        """One more answer."""
        if failed:
            return Tally(self.answers + 1, self.failed + 1, self.latencies)
        counts = list(self.latencies)
        counts[latency_bucket(took_ms)] += 1
        return Tally(self.answers + 1, self.failed, tuple(counts))

    def slower_than(self, bucket: int) -> int:
        """How many took longer than a bucket's."""
        return sum(self.latencies[bucket + 1 :])


@define
class Evidence:
    """All instances' tallies, summed as they come in."""

    totals: dict[RowKey, Tally] = field(factory=dict)
    _cells: dict[tuple[str, int, RowKey], Tally] = field(factory=dict)

    def take(
        self, instance: str, life: int, rows: Iterable[tuple[RowKey, Tally]]
    ) -> None:
        """Take what one life of an instance has counted so far."""
        for key, tally in rows:
            cell = (instance, life, key)
            before = self._cells.get(cell, Tally())
            after = before.at_least(tally)
            self._cells[cell] = after
            grown = after.minus(before)
            self.totals[key] = self.totals.get(key, Tally()).plus(grown)

    def answers(self, side: Side) -> int:
        """How many of a side's requests came to an end."""
        return sum(t.answers for (_, of), t in self.totals.items() if of is side)

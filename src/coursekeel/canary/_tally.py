"""Counts the answers of the old and the new version, in counters that only grow.

Rule: each instance counts the answers to its own requests by route and side. A counter
belongs to one incarnation of one instance's process, and the greater of two values
counts, so that messages may be repeated, delayed or reordered. Routes are hashed to a
fixed number of rows, and latencies are counted in buckets, so that reports have a
bounded size.

Owns the counters. Does no I/O.
"""

import math
from collections.abc import Iterable

import xxhash
from attrs import define, field, frozen

from coursekeel.canary._model import Side

__all__ = [
    "ROUTE_ROWS",
    "Evidence",
    "RowKey",
    "Tally",
    "latency_bucket",
    "row_for_route",
]

# Routes that share a row may hide each other's faults; more rows need more datagrams.
ROUTE_ROWS = 8
# Bounds of buckets grow by the square root of two; the last one begins at 46 s.
_BUCKETS_PER_DOUBLING = 2
_LAST_BUCKET = 32

RowKey = tuple[int, Side]


def row_for_route(route: str) -> int:
    """The number of the row that counts a route's answers."""
    return xxhash.xxh64_intdigest(route.encode()) % ROUTE_ROWS


def latency_bucket(took_ms: float) -> int:
    """The bucket of a latency; the first holds those up to a millisecond."""
    if took_ms <= 1:
        return 0
    return min(math.ceil(_BUCKETS_PER_DOUBLING * math.log2(took_ms)), _LAST_BUCKET)


@frozen
class Tally:
    """Counts of all ``answers``, and of those that ``failed``.

    ``latencies`` counts the others by bucket (`latency_bucket`).
    """

    answers: int = 0
    failed: int = 0
    latencies: tuple[int, ...] = (0,) * (_LAST_BUCKET + 1)

    def plus(self, other: "Tally") -> "Tally":
        """The sum of both."""
        pairs = zip(self.latencies, other.latencies, strict=True)
        return Tally(
            self.answers + other.answers,
            self.failed + other.failed,
            tuple(a + b for a, b in pairs),
        )

    def minus(self, other: "Tally") -> "Tally":
        """The answers since ``other``, an earlier value of the same counters."""
        pairs = zip(self.latencies, other.latencies, strict=True)
        return Tally(
            self.answers - other.answers,
            self.failed - other.failed,
            tuple(a - b for a, b in pairs),
        )

    def maximum(self, other: "Tally") -> "Tally":
        """The greater of each counter."""
        pairs = zip(self.latencies, other.latencies, strict=True)
        return Tally(
            max(self.answers, other.answers),
            max(self.failed, other.failed),
            tuple(max(a, b) for a, b in pairs),
        )

    def with_answer(self, failed: bool, took_ms: float) -> "Tally":
        """A copy with one answer more; its latency counts if it didn't fail."""
        if failed:
            return Tally(self.answers + 1, self.failed + 1, self.latencies)
        counts = list(self.latencies)
        counts[latency_bucket(took_ms)] += 1
        return Tally(self.answers + 1, self.failed, tuple(counts))

    def slower_than(self, bucket: int) -> int:
        """The number of good answers in buckets above ``bucket``."""
        return sum(self.latencies[bucket + 1 :])


@define
class Evidence:
    """The sums of all instances' tallies, by row and side."""

    totals: dict[RowKey, Tally] = field(factory=dict)
    _counters: dict[tuple[str, int, RowKey], Tally] = field(factory=dict)

    def update(
        self, instance: str, incarnation: int, rows: Iterable[tuple[RowKey, Tally]]
    ) -> None:
        """Merge a report; ``incarnation`` is that of the instance's process."""
        for key, tally in rows:
            counter_id = (instance, incarnation, key)
            before = self._counters.get(counter_id, Tally())
            after = before.maximum(tally)
            self._counters[counter_id] = after
            grown = after.minus(before)
            self.totals[key] = self.totals.get(key, Tally()).plus(grown)

    def answers(self, side: Side) -> int:
        """The number of a side's answers, failed ones included."""
        return sum(t.answers for (_, s), t in self.totals.items() if s is side)

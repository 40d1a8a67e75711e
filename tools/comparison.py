"""Tell a gain from luck: two runs of the same days and seeds, pair by pair.

A pair is one day with one seed, played by both source trees. The mean difference comes
with an interval by bootstrap over the pairs; a change gains if it lies above zero. Owns
nothing; relies on the journal entries that the bench writes.
"""

from collections.abc import Iterable, Sequence
from pathlib import Path
from random import Random
from statistics import fmean

import orjson
from attrs import frozen

__all__ = ["Comparison", "Interval", "PlayedDay", "compare", "interval", "read_entry"]

# Resamples of the bootstrap; the interval's ends move by some thousandths between two
# seeds of it.
_RESAMPLES = 2_000
# The interval holds nine of ten resampled means.
_TAIL = 0.05


@frozen
class PlayedDay:
    """One day of an entry. ``figures`` holds each part, price and class by its name."""

    name: str
    worth: float
    rules: tuple[str, ...]
    figures: dict[str, float]

    @property
    def day(self) -> str:
        """The day's name without its seed."""
        return self.name.rpartition("-s")[0] or self.name


@frozen
class Interval:
    """A mean and the bounds that nine of ten resampled means keep."""

    mean: float
    low: float
    high: float


@frozen
class Comparison:
    """Pairs of the same day and seed, the earlier tree's first."""

    pairs: tuple[tuple[PlayedDay, PlayedDay], ...]

    def lines(self) -> Iterable[str]:
        """The report: broken rules, days, all, then what moved."""
        for tree, index in (("before", 0), ("after", 1)):
            for pair in self.pairs:
                if pair[index].rules:
                    rules = ", ".join(pair[index].rules)
                    yield f"BROKEN {tree} {pair[index].name}: {rules}"
        days = sorted({before.day for before, _ in self.pairs})
        for day in days:
            yield self._row(day, [p for p in self.pairs if p[0].day == day])
        yield self._row("all", self.pairs)
        yield from self._moved()

    def _row(self, name: str, pairs: Sequence[tuple[PlayedDay, PlayedDay]]) -> str:
        before = fmean(each.worth for each, _ in pairs)
        after = fmean(each.worth for _, each in pairs)
        found = interval([b.worth - a.worth for a, b in pairs])
        bounds = f"[{found.low:+.3f}, {found.high:+.3f}]"
        return (
            f"{name:<12} {before:.3f} -> {after:.3f}  {found.mean:+.3f} {bounds}"
            f"  {len(pairs)} pairs"
        )

    def _moved(self) -> Iterable[str]:
        names = list(dict.fromkeys(n for p in self.pairs for n in p[0].figures))
        for name in names:
            before = fmean(a.figures.get(name, 0.0) for a, _ in self.pairs)
            after = fmean(b.figures.get(name, 0.0) for _, b in self.pairs)
            if round(before, 4) != round(after, 4):
                yield f"  {name:<45} {before:.4f} -> {after:.4f}"


def read_entry(path: Path) -> list[PlayedDay]:
    """The days of a journal entry that were played to their end."""
    entry = orjson.loads(path.read_bytes())
    return [_played(each) for each in entry["days"] if each.get("G") is not None]


def _played(day: dict[str, object]) -> PlayedDay:
    figures = {f"part: {name}": value for name, _, value in _rows(day["parts"])}
    figures |= {f"price: {name}": value for name, _, value in _rows(day["prices"])}
    classes = day.get("by_class") or []
    assert isinstance(classes, list)
    figures |= {f"class {n}: worth": v for n, v in enumerate(classes) if v is not None}
    for share in ("served", "refused", "failed"):
        figures[share] = float(str(day[share]))
    rules = day.get("rules") or {}
    assert isinstance(rules, dict)
    return PlayedDay(str(day["name"]), float(str(day["G"])), tuple(rules), figures)


def _rows(value: object) -> list[tuple[str, float, float]]:
    assert isinstance(value, list)
    return [(str(name), float(count), float(worth)) for name, count, worth in value]


def compare(before: Iterable[PlayedDay], after: Iterable[PlayedDay]) -> Comparison:
    """Pair the days that both have; raises `ValueError` if there are none."""
    later = {each.name: each for each in after}
    pairs = tuple((each, later[each.name]) for each in before if each.name in later)
    if not pairs:
        raise ValueError("the entries have no day and seed in common")
    return Comparison(pairs)


def interval(differences: Sequence[float]) -> Interval:
    """The mean of the differences, and its bounds by bootstrap."""
    random = Random(0)
    count = len(differences)
    means = sorted(
        fmean(random.choices(differences, k=count)) for _ in range(_RESAMPLES)
    )
    low = means[int(_TAIL * _RESAMPLES)]
    high = means[int((1 - _TAIL) * _RESAMPLES) - 1]
    return Interval(fmean(differences), low, high)

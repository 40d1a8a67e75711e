"""Limits the number of time series of a metric."""

from attrs import define, field

__all__ = ["LabelSets"]

OTHER = "other"


@define
class LabelSets:
    """Passes the first ``max_sets`` label sets on and replaces later values by "other".

    A series exists until its process ends, while configurations may add and remove
    thousands of routes in a day.
    """

    max_sets: int
    kept: tuple[str, ...] = ()
    _seen: set[tuple[str, ...]] = field(factory=set)

    def of(self, labels: dict[str, str]) -> dict[str, str]:
        """Return the labels to use; those named in ``kept`` always keep their value."""
        key = tuple(labels.values())
        if key in self._seen or len(self._seen) < self.max_sets:
            self._seen.add(key)
            return labels
        return {
            name: value if name in self.kept else OTHER
            for name, value in labels.items()
        }

"""A bound on how many series a metric has, whatever a configuration names."""

from attrs import define, field

__all__ = ["LabelSets"]

OTHER = "other"


@define
class LabelSets:
    """Lets the first ``most`` sets of labels through, and counts the rest as "other".

    Routes come and go with configurations, thousands of them in a day; a series lives
    as long as its process.
    """

    most: int
    kept: tuple[str, ...] = ()
    _known: set[tuple[str, ...]] = field(factory=set)

    def of(self, labels: dict[str, str]) -> dict[str, str]:
        """The labels to count under; those named in ``kept`` keep their value."""
        key = tuple(labels.values())
        if key in self._known or len(self._known) < self.most:
            self._known.add(key)
            return labels
        return {
            name: value if name in self.kept else OTHER
            for name, value in labels.items()
        }

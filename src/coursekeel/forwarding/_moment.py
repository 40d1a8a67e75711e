"""Store position: a version of the store's data, and the era that it belongs to.

Rule: a store that is restored from an older copy issues the same versions again, so
that only era and version together identify its state. Positions are ordered by era
first. Data read in an earlier era is read again before it is used.

A core.
"""

from attrs import frozen

from coursekeel.numbers import parse_whole

__all__ = ["StorePosition"]

# What a JSON number of the store can hold.
_MAX_VERSION = 2**64 - 1


@frozen(order=True)
class StorePosition:
    """``version`` grows within ``era``, which grows with each restore from a copy.

    A store that reports no era has era 0.
    """

    era: int = 0
    version: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.version}"

    @classmethod
    def parse(cls, text: str) -> "StorePosition":
        """Parse the result of `str`; raises `ValueError`."""
        era_text, _, version_text = text.partition(".")
        era, version = parse_whole(era_text), parse_whole(version_text, _MAX_VERSION)
        if era is None or version is None:
            raise ValueError(f"got {text!r:.60}, expected ERA.VERSION")
        return cls(era, version)

"""Store position: a version of the store's data, and the era that it belongs to.

Rule: a store that is restored from an older copy issues the same versions again, so
that only era and version together identify its state. Positions are ordered by era
first. Data read in an earlier era is read again before it is used.

A core.
"""

from attrs import frozen

__all__ = ["StorePosition"]


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
        era, _, version = text.partition(".")
        if not (era.isascii() and era.isdigit()):
            raise ValueError(f"got {text!r}, expected ERA.VERSION")
        return cls(int(era), int(version))

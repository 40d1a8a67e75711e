"""A moment of the store: which of its lives, and how far that had come.

Rule: a store that comes back from an older copy gives versions out again, so that a
version says nothing without its era. A later era's moments are later than all of an
earlier one's; what is known as of an earlier era is read again before it is built on.

Owns nothing. A core.
"""

from attrs import frozen

__all__ = ["StoreMoment"]


@frozen(order=True)
class StoreMoment:
    """``version`` rises within ``era``, which rises each time a copy is restored.

    A store that names no era has the first one, 0.
    """

    era: int = 0
    version: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.version}"

    @classmethod
    def parse(cls, text: str) -> "StoreMoment":
        """Read what `str` gives; raises `ValueError`."""
        era, _, version = text.partition(".")
        if not (era.isascii() and era.isdigit()):
            raise ValueError(f"got {text!r}, expected ERA.VERSION")
        return cls(int(era), int(version))

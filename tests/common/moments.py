"""Short notation of store positions for tests."""

from coursekeel.forwarding import StoreMoment

__all__ = ["at"]


def at(version: int, era: int = 0) -> StoreMoment:
    """The store position of a version in an era."""
    return StoreMoment(era, version)

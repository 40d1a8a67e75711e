"""Moments of a store as tests write them."""

from coursekeel.forwarding import StoreMoment

__all__ = ["at"]


def at(version: int, era: int = 0) -> StoreMoment:
    """The moment of a version."""
    return StoreMoment(era, version)

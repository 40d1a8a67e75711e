"""Short notation of store positions for tests."""

from coursekeel.forwarding import StorePosition

__all__ = ["position_at"]


def position_at(version: int, era: int = 0) -> StorePosition:
    """The store position of a version in an era."""
    return StorePosition(era, version)

"""Which pools this instance reaches, and which members serve it where it doesn't."""

from coursekeel.reach._pool_reach import PoolReach, ReachEvent
from coursekeel.reach._relay_members import RelayMembers

__all__ = ["PoolReach", "ReachEvent", "RelayMembers"]

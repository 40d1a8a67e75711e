"""Decides whether a response of a table's source may be applied.

Rule: within an era, what is known never goes back. The store's versions only rise, so a
response below the position in force is behind: from a replica that lags, or a late one.
It takes nothing back and confirms nothing, whoever sent it. Two things may go back: a
store of a later era, which was restored from an older copy, and one without eras whose
clock shows that it made the response after the position in force had been received.

Owns the position in force. A core: the caller passes all times, in ms.
"""

import math
from enum import Enum

from attrs import define

from coursekeel.forwarding._moment import StorePosition

__all__ = ["ReadOrder", "ReadVerdict"]


class ReadVerdict(Enum):
    """What to do with a response.

    ``READ_WHOLE``: its changes are of a later era, and some before may be missing.
    ``RESTORED``: apply it as the state of a restored store. ``BEHIND`` and ``ERA_FELL``
    (an earlier era) change nothing.
    """

    APPLY = "apply"
    READ_WHOLE = "read_whole"
    RESTORED = "restored"
    BEHIND = "behind"
    ERA_FELL = "era_fell"


@define
class ReadOrder:
    """The order of one table's responses; ``position`` is the one in force."""

    position: StorePosition | None = None
    _received_ms: float = math.inf

    def judge(
        self, position: StorePosition, whole: bool, made_by_ms: float
    ) -> ReadVerdict:
        """Judge a response of all of the table (``whole``) or of changes.

        ``made_by_ms`` is the latest local time at which the store can have made it,
        minus infinity for one from a member.
        """
        known = self.position
        if known is None:
            return ReadVerdict.APPLY
        if position.era < known.era:
            return ReadVerdict.ERA_FELL
        if position.era > known.era:
            return ReadVerdict.RESTORED if whole else ReadVerdict.READ_WHOLE
        if position >= known:
            return ReadVerdict.APPLY
        if whole and made_by_ms > self._received_ms:
            return ReadVerdict.RESTORED
        return ReadVerdict.BEHIND

    def applied(self, position: StorePosition, now_ms: float) -> None:
        """Record that a response was applied, which puts its position in force."""
        if position != self.position:
            self.position, self._received_ms = position, now_ms

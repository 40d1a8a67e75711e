"""Outstanding pings, and the order in which members are pinged.

Rule: targets are taken from a shuffled list, so that each member is pinged once per
round; a new member is inserted at a random place. A core: the caller passes each time,
in ms.
"""

from collections.abc import Iterable
from random import Random

from attrs import define, field

__all__ = ["Ping", "Pings"]


@define
class Ping:
    """A ping without an acknowledgement so far.

    ``indirect`` is set once helpers were requested to ping the target too.
    ``requester`` is the member that requested the ping by a ``PROBE``, empty for this
    member's own pings; ``requester_number`` is the number of that ``PROBE``.
    """

    target: str
    sent_ms: float
    indirect: bool = False
    requester: str = ""
    requester_number: int = 0


@define(eq=False)
class Pings:
    """Outstanding pings by number, and the targets left in this round."""

    random: Random
    _pending: dict[int, Ping] = field(factory=dict)
    _order: list[str] = field(factory=list)
    _number: int = 0

    def add(self, ping: Ping) -> int:
        """Store a ping that is about to be sent; returns its number."""
        self._number += 1
        self._pending[self._number] = ping
        return self._number

    def pending(self) -> list[tuple[int, Ping]]:
        """The pings that weren't acknowledged so far, with their numbers."""
        return list(self._pending.items())

    def discard(self, number: int) -> None:
        """Remove a ping that timed out."""
        self._pending.pop(number, None)

    def acknowledge(self, number: int, sender: str) -> Ping | None:
        """Remove and return the ping that an ``ACK`` belongs to, None without one.

        Only an indirect ping may be acknowledged by another member than its target.
        """
        ping = self._pending.get(number)
        if ping is None or (sender != ping.target and not ping.indirect):
            return None
        del self._pending[number]
        return ping

    def clear(self) -> None:
        """Drop all pings after a pause of this process, which may have missed ACKs."""
        self._pending.clear()

    # The order of the targets.

    def add_target(self, address: str) -> None:
        """Insert a new member at a random place of this round."""
        at = self.random.randint(0, len(self._order))
        self._order.insert(at, address)

    def next_target(self, present: Iterable[str]) -> str:
        """The next member to ping; empty if there is none.

        ``present`` are the addresses of the members that are present. A new round is
        shuffled from them when all have been pinged.
        """
        members = list(present)
        while members:
            if not self._order:
                self._order = list(members)
                self.random.shuffle(self._order)
            target = self._order.pop()
            if target in members:
                return target
        return ""

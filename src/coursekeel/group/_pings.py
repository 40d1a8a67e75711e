"""The pings under way, and whose turn is next.

Rule: an order by lot reaches all before anyone twice; who is new gets a place in it by
lot. A core: each moment is given, in ms.
"""

from collections.abc import Iterable
from random import Random

from attrs import define, field

__all__ = ["Ping", "Pings"]


@define
class Ping:
    """A question under way; ``asker`` is whom it was asked for, empty for oneself."""

    target: str
    sent_ms: float
    helped: bool = False
    asker: str = ""
    asker_number: int = 0


@define(eq=False)
class Pings:
    """Questions by number, and the order of the next targets."""

    random: Random
    _under_way: dict[int, Ping] = field(factory=dict)
    _order: list[str] = field(factory=list)
    _number: int = 0

    def begin(self, ping: Ping) -> int:
        """A ping is sent; returns its number."""
        self._number += 1
        self._under_way[self._number] = ping
        return self._number

    def under_way(self) -> list[tuple[int, Ping]]:
        """All that weren't answered yet."""
        return list(self._under_way.items())

    def end(self, number: int) -> None:
        """The ping was answered, or came to nothing."""
        self._under_way.pop(number, None)

    def answered(self, number: int, sender: str) -> Ping | None:
        """The ping that an answer ends; None if it answers none of them."""
        ping = self._under_way.get(number)
        if ping is None or (sender != ping.target and not ping.helped):
            return None
        del self._under_way[number]
        return ping

    def clear(self) -> None:
        """This process was paused: the answers may have come meanwhile."""
        self._under_way.clear()

    # Whose turn it is.

    def joined(self, address: str) -> None:
        """A new member has its turn at a place by lot."""
        at = self.random.randint(0, len(self._order))
        self._order.insert(at, address)

    def next_target(self, everybody: Iterable[str]) -> str:
        """Whose turn is next; empty if there is nobody.

        ``everybody`` are those that are there; the order is drawn from them anew when
        all had their turn.
        """
        there = list(everybody)
        while there:
            if not self._order:
                self._order = list(there)
                self.random.shuffle(self._order)
            target = self._order.pop()
            if target in there:
                return target
        return ""

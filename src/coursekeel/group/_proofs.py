"""Which member has the most recent confirmation of each table by the store.

Owns, for each table, the latest confirmation received from each member. A core: the
caller passes each time, in ms of this process's clock.
"""

import math

from attrs import define, field

from coursekeel.group._messages import ProofHint

__all__ = ["Confirmations"]

# Limits the memory that messages of an unknown sender can use.
_MAX_TABLES = 8


@define
class _Confirmation:
    stamp: int
    confirmed_ms: float


@define(eq=False)
class Confirmations:
    """The latest confirmations, by table and by the address of the confirmed member."""

    _by_table: dict[str, dict[str, _Confirmation]] = field(factory=dict)

    def record(self, table: str, address: str, stamp: int, confirmed_ms: float) -> None:
        """Record that a member's copy of a table was confirmed at ``confirmed_ms``.

        ``stamp`` identifies the confirmation. The time is estimated from the age in a
        message, so a delayed message makes it too late by its delay. Of several
        estimates for one stamp the earliest counts; otherwise messages that are passed
        on would make a confirmation seem ever more recent.
        """
        if table not in self._by_table and len(self._by_table) >= _MAX_TABLES:
            return
        confirmations = self._by_table.setdefault(table, {})
        current = confirmations.get(address)
        if current is not None and current.stamp == stamp:
            current.confirmed_ms = min(current.confirmed_ms, confirmed_ms)
        elif current is None or confirmed_ms > current.confirmed_ms:
            confirmations[address] = _Confirmation(stamp, confirmed_ms)

    def latest_confirmation(self, table: str) -> tuple[str, float]:
        """The member with the latest confirmation and its time; "", -inf without."""
        confirmations = self._by_table.get(table, {})
        address = max(
            confirmations, key=lambda a: confirmations[a].confirmed_ms, default=""
        )
        return address, confirmations[address].confirmed_ms if address else -math.inf

    def forget(self, address: str) -> None:
        """Remove a member that is gone: it can't be queried for its copies."""
        for confirmations in self._by_table.values():
            confirmations.pop(address, None)

    def hints(self, now_ms: float) -> tuple[ProofHint, ...]:
        """The latest confirmation of each table, to be sent to other members."""
        hints = []
        for table, confirmations in self._by_table.items():
            address, confirmed_ms = self.latest_confirmation(table)
            age_ms = max(0.0, round(now_ms - confirmed_ms, 1))
            if math.isfinite(age_ms):
                hints.append(
                    ProofHint(table, address, confirmations[address].stamp, age_ms)
                )
        return tuple(hints)

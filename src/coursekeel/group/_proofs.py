"""Whose proof of a table is the freshest, by what members say.

Owns, for each table, the freshest proof heard of from each member. A core: each moment
is given, in ms of this process's clock.
"""

import math

from attrs import define, field

from coursekeel.group._messages import ProofHint

__all__ = ["Proofs"]

# Strangers can't make a member hold more tables than this.
_MAX_TABLES = 8


@define
class _Proof:
    stamp: int
    moment_ms: float


@define(eq=False)
class Proofs:
    """What was heard of proofs, by table and by the member that has them."""

    _by_table: dict[str, dict[str, _Proof]] = field(factory=dict)

    def heard(self, table: str, address: str, stamp: int, moment_ms: float) -> None:
        """Take word of a proof.

        Word that was long on its way makes a proof look younger by as much. The same
        proof heard again counts by its oldest word, or echoes would make it ever
        younger.
        """
        if table not in self._by_table and len(self._by_table) >= _MAX_TABLES:
            return
        proofs = self._by_table.setdefault(table, {})
        known = proofs.get(address)
        if known is not None and known.stamp == stamp:
            known.moment_ms = min(known.moment_ms, moment_ms)
        elif known is None or moment_ms > known.moment_ms:
            proofs[address] = _Proof(stamp, moment_ms)

    def freshest(self, table: str) -> tuple[str, float]:
        """The member with the freshest proof, if any, and the proof's moment."""
        proofs = self._by_table.get(table, {})
        address = max(proofs, key=lambda each: proofs[each].moment_ms, default="")
        return address, proofs[address].moment_ms if address else -math.inf

    def forget(self, address: str) -> None:
        """The member is gone, and nobody can ask it for its proofs."""
        for proofs in self._by_table.values():
            proofs.pop(address, None)

    def hints(self, now_ms: float) -> tuple[ProofHint, ...]:
        """What to tell others: the freshest of each table, and its age."""
        hints = []
        for table, proofs in self._by_table.items():
            address, moment_ms = self.freshest(table)
            age_ms = max(0.0, round(now_ms - moment_ms, 1))
            if math.isfinite(age_ms):
                hints.append(ProofHint(table, address, proofs[address].stamp, age_ms))
        return tuple(hints)

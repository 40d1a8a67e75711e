"""How fresh what this instance knows of the store is, by its own steady clock.

Rule: an answer of the store proves the state of one moment, and nothing of what came
after. What an instance may do rests on the age of the last proven moment: a process
that was frozen or cut off finds out by this age, whatever it last read.

Owns the last proven moment of each table. A core: all moments are given, in ms.
"""

import math

from attrs import define, field, frozen

__all__ = ["Belief", "Freshness", "StoreClock", "proven_moment_ms"]

# A timer of the store may ring so much early by this clock, since the two differ in
# rounding. A proof that is 5 ms older than it might be.
_TIMER_SLACK_MS = 5.0
# How fast two steady clocks may drift apart: Linux lets each be slewed by 500 parts in
# a million (adjtimex(2)).
_DRIFT = 1e-3
# Bounds that contradict each other for so long tell that a clock stood still or jumped.
# For a shorter time answers may come from a copy that lags.
_CONTRADICTED_MS = 30_000.0


def proven_moment_ms(sent_ms: float, received_ms: float, held_ms: float) -> float:
    """The latest moment that an answer surely proves.

    A reading sent at ``sent_ms`` proves that moment. One that the store was asked to
    hold for ``held_ms`` until something changes, and whose empty answer came no
    earlier, proves the end of that time as well.
    """
    if held_ms and received_ms - sent_ms >= held_ms - _TIMER_SLACK_MS:
        return sent_ms + held_ms - _TIMER_SLACK_MS
    return sent_ms


@define
class StoreClock:
    """Relates the store's steady clock to this process's.

    An answer is made after its question was sent and before it was received, so each
    one bounds the difference of the clocks from both sides. The closest bounds hold for
    all answers; they widen with time, since the clocks drift. One whose store time lies
    further back than its own sending and receiving tell was held up on the way, or was
    read from a copy that lags. When the bounds contradict each other for long, one of
    the clocks has stood still or jumped, and both are taken anew.
    """

    _least_offset_ms: float = math.inf
    _most_offset_ms: float = -math.inf
    _looked_ms: float = 0.0
    _agreed_ms: float = 0.0
    _era: int = 0

    def latest_ms(self, era: int, store_ms: float, received_ms: float) -> float:
        """The local time at which the store made an answer, at the latest."""
        self._look(era, received_ms)
        self._least_offset_ms = min(self._least_offset_ms, received_ms - store_ms)
        return store_ms + self._least_offset_ms

    def earliest_ms(self, era: int, store_ms: float, sent_ms: float) -> float:
        """The local time at which the store made an answer, at the earliest."""
        self._look(era, sent_ms)
        self._most_offset_ms = max(self._most_offset_ms, sent_ms - store_ms)
        return store_ms + self._most_offset_ms

    def _look(self, era: int, now_ms: float) -> None:
        """Widen the bounds; a store that came back from a copy has another clock."""
        drift_ms = _DRIFT * max(0.0, now_ms - self._looked_ms)
        self._looked_ms = max(self._looked_ms, now_ms)
        self._least_offset_ms += drift_ms
        self._most_offset_ms -= drift_ms
        if self._most_offset_ms <= self._least_offset_ms:
            self._agreed_ms = self._looked_ms
        contradicted_ms = self._looked_ms - self._agreed_ms
        if era > self._era or contradicted_ms > _CONTRADICTED_MS:
            self._era, self._agreed_ms = max(era, self._era), self._looked_ms
            self._least_offset_ms, self._most_offset_ms = math.inf, -math.inf


@define
class Freshness:
    """The last proven moment of each table that this instance follows."""

    _proven_ms: dict[str, float] = field(factory=dict)

    def proved(self, table: str, moment_ms: float) -> None:
        """An answer proved the table's state at a moment."""
        if moment_ms > self._proven_ms.get(table, -math.inf):
            self._proven_ms[table] = moment_ms

    def withdrawn(self, table: str, before_ms: float) -> None:
        """The last proof counts no more; the moment proven before it does."""
        self._proven_ms[table] = before_ms

    def age_ms(self, table: str, now_ms: float) -> float:
        """How long ago the last proven moment was; infinite if there is none."""
        return now_ms - self.proven_ms(table)

    def proven_ms(self, table: str) -> float:
        """The last proven moment; minus infinity if there is none."""
        return self._proven_ms.get(table, -math.inf)


@frozen
class Belief:
    """What routes and keys are taken from: a version, and the age of its last proof.

    ``age_ms`` is infinite, and ``version`` -1, before anything is known.
    """

    version: int = -1
    age_ms: float = math.inf

"""Join small table writes of a few milliseconds into one transaction.

The table takes some hundred transactions a second; claims and answer rows would each
cost one. A batch that meets a conflict is sent again without the writes in conflict.
"""

from typing import Any

from attrs import define, field
from twisted.internet.defer import Deferred, ensureDeferred

from coursekeel.reactor import Reactor
from coursekeel.storage._interface import (
    Conflict,
    Platform,
    Transaction,
    TransactOutcome,
)

__all__ = ["Batcher"]

# Transactions put together into one call.
_MOST_IN_A_BATCH = 64


@define(eq=False)
class _Waiting:
    transaction: Transaction
    result: Deferred[TransactOutcome] = field(factory=Deferred)


@define(eq=False)
class Batcher:
    """Writes transactions in batches of ``batch_ms``; each gets its own outcome."""

    platform: Platform
    reactor: Reactor
    batch_ms: float
    _waiting: list[_Waiting] = field(factory=list)
    _timer: Any = None

    def transact(self, transaction: Transaction) -> Deferred[TransactOutcome]:
        """Write with the next batch; a batch never holds one key twice."""
        if self._clashes(transaction) or len(self._waiting) >= _MOST_IN_A_BATCH:
            self._send()
        waiting = _Waiting(transaction)
        self._waiting.append(waiting)
        if self._timer is None:
            self._timer = self.reactor.callLater(self.batch_ms / 1000, self._send)
        return waiting.result

    def _clashes(self, transaction: Transaction) -> bool:
        """Two may expect the same row; neither may write what the other looks at."""
        return any(
            transaction.writes.keys() & _keys(each.transaction)
            or _keys(transaction) & each.transaction.writes.keys()
            for each in self._waiting
        )

    def _send(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        batch, self._waiting = self._waiting, []
        if batch:
            ensureDeferred(self._write(batch))

    async def _write(self, batch: list[_Waiting]) -> None:
        outcome = await self.platform.transact(_joined(batch))
        if not isinstance(outcome, Conflict):
            for each in batch:
                each.result.callback(outcome)
            return
        wrong = [
            each for each in batch if outcome.rows.keys() & _keys(each.transaction)
        ]
        rest = [each for each in batch if each not in wrong]
        for each in wrong:
            each.result.callback(outcome)
        if rest and wrong:
            await self._write(rest)


def _keys(transaction: Transaction) -> set[str]:
    return transaction.expected.keys() | transaction.writes.keys()


def _joined(batch: list[_Waiting]) -> Transaction:
    expected: dict[str, int] = {}
    writes: dict[str, dict[str, Any] | None] = {}
    for each in batch:
        expected |= each.transaction.expected
        writes |= each.transaction.writes
    return Transaction(expected, writes)

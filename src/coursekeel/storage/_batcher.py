"""Batch small table transactions into one.

The table takes some hundred transactions per second, and claims and answer rows would
each cost one. A batch with a conflict is sent again without the conflicting ones.
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

_MAX_BATCH_TRANSACTIONS = 64


@define(eq=False)
class _PendingTransaction:
    transaction: Transaction
    result: Deferred[TransactOutcome] = field(factory=Deferred)


@define(eq=False)
class Batcher:
    """Collects transactions for ``batch_ms`` and writes them as one.

    Each transaction gets its own outcome.
    """

    platform: Platform
    reactor: Reactor
    batch_ms: float
    _pending: list[_PendingTransaction] = field(factory=list)
    _timer: Any = None

    def transact(self, transaction: Transaction) -> Deferred[TransactOutcome]:
        """Write with the next batch; the result is this transaction's own outcome."""
        if (
            self._conflicts(transaction)
            or len(self._pending) >= _MAX_BATCH_TRANSACTIONS
        ):
            self._send()
        pending = _PendingTransaction(transaction)
        self._pending.append(pending)
        if self._timer is None:
            self._timer = self.reactor.callLater(self.batch_ms / 1000, self._send)
        return pending.result

    def _conflicts(self, transaction: Transaction) -> bool:
        """Whether one of the batch writes a key that the other writes or expects.

        Two that only expect the same row don't conflict.
        """
        return any(
            transaction.writes.keys() & _keys(pending.transaction)
            or _keys(transaction) & pending.transaction.writes.keys()
            for pending in self._pending
        )

    def _send(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        batch, self._pending = self._pending, []
        if batch:
            ensureDeferred(self._write(batch))

    async def _write(self, batch: list[_PendingTransaction]) -> None:
        outcome = await self.platform.transact(_joined(batch))
        if not isinstance(outcome, Conflict):
            for pending in batch:
                pending.result.callback(outcome)
            return
        conflicting = [
            pending
            for pending in batch
            if outcome.rows.keys() & _keys(pending.transaction)
        ]
        rest = [pending for pending in batch if pending not in conflicting]
        for pending in conflicting:
            pending.result.callback(outcome)
        if rest and conflicting:
            await self._write(rest)


def _keys(transaction: Transaction) -> set[str]:
    return transaction.expected.keys() | transaction.writes.keys()


def _joined(batch: list[_PendingTransaction]) -> Transaction:
    expected: dict[str, int] = {}
    writes: dict[str, dict[str, Any] | None] = {}
    for pending in batch:
        expected |= pending.transaction.expected
        writes |= pending.transaction.writes
    return Transaction(expected, writes)

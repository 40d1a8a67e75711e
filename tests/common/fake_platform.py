"""A platform in memory whose every operation the schedule lets happen, or not.

An operation waits until the schedule picks it. Its effect and its answer are separate:
a write can take effect at once, later, or never, and its answer can be lost either way.
"""

from attrs import define, field
from twisted.internet.defer import Deferred

from coursekeel.storage import (
    Committed,
    Conflict,
    Fetched,
    InstanceList,
    Platform,
    Row,
    Rows,
    Transaction,
    Unavailable,
    Unsure,
)


@define(eq=False)
class Operation:
    """One operation under way."""

    kind: str
    argument: object
    answer: Deferred = field(factory=Deferred)


class FakePlatform(Platform):
    """Rows and versions, and the operations that wait to happen."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.versions = 0
        self.waiting: list[Operation] = []
        self.late: list[Transaction] = []

    def apply(self, transaction: Transaction) -> Committed | Conflict:
        wrong = {
            key: self.rows.get(key)
            for key, version in transaction.expected.items()
            if (self.rows[key].version if key in self.rows else 0) != version
        }
        if wrong:
            return Conflict(wrong)
        written = {}
        for key, value in transaction.writes.items():
            self.versions += 1
            written[key] = self.versions
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = Row(key, self.versions, value)
        return Committed(written)

    def step(self, index: int, how: str) -> None:
        """Let one waiting operation go: well, or in one of the bad ways."""
        operation = self.waiting.pop(index % len(self.waiting))
        operation.answer.callback(self._outcome(operation, how))

    def _outcome(self, operation: Operation, how: str) -> object:
        if how == "unavailable":
            return Unavailable("down")
        if operation.kind == "read":
            keys = operation.argument
            return Rows({key: self.rows[key] for key in keys if key in self.rows})
        transaction = operation.argument
        if how == "answer_lost":
            self.apply(transaction)
            return Unsure("answer lost")
        if how == "write_lost":
            return Unsure("write lost")
        if how == "effect_late":
            self.late.append(transaction)
            return Unsure("effect late")
        return self.apply(transaction)

    def late_effect(self) -> None:
        """A write that was given up on takes effect after all."""
        if self.late:
            self.apply(self.late.pop(0))

    def drain(self) -> None:
        """Let everything that waits go well."""
        for _ in range(1_000):
            if not self.waiting:
                return
            self.step(0, "well")
        raise AssertionError("operations never end")

    def _ask(self, kind: str, argument: object) -> Deferred:
        operation = Operation(kind, argument)
        self.waiting.append(operation)
        return operation.answer

    async def transact(self, transaction):
        return await self._ask("transact", transaction)

    async def read(self, keys):
        return await self._ask("read", keys)

    async def scan(self, prefix, limit):
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return await self._ask("read", keys[:limit])

    async def put_object(self, key, data):
        return Unavailable("no objects here")

    async def get_object(self, key):
        return Fetched(None)

    async def delete_object(self, key):
        return Committed()

    async def list_instances(self):
        return InstanceList(())


WAYS = ["well", "well", "unavailable", "answer_lost", "write_lost", "effect_late"]

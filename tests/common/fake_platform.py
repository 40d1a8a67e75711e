"""An in-memory platform whose operations complete or fail as the test schedules.

An operation waits until the test picks it. Its effect and its response are separate: a
write takes effect at once, later or never, and its response may be lost in each case.
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
    """One pending operation; ``argument`` is its keys or transaction."""

    kind: str
    argument: object
    answer: Deferred = field(factory=Deferred)


class FakePlatform(Platform):
    """A platform with rows, pending operations (``waiting``) and delayed writes."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.versions = 0
        self.waiting: list[Operation] = []
        self.late: list[Transaction] = []

    def apply(self, transaction: Transaction) -> Committed | Conflict:
        mismatched = {
            key: self.rows.get(key)
            for key, version in transaction.expected.items()
            if (self.rows[key].version if key in self.rows else 0) != version
        }
        if mismatched:
            return Conflict(mismatched)
        versions = {}
        for key, value in transaction.writes.items():
            self.versions += 1
            versions[key] = self.versions
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = Row(key, self.versions, value)
        return Committed(versions)

    def step(self, index: int, how: str) -> None:
        """Complete one pending operation; ``how`` is one of `OUTCOMES`."""
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

    def apply_delayed_write(self) -> None:
        """Apply the oldest delayed write, whose response was already lost."""
        if self.late:
            self.apply(self.late.pop(0))

    def drain(self) -> None:
        """Complete all pending operations successfully."""
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


OUTCOMES = ["well", "well", "unavailable", "answer_lost", "write_lost", "effect_late"]

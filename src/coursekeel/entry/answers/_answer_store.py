"""Reads and writes durable answers in the table and the object store."""

from base64 import b64decode, b64encode

import orjson
from attrs import define, evolve, frozen

from coursekeel.answers import AnswerRecord, Ledger, RecordState, answer_key
from coursekeel.entry.answers._journal_task import JournalTask
from coursekeel.storage import (
    Batcher,
    Committed,
    Conflict,
    Platform,
    Transaction,
    TransactOutcome,
    Unavailable,
)
from coursekeel.units import SECONDS_PER_MINUTE

__all__ = ["AnswerStore", "StoredResult", "ended_already", "is_own"]

# Prompts and results up to this size are kept in the answer's row, which saves a call;
# larger ones in the object store.
_INLINE_BYTES = 32 * 1024


@frozen
class StoredResult:
    """The stored result of an answer that ended."""

    record: AnswerRecord
    tokens: list[int]
    texts: list[str]


@define(eq=False)
class AnswerStore:
    """Writes answers' rows under this incarnation's fence.

    Object names contain the owner and its order: two entries with the same request id
    must not overwrite each other's prompt, nor an owner that was paused its successor's
    result.
    """

    platform: Platform
    batcher: Batcher
    journal: JournalTask

    async def put_prompt(
        self, record: AnswerRecord, body: bytes
    ) -> AnswerRecord | TransactOutcome:
        """Store the prompt; return the record with its location, or the failure."""
        if len(body) <= _INLINE_BYTES:
            return evolve(record, prompt=b64encode(body).decode())
        name = _object_name("prompts", record)
        put = await self.platform.put_object(name, body)
        return evolve(record, prompt_object=name) if _is_committed(put) else put

    async def insert(self, record: AnswerRecord) -> TransactOutcome:
        """Insert a new answer's row if its id is unused."""
        return await self.batcher.transact(
            Transaction(
                {record.key: 0, **self.journal.fence_condition()},
                {record.key: record.to_row(), record.index_key: {"key": record.key}},
            )
        )

    async def write_end(
        self, record: AnswerRecord, version: int, ledger: Ledger
    ) -> TransactOutcome:
        """Store how an answer ended, with its result and its expiry."""
        result = orjson.dumps([ledger.tokens_from(0), ledger.texts_from(0)])
        if len(result) <= _INLINE_BYTES:
            record = evolve(record, result=b64encode(result).decode())
        else:
            name = _object_name("results", record)
            put = await self.platform.put_object(name, result)
            if not _is_committed(put):
                return put
            record = evolve(record, result_object=name)
        due = f"expires/{record.expires_at_s // SECONDS_PER_MINUTE:010d}/{record.key}"
        return await self.batcher.transact(
            Transaction(
                {record.key: version, **self.journal.fence_condition()},
                {
                    record.key: record.to_row(),
                    record.index_key: None,
                    due: {"key": record.key},
                },
            )
        )

    async def drop_prompt(self, record: AnswerRecord) -> None:
        """Delete the prompt's object, if it has one."""
        if record.prompt_object:
            await self.platform.delete_object(record.prompt_object)

    async def read(
        self, team: str, request_id: str
    ) -> tuple[AnswerRecord, int] | Unavailable | None:
        """An answer's row and its version; None if there is none."""
        key = answer_key(team, request_id)
        rows = await self.platform.read([key])
        if isinstance(rows, Unavailable):
            return rows
        row = rows.rows.get(key)
        return None if row is None else (AnswerRecord.from_row(row.value), row.version)

    async def result(self, record: AnswerRecord) -> StoredResult | Unavailable:
        """Read the result of an answer that ended."""
        data = b64decode(record.result)
        if record.result_object:
            fetched = await self.platform.get_object(record.result_object)
            if isinstance(fetched, Unavailable):
                return fetched
            if fetched.data is None:
                return Unavailable("the result is gone")
            data = fetched.data
        tokens, texts = orjson.loads(data)
        return StoredResult(record, tokens, texts)


def is_own(conflict: Conflict, record: AnswerRecord) -> int | None:
    """The conflicting row's version if this owner wrote it before, else None."""
    row = conflict.rows.get(record.key)
    if row is None:
        return None
    found = AnswerRecord.from_row(row.value)
    is_same_owner = (found.owner, found.order) == (record.owner, record.order)
    return row.version if is_same_owner else None


def ended_already(conflict: Conflict, record: AnswerRecord) -> bool:
    """Whether the conflicting row is this owner's own end, written before."""
    row = conflict.rows.get(record.key)
    if row is None:
        return False
    found = AnswerRecord.from_row(row.value)
    is_same_owner = (found.owner, found.epoch) == (record.owner, record.epoch)
    return is_same_owner and found.state is not RecordState.RUNNING


def _object_name(kind: str, record: AnswerRecord) -> str:
    owner = f"{record.owner}-{record.order}"
    return f"{kind}/{record.team}/{record.request_id}/{owner}"


def _is_committed(outcome: TransactOutcome) -> bool:
    return isinstance(outcome, Committed)

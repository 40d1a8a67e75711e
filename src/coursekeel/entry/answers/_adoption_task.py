"""The task that watches other instances' leases and adopts their answers on lapse."""

from base64 import b64decode
from random import Random

from attrs import define, evolve, field

from coursekeel.answers import (
    AnswerRecord,
    JournalReader,
    Ledger,
    PriorJournal,
    RecordState,
    Segment,
    Started,
    answer_key,
    segment_key,
)
from coursekeel.entry.answers._answer_registry import AnswerRegistry
from coursekeel.entry.answers._journal_task import (
    LEASES_PREFIX,
    ORPHANS_PREFIX,
    lease_key,
    orphan_key,
    seal_transaction,
)
from coursekeel.entry.answers._requests import GenerationRequest, read_generation
from coursekeel.entry.control._configuration_task import ConfigurationTask
from coursekeel.errors import RequestInvalid
from coursekeel.membership import LapseWatch, LeaseTerms
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic, spawn
from coursekeel.settings import Limits, Timers
from coursekeel.storage import (
    Committed,
    Platform,
    Row,
    Rows,
    Transaction,
    Unavailable,
)

__all__ = ["AdoptionTask"]

# Scans per lease time; each scan reads the rows of all entries.
_CHECKS_PER_LEASE = 3
_LEASES_AND_ORPHANS_PREFIX = "leases/"
# Limit of rows per scan: more than the 380 nodes of docs/CAPACITY.md.
_MAX_ROWS_PER_SCAN = 1_000
# Limit of sealed incarnations per round, so that the answers of a whole site's restart
# are adopted in steps.
_MAX_ORPHANS_PER_ROUND = 16
# How long an incarnation's segments stay after its last answer was adopted. They are
# needed until the adopters' own journals hold the tokens.
_SEGMENT_RETENTION_S = 60.0


@define(eq=False)
class AdoptionTask:
    """Seals lapsed incarnations and adopts their answers, a few at a time.

    All entries do this concurrently; a compare-and-set on an answer's row decides which
    one adopts it.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    registry: AnswerRegistry
    configuration: ConfigurationTask
    timers: Timers
    limits: Limits
    random: Random
    adopted: int = 0
    _watch: LapseWatch = field(init=False)
    _loop: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        step_ms = self.timers.lease_ms / _CHECKS_PER_LEASE
        terms = LeaseTerms(self.timers.lease_ms, self.timers.lease_margin_ms)
        self._watch = LapseWatch(terms, step_ms)
        self._loop = Periodic(self.reactor, "adoption", step_ms, self._round)

    def start(self) -> None:
        """Start watching leases."""
        self._loop.start()

    def stop(self) -> None:
        """Stop watching leases."""
        self._loop.stop()

    async def _round(self) -> None:
        # One scan for leases and orphans keeps the idle load on the store low.
        rows = await self.platform.scan(_LEASES_AND_ORPHANS_PREFIX, _MAX_ROWS_PER_SCAN)
        if isinstance(rows, Unavailable):
            return
        await self._check_leases(_rows_under(rows, LEASES_PREFIX))
        if self.configuration.ready:
            for orphan in _rows_under(rows, ORPHANS_PREFIX)[:_MAX_ORPHANS_PER_ROUND]:
                await self._adopt_from(orphan)

    # Leases.

    async def _check_leases(self, leases: list[Row]) -> None:
        now_ms = self.clock.now_ms()
        for row in leases:
            key = row.key
            if row.value["incarnation"] == self.registry.journal.incarnation:
                continue
            self._watch.record_version(key, row.version, now_ms)
            if self._watch.is_lapsed(key):
                await self._seal(row)

    async def _seal(self, row: Row) -> bool:
        """Seal the incarnation of a lease row; say whether it succeeded."""
        outcome = await self.platform.transact(seal_transaction(row))
        self._watch.forget(row.key)
        sealed = isinstance(outcome, Committed)
        if sealed:
            log_event("incarnation_sealed", incarnation=row.value["incarnation"])
        return sealed

    async def seal_unreachable(self, instance_id: str, incarnation: str) -> None:
        """Seal an incarnation whose address refused a connection: it has exited."""
        rows = await self.platform.read([lease_key(instance_id)])
        if isinstance(rows, Unavailable):
            return
        for row in rows.rows.values():
            if row.value["incarnation"] == incarnation:
                await self._seal(row)

    # Orphans.

    async def _adopt_from(self, orphan: Row) -> None:
        incarnation = orphan.value["incarnation"]
        # Draws half of the oldest rows at random, so that two entries rarely try to
        # adopt the same answers.
        limit = 2 * self.limits.adopted_at_once
        rows = await self.platform.scan(f"owned/{incarnation}/", limit)
        if isinstance(rows, Unavailable):
            return
        if not rows.rows:
            await self._remove_orphan(orphan)
            return
        keys = [row.value["key"] for row in rows.rows.values()]
        chosen = self.random.sample(keys, min(len(keys), self.limits.adopted_at_once))
        for key in chosen:
            await self._adopt_key(key, orphan)

    async def _remove_orphan(self, orphan: Row) -> None:
        outcome = await self.platform.transact(
            Transaction({orphan.key: orphan.version}, {orphan.key: None})
        )
        if isinstance(outcome, Committed):
            # Adopters may still need the segments.
            self.reactor.callLater(
                _SEGMENT_RETENTION_S, self._spawn_delete_segments, orphan
            )

    def _spawn_delete_segments(self, orphan: Row) -> None:
        spawn(self._delete_segments(orphan), "sweep_segments", self.reactor)

    async def _delete_segments(self, orphan: Row) -> None:
        incarnation = orphan.value["incarnation"]
        for number in range(1, orphan.value["last_segment"] + 1):
            await self.platform.delete_object(segment_key(incarnation, number))

    async def adopt_one(self, team: str, request_id: str) -> bool:
        """Adopt one answer at once for a waiting caller; say whether it runs here."""
        key = answer_key(team, request_id)
        rows = await self.platform.read([key])
        if isinstance(rows, Unavailable) or key not in rows.rows:
            return False
        owner = AnswerRecord.from_row(rows.rows[key].value).owner
        orphans = await self.platform.read([orphan_key(owner)])
        if isinstance(orphans, Unavailable) or not orphans.rows:
            return False
        await self._adopt_key(key, next(iter(orphans.rows.values())))
        return self.registry.find(team, request_id) is not None

    async def _adopt_key(self, key: str, orphan: Row) -> None:
        rows = await self.platform.read([key])
        if isinstance(rows, Unavailable) or key not in rows.rows:
            return
        row = rows.rows[key]
        record = AnswerRecord.from_row(row.value)
        if record.state is not RecordState.RUNNING:
            return
        if record.owner != orphan.value["incarnation"]:
            return
        request = await self._read_request(record)
        if request is None:
            return
        journal = await self._read_journal(record, orphan.value["last_segment"])
        if journal is not None:
            await self._take_over(row, record, request, journal, orphan)

    async def _read_request(self, record: AnswerRecord) -> GenerationRequest | None:
        body = b64decode(record.prompt)
        if record.prompt_object:
            fetched = await self.platform.get_object(record.prompt_object)
            if isinstance(fetched, Unavailable) or fetched.data is None:
                gone = not isinstance(fetched, Unavailable)
                reason = "prompt_is_gone" if gone else "store_unavailable"
                log_event("adoption_waits", request=record.key, reason=reason)
                return None
            body = fetched.data
        intent = self.configuration.intent
        team = intent.team(record.team)
        if team is None:
            log_event("adoption_waits", request=record.key, reason="team_is_gone")
            return None
        try:
            return read_generation(
                body, team, intent, record.request_id, True, self.limits.max_tokens
            )
        except RequestInvalid as fault:
            log_event("adoption_waits", request=record.key, reason=fault)
            return None

    async def _read_journal(
        self, record: AnswerRecord, last_segment: int
    ) -> JournalReader | None:
        """Read the answer's tokens from the journal; None if the store is out.

        Falls back to the journal of the previous owner if this one holds nothing.
        """
        reader = JournalReader(record.key, Ledger(record.generation))
        journal = PriorJournal(
            record.owner, record.generation, record.first_segment, last_segment
        )
        if not await self._read_segments(journal, reader):
            return None
        prior = record.prior
        if reader.last is not None or prior is None:
            return reader
        prior_reader = JournalReader(record.key, Ledger(prior.generation))
        return prior_reader if await self._read_segments(prior, prior_reader) else None

    async def _read_segments(
        self, journal: PriorJournal, reader: JournalReader
    ) -> bool:
        for number in range(journal.first_segment, journal.last_segment + 1):
            object_key = segment_key(journal.owner, number)
            fetched = await self.platform.get_object(object_key)
            if isinstance(fetched, Unavailable):
                return False
            if fetched.data is not None:
                reader.read(Segment.from_bytes(fetched.data))
        return True

    async def _take_over(
        self,
        row: Row,
        record: AnswerRecord,
        request: GenerationRequest,
        journal: JournalReader,
        orphan: Row,
    ) -> None:
        ledger = journal.ledger.copy_as(self.registry.generation_name())
        adopted_record = self._adopted_record(record, journal, ledger, orphan)
        outcome = await self.platform.transact(
            Transaction(
                {row.key: row.version, **self.registry.journal.fence_condition()},
                {
                    row.key: adopted_record.to_row(),
                    record.index_key: None,
                    adopted_record.index_key: {"key": row.key},
                },
            )
        )
        version = await self._version_if_adopted(outcome, adopted_record)
        if version is None:
            return
        self.adopted += 1
        last = journal.last
        started = Started(last.endpoint_id, last.run_id, last.label) if last else None
        log_event("answer_adopted", request=row.key, held_tokens=ledger.next_position)
        self.registry.adopt(
            request, adopted_record, version, ledger, started or Started()
        )

    async def _version_if_adopted(
        self, outcome: object, adopted_record: AnswerRecord
    ) -> int | None:
        """The row's version if the takeover was written, read back if unsure."""
        if isinstance(outcome, Committed):
            return outcome.versions[adopted_record.key]
        stored = await self.registry.store.read(
            adopted_record.team, adopted_record.request_id
        )
        if isinstance(stored, Unavailable) or stored is None:
            return None
        record, version = stored
        adopted_here = (record.owner, record.order) == (
            adopted_record.owner,
            adopted_record.order,
        )
        return version if adopted_here else None

    def _adopted_record(
        self, record: AnswerRecord, journal: JournalReader, ledger: Ledger, orphan: Row
    ) -> AnswerRecord:
        prior = record.prior
        if journal.last is not None and journal.last.generation == record.generation:
            prior = PriorJournal(
                record.owner,
                record.generation,
                record.first_segment,
                orphan.value["last_segment"],
            )
        return evolve(
            record,
            owner=self.registry.journal.incarnation,
            epoch=record.epoch + 1,
            order=self.registry.next_order(),
            generation=ledger.generation,
            first_segment=self.registry.journal.writer.next_segment,
            prior=prior,
        )


def _rows_under(rows: Rows, prefix: str) -> list[Row]:
    return [row for key, row in rows.rows.items() if key.startswith(prefix)]

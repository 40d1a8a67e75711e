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
    seal,
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
_LOOKS_A_LEASE = 3
_BOTH_PREFIX = "leases/"
# Limit of rows per scan: more than the 380 nodes of docs/CAPACITY.md.
_MOST_LEASES = 1_000
# Limit of sealed incarnations per round, so that the answers of a whole site's restart
# are adopted in steps.
_MOST_ORPHANS = 16
# How long an incarnation's segments stay after its last answer was adopted. They are
# needed until the adopters' own journals hold the tokens.
_GARBAGE_AFTER_S = 60.0


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
        step_ms = self.timers.lease_ms / _LOOKS_A_LEASE
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
        rows = await self.platform.scan(_BOTH_PREFIX, _MOST_LEASES)
        if isinstance(rows, Unavailable):
            return
        await self._look_at_leases(_under(rows, LEASES_PREFIX))
        if self.configuration.ready:
            for orphan in _under(rows, ORPHANS_PREFIX)[:_MOST_ORPHANS]:
                await self._adopt_some(orphan)

    # Leases.

    async def _look_at_leases(self, leases: list[Row]) -> None:
        now_ms = self.clock.now_ms()
        for row in leases:
            key = row.key
            if row.value["incarnation"] == self.registry.journal.incarnation:
                continue
            self._watch.saw(key, row.version, now_ms)
            if self._watch.lapsed(key):
                await self._seal(row)

    async def _seal(self, row: Row) -> bool:
        """Seal the incarnation of a lease row; say whether it succeeded."""
        outcome = await self.platform.transact(seal(row))
        self._watch.forget(row.key)
        sealed = isinstance(outcome, Committed)
        if sealed:
            log_event("incarnation_sealed", incarnation=row.value["incarnation"])
        return sealed

    async def seal_refusing(self, instance_id: str, incarnation: str) -> None:
        """Seal an incarnation whose address refused a connection: it has exited."""
        rows = await self.platform.read([lease_key(instance_id)])
        if isinstance(rows, Unavailable):
            return
        for row in rows.rows.values():
            if row.value["incarnation"] == incarnation:
                await self._seal(row)

    # Orphans.

    async def _adopt_some(self, orphan: Row) -> None:
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
        drawn = self.random.sample(keys, min(len(keys), self.limits.adopted_at_once))
        for key in drawn:
            await self._adopt_key(key, orphan)

    async def _remove_orphan(self, orphan: Row) -> None:
        outcome = await self.platform.transact(
            Transaction({orphan.key: orphan.version}, {orphan.key: None})
        )
        if isinstance(outcome, Committed):
            # Adopters may still need the segments.
            self.reactor.callLater(_GARBAGE_AFTER_S, self._sweep, orphan)

    def _sweep(self, orphan: Row) -> None:
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
        request = await self._request(record)
        if request is None:
            return
        found = await self._read_journal(record, orphan.value["last_segment"])
        if found is not None:
            await self._take(row, record, request, found, orphan)

    async def _request(self, record: AnswerRecord) -> GenerationRequest | None:
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
        own = PriorJournal(
            record.owner, record.generation, record.first_segment, last_segment
        )
        if not await self._read_segments(own, reader):
            return None
        prior = record.prior
        if reader.last is not None or prior is None:
            return reader
        former = JournalReader(record.key, Ledger(prior.generation))
        return former if await self._read_segments(prior, former) else None

    async def _read_segments(self, where: PriorJournal, reader: JournalReader) -> bool:
        for number in range(where.first_segment, where.last_segment + 1):
            object_key = segment_key(where.owner, number)
            fetched = await self.platform.get_object(object_key)
            if isinstance(fetched, Unavailable):
                return False
            if fetched.data is not None:
                reader.read(Segment.from_bytes(fetched.data))
        return True

    async def _take(
        self,
        row: Row,
        record: AnswerRecord,
        request: GenerationRequest,
        found: JournalReader,
        orphan: Row,
    ) -> None:
        ledger = found.ledger.continued_as(self.registry.generation_name())
        taken = self._taken_record(record, found, ledger, orphan)
        outcome = await self.platform.transact(
            Transaction(
                {row.key: row.version, **self.registry.journal.fence()},
                {
                    row.key: taken.to_row(),
                    record.index_key: None,
                    taken.index_key: {"key": row.key},
                },
            )
        )
        version = await self._version_if_taken(outcome, taken)
        if version is None:
            return
        self.adopted += 1
        last = found.last
        started = Started(last.endpoint_id, last.run_id, last.label) if last else None
        log_event("answer_adopted", request=row.key, held_tokens=ledger.next_position)
        self.registry.adopt(request, taken, version, ledger, started or Started())

    async def _version_if_taken(
        self, outcome: object, taken: AnswerRecord
    ) -> int | None:
        """The row's version if the takeover was written, read back if unsure."""
        if isinstance(outcome, Committed):
            return outcome.versions[taken.key]
        found = await self.registry.store.read(taken.team, taken.request_id)
        if isinstance(found, Unavailable) or found is None:
            return None
        record, version = found
        mine = (record.owner, record.order) == (taken.owner, taken.order)
        return version if mine else None

    def _taken_record(
        self, record: AnswerRecord, found: JournalReader, ledger: Ledger, orphan: Row
    ) -> AnswerRecord:
        prior = record.prior
        if found.last is not None and found.last.generation == record.generation:
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


def _under(rows: Rows, prefix: str) -> list[Row]:
    return [row for key, row in rows.rows.items() if key.startswith(prefix)]

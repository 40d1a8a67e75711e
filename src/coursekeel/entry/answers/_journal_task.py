"""The task that owns this instance's lease and writes its journal.

The write that renews the lease also commits the newest segment, so an instance makes
one table write per interval regardless of its number of answers.
"""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from coursekeel.answers import JournalWriter, Segment
from coursekeel.membership import OutageWatch
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic, spawn
from coursekeel.settings import Timers
from coursekeel.storage import (
    Committed,
    Conflict,
    Platform,
    Row,
    Transaction,
    Unavailable,
)

__all__ = [
    "LEASES_PREFIX",
    "ORPHANS_PREFIX",
    "JournalTask",
    "alive_key",
    "lease_key",
    "orphan_key",
    "seal",
]

LEASES_PREFIX = "leases/entry/"
ORPHANS_PREFIX = "leases/orphan/"
# Two renewals in a row may fail before the lease lapses.
_RENEWALS_A_LEASE = 3
# A pause of this process longer than half a lease may let another entry take over: see
# `OutageWatch`.
_GAPS_A_LEASE = 2
# Checks that this process is awake, often enough that a late timer isn't taken for a
# pause.
_BEATS_A_GAP = 5


def lease_key(instance_id: str) -> str:
    """The key of an instance's lease row."""
    return f"{LEASES_PREFIX}{instance_id}"


def alive_key(incarnation: str) -> str:
    """The key of the row that exists while an incarnation may write its answers.

    Unlike the lease row its version never changes, so every write of the incarnation
    can expect it; all of them fail once the lease is sealed.
    """
    return f"alive/{incarnation}"


def orphan_key(incarnation: str) -> str:
    """The key of the row that allows adopting a sealed incarnation's answers."""
    return f"{ORPHANS_PREFIX}{incarnation}"


@define(eq=False)
class JournalTask:
    """One incarnation's lease and journal.

    ``fenced`` is called when the lease is lost: the durable answers of this incarnation
    then belong to the entries that adopt them. ``gained`` is called with the keys of
    the answers that have more tokens in the journal, or with an empty list after the
    time for sending was extended; ``taken`` when the lease is acquired.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    timers: Timers
    instance_id: str
    incarnation: str
    fenced: Callable[[], None]
    gained: Callable[[list[str]], None]
    taken: Callable[[], None]
    peer_address: Callable[[], str]
    writer: JournalWriter = field(init=False)
    store_out: bool = False
    _loop: Periodic = field(init=False)
    _beat: Periodic = field(init=False)
    _outage: OutageWatch = field(init=False)
    _version: int | None = None
    _alive_version: int = 0
    _renewed_ms: float = float("-inf")
    _permitted_until_ms: float = float("-inf")
    _stopping: bool = False

    def __attrs_post_init__(self) -> None:
        self.writer = JournalWriter(self.incarnation)
        self._loop = Periodic(
            self.reactor, "journal", self.timers.journal_ms, self._round
        )
        gap_ms = self.timers.lease_ms / _GAPS_A_LEASE
        self._outage = OutageWatch(gap_ms)
        self._beat = Periodic(
            self.reactor, "awake", gap_ms / _BEATS_A_GAP, self._is_awake
        )

    def start(self) -> None:
        """Acquire the lease, then renew it and write segments periodically."""
        self._beat.start()
        self._loop.start()

    def fence(self) -> dict[str, int]:
        """The row version that every write of this incarnation must expect."""
        return {alive_key(self.incarnation): self._alive_version}

    @property
    def held(self) -> bool:
        """Whether the table is known to hold this incarnation's lease."""
        return self._version is not None

    def right_left_ms(self) -> float:
        """How long from now this entry may send durable answers without a renewal.

        Zero or less after a pause longer than the lease, until the table responds, as
        another entry may have taken over. During a store outage that this process
        observed without a pause no other entry can take over, so the time is extended.
        """
        left_ms = self._permitted_until_ms - self.clock.now_ms()
        if left_ms <= 0:
            self._loop.now()
        return left_ms

    async def stop(self) -> None:
        """Write the remaining segment and delete the lease row."""
        self._loop.stop()
        self._beat.stop()
        self._stopping = True
        if self._version is not None:
            await self._flush()
        if self._version is not None:
            key = lease_key(self.instance_id)
            alive = alive_key(self.incarnation)
            await self.platform.transact(
                Transaction({key: self._version}, {key: None, alive: None})
            )

    async def _is_awake(self) -> None:
        self._outage.awake(self.clock.now_ms())

    async def _round(self) -> None:
        if self._version is None:
            await self._take()
        elif self._due():
            await self._flush()

    def _due(self) -> bool:
        if self.writer.cut() is not None:
            return True
        age_ms = self.clock.now_ms() - self._renewed_ms
        return age_ms >= self.timers.lease_ms / _RENEWALS_A_LEASE

    # Acquiring the lease.

    async def _take(self) -> None:
        """Write the lease row; seal the instance's previous incarnation."""
        asked_ms = self.clock.now_ms()
        key = lease_key(self.instance_id)
        alive = alive_key(self.incarnation)
        rows = await self.platform.read([key, alive])
        if isinstance(rows, Unavailable):
            self._note_outage(asked_ms)
            return
        row = rows.rows.get(key)
        if row is not None and row.value["incarnation"] == self.incarnation:
            self._version = row.version
            self._alive_version = rows.rows[alive].version
            self._permit(asked_ms)
            return
        writes: dict[str, dict[str, Any] | None] = {key: self._lease_value(), alive: {}}
        if row is not None:
            writes |= _orphaned(row)
        outcome = await self.platform.transact(
            Transaction({key: row.version if row else 0}, writes)
        )
        if isinstance(outcome, Committed):
            self._version = outcome.versions[key]
            self._alive_version = outcome.versions[alive]
            self._permit(asked_ms)
            log_event("lease_taken", incarnation=self.incarnation)
            self.taken()
        else:
            self._loop.now()

    def _lease_value(self, segment: int | None = None) -> dict[str, Any]:
        last = self.writer.next_segment - 1 if segment is None else segment
        return {
            "incarnation": self.incarnation,
            "last_segment": last,
            "address": self.peer_address(),
        }

    # Renewal and segments.

    async def _flush(self) -> None:
        asked_ms = self.clock.now_ms()
        segment = self.writer.cut()
        if segment is not None and not await self._put(segment):
            self._note_outage(asked_ms)
            return
        await self._renew(segment, asked_ms)

    async def _put(self, segment: Segment) -> bool:
        outcome = await self.platform.put_object(segment.object_key, segment.to_bytes())
        if isinstance(outcome, Committed):
            return True
        self.writer.failed()
        return False

    async def _renew(self, segment: Segment | None, asked_ms: float) -> None:
        key = lease_key(self.instance_id)
        assert self._version is not None
        value = self._lease_value(segment.number if segment else None)
        outcome = await self.platform.transact(
            Transaction({key: self._version}, {key: value})
        )
        match outcome:
            case Committed():
                self._version = outcome.versions[key]
                self._counted(segment, asked_ms)
            case Conflict():
                await self._conflicted(outcome.rows.get(key), segment, asked_ms)
            case Unavailable():
                self.writer.failed()
                self._note_outage(asked_ms)
            case _:
                await self._read_back(segment, asked_ms)

    def _counted(self, segment: Segment | None, asked_ms: float) -> None:
        self._permit(asked_ms)
        if segment is not None:
            self.gained(self.writer.stored())

    async def _read_back(self, segment: Segment | None, asked_ms: float) -> None:
        key = lease_key(self.instance_id)
        rows = await self.platform.read([key])
        if isinstance(rows, Unavailable):
            self.writer.failed()
            self._note_outage(asked_ms)
            return
        await self._conflicted(rows.rows.get(key), segment, asked_ms)

    async def _conflicted(
        self, row: Row | None, segment: Segment | None, asked_ms: float
    ) -> None:
        """Compare the lease row with the last write, whose outcome is unclear."""
        if row is None or row.value["incarnation"] != self.incarnation:
            self._lost()
            return
        self._version = row.version
        counted = segment is None or row.value["last_segment"] >= segment.number
        if counted:
            self._counted(segment, asked_ms)
            return
        self.writer.failed()
        self._permit(asked_ms)

    def _lost(self) -> None:
        log_event("lease_lost", incarnation=self.incarnation)
        self._version = None
        self._permitted_until_ms = float("-inf")
        self._loop.stop()
        if not self._stopping:
            self.fenced()

    def _permit(self, asked_ms: float) -> None:
        self._renewed_ms = asked_ms
        self._permitted_until_ms = asked_ms + self.timers.lease_ms
        self._outage.proven()
        if self.store_out:
            self.store_out = False
            log_event("store_back")
        self.gained([])

    def _note_outage(self, asked_ms: float) -> None:
        """Extend the time for sending during an outage: no entry can take over then.

        Not after a pause of this process while it held a lease: the table may have been
        available meanwhile.
        """
        self._outage.awake(self.clock.now_ms())
        counts = self._outage.outage_counts or not self.held
        if not self.store_out:
            log_event("store_out", output_goes_on=counts)
        self.store_out = True
        if counts:
            self._permitted_until_ms = asked_ms + self.timers.lease_ms
            self.gained([])

    def begin_again(self, incarnation: str) -> None:
        """Start a new incarnation with an empty journal."""
        self.incarnation = incarnation
        self.writer = JournalWriter(incarnation)
        self._renewed_ms = float("-inf")
        self._loop.start()

    def leave_to_successor(self, key: str) -> None:
        """Stop journaling an answer that another entry took over; keep its segments.

        They are deleted after all of this incarnation's answers were adopted.
        """
        self.writer.forget(key)

    def forget(self, key: str) -> None:
        """Stop journaling an answer; delete segments that only hold its entries."""
        for object_key in self.writer.forget(key):
            spawn(self._delete(object_key), "delete_segment", self.reactor)

    async def _delete(self, object_key: str) -> None:
        await self.platform.delete_object(object_key)


def _orphaned(row: Row) -> dict[str, dict[str, Any] | None]:
    """The writes that accompany deleting a lease row and allow adoption."""
    incarnation = row.value["incarnation"]
    return {orphan_key(incarnation): dict(row.value), alive_key(incarnation): None}


def seal(row: Row) -> Transaction:
    """Seal an incarnation: its next renewal fails, its answers may be adopted."""
    return Transaction({row.key: row.version}, {row.key: None, **_orphaned(row)})

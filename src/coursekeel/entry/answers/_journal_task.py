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
    "seal_transaction",
]

LEASES_PREFIX = "leases/entry/"
ORPHANS_PREFIX = "leases/orphan/"
# Two renewals in a row may fail before the lease lapses.
_RENEWALS_PER_LEASE = 3
# A pause of this process longer than half a lease may let another entry take over: see
# `OutageWatch`.
_PAUSES_PER_LEASE = 2
# Checks that this process is awake, often enough that a late timer isn't taken for a
# pause.
_CHECKS_PER_PAUSE = 5


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

    ``on_fenced`` is called when the lease is lost: the durable answers of this
    incarnation then belong to the entries that adopt them. ``on_progress`` is called
    with the keys of the answers that have more tokens in the journal, or with an empty
    list after the time for sending was extended; ``on_lease_taken`` when the lease is
    acquired.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    timers: Timers
    instance_id: str
    incarnation: str
    on_fenced: Callable[[], None]
    on_progress: Callable[[list[str]], None]
    on_lease_taken: Callable[[], None]
    peer_address: Callable[[], str]
    writer: JournalWriter = field(init=False)
    store_out: bool = False
    _loop: Periodic = field(init=False)
    _awake_timer: Periodic = field(init=False)
    _outage: OutageWatch = field(init=False)
    _version: int | None = None
    _alive_version: int = 0
    _renewed_ms: float = float("-inf")
    _may_send_until_ms: float = float("-inf")
    _stopping: bool = False

    def __attrs_post_init__(self) -> None:
        self.writer = JournalWriter(self.incarnation)
        self._loop = Periodic(
            self.reactor, "journal", self.timers.journal_ms, self._round
        )
        pause_ms = self.timers.lease_ms / _PAUSES_PER_LEASE
        self._outage = OutageWatch(pause_ms)
        self._awake_timer = Periodic(
            self.reactor, "awake", pause_ms / _CHECKS_PER_PAUSE, self._note_awake
        )

    def start(self) -> None:
        """Acquire the lease, then renew it and write segments periodically."""
        self._awake_timer.start()
        self._loop.start()

    def fence_condition(self) -> dict[str, int]:
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
        left_ms = self._may_send_until_ms - self.clock.now_ms()
        if left_ms <= 0:
            self._loop.now()
        return left_ms

    async def stop(self) -> None:
        """Write the remaining segment and delete the lease row."""
        self._loop.stop()
        self._awake_timer.stop()
        self._stopping = True
        if self._version is not None:
            await self._flush()
        if self._version is not None:
            key = lease_key(self.instance_id)
            alive = alive_key(self.incarnation)
            await self.platform.transact(
                Transaction({key: self._version}, {key: None, alive: None})
            )

    async def _note_awake(self) -> None:
        self._outage.awake(self.clock.now_ms())

    async def _round(self) -> None:
        if self._version is None:
            await self._acquire_lease()
        elif self._is_due():
            await self._flush()

    def _is_due(self) -> bool:
        if self.writer.cut() is not None:
            return True
        age_ms = self.clock.now_ms() - self._renewed_ms
        return age_ms >= self.timers.lease_ms / _RENEWALS_PER_LEASE

    # Acquiring the lease.

    async def _acquire_lease(self) -> None:
        """Write the lease row; seal the instance's previous incarnation."""
        requested_ms = self.clock.now_ms()
        key = lease_key(self.instance_id)
        alive = alive_key(self.incarnation)
        rows = await self.platform.read([key, alive])
        if isinstance(rows, Unavailable):
            self._note_outage(requested_ms)
            return
        row = rows.rows.get(key)
        if row is not None and row.value["incarnation"] == self.incarnation:
            self._version = row.version
            self._alive_version = rows.rows[alive].version
            self._extend_lease(requested_ms)
            return
        writes: dict[str, dict[str, Any] | None] = {key: self._lease_value(), alive: {}}
        if row is not None:
            writes |= _orphan_writes(row)
        outcome = await self.platform.transact(
            Transaction({key: row.version if row else 0}, writes)
        )
        if isinstance(outcome, Committed):
            self._version = outcome.versions[key]
            self._alive_version = outcome.versions[alive]
            self._extend_lease(requested_ms)
            log_event("lease_taken", incarnation=self.incarnation)
            self.on_lease_taken()
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
        requested_ms = self.clock.now_ms()
        segment = self.writer.cut()
        if segment is not None and not await self._put_segment(segment):
            self._note_outage(requested_ms)
            return
        await self._renew(segment, requested_ms)

    async def _put_segment(self, segment: Segment) -> bool:
        outcome = await self.platform.put_object(segment.object_key, segment.to_bytes())
        if isinstance(outcome, Committed):
            return True
        self.writer.failed()
        return False

    async def _renew(self, segment: Segment | None, requested_ms: float) -> None:
        key = lease_key(self.instance_id)
        assert self._version is not None
        value = self._lease_value(segment.number if segment else None)
        outcome = await self.platform.transact(
            Transaction({key: self._version}, {key: value})
        )
        match outcome:
            case Committed():
                self._version = outcome.versions[key]
                self._on_committed(segment, requested_ms)
            case Conflict():
                await self._resolve_conflict(
                    outcome.rows.get(key), segment, requested_ms
                )
            case Unavailable():
                self.writer.failed()
                self._note_outage(requested_ms)
            case _:
                await self._check_renewal(segment, requested_ms)

    def _on_committed(self, segment: Segment | None, requested_ms: float) -> None:
        self._extend_lease(requested_ms)
        if segment is not None:
            self.on_progress(self.writer.stored())

    async def _check_renewal(
        self, segment: Segment | None, requested_ms: float
    ) -> None:
        key = lease_key(self.instance_id)
        rows = await self.platform.read([key])
        if isinstance(rows, Unavailable):
            self.writer.failed()
            self._note_outage(requested_ms)
            return
        await self._resolve_conflict(rows.rows.get(key), segment, requested_ms)

    async def _resolve_conflict(
        self, row: Row | None, segment: Segment | None, requested_ms: float
    ) -> None:
        """Compare the lease row with the last write, whose outcome is unclear."""
        if row is None or row.value["incarnation"] != self.incarnation:
            self._on_lease_lost()
            return
        self._version = row.version
        committed = segment is None or row.value["last_segment"] >= segment.number
        if committed:
            self._on_committed(segment, requested_ms)
            return
        self.writer.failed()
        self._extend_lease(requested_ms)

    def _on_lease_lost(self) -> None:
        log_event("lease_lost", incarnation=self.incarnation)
        self._version = None
        self._may_send_until_ms = float("-inf")
        self._loop.stop()
        if not self._stopping:
            self.on_fenced()

    def _extend_lease(self, requested_ms: float) -> None:
        self._renewed_ms = requested_ms
        self._may_send_until_ms = requested_ms + self.timers.lease_ms
        self._outage.proven()
        if self.store_out:
            self.store_out = False
            log_event("store_back")
        self.on_progress([])

    def _note_outage(self, requested_ms: float) -> None:
        """Extend the time for sending during an outage: no entry can take over then.

        Not after a pause of this process while it held a lease: the table may have been
        available meanwhile.
        """
        self._outage.awake(self.clock.now_ms())
        counts = self._outage.outage_is_conclusive or not self.held
        if not self.store_out:
            log_event("store_out", output_goes_on=counts)
        self.store_out = True
        if counts:
            self._may_send_until_ms = requested_ms + self.timers.lease_ms
            self.on_progress([])

    def start_incarnation(self, incarnation: str) -> None:
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


def _orphan_writes(row: Row) -> dict[str, dict[str, Any] | None]:
    """The writes that accompany deleting a lease row and allow adoption."""
    incarnation = row.value["incarnation"]
    return {orphan_key(incarnation): dict(row.value), alive_key(incarnation): None}


def seal_transaction(row: Row) -> Transaction:
    """Seal an incarnation: its next renewal fails, its answers may be adopted."""
    return Transaction({row.key: row.version}, {row.key: None, **_orphan_writes(row)})

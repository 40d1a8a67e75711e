"""Follows one table of the store and applies its changes.

Rule: a store position is valid within its era only. After a store was restored from a
backup the whole table is read again, and a response of an earlier era changes nothing;
neither does one that is behind the position in force (`ReadOrder`).

Owns the position up to which the table was read. Relies on a `Source` for each query,
and reports to `Freshness` the time as of which each response confirms the table.
"""

import logging
import math
from collections.abc import Callable
from random import Random
from traceback import format_exception

from attrs import define, evolve, field, frozen
from twisted.internet.task import deferLater

from coursekeel.errors import InvariantBroken
from coursekeel.forwarding import (
    Freshness,
    ReadOrder,
    ReadVerdict,
    StoreClock,
    StorePosition,
    confirmed_time_ms,
)
from coursekeel.gateway._adapters import (
    HistoryExpired,
    Outage,
    Source,
    SourceFailed,
    StoreQuery,
    Table,
    TableRead,
)
from coursekeel.gateway._metrics import logged_age_ms
from coursekeel.gateway.members._table_feed import TableFeed
from coursekeel.gateway.site._response_timer import ResponseTimer
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, spawn

__all__ = ["FollowedTable", "TableWatchTask"]

# Backoff after failed queries: doubles from the first to the longest pause, each with a
# random factor between a half and one. Long enough not to load a failing store, and
# short enough that its return is detected well before the two seconds after which
# missing endpoints count as gone.
_FIRST_PAUSE_MS = 300.0
_LONGEST_PAUSE_MS = 600.0
# Caps the exponent; the longest pause is reached before.
_MAX_DOUBLINGS = 3

# How long after its hold a response may begin before the query is abandoned.
_LEAST_SLACK_MS = 200.0
_MOST_SLACK_MS = 600.0


def _ignore() -> None:
    """Default of an optional callback."""


@frozen
class FollowedTable:
    """A table, how it is queried, and the callbacks for what happens to it.

    ``hold_ms``: how long the store may hold a query until something changes.
    ``gathering_ms``: pause after a change, since changes come in bursts.
    ``take``: applies a snapshot or update. ``on_source_return``: called before the
    first one after failures, or after a time longer than a hold in which the store
    hadn't responded. ``failed``: called for each failed query. ``restored``: called
    before the first snapshot of a later era is applied. ``on_read_up_to``: called with
    the position up to which all of the table was read. ``response_timer``: how late the
    response to a held query may be.
    """

    table: Table
    hold_ms: float
    gathering_ms: float
    take: Callable[[TableRead], None]
    on_source_return: Callable[[Outage], None]
    failed: Callable[[], None] = _ignore
    restored: Callable[[], None] = _ignore
    on_read_up_to: Callable[[StorePosition], None] = lambda _: None
    response_timer: ResponseTimer = field(
        factory=lambda: ResponseTimer(_LEAST_SLACK_MS, _MOST_SLACK_MS)
    )


@define(eq=False)
class TableWatchTask:
    """Follows one table for as long as the process runs.

    The store responds as soon as it has a change; between changes it is queried once
    every ``hold_ms``, and its empty response confirms that nothing changed.
    ``faults`` counts the queries that ended with an exception of this program.
    ``timeout_ms`` bounds the time to the response to a query that isn't held.
    """

    reactor: Reactor
    clock: Clock
    random: Random
    source: Source
    followed: FollowedTable
    timeout_ms: float
    freshness: Freshness
    store_clock: StoreClock
    feed: TableFeed
    restores: int = 0
    reads_behind: int = 0
    faults: int = 0
    _order: ReadOrder = field(factory=ReadOrder)
    _resume_position: StorePosition | None = None
    _stopped: bool = False
    _failure_count: int = 0
    _fault_count: int = 0
    _failing_since_ms: float = 0.0
    _change_count: int = 0
    _from_member: bool = False
    _gathered_ms: float = 0.0
    _response_lost: bool = False
    _responded_ms: float = -math.inf
    _unheard_ms: float = 0.0
    _sent: StoreQuery = field(factory=lambda: StoreQuery(0.0, 0.0))

    def start(self) -> None:
        """Start the task that queries the source."""
        spawn(self._run(), f"follow_{self._name}", self.reactor)

    def stop(self) -> None:
        """Send no more queries; one that is open is still processed."""
        self._stopped = True

    @property
    def _name(self) -> str:
        return self.followed.table.value

    async def _run(self) -> None:
        while not self._stopped:
            failures, changes = self._trouble_count, self._change_count
            await self._query_or_reset()
            self._gathered_ms = 0.0
            if self._trouble_count > failures:
                await deferLater(self.reactor, self._pause_s())
            elif self._change_count > changes and not self._from_member:
                # A member gathers changes before it sends them.
                self._gathered_ms = self.followed.gathering_ms
                await deferLater(self.reactor, self._gathered_ms / 1000)

    async def _query_or_reset(self) -> None:
        """Query once; after an unexpected exception, read the whole table again.

        Otherwise a bug would end the task: the instance would stay ready without
        ever receiving another change. `InvariantBroken` is raised on. It counts as no
        failure of the store, which may have responded.
        """
        try:
            await self._query()
        except InvariantBroken:
            raise
        except Exception as failure:
            error = "".join(format_exception(failure))
            log_event("follow_failed", logging.ERROR, table=self._name, error=error)
            self._resume_position = None
            self._fault_count += 1
            self.faults += 1

    @property
    def _trouble_count(self) -> int:
        return self._failure_count + self._fault_count

    async def _query(self) -> None:
        query = self._sent = StoreQuery(self.clock.now_ms(), self._hold_ms())
        outcome = await self._send_query(query.held_ms)
        self._response_lost = isinstance(outcome, SourceFailed) and self._waited_out()
        match outcome:
            case TableRead():
                table_read = self._checked_reading(outcome)
                if table_read is not None:
                    self._process(table_read, table_read.query or query)
            case HistoryExpired():
                self._note_heard(query.sent_ms)
                log_event("history_gone", table=self._name, since=self._resume_position)
                self._resume_position = None
            case SourceFailed():
                if self._response_lost:
                    self.followed.response_timer.lost()
                self._source_failed(outcome.reason)

    def _waited_out(self) -> bool:
        """Whether the query was held to its end, and only its response is missing."""
        query = self._sent
        return 0 < query.held_ms <= self.clock.now_ms() - query.sent_ms

    def _checked_reading(self, table_read: TableRead) -> TableRead | None:
        """The snapshot or update if it may be applied, or None; handles the others."""
        position = table_read.position
        if self._is_ahead(table_read):
            self._source_failed(f"its clock is ahead: {table_read.store_ms:.0f} ms")
            return None
        verdict = self._order.judge(
            position, table_read.whole, self._made_by_ms(table_read)
        )
        if verdict is ReadVerdict.APPLY:
            return table_read
        known = self._order.position
        assert known is not None
        if verdict is ReadVerdict.RESTORED:
            self._store_restored(table_read, known)
            return evolve(table_read, restored=True)
        self._resume_position = None
        if verdict is ReadVerdict.ERA_FELL:
            log_event(
                "store_era_fell",
                logging.WARNING,
                table=self._name,
                moment=position,
                era=known.era,
            )
            self._source_failed(f"era {position.era} after {known.era}")
        elif verdict is ReadVerdict.BEHIND:
            self._read_behind(table_read, known)
        return None

    def _is_ahead(self, table_read: TableRead) -> bool:
        """Whether the store's time in its own response can't be true."""
        return table_read.confirmed_ms is None and self.store_clock.is_ahead(
            table_read.position.era, table_read.store_ms, self.clock.now_ms()
        )

    def _made_by_ms(self, table_read: TableRead) -> float:
        """The latest local time at which the store can have made this response."""
        if table_read.confirmed_ms is not None:
            return -math.inf
        return self.store_clock.latest_ms(
            table_read.position.era, table_read.store_ms, self.clock.now_ms()
        )

    def _store_restored(self, table_read: TableRead, known: StorePosition) -> None:
        log_event(
            "store_restored",
            logging.WARNING,
            table=self._name,
            before=known,
            moment=table_read.position,
        )
        self.restores += 1
        self.followed.restored()

    def _read_behind(self, table_read: TableRead, known: StorePosition) -> None:
        """Read again: changes that were behind at once and whole, a snapshot later.

        After a snapshot the changes since the position in force are requested first:
        members may have them, or the store's feed.
        """
        self.reads_behind += 1
        log_event(
            "read_behind",
            logging.WARNING,
            table=self._name,
            source=table_read.source,
            whole=table_read.whole,
            moment=table_read.position,
            known=known,
        )
        if table_read.whole:
            self._resume_position = known
            self._source_failed("a read that is behind")
            # The store responds: no registration lapses, and it is read again soon.
            self._failing_since_ms = self.clock.now_ms()
            self._failure_count = 1

    def _hold_ms(self) -> float:
        """How long the store may hold the next query.

        Zero after a failure: a held query would delay the detection of the store's
        return by the whole hold. Less after changes gathered, so that a lost response
        delays a change by no more than the usual hold.
        """
        if self._resume_position is None or self._failure_count:
            return 0.0
        hold_ms = self.source.hold_ms(self.followed.table, self.followed.hold_ms)
        return max(0.0, hold_ms - self._gathered_ms)

    async def _send_query(
        self, held_ms: float
    ) -> TableRead | HistoryExpired | SourceFailed:
        table = self.followed.table
        if self._resume_position is None:
            return await self.source.read(table, self.timeout_ms)
        timer = self.followed.response_timer
        slack_ms = timer.most_ms if self._failure_count else timer.limit_ms
        longest_ms = held_ms + slack_ms
        return await self.source.follow(
            table, self._resume_position, held_ms, longest_ms
        )

    def _process(self, table_read: TableRead, query: StoreQuery) -> None:
        now_ms = self.clock.now_ms()
        confirmed_ms = self._confirmed_ms(table_read, query, now_ms)
        self._record_response(table_read, query, confirmed_ms, now_ms)
        if self._failure_count and not self._shows_return(table_read):
            # The store is still away: pause, and query without a hold.
            self._failure_count += 1
        else:
            self._end_outage(table_read, now_ms)
        self._from_member = table_read.confirmed_ms is not None
        self._apply(table_read, confirmed_ms)
        self._resume_position = table_read.position
        self._order.applied(table_read.position, now_ms)
        self.feed.took(table_read, confirmed_ms, failing=self._failure_count > 0)
        if self._fault_count:
            log_event("table_back", table=self._name, faults=self._fault_count)
            self._fault_count = 0

    def _shows_return(self, table_read: TableRead) -> bool:
        """Whether the store responded after it had failed, to this instance or another.

        A member that fails too may have a slightly newer copy than this instance.
        """
        confirmed_ms = table_read.confirmed_ms
        return confirmed_ms is None or confirmed_ms > self._failing_since_ms

    def _record_response(
        self,
        table_read: TableRead,
        query: StoreQuery,
        confirmed_ms: float,
        now_ms: float,
    ) -> None:
        """Record when the store responded at the earliest, and how late that was."""
        heard_ms = responded_ms = confirmed_ms
        if table_read.confirmed_ms is None:
            era, store_ms = table_read.position.era, table_read.store_ms
            made_ms = self.store_clock.earliest_ms(era, store_ms, query.sent_ms)
            responded_ms = max(confirmed_ms, min(made_ms, now_ms))
            # A store that responds to a held query was there to hold it.
            heard_ms = query.sent_ms if query.held_ms else responded_ms
            due_ms = query.sent_ms + query.held_ms
            if not (table_read.whole or (query.held_ms and table_read.entries)):
                self.followed.response_timer.responded(max(0.0, now_ms - due_ms))
        self._note_heard(heard_ms)
        self._responded_ms = max(self._responded_ms, responded_ms)

    def _note_heard(self, heard_ms: float) -> None:
        """Record that the store was there then, and for how long it wasn't heard."""
        if math.isfinite(self._responded_ms):
            unheard_ms = heard_ms - self._responded_ms
            self._unheard_ms = max(self._unheard_ms, unheard_ms)
        self._responded_ms = max(self._responded_ms, heard_ms)

    def _apply(self, table_read: TableRead, confirmed_ms: float) -> None:
        """Apply a snapshot or update, and record its confirmation.

        The confirmation is recorded first, since requests that wait for the first
        snapshot are served while it is applied. It is withdrawn if that raises.
        """
        before_ms = self.freshness.confirmed_ms(self._name)
        self.freshness.record_confirmation(self._name, confirmed_ms)
        try:
            if table_read.entries or table_read.whole:
                self._change_count += 1
                self.followed.take(table_read)
            self.followed.on_read_up_to(table_read.position)
        except Exception:
            self.freshness.undo_confirmation(self._name, before_ms)
            raise

    def _confirmed_ms(
        self, table_read: TableRead, query: StoreQuery, now_ms: float
    ) -> float:
        """The local time as of which a response confirms the table."""
        if table_read.confirmed_ms is not None:
            return table_read.confirmed_ms
        held_ms = 0.0 if table_read.entries else query.held_ms
        confirmed_ms = confirmed_time_ms(query.sent_ms, now_ms, held_ms)
        clock, era = self.store_clock, table_read.position.era
        earliest_ms = clock.earliest_ms(era, table_read.store_ms, query.sent_ms)
        latest_ms = clock.latest_ms(era, table_read.store_ms, now_ms)
        # A hold may have ended early, and its response arrived late.
        return min(confirmed_ms, earliest_ms, latest_ms)

    def _end_outage(self, table_read: TableRead, now_ms: float) -> None:
        """Report the time without a response; no query need have failed in it.

        Where members responded the store may have been there all the time.
        """
        unheard_ms, self._unheard_ms = self._unheard_ms, 0.0
        is_own = table_read.confirmed_ms is None and not self._from_member
        failed_ms = 0.0
        if self._failure_count:
            log_event("store_back", table=self._name, failures=self._failure_count)
            failed_ms = now_ms - self._failing_since_ms
        self._failure_count = 0
        if failed_ms or (is_own and unheard_ms > self.followed.hold_ms):
            self.followed.on_source_return(Outage(unheard_ms, failed_ms))

    def _source_failed(self, reason: str) -> None:
        self._failure_count += 1
        self.feed.failed()
        self.followed.failed()
        if self._failure_count == 1:
            self._failing_since_ms = self.clock.now_ms()
            age_ms = self.freshness.age_ms(self._name, self.clock.now_ms())
            log_event(
                "store_lost",
                table=self._name,
                reason=reason,
                held_ms=round(self._sent.held_ms),
                waited_ms=round(self.clock.now_ms() - self._sent.sent_ms),
                belief_age_ms=logged_age_ms(age_ms),
            )

    def _pause_s(self) -> float:
        if self._response_lost and self._trouble_count == 1:
            # The store may be sound, and the query took its time already.
            return 0.0
        doubled_ms = _FIRST_PAUSE_MS * 2.0 ** min(
            self._trouble_count - 1, _MAX_DOUBLINGS
        )
        jitter = 0.5 + self.random.random() / 2
        return float(min(doubled_ms, _LONGEST_PAUSE_MS) * jitter / 1000)

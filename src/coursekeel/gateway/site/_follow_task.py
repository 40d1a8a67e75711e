"""Keeps one table of the store as this instance knows it.

Rule: a position is good within its era only. After a store has come back from an older
copy its table is read whole again, and an answer of an earlier era changes nothing.

Owns the moment up to which the table was read. Relies on a `Source` for each question,
and tells `Freshness` which moment each answer proves.
"""

import logging
from collections.abc import Callable
from random import Random
from traceback import format_exception

from attrs import define, evolve, frozen
from twisted.internet.task import deferLater

from coursekeel.errors import InvariantBroken
from coursekeel.forwarding import (
    Freshness,
    StoreClock,
    StoreMoment,
    proven_moment_ms,
)
from coursekeel.gateway._adapters import (
    HistoryGone,
    Reading,
    Source,
    SourceFailed,
    StoreQuestion,
    Table,
)
from coursekeel.gateway._metrics import logged_age_ms
from coursekeel.gateway.members._table_feed import TableFeed
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, spawn

__all__ = ["FollowTask", "FollowedTable"]

# Pauses after failed questions double from the first to the longest, each shortened by
# lot to between half and all of it. Long enough that a store in trouble isn't asked
# much more than in peace (once in some seconds), short enough that its return is seen
# well before the two seconds after which missing endpoints count as gone.
_FIRST_PAUSE_MS = 300.0  # see above
_LONGEST_PAUSE_MS = 600.0  # see above
# More doublings than reach the longest pause would only make greater numbers.
_MAX_DOUBLINGS = 3

# How much later than its hold an answer may begin before the question is given up. The
# store's own answers take some ms.
_ANSWER_SLACK_MS = 600.0


def _unheard() -> None:
    """Nobody needs to know."""


@frozen
class FollowedTable:
    """A table, and how it is followed.

    ``hold_ms`` is how long the store may hold a question until something changes.
    Changes come in bursts and each question is paid for, so after one the next waits
    for ``gathering_ms``. ``take`` puts a reading in force. After failures ``came_back``
    is told how old the last proof was, in ms, before the reading is taken. ``failed``
    is told of each question that brought nothing, ``restored`` before the first
    reading of a later era is taken, and ``proved`` up to which moment all of the
    table is known.
    """

    table: Table
    hold_ms: float
    gathering_ms: float
    take: Callable[[Reading], None]
    came_back: Callable[[float], None]
    failed: Callable[[], None] = _unheard
    restored: Callable[[], None] = _unheard
    proved: Callable[[StoreMoment], None] = lambda _: None


@define(eq=False)
class FollowTask:
    """Follows one table for as long as the process runs.

    A change is told as soon as the store has it; between changes the store is asked
    once every ``hold_ms``, and its empty answer is the proof that nothing changed.
    ``timeout_ms`` bounds the time until a question that isn't held is answered.
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
    _since: StoreMoment | None = None
    _last: StoreMoment | None = None
    _stopped: bool = False
    _failures: int = 0
    _changes: int = 0
    _relayed: bool = False

    def start(self) -> None:
        """Begin to follow."""
        spawn(self._run(), f"follow_{self._name}", self.reactor)

    def stop(self) -> None:
        """Ask no more."""
        self._stopped = True

    @property
    def _name(self) -> str:
        return self.followed.table.value

    async def _run(self) -> None:
        while not self._stopped:
            failures, changes = self._failures, self._changes
            await self._once_or_afresh()
            if self._failures > failures:
                await deferLater(self.reactor, self._pause_s())
            elif self._changes > changes and not self._relayed:
                # A member's changes were gathered before it told them.
                await deferLater(self.reactor, self.followed.gathering_ms / 1000)

    async def _once_or_afresh(self) -> None:
        """A fault of this program must not end the following for good.

        A row that raised in here once left the instance ready, and blind to every later
        change. What was read is in doubt then, so all of it is read again.
        """
        try:
            await self._once()
        except InvariantBroken:
            raise
        except Exception as failure:
            error = "".join(format_exception(failure))
            log_event("follow_failed", logging.ERROR, table=self._name, error=error)
            self._since = None
            self._failures += 1

    async def _once(self) -> None:
        question = StoreQuestion(self.clock.now_ms(), self._hold_ms())
        outcome = await self._ask(question.held_ms)
        match outcome:
            case Reading():
                reading = self._of_this_era(outcome)
                if reading is not None:
                    self._take(reading, reading.question or question)
            case HistoryGone():
                log_event("history_gone", table=self._name, since=self._since)
                self._since = None
            case SourceFailed():
                self._lost(outcome.reason)

    def _of_this_era(self, reading: Reading) -> Reading | None:
        """The reading, if it counts; one that doesn't changes nothing."""
        if self._last is None or reading.moment.era == self._last.era:
            return reading if self._goes_on(reading) else None
        era, known = reading.moment.era, self._last.era
        if era < known:
            log_event(
                "store_era_fell",
                logging.WARNING,
                table=self._name,
                moment=reading.moment,
                era=known,
            )
            self._since = None
            self._lost(f"era {era} after {known}")
            return None
        if not reading.whole:
            # Its position is of the era before: what lies between isn't known.
            self._since = None
            return None
        log_event(
            "store_restored",
            logging.WARNING,
            table=self._name,
            before=self._last,
            moment=reading.moment,
        )
        self.restores += 1
        self.followed.restored()
        return evolve(reading, restored=True)

    def _goes_on(self, reading: Reading) -> bool:
        """Say whether a reading of this era goes on from the position asked for."""
        if reading.whole or self._since is None or reading.moment >= self._since:
            return True
        log_event(
            "store_version_fell",
            logging.WARNING,
            table=self._name,
            since=self._since,
            moment=reading.moment,
        )
        self._since = None
        return False

    def _hold_ms(self) -> float:
        """How long the store may hold the next question.

        A store that failed is asked for an answer at once: a question that it holds
        would hang for the whole hold, and its return would be seen so much later.
        """
        if self._since is None or self._failures:
            return 0.0
        return self.source.hold_ms(self.followed.table, self.followed.hold_ms)

    async def _ask(self, held_ms: float) -> Reading | HistoryGone | SourceFailed:
        table = self.followed.table
        if self._since is None:
            return await self.source.read(table, self.timeout_ms)
        longest_ms = held_ms + _ANSWER_SLACK_MS
        return await self.source.follow(table, self._since, held_ms, longest_ms)

    def _take(self, reading: Reading, question: StoreQuestion) -> None:
        now_ms = self.clock.now_ms()
        if self._failures:
            self._came_back(now_ms)
        self._relayed = reading.proven_ms is not None
        moment_ms = self._proven_ms(reading, question, now_ms)
        self._put_in_force(reading, moment_ms)
        self._since = self._last = reading.moment
        self.feed.took(reading, moment_ms)

    def _put_in_force(self, reading: Reading, moment_ms: float) -> None:
        """Take a reading, and count its proof.

        The proof counts first, since what waits for the first reading is served as it
        is taken. If taking it raises, what is known is still what was proven before.
        """
        before_ms = self.freshness.proven_ms(self._name)
        self.freshness.proved(self._name, moment_ms)
        try:
            if reading.entries or reading.whole:
                self._changes += 1
                self.followed.take(reading)
            self.followed.proved(reading.moment)
        except Exception:
            self.freshness.withdrawn(self._name, before_ms)
            raise

    def _proven_ms(
        self, reading: Reading, question: StoreQuestion, now_ms: float
    ) -> float:
        """The moment that a reading proves."""
        if reading.proven_ms is not None:
            return reading.proven_ms
        held_ms = 0.0 if reading.entries else question.held_ms
        moment_ms = proven_moment_ms(question.sent_ms, now_ms, held_ms)
        clock, era = self.store_clock, reading.moment.era
        earliest_ms = clock.earliest_ms(era, reading.store_ms, question.sent_ms)
        latest_ms = clock.latest_ms(era, reading.store_ms, now_ms)
        # A hold may have ended early, and its answer come late.
        return min(moment_ms, earliest_ms, latest_ms)

    def _came_back(self, now_ms: float) -> None:
        log_event("store_back", table=self._name, failures=self._failures)
        self._failures = 0
        self.followed.came_back(self.freshness.age_ms(self._name, now_ms))

    def _lost(self, reason: str) -> None:
        self._failures += 1
        self.feed.failed()
        self.followed.failed()
        if self._failures == 1:
            age_ms = self.freshness.age_ms(self._name, self.clock.now_ms())
            log_event(
                "store_lost",
                table=self._name,
                reason=reason,
                belief_age_ms=logged_age_ms(age_ms),
            )

    def _pause_s(self) -> float:
        doubled_ms = _FIRST_PAUSE_MS * 2.0 ** min(self._failures - 1, _MAX_DOUBLINGS)
        share = 0.5 + self.random.random() / 2
        return float(min(doubled_ms, _LONGEST_PAUSE_MS) * share / 1000)

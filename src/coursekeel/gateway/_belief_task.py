"""The tasks that keep configuration and endpoints as the store has them."""

import logging
from collections.abc import Callable
from random import Random
from traceback import format_exception

from attrs import define
from twisted.internet.task import deferLater

from coursekeel.errors import InvariantBroken
from coursekeel.forwarding import Belief, StoreClock, proof_moment
from coursekeel.gateway._adapters import (
    HistoryGone,
    Reading,
    Source,
    SourceFailed,
    Table,
)
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, spawn

__all__ = ["BeliefTask"]

_FIRST_PAUSE_MS = 150.0
_LONGEST_PAUSE_MS = 600.0
_ANSWER_SLACK_MS = 600.0


@define(eq=False)
class BeliefTask:
    """Follows one table for as long as the process runs.

    A change is told as soon as the store has it; between changes the store is asked
    once every ``hold_ms``, and its empty answer is the proof that nothing changed.
    Changes come in flocks and each call is paid for, so after one the task waits for
    ``gathering_ms`` before it asks for the next. After failures ``came_back`` is told
    how old the last proof was, in milliseconds, before the reading is applied.
    """

    reactor: Reactor
    clock: Clock
    source: Source
    table: Table
    hold_ms: float
    timeout_ms: float
    belief: Belief
    store_clock: StoreClock
    random: Random
    gathering_ms: float
    apply: Callable[[Reading], None]
    came_back: Callable[[float], None]
    _version: int | None = None
    _stopped: bool = False
    _failures: int = 0
    _changes: int = 0
    calls: int = 0

    def start(self) -> None:
        """Begin to follow."""
        spawn(self._run(), f"follow_{self.table.value}", self.reactor)

    def stop(self) -> None:
        """Ask no more."""
        self._stopped = True

    async def _run(self) -> None:
        while not self._stopped:
            failures, changes = self._failures, self._changes
            await self._once_or_afresh()
            if self._failures > failures:
                await deferLater(self.reactor, self._pause_s())
            elif self._changes > changes:
                await deferLater(self.reactor, self.gathering_ms / 1000)

    async def _once_or_afresh(self) -> None:
        """A fault of this program must not end the following for good.

        Seen in a trial: a row that raised in here left the instance ready, and blind to
        every later change. What was read is in doubt then, so all of it is read again.
        """
        try:
            await self._once()
        except InvariantBroken:
            raise
        except Exception as failure:
            log_event(
                "follow_failed",
                logging.ERROR,
                table=self.table.value,
                error="".join(format_exception(failure)),
            )
            self._version = None
            self._failures += 1

    async def _once(self) -> None:
        sent_ms = self.clock.now_ms()
        held_ms = 0.0
        self.calls += 1
        outcome: Reading | HistoryGone | SourceFailed
        if self._version is None:
            outcome = await self.source.read(self.table, self.timeout_ms)
        else:
            held_ms = self.hold_ms
            outcome = await self.source.follow(
                self.table, self._version, held_ms, held_ms + _ANSWER_SLACK_MS
            )
        match outcome:
            case Reading():
                self._take(outcome, sent_ms, held_ms)
            case HistoryGone():
                log_event("history_gone", table=self.table.value, since=self._version)
                self._version = None
            case SourceFailed():
                self._lost(outcome.reason)

    def _take(self, reading: Reading, sent_ms: float, held_ms: float) -> None:
        now_ms = self.clock.now_ms()
        if self._failures:
            self._came_back(now_ms)
        moment_ms = proof_moment(sent_ms, now_ms, 0.0 if reading.entries else held_ms)
        made_ms = self.store_clock.local_ms(reading.store_ms, now_ms)
        self.belief.proved(self.table.value, min(moment_ms, made_ms))
        self._version = reading.version
        if reading.entries or reading.whole:
            self._changes += 1
            self.apply(reading)

    def _came_back(self, now_ms: float) -> None:
        log_event("store_back", table=self.table.value, failures=self._failures)
        self._failures = 0
        self.came_back(self.belief.age_ms(self.table.value, now_ms))

    def _lost(self, reason: str) -> None:
        self._failures += 1
        if self._failures == 1:
            age_ms = self.belief.age_ms(self.table.value, self.clock.now_ms())
            log_event(
                "store_lost",
                table=self.table.value,
                reason=reason,
                belief_age_ms=round(age_ms) if age_ms < 1e9 else "none",
            )

    def _pause_s(self) -> float:
        longest = _FIRST_PAUSE_MS * 2.0 ** min(self._failures, 4)
        pause_ms = min(longest, _LONGEST_PAUSE_MS) * (0.5 + self.random.random() / 2)
        return float(pause_ms / 1000)

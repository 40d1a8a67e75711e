"""One table as this instance knows it, for the members of its group that ask.

Rule: a question names the moment up to which the asker knows the table. It is answered
as soon as there is more to tell, a newer proof, or the news that this instance doesn't
reach the store; at the latest when its time is over. The answer says how old the proof
is. An asker that knows more than this instance gets nothing from it, so that nobody's
knowledge goes back. A configuration isn't replaced by an older one, which a store that
came back from a copy may have until its operator writes again.

Owns the rows known, what changed since the table was read whole, and the questions that
wait. Relies on `FollowTask`, which tells of each reading.
"""

import math
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field, frozen

from coursekeel.canary import RolloutOrder, order_id
from coursekeel.forwarding import (
    EndpointRecord,
    ForwardingConfiguration,
    StoreMoment,
)
from coursekeel.gateway._adapters import Reading, Removed, Versioned
from coursekeel.gateway.members._reading_codec import RelayedReading
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock
from coursekeel.units import MS_PER_SECOND

__all__ = ["Answered", "NotAhead", "TableFeed"]

# Rows that are gone are kept so that an asker hears of them; beyond this the next
# answers are whole. More than go in a minute at a large site.
_MAX_GONE = 1_000

# Longer than a member may hold a question, and the time until it is asked again.
_ASKED_LATELY_MS = 3_000.0

# The one configuration; its table holds the orders of roll-outs too.
_CONFIGURATION = "configuration"


@frozen
class NotAhead:
    """This instance knows less than the asker, or nothing at all."""


Answered = RelayedReading | NotAhead
_Told = Callable[[Answered], None]


@define(eq=False)
class _Waiter:
    since: StoreMoment
    asked_ms: float
    told: _Told
    timer: Any = None


@define(eq=False)
class TableFeed:
    """Answers questions after one table."""

    reactor: Reactor
    clock: Clock
    failing: bool = False
    _moment: StoreMoment | None = None
    _complete_since: StoreMoment = field(factory=StoreMoment)
    _proven_ms: float = -math.inf
    _rows: dict[str, Versioned] = field(factory=dict)
    _gone: int = 0
    _asked_ms: float = -math.inf
    _waiters: list[_Waiter] = field(factory=list)

    # What this instance learns.

    def took(self, reading: Reading, proven_ms: float) -> None:
        """A reading was taken, which proves the table as of a moment."""
        known = self._rows.get(_CONFIGURATION)
        if reading.whole or self._gone > _MAX_GONE:
            kept = {} if reading.whole else self._present()
            self._rows, self._gone = kept, 0
            self._complete_since = reading.moment
        for each in reading.entries:
            self._rows[_key_of(each)] = _newest(known, each)
            self._gone += isinstance(each.entry, Removed)
        self._moment = reading.moment
        self._proven_ms = max(self._proven_ms, proven_ms)
        self.failing = False
        self._wake()

    def failed(self) -> None:
        """Nobody who could be asked has a newer proof."""
        if not self.failing:
            self.failing = True
            self._wake()

    def _present(self) -> dict[str, Versioned]:
        rows = self._rows.items()
        return {k: row for k, row in rows if not isinstance(row.entry, Removed)}

    # What others ask.

    def ask(
        self, since: StoreMoment | None, wait_ms: float, told: _Told
    ) -> Callable[[], None]:
        """Answer now or later; calling what is returned withdraws the question."""
        now_ms = self._asked_ms = self.clock.now_ms()
        if self._moment is None:
            told(NotAhead())
            return _nothing
        if since is None or self._answers_at_once(since):
            told(self._answer(since, now_ms))
            return _nothing
        waiter = _Waiter(since, now_ms, told)
        wait_s = wait_ms / MS_PER_SECOND
        waiter.timer = self.reactor.callLater(wait_s, self._over, waiter)
        self._waiters.append(waiter)
        return lambda: self._withdraw(waiter)

    @property
    def configuration_version(self) -> int:
        """The version of the configuration known here, -1 if there is none."""
        row = self._rows.get(_CONFIGURATION)
        if row is None or not isinstance(row.entry, ForwardingConfiguration):
            return -1
        return row.entry.version

    def ask_above(self, version: int, told: _Told) -> None:
        """Answer whole if a later configuration than the asker's is known here."""
        if self.configuration_version > version:
            told(self._answer(None, self.clock.now_ms()))
        else:
            told(NotAhead())

    def asked_lately(self) -> bool:
        """Say whether members ask here: they ask again within a moment."""
        return self.clock.now_ms() - self._asked_ms < _ASKED_LATELY_MS

    def _answers_at_once(self, since: StoreMoment) -> bool:
        if self.failing:
            return True
        assert self._moment is not None
        if since.era < self._moment.era:
            return True
        return since < self._moment and bool(self._changes(since))

    def _withdraw(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            waiter.timer.cancel()

    def _wake(self) -> None:
        assert self._moment is not None or self.failing
        for waiter in list(self._waiters):
            behind = self._moment is None or waiter.since > self._moment
            if self.failing or not behind:
                self._withdraw(waiter)
                waiter.told(self._answer(waiter.since, waiter.asked_ms))

    def _over(self, waiter: _Waiter) -> None:
        self._waiters.remove(waiter)
        waiter.told(self._answer(waiter.since, waiter.asked_ms))

    def _answer(self, since: StoreMoment | None, asked_ms: float) -> Answered:
        if self._moment is None or (since is not None and since > self._moment):
            return NotAhead()
        now_ms = self.clock.now_ms()
        whole = since is None or since < self._complete_since
        least = StoreMoment() if since is None else since
        entries = tuple(self._present().values()) if whole else self._changes(least)
        return RelayedReading(
            self._moment,
            whole,
            now_ms - asked_ms,
            now_ms - self._proven_ms,
            self.failing,
            entries,
        )

    def _changes(self, since: StoreMoment) -> tuple[Versioned, ...]:
        newer = [each for each in self._rows.values() if each.moment > since]
        return tuple(sorted(newer, key=lambda each: each.moment))


def _newest(known: Versioned | None, read: Versioned) -> Versioned:
    """What is told of a row: never a configuration older than the one known."""
    before = known.entry if known is not None else None
    if not isinstance(before, ForwardingConfiguration):
        return read
    if not isinstance(read.entry, ForwardingConfiguration):
        return read
    return evolve(read, entry=before) if before.version > read.entry.version else read


def _key_of(versioned: Versioned) -> str:
    entry = versioned.entry
    if isinstance(entry, ForwardingConfiguration):
        return _CONFIGURATION
    if isinstance(entry, EndpointRecord):
        return entry.endpoint_id
    if isinstance(entry, RolloutOrder):
        return order_id(entry.pool)
    return entry.entry_id


def _nothing() -> None:
    """The question has been answered."""

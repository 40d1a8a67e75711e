"""Serves this instance's copy of one table to the members of its group.

Rule: a request names the store position up to which the requester has the table. It is
answered as soon as there are changes, a newer confirmation, or a failure to reach the
store, and at the latest after its wait time. The answer states the confirmation's age.
A requester that is ahead of this instance gets no rows, so that its state never goes
back. A configuration isn't replaced by an older one, which a store restored from a
backup may serve until its operator writes again.

Owns the cached rows, the changes since the table was last read whole, and the waiting
requests. Relies on `TableWatchTask`, which passes on each snapshot and update.
"""

import math
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field, frozen

from coursekeel.canary import RolloutOrder, order_id
from coursekeel.forwarding import (
    EndpointRecord,
    ForwardingConfiguration,
    StorePosition,
)
from coursekeel.gateway._adapters import Removed, TableRead, VersionedEntry
from coursekeel.gateway.members._reading_codec import RelayedTableRead
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock
from coursekeel.units import MS_PER_SECOND

__all__ = ["FeedAnswer", "NoNewerState", "TableFeed"]

# Tombstones of removed rows are kept so that requesters learn of removals; above this
# number they are dropped, and requesters with an older position get the whole table.
# More than are removed at a large site in a minute.
_MAX_REMOVED_ROWS = 1_000

# Longer than a request may be held plus the time until a member's next request.
_RECENT_REQUEST_MS = 3_000.0

# Key of the configuration's row; its table also holds the roll-out orders.
_CONFIGURATION = "configuration"


@frozen
class NoNewerState:
    """The requester's copy is at least as recent, or there is none here."""


FeedAnswer = RelayedTableRead | NoNewerState
_SendAnswer = Callable[[FeedAnswer], None]


@define(eq=False)
class _WaitingRequest:
    since: StorePosition
    received_ms: float
    send_answer: _SendAnswer
    timer: Any = None


@define(eq=False)
class TableFeed:
    """Answers members' requests for one table."""

    reactor: Reactor
    clock: Clock
    failing: bool = False
    _position: StorePosition | None = None
    _complete_since: StorePosition = field(factory=StorePosition)
    _confirmed_ms: float = -math.inf
    _rows: dict[str, VersionedEntry] = field(factory=dict)
    _removed_rows: int = 0
    _requested_ms: float = -math.inf
    _waiters: list[_WaitingRequest] = field(factory=list)

    # Updates from the store.

    def took(
        self, table_read: TableRead, confirmed_ms: float, failing: bool = False
    ) -> None:
        """Store a snapshot or update that confirms the table as of ``confirmed_ms``.

        ``confirmed_ms`` is a local time; `TableWatchTask` calls this after applying it.
        ``failing``: a member responded, and the store is still away.
        """
        cached = self._rows.get(_CONFIGURATION)
        if table_read.whole or self._removed_rows > _MAX_REMOVED_ROWS:
            rows = {} if table_read.whole else self._present()
            self._rows, self._removed_rows = rows, 0
            self._complete_since = table_read.position
        for versioned in table_read.entries:
            self._rows[_key_of(versioned)] = _newer_configuration(cached, versioned)
            self._removed_rows += isinstance(versioned.entry, Removed)
        self._position = table_read.position
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
        self.failing = failing
        self._answer_waiters()

    def failed(self) -> None:
        """Answer waiting requests: no source has a newer confirmation."""
        if not self.failing:
            self.failing = True
            self._answer_waiters()

    def _present(self) -> dict[str, VersionedEntry]:
        rows = self._rows.items()
        return {k: row for k, row in rows if not isinstance(row.entry, Removed)}

    # Requests of members.

    def request(
        self, since: StorePosition | None, wait_ms: float, send_answer: _SendAnswer
    ) -> Callable[[], None]:
        """Answer now or within ``wait_ms``; returns a function that cancels that."""
        now_ms = self._requested_ms = self.clock.now_ms()
        if self._position is None:
            send_answer(NoNewerState())
            return _cancel_nothing
        if since is None or self._can_answer_at_once(since):
            send_answer(self._answer(since, now_ms))
            return _cancel_nothing
        waiter = _WaitingRequest(since, now_ms, send_answer)
        wait_s = wait_ms / MS_PER_SECOND
        waiter.timer = self.reactor.callLater(wait_s, self._wait_expired, waiter)
        self._waiters.append(waiter)
        return lambda: self._withdraw(waiter)

    @property
    def configuration_version(self) -> int:
        """The version of the cached configuration, -1 if there is none."""
        row = self._rows.get(_CONFIGURATION)
        if row is None or not isinstance(row.entry, ForwardingConfiguration):
            return -1
        return row.entry.version

    def request_configuration_above(
        self, version: int, send_answer: _SendAnswer
    ) -> None:
        """Answer with the whole table if the cached configuration is later."""
        if self.configuration_version > version:
            send_answer(self._answer(None, self.clock.now_ms()))
        else:
            send_answer(NoNewerState())

    def requested_recently(self) -> bool:
        """Whether a member has requested this table within the last few seconds."""
        return self.clock.now_ms() - self._requested_ms < _RECENT_REQUEST_MS

    def _can_answer_at_once(self, since: StorePosition) -> bool:
        if self.failing:
            return True
        assert self._position is not None
        if since.era < self._position.era:
            return True
        return since < self._position and bool(self._changes(since))

    def _withdraw(self, waiter: _WaitingRequest) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            waiter.timer.cancel()

    def _answer_waiters(self) -> None:
        assert self._position is not None or self.failing
        for waiter in list(self._waiters):
            behind = self._position is None or waiter.since > self._position
            if self.failing or not behind:
                self._withdraw(waiter)
                waiter.send_answer(self._answer(waiter.since, waiter.received_ms))

    def _wait_expired(self, waiter: _WaitingRequest) -> None:
        self._waiters.remove(waiter)
        waiter.send_answer(self._answer(waiter.since, waiter.received_ms))

    def _answer(self, since: StorePosition | None, received_ms: float) -> FeedAnswer:
        if self._position is None or (since is not None and since > self._position):
            return NoNewerState()
        now_ms = self.clock.now_ms()
        whole = since is None or since < self._complete_since
        least = StorePosition() if since is None else since
        entries = tuple(self._present().values()) if whole else self._changes(least)
        return RelayedTableRead(
            self._position,
            whole,
            now_ms - received_ms,
            now_ms - self._confirmed_ms,
            self.failing,
            entries,
        )

    def _changes(self, since: StorePosition) -> tuple[VersionedEntry, ...]:
        newer = [row for row in self._rows.values() if row.position > since]
        return tuple(sorted(newer, key=lambda row: row.position))


def _newer_configuration(
    cached: VersionedEntry | None, received: VersionedEntry
) -> VersionedEntry:
    """The row to keep: a configuration is never replaced by an older one."""
    before = cached.entry if cached is not None else None
    if not isinstance(before, ForwardingConfiguration):
        return received
    if not isinstance(received.entry, ForwardingConfiguration):
        return received
    return (
        evolve(received, entry=before)
        if before.version > received.entry.version
        else received
    )


def _key_of(versioned: VersionedEntry) -> str:
    entry = versioned.entry
    if isinstance(entry, ForwardingConfiguration):
        return _CONFIGURATION
    if isinstance(entry, EndpointRecord):
        return entry.endpoint_id
    if isinstance(entry, RolloutOrder):
        return order_id(entry.pool)
    return entry.entry_id


def _cancel_nothing() -> None:
    """Cancels nothing: the request was answered at once."""

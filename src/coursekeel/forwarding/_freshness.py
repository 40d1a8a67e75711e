"""Age of this instance's cached copy of the store, by its own monotonic clock.

Rule: a store response confirms the state at one time, and nothing later. Decisions
depend on the age of the last confirmed time, by which a process that was paused or
partitioned detects that its copy is stale.

Owns the last confirmed time of each table. A core: the caller passes all times, in ms.
"""

import math

from attrs import define, field, frozen

from coursekeel.forwarding._moment import StorePosition

__all__ = [
    "ConfigurationAge",
    "EndpointListAge",
    "Freshness",
    "StoreClock",
    "confirmed_time_ms",
]

# How early a timer of the store may fire by this clock, because of rounding.
_TIMER_SLACK_MS = 5.0
# How fast two monotonic clocks may drift apart: Linux lets each be slewed by 500 parts
# in a million (adjtimex(2)).
_MAX_DRIFT_RATIO = 1e-3
# Bounds that contradict each other for longer mean that a clock stopped or jumped; for
# less, a lagging replica may have responded.
_MAX_CONTRADICTION_MS = 30_000.0
# A response of a store whose clock is ahead by more isn't used: replicas lag, and never
# lead.
_MAX_LEAD_MS = 60_000.0


def confirmed_time_ms(sent_ms: float, received_ms: float, held_ms: float) -> float:
    """The latest local time at which a store response confirms the state.

    A read confirms the state at ``sent_ms``. A long poll that the store was asked to
    hold for ``held_ms``, and whose empty response came no earlier, confirms the state
    at the end of the hold. ``held_ms`` is 0 for a response with changes.
    """
    if held_ms and received_ms - sent_ms >= held_ms - _TIMER_SLACK_MS:
        return sent_ms + held_ms - _TIMER_SLACK_MS
    return sent_ms


@define
class StoreClock:
    """Bounds on the offset of this process's monotonic clock from the store's.

    A response is made after its request was sent and before it was received, so each
    one bounds the offset from both sides. The closest bounds are kept, and widened with
    time, since the clocks drift. They show when a response was delayed on the way or
    came from a lagging replica. Bounds that contradict each other for long mean that a
    clock stopped or jumped, and are reset. One response with a wrong time mustn't make
    the bounds contradict each other: see `is_ahead`.
    """

    _max_offset_ms: float = math.inf
    _min_offset_ms: float = -math.inf
    _bounds_at_ms: float = 0.0
    _consistent_at_ms: float = 0.0
    _era: int = 0
    _ahead_since_ms: float = math.inf

    def is_ahead(self, era: int, store_ms: float, received_ms: float) -> bool:
        """Whether a response's time is ahead by more than any earlier one allows.

        After `_MAX_CONTRADICTION_MS` of them the clock counts as having jumped.
        """
        self._update_bounds(era, received_ms)
        lead_ms = store_ms + self._min_offset_ms - received_ms
        if lead_ms <= _MAX_LEAD_MS:
            self._ahead_since_ms = math.inf
            return False
        self._ahead_since_ms = min(self._ahead_since_ms, received_ms)
        if received_ms - self._ahead_since_ms <= _MAX_CONTRADICTION_MS:
            return True
        self._reset_bounds()
        return False

    def latest_ms(self, era: int, store_ms: float, received_ms: float) -> float:
        """The latest local time at which the store can have made a response.

        ``store_ms`` is the store's own clock in the response.
        """
        self._update_bounds(era, received_ms)
        self._max_offset_ms = min(self._max_offset_ms, received_ms - store_ms)
        return store_ms + self._max_offset_ms

    def earliest_ms(self, era: int, store_ms: float, sent_ms: float) -> float:
        """The earliest local time at which the store can have made a response."""
        self._update_bounds(era, sent_ms)
        self._min_offset_ms = max(self._min_offset_ms, sent_ms - store_ms)
        return store_ms + self._min_offset_ms

    def _update_bounds(self, era: int, now_ms: float) -> None:
        """Widen the bounds by the drift.

        Resets them in a new era, in which the store may have another clock, and after a
        long contradiction.
        """
        drift_ms = _MAX_DRIFT_RATIO * max(0.0, now_ms - self._bounds_at_ms)
        self._bounds_at_ms = max(self._bounds_at_ms, now_ms)
        self._max_offset_ms += drift_ms
        self._min_offset_ms -= drift_ms
        if self._min_offset_ms <= self._max_offset_ms:
            self._consistent_at_ms = self._bounds_at_ms
        contradicted_ms = self._bounds_at_ms - self._consistent_at_ms
        if era > self._era or contradicted_ms > _MAX_CONTRADICTION_MS:
            self._era = max(era, self._era)
            self._reset_bounds()

    def _reset_bounds(self) -> None:
        self._consistent_at_ms, self._ahead_since_ms = self._bounds_at_ms, math.inf
        self._max_offset_ms, self._min_offset_ms = math.inf, -math.inf


@define
class Freshness:
    """The last confirmed time of each table that this instance follows."""

    _confirmed_ms: dict[str, float] = field(factory=dict)

    def record_confirmation(self, table: str, confirmed_ms: float) -> None:
        """Record that a response confirmed the table's state at ``confirmed_ms``."""
        if confirmed_ms > self._confirmed_ms.get(table, -math.inf):
            self._confirmed_ms[table] = confirmed_ms

    def undo_confirmation(self, table: str, before_ms: float) -> None:
        """Undo the last confirmation; ``before_ms`` is the time confirmed before it."""
        self._confirmed_ms[table] = before_ms

    def age_ms(self, table: str, now_ms: float) -> float:
        """The time since the last confirmed time; infinite if there is none."""
        return now_ms - self.confirmed_ms(table)

    def confirmed_ms(self, table: str) -> float:
        """The last confirmed time; minus infinity if there is none."""
        return self._confirmed_ms.get(table, -math.inf)


@frozen
class ConfigurationAge:
    """The cached configuration: its version, and the age of its last confirmation.

    Before the first read ``version`` is -1 and ``age_ms`` infinite.
    """

    version: int = -1
    age_ms: float = math.inf


@frozen
class EndpointListAge:
    """The cached list of endpoints: its store position, source and confirmation.

    ``source`` is where its last change was read: "store" or "member", empty before the
    first read. ``age_ms`` is the age of the last confirmation, infinite before it.
    """

    position: StorePosition = field(factory=StorePosition)
    source: str = ""
    age_ms: float = math.inf

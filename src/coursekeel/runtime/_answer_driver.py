"""Drives one `AnswerCore`: passes it events one at a time, and runs its timer.

Owns the queue of events and the timer. Relies on an `AnswerShell`, which owns the
sockets and carries out the core's actions.
"""

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, field

from coursekeel.answers import Action, AnswerCore, Event, ReadingResumed, SetAlarm, Tick
from coursekeel.reactor import Reactor
from coursekeel.runtime._clock import Clock
from coursekeel.units import MS_PER_SECOND

__all__ = ["AnswerDriver", "AnswerShell"]

# Interval of the timer while reading is paused. The caller has unsent output then, so
# nothing waits for this timer.
_PAUSED_CHECK_INTERVAL_MS = 500.0


class AnswerShell(ABC):
    """Carries out the actions of an answer's core; the role's task implements it."""

    @abstractmethod
    def carry_out(self, action: Action, now_ms: float) -> None:
        """Carry out one action; events that it causes are queued."""

    @abstractmethod
    def event_handled(self, event: Event, actions: list[Action]) -> None:
        """Called after all actions that an event led to were carried out."""


def _always() -> bool:
    return True


@define(eq=False)
class AnswerDriver:
    """Passes events to ``core`` and its actions to ``shell``.

    A stall of the stream isn't judged in three cases: the timer fired more than
    ``own_pause_ms`` late, since this process was paused and has unread data;
    ``reading_held``, since reading is paused; ``stall_is_loss`` returns false. In the
    first and the last case the request's patience is still checked. The timer may fire
    while no run stalls.
    """

    core: AnswerCore[Any]
    shell: AnswerShell
    reactor: Reactor
    clock: Clock
    own_pause_ms: float
    reading_held: bool = False
    stall_is_loss: Callable[[], bool] = _always
    _events: deque[Event] = field(factory=deque)
    _is_handling: bool = False
    _alarm: Any = None

    def handle_event(self, event: Event, now_ms: float | None = None) -> None:
        """Handle an event; during the handling of another one it is queued.

        ``now_ms`` is the event's time if the caller has just read the clock.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                at_ms = self.clock.now_ms() if now_ms is None else now_ms
                now_ms = None
                self._handle_now(self._events.popleft(), at_ms)
        finally:
            self._is_handling = False

    def _handle_now(self, event: Event, now_ms: float) -> None:
        actions = self.core.handle(event, now_ms)
        for action in actions:
            if isinstance(action, SetAlarm):
                self._set_alarm(action.at_ms)
            else:
                self.shell.carry_out(action, now_ms)
        self.shell.event_handled(event, actions)

    def stop_alarm(self) -> None:
        """Cancel the timer."""
        if self._alarm is not None and self._alarm.active():
            self._alarm.cancel()

    def _set_alarm(self, at_ms: float) -> None:
        self.stop_alarm()
        if not math.isfinite(at_ms):
            return
        # A time in the past counts as due now: otherwise the timer would seem late, be
        # set again for the same time, and so on for ever. The clock is read once, since
        # a second value could make the delay negative.
        now_ms = self.clock.now_ms()
        due_ms = max(at_ms, now_ms)
        wait_s = (due_ms - now_ms) / MS_PER_SECOND
        self._alarm = self.reactor.callLater(wait_s, self._on_alarm, due_ms)

    def _on_alarm(self, due_ms: float) -> None:
        if self.core.ended:
            return
        now_ms = self.clock.now_ms()
        if self.reading_held:
            self._set_alarm(now_ms + _PAUSED_CHECK_INTERVAL_MS)
        elif now_ms - due_ms > self.own_pause_ms:
            self.handle_event(ReadingResumed())
        else:
            if not self.stall_is_loss():
                self.handle_event(ReadingResumed())
            self.handle_event(Tick())

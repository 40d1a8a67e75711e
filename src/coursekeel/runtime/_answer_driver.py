"""Drives one `AnswerCore`: hands it events one at a time, and keeps its alarm.

Owns the queue of events and the one timer. Relies on an `AnswerShell`, which owns the
sockets and carries out what the core asks for.
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

# How often an answer whose reading is held looks whether it still is. A held answer has
# pieces in hand, so that nothing waits for this.
_HELD_LOOK_MS = 500.0


class AnswerShell(ABC):
    """Carries out what an answer's core asks for."""

    @abstractmethod
    def carry_out(self, action: Action, now_ms: float) -> None:
        """Do what is asked; events that it leads to wait until the others are done."""

    @abstractmethod
    def event_taken(self, event: Event, actions: list[Action]) -> None:
        """An event led to these actions, which have all been carried out."""


def _always() -> bool:
    return True


@define(eq=False)
class AnswerDriver:
    """Feeds ``core``, and lets ``shell`` carry out its actions.

    An alarm that rings ``own_pause_ms`` late or more tells of a pause of this process:
    what came meanwhile lies unread, and silence until now says nothing. While
    ``reading_held`` this process itself doesn't read, so silence says nothing either;
    nor does it while ``silence_counts`` says no. Patience ends all the same.
    """

    core: AnswerCore[Any]
    shell: AnswerShell
    reactor: Reactor
    clock: Clock
    own_pause_ms: float
    reading_held: bool = False
    silence_counts: Callable[[], bool] = _always
    _events: deque[Event] = field(factory=deque)
    _busy: bool = False
    _alarm: Any = None

    def tell(self, event: Event, now_ms: float | None = None) -> None:
        """Take an event; one that comes while another is taken waits its turn.

        ``now_ms`` spares reading the clock twice for a line of tokens.
        """
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                at_ms = self.clock.now_ms() if now_ms is None else now_ms
                now_ms = None
                self._take(self._events.popleft(), at_ms)
        finally:
            self._busy = False

    def _take(self, event: Event, now_ms: float) -> None:
        actions = self.core.handle(event, now_ms)
        for action in actions:
            if isinstance(action, SetAlarm):
                self._set_alarm(action.at_ms)
            else:
                self.shell.carry_out(action, now_ms)
        self.shell.event_taken(event, actions)

    def stop_alarm(self) -> None:
        """Ring no more."""
        if self._alarm is not None and self._alarm.active():
            self._alarm.cancel()

    def _set_alarm(self, at_ms: float) -> None:
        self.stop_alarm()
        if not math.isfinite(at_ms):
            return
        # A moment that has passed is no sign of a pause: seen in a test, an alarm set
        # for one rang late, was set for the same moment again, and so on for ever.
        # The clock is read once: it moves on between two readings.
        now_ms = self.clock.now_ms()
        due_ms = max(at_ms, now_ms)
        wait_s = (due_ms - now_ms) / MS_PER_SECOND
        self._alarm = self.reactor.callLater(wait_s, self._ring, due_ms)

    def _ring(self, due_ms: float) -> None:
        if self.core.ended:
            return
        now_ms = self.clock.now_ms()
        if self.reading_held:
            self._set_alarm(now_ms + _HELD_LOOK_MS)
        elif now_ms - due_ms > self.own_pause_ms:
            self.tell(ReadingResumed())
        else:
            if not self.silence_counts():
                self.tell(ReadingResumed())
            self.tell(Tick())

"""A task that does one thing again and again, one run at a time."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define, field
from twisted.internet.defer import Deferred, ensureDeferred

from coursekeel.errors import InvariantBroken
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor

__all__ = ["Periodic", "spawn"]


def spawn(work: Any, name: str, reactor: Any) -> "Deferred[None]":
    """Run a coroutine by itself; a broken invariant in it stops the process."""

    def failed(failure: Any) -> None:
        trace = failure.getTraceback()
        log_event("task_failed", logging.ERROR, task=name, error=trace)
        if failure.check(InvariantBroken):
            reactor.callWhenRunning(reactor.stop)

    started: Deferred[None] = ensureDeferred(work)
    started.addErrback(failed)
    return started


@define(eq=False)
class Periodic:
    """Calls ``work`` every ``interval_ms``, and never twice at once."""

    reactor: Reactor
    name: str
    interval_ms: float
    work: Callable[[], Awaitable[None]]
    _running: bool = False
    _again: bool = False
    _stopped: bool = True
    _timer: Any = field(default=None)

    def start(self) -> None:
        """Begin with a run at once."""
        self._stopped = False
        self.now()

    def stop(self) -> None:
        """Don't start another run."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def now(self) -> None:
        """Run at once, or directly after the run that is under way."""
        if self._running:
            self._again = True
            return
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._running = True
        spawn(self.work(), self.name, self.reactor).addCallback(self._done)

    def _done(self, _: object) -> None:
        self._running = False
        if self._stopped:
            return
        delay_s = 0.0 if self._again else self.interval_ms / 1000
        self._again = False
        self._timer = self.reactor.callLater(delay_s, self.now)

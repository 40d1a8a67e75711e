"""A periodic task that runs a coroutine at an interval, one run at a time."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define, field
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.logger import Logger

from coursekeel.errors import InvariantBroken
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor

__all__ = ["Periodic", "spawn"]

_LOG = Logger()


def spawn(work: Any, name: str, reactor: Any) -> "Deferred[None]":
    """Run a coroutine in the background; failures are logged as those of ``name``.

    A broken invariant stops the role, as one in a callback does.
    """

    def on_failure(failure: Any) -> None:
        traceback = failure.getTraceback()
        log_event("task_failed", logging.ERROR, task=name, error=traceback)
        if failure.check(InvariantBroken):
            _LOG.failure("broken invariant in a task", failure)

    result: Deferred[None] = ensureDeferred(work)
    result.addErrback(on_failure)
    return result


@define(eq=False)
class Periodic:
    """Runs ``work``, waits ``interval_ms`` after its end, and runs it again."""

    reactor: Reactor
    name: str
    interval_ms: float
    work: Callable[[], Awaitable[None]]
    _running: bool = False
    _rerun: bool = False
    _stopped: bool = True
    _timer: Any = field(default=None)

    def start(self) -> None:
        """Start with a run at once."""
        self._stopped = False
        self.now()

    def stop(self) -> None:
        """Start no more runs; one in progress goes on."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def now(self) -> None:
        """Run at once, or directly after the run in progress."""
        if self._running:
            self._rerun = True
            return
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._running = True
        spawn(self.work(), self.name, self.reactor).addCallback(self._on_run_end)

    def _on_run_end(self, _: object) -> None:
        self._running = False
        if self._stopped:
            return
        delay_s = 0.0 if self._rerun else self.interval_ms / 1000
        self._rerun = False
        self._timer = self.reactor.callLater(delay_s, self.now)

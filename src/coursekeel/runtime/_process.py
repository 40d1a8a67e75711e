"""Runs one role on the asyncio reactor until a signal stops it."""

import gc
import logging
import resource
import signal
from abc import ABC, abstractmethod
from typing import Any

from attrs import define

from coursekeel.errors import InvariantBroken
from coursekeel.observe import flush_logs, log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime._clock import Clock
from coursekeel.runtime._periodic import Periodic, spawn
from coursekeel.runtime._resources import MemoryWatch, StallWatch
from coursekeel.runtime._suspension import SuspensionWatch

__all__ = ["Role", "install_reactor", "run_role"]

EXIT_INVARIANT_BROKEN = 70  # EX_SOFTWARE of sysexits.h
EXIT_START_FAILED = 71  # EX_OSERR of sysexits.h
# Threshold of the garbage collector's youngest generation. Far above Python's default,
# since reference counting frees most objects.
_GC_THRESHOLD = 20_000
# Interval at which buffered log lines are written again, and suspensions, stalls of the
# reactor and growth of the memory are detected.
_UPKEEP_INTERVAL_MS = 500


class Role(ABC):
    """What a process serves: the entry or the gateway."""

    @abstractmethod
    async def start(self) -> None:
        """Open the sockets and start serving."""

    @abstractmethod
    async def stop(self) -> None:
        """Finish open requests and close."""

    def reload(self) -> None:
        """Read the settings again on SIGHUP; by default the signal is ignored."""
        log_event("reload_ignored")


@define(eq=False)
class _Life:
    """The start and the end of a role; once a stop has begun, only the role ends it.

    ``cause`` is the reason for the log, and ``exit_code`` that of the process.
    """

    reactor: Reactor
    role: Role
    cause: str = ""
    exit_code: int = 0

    def on_signal(self) -> None:
        """Begin the stop that a signal asks for."""
        self._begin("signal", 0)

    def on_invariant_broken(self) -> None:
        """Begin a stop after a broken invariant, from any context."""
        self.reactor.callFromThread(
            self._begin, "invariant_broken", EXIT_INVARIANT_BROKEN
        )

    async def start_role(self) -> None:
        """Start the role; a failure ends the process, which could serve nothing."""
        try:
            await self.role.start()
        except Exception:
            self.cause, self.exit_code = "start_failed", EXIT_START_FAILED
            self.reactor.callLater(0, self.reactor.stop)
            raise

    def _begin(self, cause: str, exit_code: int) -> None:
        self.exit_code = self.exit_code or exit_code
        if not self.cause:
            self.cause = cause
            spawn(self._stop_role(), "stop", self.reactor)

    async def _stop_role(self) -> None:
        try:
            await self.role.stop()
        finally:
            self.reactor.stop()


@define
class _FailureWatch:
    """Logs the exceptions that Twisted caught; a broken invariant stops the role.

    For other exceptions it is enough that Twisted closes the connection concerned.
    After a broken invariant the state of the process may be wrong, so it takes no new
    work; the open requests of others are finished all the same.
    """

    life: _Life

    def __call__(self, event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is None:
            return
        traceback = failure.getTraceback()
        log_event("unhandled_failure", logging.ERROR, error=traceback)
        if failure.check(InvariantBroken):
            self.life.on_invariant_broken()


def install_reactor() -> Reactor:
    """Install the asyncio reactor; call it before anything imports the default one.

    gRPC needs an asyncio event loop.
    """
    from twisted.internet import asyncioreactor

    asyncioreactor.install()
    from twisted.internet import reactor

    return reactor


def run_role(reactor: Reactor, role: Role) -> int:
    """Serve until SIGTERM, SIGINT or a broken invariant; returns the exit code.

    Later ones don't end a stop before its role has.
    """
    from twisted.logger import globalLogBeginner

    life = _Life(reactor, role)
    watch: Any = _FailureWatch(life)
    globalLogBeginner.beginLoggingTo([watch], redirectStandardIO=False)

    def handle_signal(number: int) -> None:
        log_event("signal", number=number)
        if number == signal.SIGHUP:
            role.reload()
        else:
            life.on_signal()

    def on_signal(number: int, _frame: object) -> None:
        # It interrupts any code, so that it may only schedule what isn't reentrant.
        reactor.callFromThread(handle_signal, number)

    def install_signal_handlers() -> None:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, on_signal)

    reactor.callWhenRunning(_upkeep_task(reactor).start)
    reactor.callWhenRunning(lambda: spawn(life.start_role(), "start", reactor))
    reactor.callWhenRunning(install_signal_handlers)
    _configure_garbage_collector()
    reactor.run()
    log_event(
        "process_ended",
        logging.INFO if life.cause == "signal" else logging.ERROR,
        cause=life.cause,
        exit_code=life.exit_code,
        peak_memory_bytes=_peak_memory_bytes(),
    )
    flush_logs()
    return life.exit_code


def _upkeep_task(reactor: Reactor) -> Periodic:
    """The periodic task that flushes buffered log lines and logs the process's state.

    It logs suspensions of the machine, stalls of the reactor and growth of the memory.
    """
    clock = Clock()
    suspensions = SuspensionWatch(clock.suspended_ms())
    stalls = StallWatch(_UPKEEP_INTERVAL_MS, clock.now_ms())
    memory = MemoryWatch(_peak_memory_bytes())

    async def run_upkeep() -> None:
        suspended_ms = suspensions.check(clock.suspended_ms())
        if suspended_ms:
            log_event("suspended", logging.WARNING, for_ms=round(suspended_ms))
        stalled_ms = stalls.check(clock.now_ms(), suspended_ms)
        if stalled_ms:
            log_event("reactor_stalled", logging.WARNING, for_ms=round(stalled_ms))
        peak_bytes = _peak_memory_bytes()
        if memory.has_grown(peak_bytes):
            log_event("memory_grew", logging.WARNING, peak_bytes=peak_bytes)
        flush_logs()

    return Periodic(reactor, "upkeep", _UPKEEP_INTERVAL_MS, run_upkeep)


def _peak_memory_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def _configure_garbage_collector() -> None:
    """Freeze the objects that exist at start, and run the garbage collector rarely."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD, 10, 10)

"""Run an entry on the asyncio reactor until it is told to stop."""

import gc
import logging
import signal
from pathlib import Path
from typing import Any

from attrs import define

from coursekeel.errors import InvariantBroken
from coursekeel.observe import log_event, set_up_logging
from coursekeel.settings import load_settings

__all__ = ["serve"]

EXIT_BROKEN = 70
_COLLECT_AFTER = 20_000


@define
class _FailureWatch:
    """Hears what Twisted caught; a broken invariant ends the process.

    Twisted closes the connection in whose callback an exception rose and goes on. For
    an invariant that isn't enough: what else this process holds can't be trusted.
    """

    reactor: Any
    broken: bool = False

    def __call__(self, event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is None:
            return
        trace = failure.getTraceback()
        log_event("unhandled_failure", logging.ERROR, error=trace)
        if failure.check(InvariantBroken) and not self.broken:
            self.broken = True
            self.reactor.callFromThread(self.reactor.stop)


def _calm_collector() -> None:
    """Collect seldom: what lives long is frozen, what doesn't is freed by count."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(_COLLECT_AFTER, 10, 10)


def serve(settings_file: Path, log_level: str) -> int:
    """Serve until SIGTERM or SIGINT; returns the exit code."""
    settings = load_settings(settings_file)
    set_up_logging(settings.instance_id, log_level)
    # The reactor must be chosen before anything imports the default one; gRPC needs
    # the asyncio loop, so it is that one.
    from twisted.internet import asyncioreactor

    asyncioreactor.install()
    from twisted.internet import reactor
    from twisted.logger import globalLogBeginner

    from coursekeel.entry import Entry
    from coursekeel.entry._periodic import spawn

    running: Any = reactor
    watch = _FailureWatch(running)
    observer: Any = watch
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
    entry = Entry(running, settings)

    async def begin() -> None:
        await entry.start()
        print(f"listening {entry.http_port} {entry.peers.port}", flush=True)

    async def end() -> None:
        await entry.stop()
        running.stop()

    def told(number: int, _frame: object) -> None:
        log_event("signal", number=number)
        running.callFromThread(lambda: spawn(end(), "stop", running))

    running.callWhenRunning(lambda: spawn(begin(), "start", running))
    running.callWhenRunning(lambda: signal.signal(signal.SIGTERM, told))
    running.callWhenRunning(lambda: signal.signal(signal.SIGINT, told))
    _calm_collector()
    running.run()
    return EXIT_BROKEN if watch.broken else 0

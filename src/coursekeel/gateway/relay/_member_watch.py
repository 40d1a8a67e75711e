"""Watches the member that serves a relayed request, as the group finds it.

A member that the group suspects may be at work and answer later. One that it has given
up, and that has sent nothing for a while, has most likely ended: its connection may
stay open without a sound. Owns the timer of one watch.
"""

from collections.abc import Callable
from typing import Any

from attrs import define

from coursekeel.gateway.relay._relay_client import RelayClient
from coursekeel.reactor import Reactor
from coursekeel.units import MS_PER_SECOND

__all__ = ["MemberWatch"]

# How often the group's view of the member is looked at.
_WATCH_INTERVAL_MS = 250.0

# A member that sent data this recently serves, whatever the group finds.
_RECENT_DATA_MS = 2_000.0


@define(eq=False)
class MemberWatch:
    """One watch, from `start` to `stop`.

    ``on_suspected`` is called at each look while the member isn't serving, with for how
    long it hasn't been, in ms.
    """

    reactor: Reactor
    relays: RelayClient
    member: str
    on_suspected: Callable[[float], None]
    _suspected_since_ms: float | None = None
    _timer: Any = None

    def start(self) -> None:
        """Start to look at the group's view of the member."""
        self._timer = self.reactor.callLater(
            _WATCH_INTERVAL_MS / MS_PER_SECOND, self._look
        )

    def stop(self) -> None:
        """End the watch; its callback, which refers to the request, is let go of."""
        self.on_suspected = _do_nothing
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def has_ended(self, last_data_ms: float) -> bool:
        """Whether the member is gone; ``last_data_ms`` is when it last sent data."""
        is_silent = self.relays.clock.now_ms() - last_data_ms >= _RECENT_DATA_MS
        return is_silent and self.relays.is_gone(self.member)

    def _look(self) -> None:
        self.start()
        if self.relays.is_serving(self.member):
            self._suspected_since_ms = None
            return
        now_ms = self.relays.clock.now_ms()
        if self._suspected_since_ms is None:
            self._suspected_since_ms = now_ms
        self.on_suspected(now_ms - self._suspected_since_ms)


def _do_nothing(suspected_ms: float) -> None:
    """The callback of a watch that has ended."""

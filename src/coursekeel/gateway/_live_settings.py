"""The current settings of a gateway, and their reload while the process runs.

Owns the current settings, which all tasks read. Relies on a function that reads the
settings file again.
"""

import logging
from collections.abc import Callable

from attrs import define, evolve

from coursekeel.errors import SettingsInvalid
from coursekeel.forwarding import RouteKind
from coursekeel.observe import log_event
from coursekeel.settings import GatewaySettings, GatewayTimers

__all__ = ["LiveSettings"]


@define(eq=False)
class LiveSettings:
    """Holds the current settings in ``now``; a reload replaces them."""

    now: GatewaySettings

    @property
    def timers(self) -> GatewayTimers:
        """The current timers."""
        return self.now.timers

    def max_body_bytes(self, kind: RouteKind) -> int | None:
        """The longest body of an answer; None for streams, which have no limit.

        Their events are bounded by `StreamAttempt`, which also bounds what an endpoint
        sends in place of a stream.
        """
        return None if kind.streams else self.now.answers.max_body_bytes

    def reload(self, read: Callable[[], GatewaySettings]) -> None:
        """Replace timers, retry and answer settings.

        Invalid settings are logged and ignored. Addresses and identity need a restart,
        and existing retry budgets keep the ratio and window that they were created
        with.
        """
        try:
            new = read()
        except SettingsInvalid as invalid:
            log_event("reload_refused", logging.ERROR, error=invalid)
            return
        if _restart_settings(new) != _restart_settings(self.now):
            log_event("reload_needs_restart", logging.WARNING)
        self.now = evolve(
            self.now, timers=new.timers, retries=new.retries, answers=new.answers
        )
        log_event("reloaded")


def _restart_settings(settings: GatewaySettings) -> tuple[object, ...]:
    """The settings that need a restart."""
    return settings.instance_id, settings.zone, settings.listen, settings.store

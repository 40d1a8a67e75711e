"""The settings that are in force, and how they change while the process runs.

Owns the one value that all tasks of a gateway read. Relies on a function that reads the
settings file anew.
"""

import logging
from collections.abc import Callable

from attrs import define, evolve

from coursekeel.errors import SettingsInvalid
from coursekeel.observe import log_event
from coursekeel.settings import GatewaySettings, GatewayTimers

__all__ = ["LiveSettings"]


@define(eq=False)
class LiveSettings:
    """``now`` is what is in force; a reload replaces it."""

    now: GatewaySettings

    @property
    def timers(self) -> GatewayTimers:
        """The bounds of time that are in force."""
        return self.now.timers

    def reload(self, read: Callable[[], GatewaySettings]) -> None:
        """Read the settings again; faults are logged, and the old ones stay.

        Timers change. Addresses and identity can't while the process runs, and retry
        budgets that exist keep the share they were made with.
        """
        try:
            fresh = read()
        except SettingsInvalid as fault:
            log_event("reload_refused", logging.ERROR, error=fault)
            return
        if _fixed(fresh) != _fixed(self.now):
            log_event("reload_needs_restart", logging.WARNING)
        self.now = evolve(self.now, timers=fresh.timers, retries=fresh.retries)
        log_event("reloaded")


def _fixed(settings: GatewaySettings) -> tuple[object, ...]:
    """What can't change while the process runs."""
    return settings.instance_id, settings.zone, settings.listen, settings.store

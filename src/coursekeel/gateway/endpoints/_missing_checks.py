"""Ask endpoints that the list lacks after an outage whether they serve.

Rule: a registration that lapsed with the store and one that an endpoint removed as it
left look alike in the list. The endpoint itself can tell: its report, or its health
check, says whether it is leaving. It is asked again and again while it is missing, and
its word counts for a short time from its request (`MissingEndpoints`). One that doesn't
tell, or doesn't answer, is gone at the end of its time.

Owns the timer and the open requests, one an endpoint. Relies on `LeavingChecks` for the
requests.
"""

from functools import partial
from typing import Any

from attrs import define, field

from coursekeel.gateway.endpoints._leaving_checks import LeavingChecks
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock
from coursekeel.units import MS_PER_SECOND

__all__ = ["MissingChecks"]

# Interval at which endpoints without a word are asked, and others looked through.
_INTERVAL_MS = 200.0
# Share of the time for which a word counts: one that ends sooner is renewed. Two
# requests may fail in that time.
_RENEWAL_SHARE = 0.6
# Requests that are open at a time, since all registrations may have lapsed at once.
_MAX_OPEN = 64


@define(eq=False)
class MissingChecks:
    """Asks missing endpoints at short intervals whether they serve."""

    reactor: Reactor
    clock: Clock
    site: SiteState
    checks: LeavingChecks
    _open: set[str] = field(factory=set)
    _asked_ms: dict[str, float] = field(factory=dict)
    _timer: Any = None

    def endpoints_changed(self) -> None:
        """Begin to ask if endpoints are missing; called after each change."""
        if self._timer is None and self.site.directory.missing.ids():
            self._ask()

    def _ask(self) -> None:
        self._timer = None
        self._ask_due()
        if self.site.directory.missing.ids():
            interval_s = _INTERVAL_MS / MS_PER_SECOND
            self._timer = self.reactor.callLater(interval_s, self._ask)

    def _ask_due(self) -> None:
        """Ask as many as may be asked at a time, those whose time ends first."""
        now_ms = self.clock.now_ms()
        for endpoint_id in self._due(now_ms)[: _MAX_OPEN - len(self._open)]:
            self._open.add(endpoint_id)
            self._asked_ms[endpoint_id] = now_ms
            self.checks.ask_missing(endpoint_id, partial(self._ended, endpoint_id))

    def _ended(self, endpoint_id: str) -> None:
        was_full = len(self._open) == _MAX_OPEN
        self._open.discard(endpoint_id)
        if was_full:
            self.reactor.callLater(0, self._ask_due)

    def _due(self, now_ms: float) -> list[str]:
        """The missing endpoints that take work and are to be asked now, in order."""
        directory, missing = self.site.directory, self.site.directory.missing
        own_state_ms = self.site.settings.timers.endpoints_own_state_ms
        within_ms = _RENEWAL_SHARE * own_state_ms
        self._asked_ms = {
            name: asked_ms
            for name, asked_ms in self._asked_ms.items()
            if now_ms - asked_ms < _INTERVAL_MS
        }
        due = [
            endpoint_id
            for endpoint_id in missing.ids()
            if endpoint_id not in self._open
            and endpoint_id not in self._asked_ms
            and missing.needs_word(endpoint_id, now_ms, within_ms)
            and directory.serving_record(endpoint_id, now_ms) is not None
        ]
        return sorted(due, key=missing.until_ms)

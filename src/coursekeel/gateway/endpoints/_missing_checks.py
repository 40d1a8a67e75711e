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

# A word counts for 0.4 of `drain_ms`: several requests may fail in that time.
_INTERVAL_MS = 200.0


@define(eq=False)
class MissingChecks:
    """Asks missing endpoints at short intervals whether they serve."""

    reactor: Reactor
    clock: Clock
    site: SiteState
    checks: LeavingChecks
    _open: set[str] = field(factory=set)
    _timer: Any = None

    def endpoints_changed(self) -> None:
        """Begin to ask if endpoints are missing; called after each change."""
        if self._timer is None and self.site.directory.missing.ids():
            self._ask()

    def _ask(self) -> None:
        self._timer = None
        asked = self._serving()
        for endpoint_id in asked - self._open:
            self._open.add(endpoint_id)
            self.checks.ask_missing(
                endpoint_id, partial(self._open.discard, endpoint_id)
            )
        if asked:
            interval_s = _INTERVAL_MS / MS_PER_SECOND
            self._timer = self.reactor.callLater(interval_s, self._ask)

    def _serving(self) -> set[str]:
        directory, now_ms = self.site.directory, self.clock.now_ms()
        return {
            endpoint_id
            for endpoint_id in directory.missing.ids()
            if directory.serving_record(endpoint_id, now_ms) is not None
        }

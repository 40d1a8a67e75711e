"""Who may come in: what every caller's request passes before it is looked at."""

from typing import Any

from attrs import define

from coursekeel.entry.answers._sinks import Refusal
from coursekeel.entry.control._configuration_task import ConfigurationTask
from coursekeel.entry.http._common import not_run, team_of
from coursekeel.errors import RequestInvalid
from coursekeel.intents import TeamIntent
from coursekeel.settings import EntrySettings

__all__ = ["Gate", "check_id"]

# Ids stand in row keys and log lines.
_ID_LIMIT = 128
# An entry that starts or stops: another one, or this one a second later, can serve.
_RETRY_AFTER_MS = 1_000


@define(eq=False)
class Gate:
    """Counts open requests, and turns callers away whom this entry can't serve."""

    settings: EntrySettings
    configuration: ConfigurationTask
    draining: bool = False
    open_requests: int = 0

    def admit(self, request: Any) -> TeamIntent | Refusal:
        """The request's team, or why it isn't let in."""
        turned_away = self._turned_away(request)
        return turned_away or self.identify(request)

    def identify(self, request: Any) -> TeamIntent | Refusal:
        """The request's team; also while this entry takes no new requests."""
        team = team_of(request, self.configuration.intent)
        if team is None:
            return not_run("bad_key", "the bearer key belongs to no team")
        return team

    def _turned_away(self, request: Any) -> Refusal | None:
        if self.draining:
            request.setHeader("connection", "close")
            return not_run("draining", "this entry is stopping", _RETRY_AFTER_MS)
        if not self.configuration.ready:
            text = "this entry has no configuration yet"
            return not_run("not_ready", text, _RETRY_AFTER_MS)
        limit = self.settings.limits.open_streams
        if self.open_requests >= limit:
            text = f"this entry has {limit} requests open, its limit"
            return not_run("too_many_open", text, _RETRY_AFTER_MS)
        return None


def check_id(given: str) -> None:
    """An id becomes part of table keys and log lines, so it is kept plain."""
    plain = given.isascii() and all(c.isalnum() or c in "-_.:~" for c in given)
    if not plain or not 0 < len(given) <= _ID_LIMIT:
        raise RequestInvalid(
            "idempotency-key",
            f"expected up to {_ID_LIMIT} letters, digits or any of -_.:~, "
            f"got {given!r:.60}",
        )

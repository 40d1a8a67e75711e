"""Admission of callers' requests: authentication, readiness, limit of open requests."""

from typing import Any

from attrs import define

from coursekeel.entry.answers._sinks import Refusal
from coursekeel.entry.control._configuration_task import ConfigurationTask
from coursekeel.entry.http._common import not_run, team_of
from coursekeel.errors import RequestInvalid
from coursekeel.intents import TeamIntent
from coursekeel.settings import EntrySettings

__all__ = ["Gate", "check_id"]

# Ids become part of row keys and log lines.
_MAX_ID_LENGTH = 128
# After this the caller may retry, here or at another entry.
_RETRY_AFTER_MS = 1_000


@define(eq=False)
class Gate:
    """Authenticates callers, counts open requests, and refuses while it can't serve.

    Relies on its callers to count ``open_requests`` up and down.
    """

    settings: EntrySettings
    configuration: ConfigurationTask
    draining: bool = False
    open_requests: int = 0

    def admit(self, request: Any) -> TeamIntent | Refusal:
        """Return the team of a request, or why the request is refused."""
        refusal = self._readiness_refusal(request)
        return refusal or self.identify(request)

    def identify(self, request: Any) -> TeamIntent | Refusal:
        """Return the team of a request, even while this entry accepts no new ones."""
        team = team_of(request, self.configuration.intent)
        if team is None:
            return not_run("bad_key", "the bearer key belongs to no team")
        return team

    def _readiness_refusal(self, request: Any) -> Refusal | None:
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


def check_id(request_id: str) -> None:
    """Raise `RequestInvalid` for an id that can't stand in row keys and log lines."""
    plain = request_id.isascii() and all(
        c.isalnum() or c in "-_.:~" for c in request_id
    )
    if not plain or not 0 < len(request_id) <= _MAX_ID_LENGTH:
        raise RequestInvalid(
            "idempotency-key",
            f"expected up to {_MAX_ID_LENGTH} letters, digits or any of -_.:~, "
            f"got {request_id!r:.60}",
        )

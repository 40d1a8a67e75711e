"""What all of the HTTP interface shares: keys, errors, headers, bodies."""

import hashlib
import hmac
import math
from typing import Any

import orjson
from attrs import evolve

from coursekeel.answers import RunState
from coursekeel.entry.answers._sinks import Refusal
from coursekeel.intents import Intent, TeamIntent
from coursekeel.settings import EntrySettings, OperatorKey

__all__ = [
    "bearer_key",
    "caller_key",
    "error_body",
    "key_hash",
    "not_run",
    "operator_of",
    "refuse",
    "send_json",
    "team_of",
]

_STATUS_OF_CODE = {
    "bad_request": 400,
    "bad_key": 401,
    "forbidden": 403,
    "not_found": 404,
    "stale_plan": 409,
    "in_progress": 409,
    "refused_before": 409,
    "answer_lost": 502,
    "too_large": 413,
    "key_reused": 422,
    "too_many_open": 429,
    "queue_full": 429,
    "no_endpoint": 503,
}
# For a code without a status of its own: nothing was done, come back.
_DEFAULT_STATUS = 503


def key_hash(key: str) -> str:
    """The form in which a bearer key is kept: its SHA-256 in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(request: Any) -> str:
    """The bearer key of a request; empty if it carries none."""
    header = request.getHeader("authorization") or ""
    scheme, _, key = header.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def team_of(request: Any, intent: Intent) -> TeamIntent | None:
    """The team whose key the request carries; every key is compared, none skipped."""
    given = key_hash(bearer_key(request))
    found = None
    for team in intent.teams:
        for known in team.key_hashes:
            if hmac.compare_digest(given, known):
                found = team
    return found


def operator_of(request: Any, settings: EntrySettings) -> OperatorKey | None:
    """The operator whose key the request carries."""
    given = key_hash(bearer_key(request))
    found = None
    for operator in settings.operators:
        if hmac.compare_digest(given, operator.key_hash):
            found = operator
    return found


def error_body(refusal: Refusal) -> dict[str, Any]:
    """The typed body of every error."""
    return {
        "error": {
            "code": refusal.code,
            "message": refusal.message,
            "run": refusal.run.value,
            "retry_after_ms": refusal.retry_after_ms,
            "held_tokens": refusal.held_tokens,
        }
    }


def send_json(request: Any, status: int, body: Any) -> bytes:
    """Answer with JSON."""
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    return orjson.dumps(body)


def caller_key(request: Any) -> str | None:
    """The id that the caller gave its request, under which others may know it."""
    given = request.getHeader("idempotency-key") or request.getHeader("x-request-id")
    return None if given is None else str(given)


def refuse(request: Any, refusal: Refusal, proved: bool = False) -> bytes:
    """Answer with a typed error, and with when to come back.

    Of a request with a caller's key this entry knows only its own part: another may
    have run it. "Not run" is then said only if ``proved`` by what the table holds.
    """
    if refusal.run is RunState.NOT_RUN and not proved and caller_key(request):
        refusal = evolve(refusal, run=RunState.UNKNOWN)
    if refusal.retry_after_ms:
        seconds = math.ceil(refusal.retry_after_ms / 1000)
        request.setHeader("retry-after", str(seconds))
    status = _STATUS_OF_CODE.get(refusal.code, _DEFAULT_STATUS)
    return send_json(request, status, error_body(refusal))


def not_run(code: str, message: str, retry_after_ms: int = 0) -> Refusal:
    """A refusal before anything was done for an id that only this entry knows."""
    return Refusal(code, message, RunState.NOT_RUN, retry_after_ms)

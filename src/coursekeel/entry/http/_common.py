"""Helpers of the HTTP interfaces: bearer keys, errors and JSON replies."""

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
# For codes without an entry of their own: the caller should retry.
_DEFAULT_STATUS = 503


def key_hash(key: str) -> str:
    """The stored form of a bearer key: its SHA-256 in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(request: Any) -> str:
    """The bearer key of a request; empty if it carries none."""
    header = request.getHeader("authorization") or ""
    scheme, _, key = header.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def team_of(request: Any, intent: Intent) -> TeamIntent | None:
    """The team of the request's key; compares all keys, against timing attacks."""
    request_hash = key_hash(bearer_key(request))
    match = None
    for team in intent.teams:
        for team_hash in team.key_hashes:
            if hmac.compare_digest(request_hash, team_hash):
                match = team
    return match


def operator_of(request: Any, settings: EntrySettings) -> OperatorKey | None:
    """The operator of the request's bearer key."""
    request_hash = key_hash(bearer_key(request))
    match = None
    for operator in settings.operators:
        if hmac.compare_digest(request_hash, operator.key_hash):
            match = operator
    return match


def error_body(refusal: Refusal) -> dict[str, Any]:
    """The JSON body of an error."""
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
    """Set the status and content type; returns the encoded body."""
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    return orjson.dumps(body)


def caller_key(request: Any) -> str | None:
    """The caller's own id of its request, which other entries may have seen too."""
    key = request.getHeader("idempotency-key") or request.getHeader("x-request-id")
    return None if key is None else str(key)


def refuse(request: Any, refusal: Refusal, confirmed: bool = False) -> bytes:
    """Set the status and headers of an error; returns its encoded body.

    Another entry may have run a request that has a caller's key. For such a request
    "not run" is reported only if it is ``confirmed`` by the store, else "unknown".
    """
    if refusal.run is RunState.NOT_RUN and not confirmed and caller_key(request):
        refusal = evolve(refusal, run=RunState.UNKNOWN)
    if refusal.retry_after_ms:
        seconds = math.ceil(refusal.retry_after_ms / 1000)
        request.setHeader("retry-after", str(seconds))
    status = _STATUS_OF_CODE.get(refusal.code, _DEFAULT_STATUS)
    return send_json(request, status, error_body(refusal))


def not_run(code: str, message: str, retry_after_ms: int = 0) -> Refusal:
    """A refusal of a request of which nothing was run."""
    return Refusal(code, message, RunState.NOT_RUN, retry_after_ms)

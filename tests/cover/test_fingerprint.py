"""Fingerprints of requests: which requests count as the same, whatever their ids."""

import pytest
from attrs import evolve

from coursekeel.forwarding import Route, RouteKind, Team
from coursekeel.gateway._adapters import CallerHeaders
from coursekeel.gateway._request import AdmittedRequest

TEAM = Team("team-1")
CALL = AdmittedRequest(
    b"POST",
    "site.example",
    b"/stream/5",
    [],
    b"prompt",
    CallerHeaders("r1", "key", 5_000, None),
    Route("stream", "site.example", "/stream/", RouteKind.RESUMABLE, ()),
    "engines",
    True,
    TEAM,
    0,
    5_000,
)


def test_fingerprint_ignores_request_id_key_and_resume_position():
    resumed = evolve(CALL, caller=CallerHeaders("r2", "key-2", 900, 7), arrived_ms=9)
    assert resumed.fingerprint == CALL.fingerprint


@pytest.mark.parametrize(
    "changes",
    [
        {"method": b"PUT"},
        {"host": "other.example"},
        {"target": b"/stream/6"},
        {"body": b"prompt."},
        {"team": None},
        {"target": b"/stream/5p", "body": b"rompt"},
    ],
)
def test_fingerprint_differs_for_another_team_or_content(changes):
    assert evolve(CALL, **changes).fingerprint != CALL.fingerprint


def test_a_fingerprint_stays_the_same_once_the_body_has_been_freed():
    call = evolve(CALL, body=b"prompt")
    fingerprint = call.fingerprint
    call.body.free()
    assert call.fingerprint == fingerprint

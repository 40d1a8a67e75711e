"""What counts as the same request, whatever its id."""

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


def test_another_id_and_the_rest_of_a_stream_are_the_same_request():
    again = evolve(CALL, caller=CallerHeaders("r2", "key-2", 900, 7), arrived_ms=9)
    assert again.fingerprint == CALL.fingerprint


@pytest.mark.parametrize(
    "other",
    [
        {"method": b"PUT"},
        {"host": "other.example"},
        {"target": b"/stream/6"},
        {"body": b"prompt."},
        {"team": None},
        {"target": b"/stream/5p", "body": b"rompt"},
    ],
)
def test_what_differs_in_anything_asked_is_another_request(other):
    assert evolve(CALL, **other).fingerprint != CALL.fingerprint

"""What comes during a stop is taken only if it can be answered before the end."""

import pytest
from attrs import evolve

from coursekeel.forwarding import PoolShare, Route, RouteKind
from coursekeel.gateway._stop_window import StopWindow

WINDOW = StopWindow(begun_ms=1_000.0, settled_ms=3_600.0, last_ms=8_500.0)
CALL = Route(
    "r", "h", "/r/", RouteKind.SINGLE, (PoolShare("p"),), timeout_ms=800, target_ms=300
)


@pytest.mark.parametrize(
    "now_ms, timeout_ms, taken",
    [
        (1_000, 800, True),
        # The balancer may still send here, and nobody else gets this one.
        (3_500, 25_000, True),
        (3_700, 25_000, False),
        (7_700, 800, True),
        (7_701, 800, False),
        # Seen on a played day: 7.5 s into a stop of 8 s.
        (8_500, 800, False),
    ],
)
def test_a_call_needs_its_routes_time_before_the_end(now_ms, timeout_ms, taken):
    route = evolve(CALL, timeout_ms=timeout_ms)
    assert WINDOW.leaves_time_for(route, now_ms) is taken


@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.RESUMABLE])
@pytest.mark.parametrize("now_ms, taken", [(1_500, True), (2_000, False)])
def test_a_stream_has_no_bound_and_must_begin_early(kind, now_ms, taken):
    assert WINDOW.leaves_time_for(evolve(CALL, kind=kind), now_ms) is taken

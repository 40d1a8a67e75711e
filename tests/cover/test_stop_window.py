"""Requests during a stop are admitted only if they can be answered before the end."""

import pytest
from attrs import evolve

from coursekeel.forwarding import (
    ForwardingConfiguration,
    PoolShare,
    Route,
    RouteKind,
    RouteTable,
)
from coursekeel.gateway.admission._admission import AdmissionState, RequestKey, admit
from coursekeel.gateway.admission._stop_window import StopWindow
from coursekeel.gateway.admission._stream_lengths import StreamDurations

WINDOW = StopWindow(
    started_ms=1_000.0, balancer_settled_ms=3_600.0, last_ms=8_500.0, exit_ms=8_750.0
)
CALL_ROUTE = Route(
    "r", "h", "/r/", RouteKind.SINGLE, (PoolShare("p"),), timeout_ms=800, target_ms=300
)


@pytest.mark.parametrize(
    "now_ms, timeout_ms, taken",
    [
        (1_000, 800, True),
        # Until the balancer has noticed the stop, calls are admitted in any case.
        (3_500, 25_000, True),
        (3_700, 25_000, False),
        (7_700, 800, True),
        (7_701, 800, False),
        # At the end of the window a call would be cut.
        (8_500, 800, False),
    ],
)
def test_a_call_needs_its_routes_timeout_before_the_end(now_ms, timeout_ms, taken):
    route = evolve(CALL_ROUTE, timeout_ms=timeout_ms)
    assert WINDOW.has_time_for(route, now_ms) is taken


@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.RESUMABLE])
@pytest.mark.parametrize("now_ms, taken", [(1_500, True), (2_000, False)])
def test_without_an_estimate_a_stream_must_start_early(kind, now_ms, taken):
    assert WINDOW.has_time_for(evolve(CALL_ROUTE, kind=kind), now_ms) is taken


@pytest.mark.parametrize(
    "upper_estimate_ms, now_ms, taken",
    [
        (4_900, 3_600, True),
        (4_901, 3_600, False),
        (9_000, 1_001, False),
        # Once the balancer has noticed, callers find another instance at once.
        (200, 3_601, False),
        (2_000, 6_400, False),
    ],
)
def test_a_stream_is_admitted_if_a_long_one_can_still_finish(
    upper_estimate_ms, now_ms, taken
):
    """Otherwise a stream would be cut at the end of the grace."""
    stream = evolve(CALL_ROUTE, kind=RouteKind.RESUMABLE)
    assert WINDOW.has_time_for(stream, now_ms, upper_estimate_ms) is taken


def test_stream_durations_are_estimated_by_route():
    lengths = StreamDurations()
    assert lengths.upper_estimate_ms("a") is None
    for took_ms in [6_000, 7_000] * 30:
        lengths.stream_finished("a", took_ms)
    assert 7_000 < lengths.upper_estimate_ms("a") < 8_500
    assert lengths.upper_estimate_ms("b") is None


@pytest.mark.parametrize("alone, least_ms", [(False, 50), (True, 2_600)])
def test_a_stream_refused_by_the_only_instance_waits_for_the_balancer(alone, least_ms):
    lengths = StreamDurations()
    lengths.stream_finished("r", 9_000)
    route = evolve(CALL_ROUTE, kind=RouteKind.RESUMABLE, anonymous=True)
    routes = RouteTable(ForwardingConfiguration(routes=(route,)))
    state = AdmissionState(
        routes, 0.0, 1e9, 1e9, 1, 9, WINDOW, WINDOW.started_ms, lengths, alone
    )
    refusal = admit(RequestKey("h", "/r/x", ""), state)
    assert (refusal.status, refusal.code) == (503, "stopping")
    assert refusal.retry_after_ms == least_ms

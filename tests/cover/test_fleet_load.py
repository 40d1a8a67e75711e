"""Placement of streams by a large fleet, simulated with the routing cores.

195 instances share no state, each sends about one stream in 12 s, and the engines' load
reports are 200 ms old. The target for the first event is 4.5 s.
"""

from tests.common.engine_fleet import Fleet

TARGET_FIRST_EVENT_MS = 4_500.0
PREFILL_MS = 1_020.0


def test_load_queries_keep_streams_of_many_instances_apart():
    """About half of the 126 engines have a run. With one queried engine many streams
    wait for another's prefill; with three, nine in ten begin as on an idle engine."""
    one_queried = Fleet(195, 126, queried=1, seed=1)
    one_queried.simulate(per_s=16.4, for_ms=12_000)
    asked = Fleet(195, 126, queried=3, seed=1)
    asked.simulate(per_s=16.4, for_ms=12_000)
    assert asked.first_ms(0.9) <= PREFILL_MS + 100
    assert one_queried.first_ms(0.9) > 1.5 * asked.first_ms(0.9)
    assert asked.refused == 0


def test_first_events_meet_the_target_at_three_runs_per_engine():
    """Half the engines and one and a half times the streams of the test before."""
    fleet = Fleet(195, 63, queried=3, seed=2)
    fleet.simulate(per_s=24.0, for_ms=12_000)
    assert fleet.first_ms(0.99) <= TARGET_FIRST_EVENT_MS
    assert fleet.refused == 0

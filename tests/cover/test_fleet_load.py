"""The load of a large fleet, played against the cores that place streams.

195 instances know nothing of what the others send, and each sees a stream in 12 s; the
engines' reports are 200 ms old. Callers want their first event within 4.5 s.
"""

from tests.common.engine_fleet import Fleet

AIM_MS = 4_500.0
READ_MS = 1_020.0


def test_streams_of_many_instances_seldom_meet_at_one_engine():
    """Half of the 126 engines have a run each. By lot one stream in five waits for
    another's prompt; with three engines asked nine in ten begin as if alone."""
    by_lot = Fleet(195, 126, asked=1, seed=1)
    by_lot.play(per_s=16.4, for_ms=12_000)
    asked = Fleet(195, 126, asked=3, seed=1)
    asked.play(per_s=16.4, for_ms=12_000)
    assert asked.first_ms(0.9) <= READ_MS + 100
    assert by_lot.first_ms(0.9) > 1.5 * asked.first_ms(0.9)
    assert asked.refused == 0


def test_a_burst_at_half_of_the_engines_begins_within_the_aim():
    """Half as many engines, and half as many streams again: three runs an engine."""
    fleet = Fleet(195, 63, asked=3, seed=2)
    fleet.play(per_s=24.0, for_ms=12_000)
    assert fleet.first_ms(0.99) <= AIM_MS
    assert fleet.refused == 0

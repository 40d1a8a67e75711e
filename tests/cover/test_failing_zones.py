"""A failing zone is left alone before all of its endpoints are known to be dead."""

from random import Random

from coursekeel.routing import FailingZones, Grant, PlacementRequest, Router

ENDPOINTS = {f"{zone}{number}": zone for zone in "abc" for number in range(4)}


def router() -> Router:
    made = Router("a", Random(1), lambda *_: True)
    made.endpoints.configure({"m": list(ENDPOINTS)}, ENDPOINTS)
    return made


def wanted(number: int, **more) -> PlacementRequest:
    return PlacementRequest("t", "c", 0, "m", 1.0, 1e9, number=number, **more)


def granted(made: Router, now_ms: float, **more) -> set[str]:
    zones = set()
    for number in range(30):
        (decision,) = made.place(wanted(number, **more), now_ms)
        assert isinstance(decision, Grant)
        zones.add(ENDPOINTS[decision.endpoint_id])
        made.released(decision.endpoint_id, 1.0, now_ms)
    return zones


def test_one_endpoint_that_dies_says_nothing_of_its_zone():
    zones = FailingZones()
    zones.record_loss("a", "a1", 0.0)
    zones.record_loss("a", "a1", 10.0)
    assert not zones.is_avoided("a", 11.0)


def test_two_that_die_together_do_and_for_a_while():
    zones = FailingZones()
    zones.record_loss("a", "a1", 0.0)
    zones.record_loss("a", "a2", 10.0)
    assert zones.is_avoided("a", 1_500.0)
    assert not zones.is_avoided("b", 11.0)
    assert not zones.is_avoided("a", 1_511.0)


def test_two_that_die_far_apart_do_not():
    zones = FailingZones()
    zones.record_loss("a", "a1", 0.0)
    zones.record_loss("a", "a2", 5_000.0)
    assert not zones.is_avoided("a", 5_001.0)


def test_new_work_and_copies_go_elsewhere():
    made = router()
    made.endpoints.lost("m", "a0", 0.0)
    made.endpoints.lost("m", "a1", 1.0)
    assert granted(made, 2.0) == {"b", "c"}
    assert ENDPOINTS[made.endpoints.for_copy(wanted(1), "b0", 2.0)] == "c"
    asked = made.endpoints.to_ask(wanted(1), 2.0, 3)
    assert {ENDPOINTS[each] for each in asked} == {"b", "c"}


def test_a_request_keeps_its_copy_out_of_the_zone_where_it_was_lost():
    """Seen on a played day: the copy's own copy was placed in the zone that had just
    died, so the next loss meant reading 8,000 tokens again."""
    made = router()
    for number in range(20):
        request = wanted(number, avoided_zones=frozenset("a"))
        assert ENDPOINTS[made.endpoints.for_copy(request, "b0", 0.0)] == "c"


def test_where_every_zone_fails_work_still_goes_somewhere():
    made = router()
    for zone in "abc":
        made.endpoints.lost("m", f"{zone}0", 0.0)
        made.endpoints.lost("m", f"{zone}1", 0.0)
    assert granted(made, 1.0)


def test_a_copy_lies_in_another_zone():
    made = router()
    for name, zone in ENDPOINTS.items():
        assert ENDPOINTS[made.endpoints.for_copy(wanted(1), name, 0.0)] != zone


def test_a_resumed_request_goes_where_its_prompt_was_read():
    made = router()
    first = wanted(1, prompt_key="k", prompt_tokens=8_000)
    own = made.endpoints.to_ask(first, 0.0, 3)[0]
    again = router()
    asked = again.endpoints.to_ask(first, 0.0, 3)
    assert asked[0] == own
    resumed = wanted(
        2,
        prompt_key="k",
        prompt_tokens=8_000,
        caller_resumes=True,
        asked=frozenset(asked),
    )
    (decision,) = again.place(resumed, 0.0)
    assert decision.endpoint_id == own


def test_an_endpoint_gets_no_more_runs_than_it_has_slots():
    """Seen in a played day's log: limits stood at 64 before servers of 6 slots."""
    made = Router("a", Random(1), lambda *_: True)
    made.endpoints.configure({"m": ["a0"]}, {"a0": "a"}, {"a0": 6})
    decisions = [made.place(wanted(number), 0.0) for number in range(9)]
    assert [len(each) for each in decisions] == [1] * 6 + [0] * 3

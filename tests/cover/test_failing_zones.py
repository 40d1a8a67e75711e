"""A failing zone is avoided before all of its endpoints are detected as lost."""

from random import Random

from coursekeel.routing import FailingZones, Grant, PlacementRequest, Router

ENDPOINTS = {f"{zone}{number}": zone for zone in "abc" for number in range(4)}


def make_router() -> Router:
    router = Router("a", Random(1), lambda *_: True)
    router.endpoints.configure({"m": list(ENDPOINTS)}, ENDPOINTS)
    return router


def make_request(number: int, **more) -> PlacementRequest:
    return PlacementRequest("t", "c", 0, "m", 1.0, 1e9, number=number, **more)


def granted_zones(router: Router, now_ms: float, **more) -> set[str]:
    zones = set()
    for number in range(30):
        (decision,) = router.place(make_request(number, **more), now_ms)
        assert isinstance(decision, Grant)
        zones.add(ENDPOINTS[decision.endpoint_id])
        router.release(decision.endpoint_id, 1.0, now_ms)
    return zones


def test_one_lost_endpoint_does_not_make_its_zone_fail():
    zones = FailingZones()
    zones.record_loss("a", "a1", 0.0)
    zones.record_loss("a", "a1", 10.0)
    assert not zones.is_avoided("a", 11.0)


def test_two_losses_within_the_window_avoid_the_zone_for_a_while():
    zones = FailingZones()
    zones.record_loss("a", "a1", 0.0)
    zones.record_loss("a", "a2", 10.0)
    assert zones.is_avoided("a", 1_500.0)
    assert not zones.is_avoided("b", 11.0)
    assert not zones.is_avoided("a", 1_511.0)


def test_two_losses_far_apart_do_not_avoid_the_zone():
    zones = FailingZones()
    zones.record_loss("a", "a1", 0.0)
    zones.record_loss("a", "a2", 5_000.0)
    assert not zones.is_avoided("a", 5_001.0)


def test_new_work_and_copies_avoid_a_failing_zone():
    router = make_router()
    router.endpoints.lost("m", "a0", 0.0)
    router.endpoints.lost("m", "a1", 1.0)
    assert granted_zones(router, 2.0) == {"b", "c"}
    assert (
        ENDPOINTS[router.endpoints.choose_for_copy(make_request(1), "b0", 2.0)] == "c"
    )
    asked = router.endpoints.choose_to_query(make_request(1), 2.0, 3)
    assert {ENDPOINTS[endpoint_id] for endpoint_id in asked} == {"b", "c"}


def test_a_copy_avoids_the_zones_where_its_request_was_lost():
    """Guards against a copy in the zone that has just failed: its loss would mean
    another prefill of the whole prompt."""
    router = make_router()
    for number in range(20):
        request = make_request(number, avoided_zones=frozenset("a"))
        assert ENDPOINTS[router.endpoints.choose_for_copy(request, "b0", 0.0)] == "c"


def test_work_is_still_placed_when_every_zone_fails():
    router = make_router()
    for zone in "abc":
        router.endpoints.lost("m", f"{zone}0", 0.0)
        router.endpoints.lost("m", f"{zone}1", 0.0)
    assert granted_zones(router, 1.0)


def test_a_copy_is_placed_in_another_zone():
    router = make_router()
    for name, zone in ENDPOINTS.items():
        assert (
            ENDPOINTS[router.endpoints.choose_for_copy(make_request(1), name, 0.0)]
            != zone
        )


def test_a_resumed_request_goes_to_its_prompts_preferred_endpoint():
    router = make_router()
    first = make_request(1, prompt_key="k", prompt_tokens=8_000)
    own = router.endpoints.choose_to_query(first, 0.0, 3)[0]
    again = make_router()
    asked = again.endpoints.choose_to_query(first, 0.0, 3)
    assert asked[0] == own
    resumed = make_request(
        2,
        prompt_key="k",
        prompt_tokens=8_000,
        caller_resumes=True,
        queried=frozenset(asked),
    )
    (decision,) = again.place(resumed, 0.0)
    assert decision.endpoint_id == own


def test_an_endpoint_gets_no_more_runs_than_it_has_slots():
    """Guards against the initial limit applying to endpoints with fewer slots."""
    router = Router("a", Random(1), lambda *_: True)
    router.endpoints.configure({"m": ["a0"]}, {"a0": "a"}, {"a0": 6})
    decisions = [router.place(make_request(number), 0.0) for number in range(9)]
    assert [len(grants) for grants in decisions] == [1] * 6 + [0] * 3

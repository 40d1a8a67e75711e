"""A failing zone is left alone before all of its endpoints are known to be dead."""

from random import Random

from coursekeel.routing import Grant, Router, Seek, ZoneTrouble

ENDPOINTS = {f"{zone}{number}": zone for zone in "abc" for number in range(4)}


def router() -> Router:
    made = Router("a", Random(1), lambda *_: True)
    made.configure({"m": list(ENDPOINTS)}, ENDPOINTS)
    return made


def seek(ticket: int, **more) -> Seek:
    return Seek(ticket, "t", "c", 0, "m", 1.0, 1e9, **more)


def granted(made: Router, now_ms: float, **more) -> set[str]:
    zones = set()
    for ticket in range(30):
        (decision,) = made.seek(seek(ticket, **more), now_ms)
        assert isinstance(decision, Grant)
        zones.add(ENDPOINTS[decision.endpoint_id])
        made.released(decision.endpoint_id, 1.0, now_ms)
    return zones


def test_one_endpoint_that_dies_says_nothing_of_its_zone():
    trouble = ZoneTrouble()
    trouble.lost("a", "a1", 0.0)
    trouble.lost("a", "a1", 10.0)
    assert not trouble.shunned("a", 11.0)


def test_two_that_die_together_do_and_for_a_while():
    trouble = ZoneTrouble()
    trouble.lost("a", "a1", 0.0)
    trouble.lost("a", "a2", 10.0)
    assert trouble.shunned("a", 1_500.0)
    assert not trouble.shunned("b", 11.0)
    assert not trouble.shunned("a", 1_511.0)


def test_two_that_die_far_apart_do_not():
    trouble = ZoneTrouble()
    trouble.lost("a", "a1", 0.0)
    trouble.lost("a", "a2", 5_000.0)
    assert not trouble.shunned("a", 5_001.0)


def test_new_work_and_copies_go_elsewhere():
    made = router()
    made.lost("m", "a0", 0.0)
    made.lost("m", "a1", 1.0)
    assert granted(made, 2.0) == {"b", "c"}
    assert ENDPOINTS[made.place_for_copy(seek(1), "b0", 2.0)] == "c"
    assert {ENDPOINTS[each] for each in made.to_ask(seek(1), 2.0, 3)} == {"b", "c"}


def test_a_request_keeps_its_copy_out_of_the_zone_where_it_was_lost():
    """Seen on a played day: the copy's own copy was placed in the zone that had just
    died, so the next loss meant reading 8,000 tokens again."""
    made = router()
    for number in range(20):
        wanted = seek(number, shunned_zones=frozenset("a"))
        assert ENDPOINTS[made.place_for_copy(wanted, "b0", 0.0)] == "c"


def test_where_every_zone_fails_work_still_goes_somewhere():
    made = router()
    for zone in "abc":
        made.lost("m", f"{zone}0", 0.0)
        made.lost("m", f"{zone}1", 0.0)
    assert granted(made, 1.0)


def test_a_copy_lies_in_another_zone():
    made = router()
    for name, zone in ENDPOINTS.items():
        assert ENDPOINTS[made.place_for_copy(seek(1), name, 0.0)] != zone


def test_a_resumed_request_goes_where_its_prompt_was_read():
    made = router()
    first = seek(1, prompt_key="k", prompt_tokens=8_000)
    own = made.to_ask(first, 0.0, 3)[0]
    again = router()
    asked = again.to_ask(first, 0.0, 3)
    assert asked[0] == own
    resumed = seek(
        2,
        prompt_key="k",
        prompt_tokens=8_000,
        resumes=True,
        candidates=frozenset(asked),
    )
    (decision,) = again.seek(resumed, 0.0)
    assert decision.endpoint_id == own


def test_an_endpoint_gets_no_more_runs_than_it_has_slots():
    """Seen in a played day's log: limits stood at 64 before servers of 6 slots."""
    made = Router("a", Random(1), lambda *_: True)
    made.configure({"m": ["a0"]}, {"a0": "a"}, {"a0": 6})
    decisions = [made.seek(seek(ticket), 0.0) for ticket in range(9)]
    assert [len(each) for each in decisions] == [1] * 6 + [0] * 3

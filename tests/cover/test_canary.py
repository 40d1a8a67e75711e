"""A new version is tried on few requests, judged, and completed or taken back."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.canary import (
    CanaryBounds,
    Conductor,
    Evidence,
    Phase,
    RolloutOrder,
    RolloutReport,
    Rollouts,
    RolloutState,
    Ruling,
    SequentialJudge,
    Side,
    Tally,
    UnreadableRollout,
    decode_rollout,
    encode_report,
    encode_ruling,
)
from coursekeel.canary._tally import latency_bucket
from coursekeel.forwarding import EndpointRecord
from coursekeel.group import MAX_MESSAGE_BYTES
from tests.common.moments import at

ORDER = RolloutOrder("p", "v2", 12_000)
BOUNDS = CanaryBounds()
PERIOD_MS = 500.0


def record(name: str, version: str) -> EndpointRecord:
    return EndpointRecord(name, "p", "10.0.0.1", 1, "z", 4, False, version)


class Pool:
    """One instance's view of one pool, whose list the test writes."""

    def __init__(self, **versions: str) -> None:
        self.rollouts = Rollouts(BOUNDS, Random(1), lambda: PERIOD_MS)
        self.listed = {
            name: (record(name, version), at(1)) for name, version in versions.items()
        }

    def split(self) -> dict[str, list[str]]:
        pools = {"p": list(self.listed)}
        found = self.rollouts.split(pools, self.listed.__getitem__)
        return {pool: sorted(names) for pool, names in found.items()}

    def rule(self, phase: Phase, share: float = 0.5, now_ms: float = 0.0) -> None:
        ruling = Ruling("i0", "p", "v2", at(7), phase, share, now_ms)
        self.rollouts.heard(ruling, now_ms)

    def chosen(self, now_ms: float, first: bool = True, room: bool = True) -> set[str]:
        return {
            self.rollouts.pool_for("p", now_ms, first, lambda _: room)
            for _ in range(50)
        }


# Which version may serve.


def test_without_an_order_the_versions_of_the_list_serve():
    pool = Pool(a="v1", b="v1", c="v0")
    assert pool.split() == {"p": ["a", "b", "c"]}


def test_a_version_that_appears_waits_until_orders_of_before_it_are_known():
    pool = Pool(a="v1")
    pool.split()
    pool.rollouts.orders_read(at(5))
    pool.listed["b"] = (record("b", "v2"), at(6))
    assert pool.split() == {"p": ["a"]}
    assert pool.rollouts.orders_read(at(6)), "it waits for that"
    assert pool.split() == {"p": ["a", "b"]}


def test_a_new_version_gets_nothing_before_its_order_is_read_nor_without_a_ruling():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    assert pool.split() == {"p": ["a"], "p@v2": ["b"]}
    assert pool.chosen(0.0) == {"p"}


def test_a_version_that_no_order_names_gets_nothing_beside_one():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    pool.split()
    pool.listed["c"] = (record("c", "v3"), at(9))
    assert pool.split() == {"p": ["a"], "p@v2": ["b"]}


def test_a_share_of_new_requests_goes_to_the_new_version_while_rulings_are_heard():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    pool.split()
    pool.rule(Phase.TRYING, share=0.5)
    assert pool.chosen(0.0) == {"p", "p@v2"}
    assert pool.chosen(0.0, first=False) == {"p"}, "what is sent again goes back"
    assert pool.chosen(0.0, room=False) == {"p"}, "nothing waits to be tried"
    assert pool.chosen(3 * PERIOD_MS + 1) == {"p"}, "a verdict may have been missed"


def test_a_version_that_is_taken_back_gets_nothing_more():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    pool.rule(Phase.ROLLED_BACK)
    assert pool.split() == {"p": ["a"]}
    assert pool.chosen(0.0) == {"p"}
    assert not pool.rollouts.may_have(record("b", "v2"))
    pool.rule(Phase.TRYING)
    assert pool.chosen(0.0) == {"p"}, "a late ruling of before changes nothing"
    pool.rollouts.withdrawn([])
    pool.rollouts.orders_read(at(20))
    assert pool.split() == {"p": ["a"]}, "nor does the end of its order"


def test_a_version_whose_order_is_taken_away_gets_nothing_until_it_is_ordered_again():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    pool.split()
    pool.rollouts.withdrawn([])
    pool.rollouts.orders_read(at(20))
    assert pool.split() == {"p": ["a"]}
    pool.rollouts.ordered(ORDER, at(21), 0.0)
    assert pool.split() == {"p": ["a"], "p@v2": ["b"]}


def test_an_order_of_the_version_in_force_stops_a_roll_out():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    pool.split()
    pool.rollouts.ordered(RolloutOrder("p", "v1", 9_000), at(8), 0.0)
    assert pool.split()["p"] == ["a"]
    assert all("b" not in names for names in pool.split().values())


def test_one_that_starts_during_a_roll_out_learns_which_version_was_in_force():
    """An order of the version in force stops a roll-out; both versions are listed."""
    pool = Pool(a="v1", b="v2")
    pool.rollouts.ordered(RolloutOrder("p", "v1", 9_000), at(8), 0.0)
    assert pool.split()["p"] == ["b"], "a guess"
    ruling = Ruling("i0", "p", "v1", at(8), Phase.TRYING, 0.1, 0.0, ("v1",))
    assert pool.rollouts.heard(ruling, 0.0)
    assert pool.split()["p"] == ["a"]
    assert pool.rollouts.known_in_force("p") == ("v1",)


def test_a_guess_is_told_to_nobody():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    pool.split()
    assert pool.rollouts.known_in_force("p") == ()


def test_while_it_closes_and_once_it_is_completed_only_the_new_version_serves():
    pool = Pool(a="v1", b="v2", c="v2")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    pool.rule(Phase.CLOSING)
    assert pool.split()["p"] == ["b", "c"]
    assert not pool.rollouts.may_have(record("a", "v1"))
    pool.rule(Phase.COMPLETED)
    assert pool.split() == {"p": ["b", "c"]}
    pool.rollouts.withdrawn([])
    assert pool.split() == {"p": ["b", "c"]}, "old ones stop, though still listed"


def test_where_no_old_endpoint_is_left_the_new_ones_serve():
    pool = Pool(b="v2")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    assert pool.split()["p"] == ["b"]


def test_the_new_version_is_tried_at_few_endpoints_so_that_each_bears_a_usual_load():
    old = {f"a{number}": "v1" for number in range(40)}
    new = {f"b{number}": "v2" for number in range(40)}
    pool = Pool(**old, **new)
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    split = pool.split()
    assert len(split["p"]) == 40
    assert len(split["p@v2"]) == 4


def test_an_order_that_is_written_again_after_a_restore_is_the_same_one():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    pool.rule(Phase.ROLLED_BACK)
    assert pool.rollouts.ordered(ORDER, at(3, era=1), 9_000.0) is None
    assert pool.split() == {"p": ["a"]}


def test_another_order_begins_anew():
    pool = Pool(a="v1", b="v2", c="v3")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    pool.split()
    other = RolloutOrder("p", "v3", 12_000)
    assert pool.rollouts.ordered(other, at(9), 5_000.0) is not None
    assert pool.split() == {"p": ["a"], "p@v3": ["c"]}
    pool.rule(Phase.COMPLETED)
    assert pool.rollouts.by_pool["p"].phase is Phase.TRYING, "a ruling of before"


# What is counted.


def tally(answers: int, failed: int = 0, took_ms: float = 100.0) -> Tally:
    counts = [0] * len(Tally().latencies)
    counts[latency_bucket(took_ms)] = answers - failed
    return Tally(answers, failed, tuple(counts))


def test_runs_that_an_endpoint_loses_together_count_as_one():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    pool.split()
    for now_ms in (0.0, 10.0, 900.0, 1_001.0):
        pool.rollouts.ended("p", "r", "b", True, 0.0, now_ms, lost=True)
    pool.rollouts.ended("p", "r", "b", True, 5.0, 1_002.0)
    (found,) = pool.rollouts.by_pool["p"].tallies.values()
    assert (found.answers, found.failed) == (3, 3)


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 1), st.integers(0, 9)), max_size=30
    ),
    st.randoms(use_true_random=False),
)
def test_reports_that_are_lost_late_or_repeated_change_nothing(reports, random):
    """Each counter only grows; the greatest of each is what counts."""
    key = (3, Side.NEW)
    told = [(f"i{i}", life, [(key, tally(count))]) for i, life, count in reports]
    evidence = Evidence()
    for each in random.sample(told * 2, 2 * len(told)):
        evidence.update(*each)
    greatest: dict[tuple[str, int], int] = {}
    for instance, life, [(_, counted)] in told:
        cell = instance, life
        greatest[cell] = max(greatest.get(cell, 0), counted.answers)
    assert evidence.answers(Side.NEW) == sum(greatest.values())


def report(pool: Pool, now_ms: float = 0.0) -> RolloutReport:
    return pool.rollouts.report("p", "10.0.0.9:7", 2, now_ms)


def test_messages_come_through_as_they_were_and_fit_datagrams():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.ordered(ORDER, at(7, era=3), 0.0)
    pool.split()
    random = Random(3)
    for number in range(20_000):
        endpoint = random.choice("ab")
        took_ms = 2 ** random.uniform(0, 16)
        pool.rollouts.ended(
            "p", f"r{number % 50}", endpoint, number % 9 == 0, took_ms, 0
        )
    whole = report(pool)
    parts = []
    for data in encode_report("g", whole):
        assert len(data) <= MAX_MESSAGE_BYTES
        group, part = decode_rollout(data)
        assert group == "g"
        parts += part.rows
    assert parts == list(whole.rows)
    ruling = Ruling("i0", "p", "v2", at(7, era=3), Phase.CLOSING, 0.25, 1.5, ("v1",))
    assert decode_rollout(encode_ruling("g", ruling)) == ("g", ruling)


@given(st.binary(max_size=200))
def test_whatever_a_stranger_sends_is_read_or_refused(data):
    assert isinstance(decode_rollout(b"V" + data), UnreadableRollout | tuple)


@pytest.mark.parametrize(
    "row",
    [
        b'{"row":9,"side":"new","answers":0,"failed":0}',
        b'{"row":1,"side":"new","answers":1,"failed":2}',
        b'{"row":1,"side":"new","answers":3,"failed":0}',
        b'{"row":1,"side":"new","answers":1,"failed":0,"latencies":[[99,1]]}',
        b'{"row":1,"side":"newer","answers":0,"failed":0}',
    ],
)
def test_counters_that_cannot_be_are_refused(row):
    pool = Pool(a="v1")
    pool.rollouts.ordered(ORDER, at(7), 0.0)
    (data,) = encode_report("g", report(pool))
    spoiled = data.replace(b'"rows":[]', b'"rows":[' + row + b"]")
    assert spoiled != data
    assert isinstance(decode_rollout(spoiled), UnreadableRollout)


# The judge.


def judged(looks: list[dict]) -> bool:
    judge, condemned = SequentialJudge(), False
    for totals in looks:
        condemned = judge.condemns(totals)
    return condemned


def growing(old: Tally, new: Tally, looks: int = 10, row: int = 0) -> list[dict]:
    """The same answers come in at every look."""
    totals, made = {(row, Side.OLD): Tally(), (row, Side.NEW): Tally()}, []
    for _ in range(looks):
        totals = {
            (row, Side.OLD): totals[row, Side.OLD].plus(old),
            (row, Side.NEW): totals[row, Side.NEW].plus(new),
        }
        made.append(totals)
    return made


def test_a_version_that_fails_as_often_as_the_old_one_passes():
    assert not judged(growing(tally(90, 13), tally(10, 1), looks=40))


def test_a_version_that_fails_more_often_is_condemned():
    assert judged(growing(tally(90, 1), tally(10, 4)))


def test_a_version_that_is_several_times_slower_is_condemned():
    assert judged(growing(tally(90), tally(10, took_ms=300)))
    assert not judged(growing(tally(90), tally(10, took_ms=130), looks=40))


def test_a_fault_of_the_whole_service_condemns_nobody():
    calm = growing(tally(90, 1), tally(10, 0))
    last = calm[-1]
    for _ in range(5):
        last = {
            (0, Side.OLD): last[0, Side.OLD].plus(tally(90, 60)),
            (0, Side.NEW): last[0, Side.NEW].plus(tally(10, 7)),
        }
        calm.append(last)
    assert not judged(calm)


def test_a_fault_that_begins_late_is_seen_as_soon():
    looks = growing(tally(90, 1), tally(10, 0), looks=100)
    last = looks[-1]
    for _ in range(6):
        last = {
            (0, Side.OLD): last[0, Side.OLD].plus(tally(90, 1)),
            (0, Side.NEW): last[0, Side.NEW].plus(tally(10, 5)),
        }
        looks.append(last)
    assert judged(looks)


# The conductor.


def conductor() -> Conductor:
    return Conductor(ORDER, at(7), BOUNDS, 0.0)


def reported(
    made: Conductor,
    now_ms: float,
    old: Tally,
    new: Tally,
    phase: Phase = Phase.TRYING,
    sender: str = "i0",
    old_runs: int = 0,
) -> None:
    rows = (((0, Side.OLD), old), ((0, Side.NEW), new))
    made.report(
        RolloutReport(sender, "p", "v2", at(7), phase, now_ms, 1, old_runs, rows),
        now_ms,
    )


def test_a_good_version_is_completed_by_its_deadline_once_the_old_runs_have_ended():
    made = conductor()
    for second in range(8):
        now_ms = second * 1_000.0
        reported(made, now_ms, tally(90 * second), tally(10 * second))
        made.look(now_ms, leading=True, has_new=True)
    assert made.phase is Phase.CLOSING
    reported(made, 8_000, tally(700), tally(90), Phase.CLOSING, old_runs=2)
    assert made.wanted(8_000, ["i0"]) is RolloutState.RUNNING
    reported(made, 9_000, tally(700), tally(90), Phase.CLOSING)
    assert made.wanted(9_000, ["i0"]) is RolloutState.COMPLETED
    assert made.wanted(9_000, ["i0", "i1"]) is RolloutState.RUNNING, "i1 said nothing"
    assert made.wanted(11_500, ["i0", "i1"]) is RolloutState.COMPLETED, "time is over"
    made.recorded(RolloutState.COMPLETED)
    assert made.phase is Phase.COMPLETED


def test_one_that_does_not_lead_neither_closes_nor_completes_and_still_condemns():
    made = conductor()
    made.look(11_900, leading=False, has_new=True)
    assert made.phase is Phase.TRYING
    reported(made, 11_950, tally(90), tally(30, 25))
    made.look(11_960, leading=False, has_new=True)
    assert made.phase is Phase.ROLLED_BACK


def test_a_version_without_endpoints_is_taken_back_at_the_end_of_its_time():
    made = conductor()
    made.look(10_000, leading=True, has_new=False)
    assert made.phase is Phase.TRYING
    made.look(11_500, leading=True, has_new=False)
    assert made.phase is Phase.ROLLED_BACK
    assert made.reason == "no_endpoints"


def test_the_first_final_state_that_is_recorded_stands():
    made = conductor()
    reported(made, 100, tally(90), tally(30, 25))
    made.look(100, leading=True, has_new=True)
    assert made.phase is Phase.ROLLED_BACK
    made.found(RolloutState.COMPLETED)
    assert made.phase is Phase.COMPLETED, "the old endpoints have stopped by now"
    made.found(RolloutState.ROLLED_BACK)
    assert made.phase is Phase.COMPLETED


def test_whoever_takes_over_learns_how_much_time_has_passed():
    made = Conductor(ORDER, at(7), BOUNDS, began_ms=8_000.0)
    message = RolloutReport("i0", "p", "v2", at(7), Phase.TRYING, 7_500.0, 1, 0, ())
    made.report(message, 8_100.0)
    made.look(8_100.0, leading=True, has_new=True)
    assert made.phase is Phase.CLOSING


@pytest.mark.parametrize("requests", [0, 6, 200, 1_200, 20_000, 400_000])
def test_the_share_keeps_the_bound_at_every_moment_with_room_for_luck(requests):
    """Of all requests that have come by then, though no more may come; what is drawn
    for passes 3.7 deviations in one of ten thousand."""
    made = conductor()
    exposed = seen = 0.0
    for tick in range(24):
        now_ms = tick * 500.0
        made.look(now_ms, leading=True, has_new=True)
        if made.phase is not Phase.TRYING:
            break
        share = made.ruling("i0", now_ms).share
        seen += requests / 24
        exposed += share * requests / 24
        luck = 3.7 * exposed**0.5
        assert exposed + luck <= BOUNDS.share * seen + BOUNDS.slack
        reported(made, now_ms, tally(int(seen - exposed)), tally(int(exposed)))
    assert made.phase is Phase.CLOSING

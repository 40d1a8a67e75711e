"""Canary rollouts: which version serves, what is counted, and how it is judged."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.canary import (
    CanaryBounds,
    Conductor,
    Evidence,
    Phase,
    RolloutDecision,
    RolloutOrder,
    RolloutReport,
    Rollouts,
    RolloutState,
    SequentialJudge,
    Side,
    Tally,
    UnreadableRollout,
    decode_rollout,
    encode_decision,
    encode_report,
)
from coursekeel.canary._tally import latency_bucket
from coursekeel.forwarding import EndpointRecord
from coursekeel.group import MAX_MESSAGE_BYTES
from tests.common.moments import position_at

ORDER = RolloutOrder("p", "v2", 12_000)
BOUNDS = CanaryBounds()
PERIOD_MS = 500.0


def record(name: str, version: str) -> EndpointRecord:
    return EndpointRecord(name, "p", "10.0.0.1", 1, "z", 4, False, version)


class Pool:
    """One instance's rollout of one pool; ``listed`` are the pool's endpoints."""

    def __init__(self, **versions: str) -> None:
        self.rollouts = Rollouts(BOUNDS, Random(1), lambda: PERIOD_MS)
        self.listed = {
            name: (record(name, version), position_at(1))
            for name, version in versions.items()
        }

    def split(self) -> dict[str, list[str]]:
        pools = {"p": list(self.listed)}
        by_pool = self.rollouts.split(pools, self.listed.__getitem__)
        return {pool: sorted(names) for pool, names in by_pool.items()}

    def decide(self, phase: Phase, share: float = 0.5, now_ms: float = 0.0) -> None:
        decision = RolloutDecision(
            "i0", "p", "v2", position_at(7), phase, share, now_ms
        )
        self.rollouts.apply_decision(decision, now_ms)

    def pools_chosen(
        self, now_ms: float, first: bool = True, room: bool = True
    ) -> set[str]:
        return {
            self.rollouts.pool_for("p", now_ms, first, lambda _: room)
            for _ in range(50)
        }


# Versions that may serve.


def test_without_an_order_all_listed_versions_serve():
    pool = Pool(a="v1", b="v1", c="v0")
    assert pool.split() == {"p": ["a", "b", "c"]}


def test_a_later_version_serves_only_after_all_earlier_orders_were_read():
    pool = Pool(a="v1")
    pool.split()
    pool.rollouts.set_orders_position(position_at(5))
    pool.listed["b"] = (record("b", "v2"), position_at(6))
    assert pool.split() == {"p": ["a"]}
    assert pool.rollouts.set_orders_position(position_at(6)), "an endpoint waits for it"
    assert pool.split() == {"p": ["a", "b"]}


def test_a_target_version_gets_no_requests_without_a_decision():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    assert pool.split() == {"p": ["a"], "p@v2": ["b"]}
    assert pool.pools_chosen(0.0) == {"p"}


def test_a_version_that_is_not_the_target_waits_while_the_pool_has_an_order():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    pool.split()
    pool.listed["c"] = (record("c", "v3"), position_at(9))
    assert pool.split() == {"p": ["a"], "p@v2": ["b"]}


def test_a_share_of_new_requests_goes_to_the_new_version_while_decisions_are_recent():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    pool.split()
    pool.decide(Phase.TRYING, share=0.5)
    assert pool.pools_chosen(0.0) == {"p", "p@v2"}
    assert pool.pools_chosen(0.0, first=False) == {"p"}, (
        "a request that is sent again uses the old version"
    )
    assert pool.pools_chosen(0.0, room=False) == {"p"}, (
        "no request waits for room at the new version"
    )
    assert pool.pools_chosen(3 * PERIOD_MS + 1) == {"p"}, (
        "a rollback may have been missed"
    )


def test_a_rolled_back_version_gets_no_more_requests():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    pool.decide(Phase.ROLLED_BACK)
    assert pool.split() == {"p": ["a"]}
    assert pool.pools_chosen(0.0) == {"p"}
    assert not pool.rollouts.may_receive(record("b", "v2"))
    pool.decide(Phase.TRYING)
    assert pool.pools_chosen(0.0) == {"p"}, "a delayed earlier decision changes nothing"
    pool.rollouts.withdraw_all_except([])
    pool.rollouts.set_orders_position(position_at(20))
    assert pool.split() == {"p": ["a"]}, "the end of its order changes nothing either"


def test_a_version_whose_order_was_withdrawn_waits_until_it_is_ordered_again():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    pool.split()
    pool.rollouts.withdraw_all_except([])
    pool.rollouts.set_orders_position(position_at(20))
    assert pool.split() == {"p": ["a"]}
    pool.rollouts.set_order(ORDER, position_at(21), 0.0)
    assert pool.split() == {"p": ["a"], "p@v2": ["b"]}


def test_an_order_of_the_version_in_force_stops_a_rollout():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    pool.split()
    pool.rollouts.set_order(RolloutOrder("p", "v1", 9_000), position_at(8), 0.0)
    assert pool.split()["p"] == ["a"]
    assert all("b" not in names for names in pool.split().values())


def test_an_instance_that_starts_during_a_rollout_learns_which_version_is_in_force():
    """The order is of the version in force, and so stops a rollout; both are listed."""
    pool = Pool(a="v1", b="v2")
    pool.rollouts.set_order(RolloutOrder("p", "v1", 9_000), position_at(8), 0.0)
    assert pool.split()["p"] == ["b"], "a guess"
    decision = RolloutDecision(
        "i0", "p", "v1", position_at(8), Phase.TRYING, 0.1, 0.0, ("v1",)
    )
    assert pool.rollouts.apply_decision(decision, 0.0)
    assert pool.split()["p"] == ["a"]
    assert pool.rollouts.confirmed_in_force("p") == ("v1",)


def test_guessed_versions_in_force_are_not_reported():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    pool.split()
    assert pool.rollouts.confirmed_in_force("p") == ()


def test_only_the_new_version_serves_from_the_closing_phase_on():
    pool = Pool(a="v1", b="v2", c="v2")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    pool.decide(Phase.CLOSING)
    assert pool.split()["p"] == ["b", "c"]
    assert not pool.rollouts.may_receive(record("a", "v1"))
    pool.decide(Phase.COMPLETED)
    assert pool.split() == {"p": ["b", "c"]}
    pool.rollouts.withdraw_all_except([])
    assert pool.split() == {"p": ["b", "c"]}, (
        "the old endpoints stop, though they are still listed"
    )


def test_without_old_endpoints_the_new_ones_serve():
    pool = Pool(b="v2")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    assert pool.split()["p"] == ["b"]


def test_the_new_version_uses_endpoints_in_proportion_to_its_share():
    old = {f"a{number}": "v1" for number in range(40)}
    new = {f"b{number}": "v2" for number in range(40)}
    pool = Pool(**old, **new)
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    split = pool.split()
    assert len(split["p"]) == 40
    assert len(split["p@v2"]) == 4


def test_an_order_rewritten_after_a_restore_does_not_begin_again():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    pool.decide(Phase.ROLLED_BACK)
    assert pool.rollouts.set_order(ORDER, position_at(3, era=1), 9_000.0) is None
    assert pool.split() == {"p": ["a"]}


def test_another_order_begins_a_new_rollout():
    pool = Pool(a="v1", b="v2", c="v3")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    pool.split()
    other = RolloutOrder("p", "v3", 12_000)
    assert pool.rollouts.set_order(other, position_at(9), 5_000.0) is not None
    assert pool.split() == {"p": ["a"], "p@v3": ["c"]}
    pool.decide(Phase.COMPLETED)
    assert pool.rollouts.by_pool["p"].phase is Phase.TRYING, (
        "a decision on the earlier order"
    )


# Counters and messages.


def tally(answers: int, failed: int = 0, took_ms: float = 100.0) -> Tally:
    counts = [0] * len(Tally().latencies)
    counts[latency_bucket(took_ms)] = answers - failed
    return Tally(answers, failed, tuple(counts))


def test_runs_lost_together_by_one_endpoint_count_once():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    pool.split()
    for now_ms in (0.0, 10.0, 900.0, 1_001.0):
        pool.rollouts.count_end("p", "r", "b", True, 0.0, now_ms, lost=True)
    pool.rollouts.count_end("p", "r", "b", True, 5.0, 1_002.0)
    (counted,) = pool.rollouts.by_pool["p"].tallies.values()
    assert (counted.answers, counted.failed) == (3, 3)


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 1), st.integers(0, 9)), max_size=30
    ),
    st.randoms(use_true_random=False),
)
def test_totals_do_not_depend_on_the_order_or_repetition_of_reports(reports, random):
    """Each counter only grows, so the greatest value that arrived counts."""
    key = (3, Side.NEW)
    sent_reports = [
        (f"i{i}", life, [(key, tally(count))]) for i, life, count in reports
    ]
    evidence = Evidence()
    for each in random.sample(sent_reports * 2, 2 * len(sent_reports)):
        evidence.update(*each)
    greatest: dict[tuple[str, int], int] = {}
    for instance, life, [(_, counted)] in sent_reports:
        counter = instance, life
        greatest[counter] = max(greatest.get(counter, 0), counted.answers)
    assert evidence.answers(Side.NEW) == sum(greatest.values())


def report(pool: Pool, now_ms: float = 0.0) -> RolloutReport:
    return pool.rollouts.report("p", "10.0.0.9:7", 2, now_ms)


def test_messages_survive_encoding_and_fit_datagrams():
    pool = Pool(a="v1", b="v2")
    pool.rollouts.set_order(ORDER, position_at(7, era=3), 0.0)
    pool.split()
    random = Random(3)
    for number in range(20_000):
        endpoint = random.choice("ab")
        took_ms = 2 ** random.uniform(0, 16)
        pool.rollouts.count_end(
            "p", f"r{number % 50}", endpoint, number % 9 == 0, took_ms, 0
        )
    full_report = report(pool)
    parts = []
    for data in encode_report("g", full_report):
        assert len(data) <= MAX_MESSAGE_BYTES
        group, part = decode_rollout(data)
        assert group == "g"
        parts += part.rows
    assert parts == list(full_report.rows)
    decision = RolloutDecision(
        "i0", "p", "v2", position_at(7, era=3), Phase.CLOSING, 0.25, 1.5, ("v1",)
    )
    assert decode_rollout(encode_decision("g", decision)) == ("g", decision)


@given(st.binary(max_size=200))
def test_decoding_arbitrary_bytes_does_not_raise(data):
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
def test_inconsistent_counters_are_refused(row):
    pool = Pool(a="v1")
    pool.rollouts.set_order(ORDER, position_at(7), 0.0)
    (data,) = encode_report("g", report(pool))
    corrupted = data.replace(b'"rows":[]', b'"rows":[' + row + b"]")
    assert corrupted != data
    assert isinstance(decode_rollout(corrupted), UnreadableRollout)


# The judge.


def is_condemned(evaluations: list[dict]) -> bool:
    judge, condemned = SequentialJudge(), False
    for totals in evaluations:
        condemned = judge.condemns(totals)
    return condemned


def repeated_answers(
    old: Tally, new: Tally, evaluations: int = 10, row: int = 0
) -> list[dict]:
    """The totals at each evaluation, when the same answers are added every time."""
    totals, history = {(row, Side.OLD): Tally(), (row, Side.NEW): Tally()}, []
    for _ in range(evaluations):
        totals = {
            (row, Side.OLD): totals[row, Side.OLD].plus(old),
            (row, Side.NEW): totals[row, Side.NEW].plus(new),
        }
        history.append(totals)
    return history


def test_a_version_as_good_as_the_old_one_is_not_condemned():
    assert not is_condemned(
        repeated_answers(tally(90, 13), tally(10, 1), evaluations=40)
    )


def test_a_version_that_fails_more_often_is_condemned():
    assert is_condemned(repeated_answers(tally(90, 1), tally(10, 4)))


def test_a_version_that_is_several_times_slower_is_condemned():
    assert is_condemned(repeated_answers(tally(90), tally(10, took_ms=300)))
    assert not is_condemned(
        repeated_answers(tally(90), tally(10, took_ms=130), evaluations=40)
    )


def test_a_fault_of_both_versions_does_not_condemn_the_new_one():
    history = repeated_answers(tally(90, 1), tally(10, 0))
    last = history[-1]
    for _ in range(5):
        last = {
            (0, Side.OLD): last[0, Side.OLD].plus(tally(90, 60)),
            (0, Side.NEW): last[0, Side.NEW].plus(tally(10, 7)),
        }
        history.append(last)
    assert not is_condemned(history)


def test_a_fault_that_begins_late_is_found_as_quickly():
    evaluations = repeated_answers(tally(90, 1), tally(10, 0), evaluations=100)
    last = evaluations[-1]
    for _ in range(6):
        last = {
            (0, Side.OLD): last[0, Side.OLD].plus(tally(90, 1)),
            (0, Side.NEW): last[0, Side.NEW].plus(tally(10, 5)),
        }
        evaluations.append(last)
    assert is_condemned(evaluations)


# The conductor.


def make_conductor() -> Conductor:
    return Conductor(ORDER, position_at(7), BOUNDS, 0.0)


def send_report(
    conductor: Conductor,
    now_ms: float,
    old: Tally,
    new: Tally,
    phase: Phase = Phase.TRYING,
    sender: str = "i0",
    old_runs: int = 0,
) -> None:
    rows = (((0, Side.OLD), old), ((0, Side.NEW), new))
    conductor.add_report(
        RolloutReport(
            sender, "p", "v2", position_at(7), phase, now_ms, 1, old_runs, rows
        ),
        now_ms,
    )


def test_a_good_version_is_completed_when_old_runs_have_finished_or_time_is_over():
    conductor = make_conductor()
    for second in range(8):
        now_ms = second * 1_000.0
        send_report(conductor, now_ms, tally(90 * second), tally(10 * second))
        conductor.evaluate(now_ms, leading=True, has_new=True)
    assert conductor.phase is Phase.CLOSING
    send_report(conductor, 8_000, tally(700), tally(90), Phase.CLOSING, old_runs=2)
    assert conductor.desired_state(8_000, ["i0"]) is RolloutState.RUNNING
    send_report(conductor, 9_000, tally(700), tally(90), Phase.CLOSING)
    assert conductor.desired_state(9_000, ["i0"]) is RolloutState.COMPLETED
    assert conductor.desired_state(9_000, ["i0", "i1"]) is RolloutState.RUNNING, (
        "i1 has sent no report"
    )
    assert conductor.desired_state(11_500, ["i0", "i1"]) is RolloutState.COMPLETED, (
        "time is over"
    )
    conductor.state_written(RolloutState.COMPLETED)
    assert conductor.phase is Phase.COMPLETED


def test_the_second_conductor_only_rolls_back():
    conductor = make_conductor()
    conductor.evaluate(11_900, leading=False, has_new=True)
    assert conductor.phase is Phase.TRYING
    send_report(conductor, 11_950, tally(90), tally(30, 25))
    conductor.evaluate(11_960, leading=False, has_new=True)
    assert conductor.phase is Phase.ROLLED_BACK


def test_a_version_without_endpoints_is_rolled_back_at_the_end_of_its_time():
    conductor = make_conductor()
    conductor.evaluate(10_000, leading=True, has_new=False)
    assert conductor.phase is Phase.TRYING
    conductor.evaluate(11_500, leading=True, has_new=False)
    assert conductor.phase is Phase.ROLLED_BACK
    assert conductor.reason == "no_endpoints"


def test_a_recorded_completion_overrides_a_rollback_and_stands():
    conductor = make_conductor()
    send_report(conductor, 100, tally(90), tally(30, 25))
    conductor.evaluate(100, leading=True, has_new=True)
    assert conductor.phase is Phase.ROLLED_BACK
    conductor.adopt_final_state(RolloutState.COMPLETED)
    assert conductor.phase is Phase.COMPLETED, "the old endpoints have stopped by now"
    conductor.adopt_final_state(RolloutState.ROLLED_BACK)
    assert conductor.phase is Phase.COMPLETED


def test_a_replacing_conductor_learns_the_elapsed_time_from_reports():
    conductor = Conductor(ORDER, position_at(7), BOUNDS, began_ms=8_000.0)
    message = RolloutReport(
        "i0", "p", "v2", position_at(7), Phase.TRYING, 7_500.0, 1, 0, ()
    )
    conductor.add_report(message, 8_100.0)
    conductor.evaluate(8_100.0, leading=True, has_new=True)
    assert conductor.phase is Phase.CLOSING


@pytest.mark.parametrize("requests", [0, 6, 200, 1_200, 20_000, 400_000])
def test_the_share_keeps_the_bound_at_all_times_with_a_margin_for_variation(requests):
    """The bound applies to the requests so far, at any time. A random number of
    requests exceeds 3.7 standard deviations with a probability of about 10^-4."""
    conductor = make_conductor()
    exposed = seen = 0.0
    for tick in range(24):
        now_ms = tick * 500.0
        conductor.evaluate(now_ms, leading=True, has_new=True)
        if conductor.phase is not Phase.TRYING:
            break
        share = conductor.decision("i0", now_ms).share
        seen += requests / 24
        exposed += share * requests / 24
        margin = 3.7 * exposed**0.5
        assert exposed + margin <= BOUNDS.share * seen + BOUNDS.slack
        send_report(conductor, now_ms, tally(int(seen - exposed)), tally(int(exposed)))
    assert conductor.phase is Phase.CLOSING

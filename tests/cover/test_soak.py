"""The soak's schedules repeat, and its checks find what they are there for."""

from pathlib import Path

import pytest

from soak import _logs
from soak._bounds import Bounds
from soak._checks import CHECKS, check
from soak._leaving_checks import starts_once_told
from soak._leavings import draw_leavings
from soak._records import (
    CallKind,
    CallRecord,
    Crash,
    EndpointChosen,
    EndpointTold,
    Evidence,
    GatewayFault,
    KeyRevoked,
    LimitNamed,
    RequestBarred,
    ServerArrival,
    ServerFault,
    ServerLeft,
    ServerListed,
    ServerReached,
    ServerRun,
    StoreFault,
)
from soak._schedule import (
    LEAVINGS,
    SILENCES,
    Fault,
    FaultKind,
    draw,
    read_schedule,
    write_schedule,
)

PROMISES = Path(__file__).parents[2] / "docs" / "PROMISES.md"
BOUNDS = Bounds(3.0, 2.0, 3.0, 8.0, 0.8, 2.0, 10.0)


def whole_answer(request_id: str, sent_s: float, key: str = "k") -> CallRecord:
    body = f"s4 {request_id}".encode()
    return CallRecord(
        CallKind.ONCE, request_id, 0, key, sent_s, sent_s, 200, True, "sig-s4", body
    )


def sound() -> Evidence:
    """A call and a stream, as they should be."""
    stream = CallRecord(CallKind.STREAM, "r2", 0, "k", 2.0, 4.0, 200, True, "sig-s1")
    stream.wanted = 5
    stream.events = [1, 2, 3, 4, 5]
    return Evidence(
        [whole_answer("r1", 1.0), stream],
        [ServerRun("s4", "r1", 1.0, False), ServerRun("s1", "r2", 2.0, False)],
        reached=[ServerReached(4, "s4", "r1", 1.0), ServerReached(1, "s1", "r2", 2.0)],
        whole_again_s=[0.5, 0.7],
    )


def lose_an_event(seen: Evidence) -> None:
    del seen.calls[1].events[2]


def end_early_and_look_whole(seen: Evidence) -> None:
    seen.calls[1].events.pop()


def cross_answers(seen: Evidence) -> None:
    seen.calls[0].body = b"s4 r9"


def serve_nothing_without_servers(seen: Evidence) -> None:
    seen.server_cuts.append(GatewayFault(1, 100.0, 110.0))
    for number in range(20):
        served = whole_answer(f"o{number}", 104.0 + number / 10)
        seen.calls.append(served)
        seen.runs.append(ServerRun("s4", served.request_id, served.sent_s, False))
        refused = CallRecord(CallKind.ONCE, f"c{number}", 1, "k", served.sent_s)
        refused.status = 503
        seen.calls.append(refused)


def run_twice(seen: Evidence) -> None:
    seen.runs.append(ServerRun("s5", "r1", 1.2, False))


def refuse_what_ran(seen: Evidence) -> None:
    seen.calls[0].status = 503


def take_an_old_key(seen: Evidence) -> None:
    seen.revoked.append(KeyRevoked("k", -2.5))


def send_to_who_left(seen: Evidence) -> None:
    seen.left.append(ServerLeft("s1", -0.5))


def send_to_who_was_told_to_leave(seen: Evidence) -> None:
    """The store is away all the while; the sender had logged the leaving before."""
    seen.store_faults.append(StoreFault(9.0, 20.0))
    seen.left.append(ServerLeft("s1", 10.0))
    seen.told.append(EndpointTold("g0-1", "s1", 10.5))
    seen.chosen.append(EndpointChosen("g0-1", "r2", "s1"))
    seen.arrivals.append(ServerArrival("s1", "r2", 12.6))


def send_though_answers_were_lost(seen: Evidence) -> None:
    """The sender's connections lost their answers, and it isn't told for long."""
    seen.link_faults.append(GatewayFault(0, 10.0, 10.0))
    seen.left.append(ServerLeft("s1", 10.5))
    seen.chosen.append(EndpointChosen("g0-1", "r2", "s1"))
    seen.arrivals.append(ServerArrival("s1", "r2", 13.5))


def leave_a_sound_server_unused(seen: Evidence) -> None:
    seen.listed += [ServerListed(name, "engines", 0.0) for name in ("s1", "s2")]
    seen.arrivals += [ServerArrival("s1", "r2", 3 + n / 10) for n in range(80)]


def repeat_too_often(seen: Evidence) -> None:
    again = [ServerRun("s1", "r2", 2.0 + each / 10, False) for each in range(1, 5)]
    seen.runs += again


def guilty(request_id: str) -> CallRecord:
    call = CallRecord(CallKind.AGAIN, request_id, 1, "k", 9.0, 9.1)
    call.guilty = "guilty0"
    return call


def send_on_what_ends_servers(seen: Evidence) -> None:
    for number in range(7):
        seen.crashes.append(Crash("s4", "/again/guilty0/x", 2.0 + number))
        seen.calls.append(guilty(f"g{number}"))
        seen.runs.append(ServerRun("s4", f"g{number}", 7.1 + number / 10, False))


def pass_a_limit(seen: Evidence) -> None:
    """Nine requests in 4 s, where a limit of 0.5 a second allows eight."""
    seen.limits.append(LimitNamed(frozenset({"s1"}), 0.5, 10.0, 20.0))
    seen.arrivals += [
        ServerArrival("s1", "r2", at_s)
        for at_s in (10.0, *(12 + n / 5 for n in range(9)))
    ]


def bar_an_innocent(seen: Evidence) -> None:
    call = seen.calls[0]
    seen.runs.clear()
    call.status, call.body = 503, b"request_stops_engines"


def bar_for_a_silence(seen: Evidence) -> None:
    """The first of the servers that the bar names had ended, the second hadn't."""
    seen.reached.append(ServerReached(0, "s0-2", "r3", 2.5))
    seen.server_faults.append(ServerFault(0, 2.5, 3.5))
    seen.barred.append(RequestBarred("g1-1", "f", ("s0-2", "s1"), 3.0))


def close_without_a_byte(seen: Evidence) -> None:
    call = seen.calls[0]
    call.status, call.whole, call.any_byte = 0, False, False


def end_a_call_early(seen: Evidence) -> None:
    seen.calls[0].whole, seen.calls[0].body = False, b"s4"


def outlast_a_limit(seen: Evidence) -> None:
    seen.calls[0].limit_s, seen.calls[0].ended_s = 4.0, 5.6


def cut_a_stream(seen: Evidence) -> None:
    seen.calls[1].whole = False
    seen.calls[1].events.pop()


def show_a_key(seen: Evidence) -> None:
    seen.runs.append(ServerRun("s1", "r3", 2.0, True))


def stay_away(seen: Evidence) -> None:
    seen.whole_again_s[1] = None


def grow(seen: Evidence) -> None:
    seen.memory_mb = 500.0


def break_an_invariant(seen: Evidence) -> None:
    seen.broken_invariants.append("g1.log: Traceback")


BREAKS = {
    lose_an_event: "events once, in order, from one run",
    end_early_and_look_whole: "events once, in order, from one run",
    cross_answers: "no answer of another request, none that looks whole and isn't",
    run_twice: 'at most once, and "not run" only if true',
    refuse_what_ran: 'at most once, and "not run" only if true',
    take_an_old_key: "keys end in time on every instance",
    serve_nothing_without_servers: (
        "an instance without links to servers serves its callers"
    ),
    send_to_who_left: "a leaving server gets nothing new",
    send_to_who_was_told_to_leave: "a leaving server gets nothing new",
    send_though_answers_were_lost: "a leaving server gets nothing new",
    leave_a_sound_server_unused: (
        "a server whose row lapses with the store stays in use"
    ),
    repeat_too_often: "repeats within a shared budget",
    send_on_what_ends_servers: (
        "a request that ends its servers reaches few more, and no other is barred"
    ),
    pass_a_limit: "a server that names a limit gets no more",
    bar_an_innocent: (
        "a request that ends its servers reaches few more, and no other is barred"
    ),
    bar_for_a_silence: (
        "a request that ends its servers reaches few more, and no other is barred"
    ),
    close_without_a_byte: (
        "a request that was passed on ends with an answer or a refusal"
    ),
    end_a_call_early: "a request that was passed on ends with an answer or a refusal",
    outlast_a_limit: "a final answer at the route's timeout",
    cut_a_stream: "a silence of sound servers cuts no stream",
    show_a_key: "a server gets the request as it came",
    stay_away: "back after all instances died",
    grow: "memory, descriptors and logs are bounded",
    break_an_invariant: "only broken invariants stop a task, and none breaks",
}


def test_what_is_sound_breaks_nothing():
    assert check(sound(), BOUNDS) == []


def test_a_stream_asked_for_after_its_last_event_is_whole_with_none():
    seen = sound()
    seen.calls[1].resumed_from = 5
    seen.calls[1].events = []
    assert check(seen, BOUNDS) == []


def test_word_that_a_server_leaves_binds_while_the_store_is_sound():
    seen = sound()
    send_to_who_left(seen)
    seen.store_faults.append(StoreFault(-9.0, -4.0))
    assert len(check(seen, BOUNDS)) == 1, "the store had been sound for three seconds"
    seen.store_faults.append(StoreFault(0.0, 1.0))
    assert check(seen, BOUNDS) == []


def test_word_that_a_server_leaves_binds_who_reaches_the_store():
    seen = sound()
    send_to_who_left(seen)
    seen.link_faults.append(GatewayFault(1, -2.0, 2.0))
    assert len(check(seen, BOUNDS)) == 1, "another gateway's link"
    seen.link_faults.append(GatewayFault(0, -2.0, 2.0))
    assert check(seen, BOUNDS) == []


@pytest.mark.parametrize(
    ("told", "at_s", "found"),
    [
        (EndpointTold("g0-1", "s1", 10.5), 12.4, 0),
        (EndpointTold("g0-1", "s1", 9.0), 12.6, 0),
        (EndpointTold("g1-2", "s1", 10.5), 12.6, 0),
        (EndpointTold("g0-1", "s2", 10.5), 12.6, 0),
        (EndpointTold("g0-1", "s1", 9.98), 12.6, 1),
    ],
    ids=["in time", "lapsed before", "another", "another server", "as it left"],
)
def test_an_instance_is_bound_from_when_it_was_told_of_a_leaving(told, at_s, found):
    seen = sound()
    send_to_who_was_told_to_leave(seen)
    seen.told = [told]
    seen.arrivals = [ServerArrival("s1", "r2", at_s)]
    assert len(check(seen, BOUNDS)) == found


def test_of_two_instances_that_sent_a_request_the_later_told_counts():
    seen = sound()
    send_to_who_was_told_to_leave(seen)
    (late,) = starts_once_told(seen)
    assert (late.sender, round(late.after_s, 2)) == ("g0-1", 2.1)
    seen.chosen.append(EndpointChosen("g1-2", "r2", "s1"))
    assert starts_once_told(seen) == []
    seen.told.append(EndpointTold("g1-2", "s1", 12.5))
    (late,) = starts_once_told(seen)
    assert (late.sender, round(late.after_s, 2)) == ("g1-2", 0.1)


@pytest.mark.parametrize(
    ("spoil", "found"),
    [
        (lambda seen: None, 1),
        (lambda seen: seen.link_faults.append(GatewayFault(0, 10.6, 10.6)), 0),
        (lambda seen: seen.link_faults.append(GatewayFault(1, 10.6, 10.6)), 1),
        (lambda seen: seen.gateway_faults.append(GatewayFault(0, 11.0, 11.5)), 0),
        (lambda seen: seen.store_faults.append(StoreFault(7.4, 7.6)), 0),
        (lambda seen: seen.store_faults.append(StoreFault(7.2, 7.4)), 1),
        (lambda seen: seen.store_faults.append(StoreFault(12.0, 12.1)), 0),
        (lambda seen: seen.chosen.append(EndpointChosen("g2-3", "r2", "s1")), 1),
    ],
    ids=[
        "lost answers",
        "lost again",
        "another's lost again",
        "killed",
        "the store away shortly before",
        "the store away before",
        "the store away after",
        "passed on",
    ],
)
def test_lost_answers_excuse_a_gateway_until_it_is_in_touch_again(spoil, found):
    seen = sound()
    send_though_answers_were_lost(seen)
    spoil(seen)
    assert len(check(seen, BOUNDS)) == found


@pytest.mark.parametrize(
    ("spoil", "found"),
    [
        (lambda seen: seen.left.append(ServerLeft("s2", 10.9)), 0),
        (lambda seen: seen.arrivals.insert(40, ServerArrival("s2", "r1", 7.0)), 0),
        (lambda seen: seen.store_faults.append(StoreFault(0.0, 2.0)), 0),
        (lambda seen: None, 1),
    ],
    ids=["it leaves", "it is used", "its row is news", "it idles"],
)
def test_a_sound_server_that_is_known_gets_its_part(spoil, found):
    seen = sound()
    leave_a_sound_server_unused(seen)
    spoil(seen)
    assert len(check(seen, BOUNDS)) == found


@pytest.mark.parametrize(("until_s", "found"), [(0.9, 0), (1.1, 1)])
def test_a_key_ends_until_it_is_given_again(until_s, found):
    seen = sound()
    seen.calls[1].key = "other"
    seen.revoked.append(KeyRevoked("k", -2.5, until_s))
    assert len(check(seen, BOUNDS)) == found


def test_sends_of_a_gateway_that_was_away_are_not_counted():
    """By the users' rule only machines in touch are bound."""
    seen = sound()
    send_on_what_ends_servers(seen)
    assert len(check(seen, BOUNDS)) == 1
    seen.gateway_faults.append(GatewayFault(1, 3.0, 6.0))
    assert check(seen, BOUNDS) == []


@pytest.mark.parametrize(("begun_s", "found"), [(0.0, 1), (9.9, 1), (10.1, 0)])
def test_requests_count_against_a_limit_once_it_has_been_named_for_a_while(
    begun_s, found
):
    """The first answer that names it is that at 10 s, or the next at 12 s."""
    seen = sound()
    pass_a_limit(seen)
    seen.limits = [LimitNamed(frozenset({"s1"}), 0.5, begun_s, 20.0)]
    assert len(check(seen, BOUNDS)) == found


def test_a_request_that_was_not_passed_on_may_cross_an_idle_close():
    seen = sound()
    close_without_a_byte(seen)
    del seen.reached[0]
    seen.runs.clear()
    assert check(seen, BOUNDS) == []


@pytest.mark.parametrize("spoil", [close_without_a_byte, cut_a_stream])
def test_what_a_caller_itself_gave_up_is_not_counted(spoil):
    seen = sound()
    spoil(seen)
    for call in seen.calls:
        call.timed_out = True
    assert check(seen, BOUNDS) == []


@pytest.mark.parametrize("spoil", [close_without_a_byte, cut_a_stream])
@pytest.mark.parametrize(
    ("gateway", "begun_s", "ended_s", "found"),
    [
        (0, 0.5, 4.5, 0),
        (1, 0.5, 4.5, 1),
        (0, -4.0, -2.1, 1),
        (0, -4.0, -1.9, 0),
        (0, 4.1, 5.0, 1),
    ],
    ids=["away", "another", "long before", "shortly before", "after"],
)
def test_the_end_of_a_gateway_excuses_what_was_open_there(
    spoil, gateway, begun_s, ended_s, found
):
    """A gateway is in touch again some time after it came back."""
    seen = sound()
    spoil(seen)
    for call in seen.calls:
        call.sent_s, call.ended_s = 1.0, 4.0
    seen.gateway_outages.append(GatewayFault(gateway, begun_s, ended_s))
    assert len(check(seen, BOUNDS)) == found


@pytest.mark.parametrize("spoil", [close_without_a_byte, cut_a_stream])
@pytest.mark.parametrize(("begun_s", "found"), [(-1.9, 1), (-2.1, 0)])
def test_a_planned_stop_excuses_nothing_within_its_grace_period(spoil, begun_s, found):
    seen = sound()
    spoil(seen)
    for call in seen.calls:
        call.sent_s, call.ended_s = 1.0, 4.0
    seen.gateway_stops.append(GatewayFault(0, begun_s, 4.5))
    assert len(check(seen, BOUNDS)) == found


@pytest.mark.parametrize(
    ("ended_s", "outage_s", "found"), [(5.4, 9.0, 0), (5.6, 9.0, 1), (5.6, 3.0, 0)]
)
def test_a_request_is_late_some_time_after_its_limit(ended_s, outage_s, found):
    seen = sound()
    outlast_a_limit(seen)
    seen.calls[0].ended_s = ended_s
    seen.gateway_outages.append(GatewayFault(0, outage_s, outage_s + 1))
    assert len(check(seen, BOUNDS)) == found


def test_a_stream_that_reached_its_time_limit_may_be_cut():
    seen = sound()
    cut_a_stream(seen)
    seen.calls[1].limit_s = 2.1
    assert len(check(seen, BOUNDS)) == 1
    seen.calls[1].limit_s = 2.0
    assert check(seen, BOUNDS) == []


@pytest.mark.parametrize(
    ("address", "ended_s", "found"), [(1, 2.5, 0), (0, 2.5, 1), (1, -1.1, 1)]
)
def test_a_stream_may_be_cut_under_a_fault_of_a_server_of_its_own(
    address, ended_s, found
):
    seen = sound()
    cut_a_stream(seen)
    seen.server_faults.append(ServerFault(address, -2.0, ended_s))
    assert len(check(seen, BOUNDS)) == found


def test_a_stream_may_be_cut_where_its_gateway_lost_its_links_to_servers():
    seen = sound()
    cut_a_stream(seen)
    seen.server_cuts.append(GatewayFault(1, 0.0, 2.5))
    assert len(check(seen, BOUNDS)) == 1
    seen.server_cuts.append(GatewayFault(0, 0.0, 2.5))
    assert check(seen, BOUNDS) == []


def test_a_bar_is_read_from_a_log_with_the_servers_that_it_names():
    lines = [
        "listening 1 2 3",
        "time=1970-01-01T00:01:40.500Z level=WARNING instance=g0-1 "
        "event=request_barred fingerprint=f1 endpoints=s0,s1-2/3,s2",
        "time=1970-01-01T00:01:41.000Z level=INFO instance=g0-1 event=reloaded",
    ]
    bar = RequestBarred("g0-1", "f1", ("s0", "s1-2", "s2"), 60.5)
    assert _logs.bars("g0-1", lines, 40.0) == [bar]


def test_leavings_and_choices_are_read_from_a_log():
    lines = [
        "time=1970-01-01T00:01:40.500Z level=INFO instance=g0-1 "
        "event=endpoint_missing endpoint=s0 moment=1.2 source=store",
        "time=1970-01-01T00:01:41.000Z level=INFO instance=g0-1 "
        "event=endpoint_chosen request=c1-1 endpoint=s2 way=whole",
        "time=1970-01-01T00:01:42.000Z level=INFO instance=g0-1 "
        "event=endpoint_answers endpoint=s2 after_ms=3",
    ]
    assert _logs.told("g0-1", lines, 40.0) == [EndpointTold("g0-1", "s0", 60.5)]
    assert _logs.choices("g0-1", lines) == [EndpointChosen("g0-1", "c1-1", "s2")]


@pytest.mark.parametrize("spoil", BREAKS, ids=lambda each: each.__name__)
def test_each_break_is_found_and_named(spoil):
    seen = sound()
    spoil(seen)
    assert BREAKS[spoil] in {each.promise for each in check(seen, BOUNDS)}


def test_each_promise_has_a_break_that_shows_it():
    assert set(BREAKS.values()) == set(CHECKS)


@pytest.mark.parametrize("promise", CHECKS)
def test_each_check_is_a_line_of_the_page(promise):
    assert promise in PROMISES.read_text()


def test_a_seed_draws_the_same_schedule_again(tmp_path):
    first = draw(5, 60.0, 3, 3, 3)
    assert draw(5, 60.0, 3, 3, 3) == first
    assert draw(6, 60.0, 3, 3, 3) != first
    write_schedule(first, tmp_path / "s.json")
    assert read_schedule(tmp_path / "s.json") == first


def test_a_long_schedule_has_every_kind_and_ends_before_its_callers():
    schedule = draw(1, 90.0, 3, 3, 3)
    assert {each.kind for each in schedule.faults} == set(FaultKind) - LEAVINGS
    assert all(each.end_s <= 82.1 for each in schedule.faults)
    assert len(schedule.without(0).faults) == len(schedule.faults) - 1


def test_a_schedule_of_leavings_repeats_and_has_each_kind_of_them(tmp_path):
    schedule = draw_leavings(3, 120.0)
    assert draw_leavings(3, 120.0) == schedule != draw_leavings(4, 120.0)
    assert {each.kind for each in schedule.faults} > LEAVINGS
    assert all(each.end_s <= 114.1 for each in schedule.faults)
    write_schedule(schedule, tmp_path / "s.json")
    assert read_schedule(tmp_path / "s.json") == schedule


@pytest.mark.parametrize("seed", range(5))
def test_a_server_that_leaves_has_no_other_fault_and_half_of_its_pool_stays(seed):
    schedule = draw_leavings(seed, 120.0)
    kinds = (FaultKind.SERVER_LEAVES, FaultKind.SERVER_GONE)
    leavings = [each for each in schedule.faults if each.kind in kinds]
    lapses = [each for each in schedule.faults if each.kind is FaultKind.ROW_LAPSES]
    for each in leavings:
        others = [x for x in leavings if x is not each and _overlap(x, each)]
        assert each.target not in {x.target for x in others}
        begun = [x for x in others if x.at_s <= each.at_s]
        pool = [x for x in begun if x.target // 6 == each.target // 6]
        assert len(pool) < 3
    assert not any(
        _overlap(lapse, each) and lapse.target == each.target
        for lapse in lapses
        for each in leavings
    )


def _overlap(one: Fault, other: Fault) -> bool:
    return one.at_s <= other.end_s and other.at_s <= one.end_s


def test_silences_are_as_long_as_those_of_sound_servers():
    faults = draw(1, 300.0, 3, 3, 3).faults
    lengths_s = [each.for_s for each in faults if each.kind in SILENCES]
    assert len(lengths_s) > 8
    assert 0.3 <= min(lengths_s) < max(lengths_s) <= 1.9


def test_a_schedule_that_lacks_a_field_is_told_so(tmp_path):
    file = tmp_path / "s.json"
    file.write_text('{"seconds": 30, "seed": 1, "faults": []}')
    with pytest.raises(ValueError, match="gateways"):
        read_schedule(file)

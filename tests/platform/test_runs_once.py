"""Relayed requests that may run once, beside a member that stands still."""

import signal
import time
from collections.abc import Iterator

import pytest

from standins.site import wait_until
from tests.platform.site import configuration, events, read, route, running_gateway
from tests.platform.test_cut_from_servers import CutGroup
from tests.platform.test_relay import CUT, MEMBERS, cut_off

ROUTE_TIMEOUT_MS = 20_000
# The longest that machines of the users' sites stand still.
FREEZE_S = 3.5


@pytest.fixture(scope="module")
def group() -> Iterator[CutGroup]:
    """A group whose first instance reaches no server, and has its part of retries."""
    with running_gateway(servers=9, engines=3) as site:
        limits = {"max-attempts": 5, "timeout-ms": ROUTE_TIMEOUT_MS}
        site.version += 1
        changed = configuration(site.version)
        changed["routes"] += [
            route("stream-once", "streaming", "engines", **limits),
            route("whole-once", "non_idempotent", "plain", **limits),
        ]
        changed["routes"][0]["timeout-ms"] = ROUTE_TIMEOUT_MS
        site.put([("op", "config", changed)])
        group = CutGroup(site)
        cut_off(group, CUT)
        # An instance has its whole part of the retries after a window of 10 s.
        time.sleep(10.5)
        yield group


def relay(group: CutGroup, path: str):
    """Send a request to the cut instance; returns it and the member that serves it."""
    connection, request_id = group.site.open(
        path, b"x", port=group.ports[CUT][0], deadline_ms=str(ROUTE_TIMEOUT_MS)
    )
    wait_until(lambda: group.site.ran(request_id), "it runs", 5)
    time.sleep(0.3)
    chosen = f"endpoint_chosen request={request_id} "
    member = next(number for number in MEMBERS if chosen in group.log(number))
    return connection, request_id, group.processes[member]


def wait_for_members(group: CutGroup) -> None:
    """Wait until no member is suspected any more."""
    for number in (CUT, *MEMBERS):
        group.wait_ready(number)
    time.sleep(1.0)


def test_a_relayed_stream_that_may_run_once_survives_a_pause_of_its_member(group):
    """It ran twice, and its caller got an answer joined from both (review/4)."""
    connection, request_id, member = relay(group, "/stream-once/250")
    member.send_signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    member.send_signal(signal.SIGCONT)
    answer = read(connection)
    assert len(group.site.ran(request_id)) == 1
    assert (answer.status, answer.body, answer.whole) == (200, events(250), True)
    wait_for_members(group)


def test_a_relayed_stream_that_may_be_resumed_goes_on_beside_a_member_that_pauses(
    group,
):
    """What holds a request that may run once back doesn't hold this one."""
    connection, request_id, member = relay(group, "/stream/250")
    member.send_signal(signal.SIGSTOP)
    wait_until(lambda: len(group.site.ran(request_id)) > 1, "it goes on elsewhere", 4)
    member.send_signal(signal.SIGCONT)
    answer = read(connection)
    assert (answer.status, answer.body, answer.whole) == (200, events(250), True)
    wait_for_members(group)


def test_a_relayed_stream_that_may_run_once_ends_after_its_member_has(group):
    """It isn't begun anew, and its caller isn't kept waiting to its deadline."""
    began_s = time.monotonic()
    connection, request_id, member = relay(group, "/stream-once/400")
    member.send_signal(signal.SIGSTOP)
    answer = read(connection)
    took_s = time.monotonic() - began_s
    member.send_signal(signal.SIGCONT)
    assert len(group.site.ran(request_id)) == 1
    assert (answer.status, answer.whole) == (200, False)
    assert took_s < ROUTE_TIMEOUT_MS / 1000 / 2
    wait_until(lambda: request_id not in group.site.open_runs(), "its run ends", 5)
    wait_for_members(group)


def test_a_relayed_call_that_may_run_once_ends_after_its_member_has(group):
    """Its caller was kept waiting to its deadline for a 504."""
    for number in range(3, 9):
        group.site.faults(f"s{number}", delay_ms=ROUTE_TIMEOUT_MS)
    began_s = time.monotonic()
    connection, request_id, member = relay(group, "/whole-once/x")
    member.send_signal(signal.SIGSTOP)
    answer = read(connection)
    took_s = time.monotonic() - began_s
    member.send_signal(signal.SIGCONT)
    runs = len(group.site.ran(request_id))
    group.site.forget()
    assert (answer.status, runs) == (502, 1)
    assert took_s < ROUTE_TIMEOUT_MS / 1000 / 2
    wait_for_members(group)


def test_a_relayed_call_that_may_run_once_survives_a_pause_of_its_member(group):
    for number in range(3, 9):
        group.site.faults(f"s{number}", delay_ms=5_000)
    connection, request_id, member = relay(group, "/whole-once/x")
    member.send_signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    member.send_signal(signal.SIGCONT)
    answer = read(connection)
    runs = len(group.site.ran(request_id))
    group.site.forget()
    assert (answer.status, answer.whole, runs) == (200, True, 1)
    wait_for_members(group)

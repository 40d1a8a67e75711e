"""Streams that have begun are not cut while their time lasts: they wait and go on."""

import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection

import pytest

from standins.site import wait_until
from tests.platform.site import (
    Answer,
    GatewaySite,
    configuration,
    events,
    read,
    running_gateway,
)

ENGINES = ("s0", "s1", "s2")
EVENTS = 60
FAULTY_EVENT = 50
STREAMS = 9
TIMEOUT_MS = 15_000
PREEMPTED_MS = 1_500
# One retry for each two and a half streams.
SOME_RETRIES = {"ratio": 1.0, "slack": 0}
NO_RETRIES = {"ratio": 0.0, "slack": 0}


@pytest.fixture
def site():
    with running_gateway() as running:
        config = configuration(2)
        config["routes"][0]["timeout-ms"] = TIMEOUT_MS
        running.put([("op", "config", config)])
        yield running


def open_stream(site: GatewaySite, port: int) -> tuple[HTTPConnection, str]:
    """Open a stream, and wait until it runs."""
    opened = site.open(f"/stream/{EVENTS}", deadline_ms=str(TIMEOUT_MS), port=port)
    wait_until(lambda: site.ran(opened[1]), "the stream runs")
    return opened


def open_streams(site: GatewaySite, port: int, count: int) -> dict[str, HTTPConnection]:
    opened = [open_stream(site, port) for _ in range(count)]
    return {request_id: connection for connection, request_id in opened}


def answers(opened: dict[str, HTTPConnection]) -> dict[str, Answer]:
    with ThreadPoolExecutor(len(opened)) as readers:
        return dict(zip(opened, readers.map(read, opened.values()), strict=True))


def read_beside_others(
    site: GatewaySite, connection: HTTPConnection, port: int, others: int
) -> Answer:
    """Read a stream while other requests come, which earn retries."""
    with ThreadPoolExecutor(1) as reader:
        answer = reader.submit(read, connection)
        for _ in range(others):
            site.ask("/stream/2", port=port)
        return answer.result()


def cut(ended: dict[str, Answer]) -> list[str]:
    return [each for each, answer in ended.items() if answer.body != events(EVENTS)]


def wait_for_log(site: GatewaySite, name: str, text: str) -> None:
    wait_until(lambda: text in site.log(name), f"{name} logs {text}")


def test_preempted_runs_at_full_servers_are_neither_cut_nor_given_up(site):
    """A sound server's report doesn't list a run that waits for memory."""
    for name in ENGINES:
        site.faults(
            name, preempt_at=FAULTY_EVENT, preempts=9, preempted_ms=PREEMPTED_MS
        )
    ports = site.start_gateway("g2", retries=SOME_RETRIES)
    opened = open_streams(site, ports[0], STREAMS)
    for name in ENGINES:
        site.faults(
            name,
            preempt_at=FAULTY_EVENT,
            preempts=9,
            preempted_ms=PREEMPTED_MS,
            full=True,
        )
    ended = answers(opened)
    assert cut(ended) == []
    assert [each for each in ended if len(site.ran(each)) > 1] == []


def test_a_stream_of_a_mute_server_without_a_retry_waits_until_one_is_earned(site):
    """It was cut after two seconds, with most of its time left."""
    for name in ENGINES:
        site.faults(name, mute_at=FAULTY_EVENT, mutes=1)
    ports = site.start_gateway("g2", retries=SOME_RETRIES)
    connection, request_id = open_stream(site, ports[0])
    wait_for_log(site, "g2", "run_kept")
    time.sleep(2.5)
    for name in ENGINES:
        site.faults(name)
    assert read_beside_others(site, connection, ports[0], 3).body == events(EVENTS)
    assert len(site.ran(request_id)) == 2


def test_a_begun_stream_of_a_crashed_server_waits_for_a_retry(site):
    """It was cut at once, with all of its time left."""
    ports = site.start_gateway("g2", retries=SOME_RETRIES)
    for name in ENGINES:
        site.faults(name, cut_at=FAULTY_EVENT)
    connection, request_id = open_stream(site, ports[0])
    wait_for_log(site, "g2", "run_lost")
    for name in ENGINES:
        site.faults(name)
    assert read_beside_others(site, connection, ports[0], 3).body == events(EVENTS)
    assert ["kv-from" in run["headers"] for run in site.ran(request_id)] == [
        False,
        True,
    ]


def test_a_begun_stream_without_any_retry_waits_until_its_deadline(site):
    ports = site.start_gateway("g2", retries=NO_RETRIES)
    for name in ENGINES:
        site.faults(name, cut_at=FAULTY_EVENT)
    connection, _ = site.open(f"/stream/{EVENTS}", deadline_ms="3000", port=ports[0])
    began_s = time.monotonic()
    answer = read(connection)
    assert answer.body == events(FAULTY_EVENT - 1) and not answer.whole
    assert 2.8 <= time.monotonic() - began_s <= 3.5
    (end,) = [line for line in site.log("g2").splitlines() if "request_ended" in line]
    assert "outcome=timeout" in end and "waited_for=retry_budget" in end


def test_a_begun_stream_whose_tries_are_refused_waits_for_a_place(site):
    """Refusals cost all of its retries within some milliseconds, and it was cut."""
    ports = site.start_gateway("g2", retries={"ratio": 12.0, "slack": 0})
    for name in ENGINES:
        site.faults(name, cut_at=FAULTY_EVENT)
    connection, request_id = open_stream(site, ports[0])
    for name in ENGINES:
        site.faults(name, cut_at=FAULTY_EVENT, full=True)
    wait_for_log(site, "g2", "run_lost")
    time.sleep(0.3)
    refused = site.log("g2").count("outcome=refused")
    assert 2 <= refused <= 4
    time.sleep(1.2)
    for name in ENGINES:
        site.faults(name)
    assert read_beside_others(site, connection, ports[0], 1).body == events(EVENTS)
    assert len(site.ran(request_id)) == 2


def test_a_begun_stream_goes_on_after_a_final_response_to_its_continuation(site):
    """A response to the continuation alone ended the stream."""
    ports = site.start_gateway("g2", retries={"ratio": 12.0, "slack": 0})
    for name in ENGINES:
        site.faults(name, cut_at=FAULTY_EVENT, rejects_resumed=1)
    connection, request_id = open_stream(site, ports[0])
    wait_for_log(site, "g2", "run_lost")
    for name in ENGINES[1:]:
        site.faults(name)
    assert read(connection).body == events(EVENTS)
    assert len(site.ran(request_id)) > 1


def test_a_refused_copy_leaves_the_run_that_it_should_have_replaced(site):
    """The run was cancelled before its successor had been taken on."""
    ports = site.start_gateway("g2", retries={"ratio": 12.0, "slack": 0})
    for name in ENGINES:
        site.faults(name, preempt_at=FAULTY_EVENT, preempts=1, preempted_ms=3_500)
    connection, request_id = open_stream(site, ports[0])
    for name in ENGINES:
        site.faults(
            name, preempt_at=FAULTY_EVENT, preempts=1, preempted_ms=3_500, full=True
        )
    assert read(connection).body == events(EVENTS)
    assert len(site.ran(request_id)) == 1


def test_a_preempted_run_goes_on_from_its_copy_where_nothing_is_queued(site):
    """It would have waited for memory for seconds, beyond the gap that is in time."""
    ports = site.start_gateway("g2", retries={"ratio": 12.0, "slack": 0})
    for name in ENGINES:
        site.faults(name, preempt_at=FAULTY_EVENT, preempts=1, preempted_ms=3_500)
    connection, request_id = open_stream(site, ports[0])
    (run,) = site.ran(request_id)
    for name in set(ENGINES) - {run["server"]}:
        site.faults(name)
    began_s = time.monotonic()
    assert read(connection).body == events(EVENTS)
    assert time.monotonic() - began_s < 3.0
    assert ["kv-from" in run["headers"] for run in site.ran(request_id)] == [
        False,
        True,
    ]


def test_a_begun_stream_waits_on_the_last_run_that_its_route_allows(site):
    """It was cut, with all of its time left, while its endpoints said nothing."""
    config = configuration(3)
    config["routes"][0] |= {"timeout-ms": TIMEOUT_MS, "max-attempts": 2}
    site.put([("op", "config", config)])
    wait_for_log(site, "g1", "configuration_applied version=3")
    muted = {"mute_at": FAULTY_EVENT, "mutes": 1}
    for name in ENGINES:
        site.faults(name, **muted)
    connection, request_id = open_stream(site, site.ports[0])
    (run,) = site.ran(request_id)
    for name in ENGINES:
        site.faults(
            name, hang=9, hang_ms=6_000, **(muted if name == run["server"] else {})
        )
    assert read(connection).body == events(EVENTS)
    assert len(site.ran(request_id)) == 2

"""Each stream ends at its request's deadline, whatever state it is in."""

import signal
import time
from collections.abc import Callable

import pytest

from standins.site import wait_until
from tests.platform.site import (
    Answer,
    GatewaySite,
    configuration,
    events,
    read,
    route,
    running_gateway,
)

TIMEOUT_S = 1.5
# The users' bound on the time from a route's timeout to the final answer.
LATE_S = 0.5
ENGINES = ("s0", "s1", "s2")


def configured(site: GatewaySite) -> None:
    """Add a stream route that isn't resumable and one that is, with short timeouts."""
    site.version += 1
    config = configuration(site.version)
    brief = {"timeout-ms": 1000 * TIMEOUT_S}
    config["routes"] += [
        route("stream-once", "streaming", "engines", **brief, **{"max-attempts": 1}),
        route("stream-brief", "streaming", "engines", resumable=True, **brief),
    ]
    site.put([("op", "config", config)])

    def applied() -> bool:
        paths = ("/stream-once/1", "/stream-brief/1")
        return all(site.ask(path).status == 200 for path in paths)

    wait_until(applied, "the routes are known")


@pytest.fixture(scope="module")
def shared_site():
    with running_gateway() as site:
        configured(site)
        yield site


@pytest.fixture
def site(shared_site):
    shared_site.forget()
    yield shared_site
    shared_site.forget()


def timed(ask: Callable[[], Answer]) -> tuple[Answer, float]:
    began_s = time.monotonic()
    return ask(), time.monotonic() - began_s


def assert_ended_at(took_s: float, timeout_s: float) -> None:
    assert timeout_s - 0.05 <= took_s <= timeout_s + LATE_S


def assert_engines_stopped(site: GatewaySite) -> None:
    wait_until(lambda: site.open_runs() == [], "the engines have no run left", 1)


def test_a_stream_that_is_not_resumable_is_cut_at_its_timeout_if_its_server_is_dark(
    site,
):
    """No timer was left after the first event: such a stream never ended."""
    for name in ENGINES:
        site.faults(name, dark_at=3)
    answer, took_s = timed(lambda: site.ask("/stream-once/8", deadline_ms="9000"))
    assert (answer.status, answer.body, answer.whole) == (200, events(2), False)
    assert_ended_at(took_s, TIMEOUT_S)
    assert_engines_stopped(site)


def test_a_resumable_stream_waits_until_its_timeout_for_servers_that_are_dark(site):
    for name in ENGINES:
        site.faults(name, dark_at=3)
    answer, took_s = timed(lambda: site.ask("/stream-brief/8", deadline_ms="9000"))
    assert (answer.status, answer.body, answer.whole) == (200, events(2), False)
    assert_ended_at(took_s, TIMEOUT_S)
    assert_engines_stopped(site)


@pytest.mark.parametrize("path", ["/stream-once/400", "/stream-brief/400"])
def test_a_stream_whose_events_go_on_is_cut_at_its_timeout(site, path):
    answer, took_s = timed(lambda: site.ask(path, deadline_ms="9000"))
    assert answer.status == 200 and not answer.whole
    assert_ended_at(took_s, TIMEOUT_S)
    assert_engines_stopped(site)


def test_a_stream_without_a_head_gets_504_at_its_timeout(site):
    for name in ENGINES:
        site.faults(name, mute=1)
    answer, took_s = timed(lambda: site.ask("/stream-once/8", deadline_ms="9000"))
    assert (answer.status, answer.whole) == (504, True)
    assert_ended_at(took_s, TIMEOUT_S)
    assert_engines_stopped(site)


def test_a_callers_own_deadline_ends_a_stream_before_its_timeout(site):
    for name in ENGINES:
        site.faults(name, dark_at=3)
    answer, took_s = timed(lambda: site.ask("/stream-once/8", deadline_ms="700"))
    assert (answer.body, answer.whole) == (events(2), False)
    assert_ended_at(took_s, 0.7)


def test_a_stream_ends_soon_after_its_process_was_suspended_past_the_timeout(site):
    for name in ENGINES:
        site.faults(name, dark_at=3)
    process = site.processes[1]
    connection, _ = site.open("/stream-once/8", deadline_ms="9000")
    time.sleep(0.3)
    process.send_signal(signal.SIGSTOP)
    try:
        time.sleep(TIMEOUT_S + 1)
    finally:
        process.send_signal(signal.SIGCONT)
    answer, took_s = timed(lambda: read(connection))
    assert (answer.body, answer.whole) == (events(2), False)
    assert took_s <= LATE_S

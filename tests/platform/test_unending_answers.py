"""Bytes without end in place of an answer cost one exchange, not its instance."""

import re
import threading
import time
from contextlib import ExitStack

import pytest
from attrs import frozen

from coursekeel.settings import AnswerSettings
from standins.site import wait_until
from tests.platform.site import (
    Answer,
    GatewaySite,
    configuration,
    read,
    route,
    running_gateway,
)
from tests.platform.unending import UnendingServer, unending_server

MAX_BODY_BYTES = AnswerSettings().max_body_bytes
# What the users' machines can spare: they have 200 MB and more.
MAX_GROWTH_BYTES = 64 << 20
# A connection that carries no answer is closed within a second of that being plain; the
# stand-in of such a server needs 0.4 s to send the longest answer that is allowed.
MAX_KEPT_S = 1.5
REQUESTS = 16
MAX_ROUNDS = 10

HEADS = ("header_lines", "one_header_line", "interim_answers", "no_protocol")
BODIES = ("chunks", "chunk_extensions", "huge_length", "until_closed", "failure_body")
EVENTS = ("data_line", "data_lines", "comment", "no_text")


@frozen
class Asked:
    """What a caller got, and after how long."""

    answer: Answer
    took_s: float


@pytest.fixture
def site():
    with running_gateway(servers=9, engines=5) as site:
        more = [
            route("again8", "idempotent", "plain", **{"timeout-ms": 8_000}),
            route("once8", "non_idempotent", "plain", **{"timeout-ms": 8_000}),
        ]
        wide = configuration(2)
        wide["routes"] += more
        site.put([("op", "config", wide)])
        wait_until(
            lambda: site.ask("/again8/1").status == 200, "the routes are in force"
        )
        yield site


def list_server(
    site: GatewaySite, server: UnendingServer, service: str, identity: str = "u0"
) -> None:
    row = {
        "service": service,
        "address": server.address,
        "zone": "ikeja",
        "slots": 8,
        "state": "ready",
        "version": "v1",
    }
    site.put([("servers", identity, row)])
    time.sleep(0.5)


def ask_until_reached(
    site: GatewaySite, server: UnendingServer, path: str
) -> list[Asked]:
    """Send requests until the server has got some; returns all answers."""
    asked: list[Asked] = []
    for _ in range(MAX_ROUNDS):
        asked += ask_at_once(site, path)
        if server.exchanges:
            break
    assert server.exchanges, "no request reached the server"
    return asked


def ask_at_once(
    site: GatewaySite, path: str, count: int = REQUESTS, body: bytes = b"prompt"
) -> list[Asked]:
    """Send requests at the same moment, and return their answers."""
    asked: list[Asked] = []

    def ask() -> None:
        began_s = time.monotonic()
        connection, _ = site.open(path, body, deadline_ms="20000")
        answer = read(connection)
        asked.append(Asked(answer, time.monotonic() - began_s))

    threads = [threading.Thread(target=ask) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return asked


def set_answer_bytes(site: GatewaySite, more_bytes: int) -> None:
    """Let all services send answers of some bytes more."""
    for name in ("s5", "s6", "s7", "s8"):
        site.faults(name, more_bytes=more_bytes)


def peak_bytes(site: GatewaySite) -> float:
    return metric(site, "coursekeel_memory_bytes")


def metric(site: GatewaySite, name: str) -> float:
    values = re.findall(rf"^{name}(?:{{[^}}]*}})? ([\d.e+]+)$", site.metrics(), re.M)
    return sum(float(value) for value in values)


def assert_bounded(site: GatewaySite, server: UnendingServer, before: float) -> None:
    longest = max(server.exchanges, key=lambda each: each.kept_s)
    assert longest.kept_s < MAX_KEPT_S, longest
    assert peak_bytes(site) - before < MAX_GROWTH_BYTES


def ask_beside_unending(
    site: GatewaySite, kind: str, service: str, path: str
) -> tuple[UnendingServer, list[Asked]]:
    """Send requests while one server of their service sends bytes without end."""
    with unending_server(kind) as server:
        list_server(site, server, service)
        before = peak_bytes(site)
        asked = ask_until_reached(site, server, path)
        assert_bounded(site, server, before)
    return server, asked


@pytest.mark.parametrize("kind", HEADS + BODIES)
def test_answers_without_end_are_replaced_where_they_may_be_repeated(site, kind):
    _, asked = ask_beside_unending(site, kind, "plain", "/again8/1")
    assert {each.answer.status for each in asked} == {200}
    assert max(each.took_s for each in asked) < 2 * MAX_KEPT_S


@pytest.mark.parametrize("kind", HEADS + BODIES)
def test_answers_without_end_fail_at_once_where_they_may_not_be_repeated(site, kind):
    server, asked = ask_beside_unending(site, kind, "plain", "/once8/1")
    failed = [each for each in asked if each.answer.status != 200]
    assert len(failed) == len(server.exchanges)
    assert {each.answer.status for each in failed} == {502}
    assert max(each.took_s for each in asked) < 2 * MAX_KEPT_S


@pytest.mark.parametrize("kind", (*HEADS, "failure_body", *EVENTS))
def test_streams_without_end_of_an_event_go_on_elsewhere(site, kind):
    _, asked = ask_beside_unending(site, kind, "engines", "/stream/20")
    assert {each.answer.status for each in asked} == {200}
    assert all(each.answer.whole for each in asked)


def test_an_answer_as_long_as_the_bound_is_passed_on_whole(site):
    set_answer_bytes(site, MAX_BODY_BYTES - 100)
    answer = site.ask("/again8/1")
    assert (answer.status, answer.whole) == (200, True)
    assert MAX_BODY_BYTES - 100 < len(answer.body) <= MAX_BODY_BYTES
    assert metric(site, "coursekeel_responses_overrun") == 0


def test_a_longer_answer_is_refused_logged_and_counted(site):
    set_answer_bytes(site, MAX_BODY_BYTES)
    assert site.ask("/once8/1").status == 502
    assert metric(site, "coursekeel_responses_overrun") == 1
    line = next(each for each in site.log().splitlines() if "response_overrun" in each)
    assert "reason=body_too_large" in line


def test_reports_without_end_cost_no_stream(site):
    _, asked = ask_beside_unending(site, "report", "engines", "/stream/20")
    assert all(each.answer.whole for each in asked if each.answer.status == 200)


def test_many_answers_without_end_at_once_are_bounded_in_sum(site):
    with ExitStack() as servers:
        kinds = [servers.enter_context(unending_server("chunks")) for _ in range(4)]
        for number, server in enumerate(kinds):
            list_server(site, server, "plain", f"u{number}")
        before = peak_bytes(site)
        asked = ask_at_once(site, "/once8/1", count=60)
        assert peak_bytes(site) - before < MAX_GROWTH_BYTES
    assert {each.answer.status for each in asked} == {200, 502}
    assert max(each.took_s for each in asked) < 4 * MAX_KEPT_S


def test_callers_that_read_nothing_are_bounded_in_sum_and_others_are_served(site):
    set_answer_bytes(site, 4_000_000)
    before = peak_bytes(site)
    unread = []
    for _ in range(20):
        connection, _ = site.open("/again8/1", deadline_ms="20000")
        unread.append(connection)
        time.sleep(0.05)
    time.sleep(1.0)
    answers = [site.ask("/again8/1") for _ in range(3)]
    assert peak_bytes(site) - before < MAX_GROWTH_BYTES
    assert [(each.status, each.whole) for each in answers] == [(200, True)] * 3
    assert metric(site, "coursekeel_replies_dropped") > 0
    for connection in unread:
        connection.close()


def test_callers_that_read_large_answers_at_the_same_time_get_them_whole(site):
    set_answer_bytes(site, 4_000_000)
    asked = ask_at_once(site, "/again8/1")
    assert [each.answer.whole for each in asked] == [True] * REQUESTS
    assert {each.answer.status for each in asked} == {200}


def allow_large_bodies(site: GatewaySite) -> bytes:
    """Configure a larger limit on requests' bodies; returns a body of that size."""
    large = configuration(3)
    large["limits"] = {"max-body-bytes": 4_000_000}
    site.put([("op", "config", large)])
    body = b"x" * 4_000_000
    wait_until(lambda: site.ask("/open/1", body).status == 200, "the limit is in force")
    return body


@pytest.mark.parametrize("path", ["/again/1", "/stream/2"])
def test_large_requests_one_after_the_other_leave_no_memory_behind(site, path):
    body = allow_large_bodies(site)
    before = peak_bytes(site)
    answers = [site.ask(path, body) for _ in range(24)]
    assert {each.status for each in answers} == {200}
    assert peak_bytes(site) - before < MAX_GROWTH_BYTES


def test_large_requests_at_the_same_time_are_bounded_in_sum(site):
    large = configuration(3)
    large["limits"] = {"max-body-bytes": 4_000_000}
    site.put([("op", "config", large)])
    body = b"x" * 4_000_000
    wait_until(lambda: site.ask("/open/1", body).status == 200, "the limit is in force")
    before = peak_bytes(site)
    asked = ask_at_once(site, "/again/1", count=40, body=body)
    assert peak_bytes(site) - before < MAX_GROWTH_BYTES
    refused = [each.answer for each in asked if each.answer.status != 200]
    assert {each.status for each in refused} <= {503}
    assert all(float(each.headers["retry-after"]) > 0 for each in refused)
    assert len(refused) < len(asked)
    assert site.ask("/again/1", body).status == 200

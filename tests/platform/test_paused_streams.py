"""Streams of sound servers that pause are neither cut nor run twice."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.platform.site import Answer, GatewaySite, events, read, running_gateway

PAUSE_MS = 400
EVENTS = 6
ENGINES = ("s0", "s1", "s2")


@pytest.fixture
def site():
    with running_gateway() as running:
        yield running


def ask_at_once(site: GatewaySite, streams: int, port: int) -> dict[str, Answer]:
    """Return the answers of streams that are open at the same time, by request id."""
    opened = [
        site.open(f"/stream/{EVENTS}", deadline_ms="15000", port=port)
        for _ in range(streams)
    ]
    with ThreadPoolExecutor(streams) as readers:
        answers = list(readers.map(read, [connection for connection, _ in opened]))
    return dict(zip([request_id for _, request_id in opened], answers, strict=True))


def whole(answer: Answer) -> bool:
    return answer.whole and (answer.status, answer.body) == (200, events(EVENTS))


def test_streams_of_a_gateway_just_started_survive_a_pause_of_all_servers(site):
    """A gateway cut streams at the first pause: it took it for a loss, unasked."""
    for name in ENGINES:
        site.faults(name, gap_ms=PAUSE_MS)
    ports = site.start_gateway("g2", retries={"ratio": 0.1, "slack": 0})
    answers = ask_at_once(site, 18, ports[0])
    assert [each for each in answers.values() if not whole(each)] == []
    assert [each for each in answers if len(site.ran(each)) > 1] == []


def test_pauses_leave_the_retries_to_the_streams_of_a_dark_server(site):
    """Pausing streams spent the retries that lost ones needed."""
    ports = site.start_gateway("g2", retries={"ratio": 0.0, "slack": 200})
    site.faults("s0", dark_at=2)
    for name in ENGINES[1:]:
        site.faults(name, gap_ms=PAUSE_MS)
    answers = ask_at_once(site, 12, ports[0])
    assert [each for each in answers.values() if not whole(each)] == []
    runs = {each: [run["server"] for run in site.ran(each)] for each in answers}
    lost = [servers for servers in runs.values() if servers[0] == "s0"]
    assert lost and all(len(servers) == 2 for servers in lost)
    assert all(len(each) == 1 for each in runs.values() if each not in lost)

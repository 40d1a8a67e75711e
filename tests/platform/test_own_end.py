"""A gateway that ends itself finishes what is open, and its log says why it ended."""

import signal

import pytest

from tests.platform.site import GatewaySite, events, running_gateway

STREAMS = 6
LAST_EVENT = 60
EXIT_CODE = 70
PROGRAM = ("-m", "tests.common.broken_gateway")


@pytest.fixture(scope="module")
def site():
    with running_gateway() as site:
        yield site


@pytest.mark.parametrize("where", ["callback", "task"])
def test_a_broken_invariant_cuts_no_open_request_of_its_instance(
    site: GatewaySite, where, monkeypatch
):
    monkeypatch.setenv("COURSEKEEL_BREAKS_IN", where)
    name = f"broken-in-{where}"
    ports = site.start_gateway(name, program=PROGRAM)
    gateway = site.processes[-1]
    opened = [
        site.open(f"/stream/{LAST_EVENT}", b"prompt", port=ports[0])[0]
        for _ in range(STREAMS)
    ]
    responses = [connection.getresponse() for connection in opened]
    for response in responses:
        response.read(1)
    gateway.send_signal(signal.SIGUSR1)
    answers = [response.read() for response in responses]
    assert [len(each) + 1 for each in answers] == [len(events(LAST_EVENT))] * STREAMS
    assert gateway.wait(timeout=10) == EXIT_CODE
    last_line = site.log(name).splitlines()[-1]
    assert f"event=process_ended cause=invariant_broken exit_code={EXIT_CODE}" in (
        last_line
    )

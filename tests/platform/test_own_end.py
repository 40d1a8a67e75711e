"""A gateway that ends itself finishes what is open, and its log says why it ended."""

import os
import signal
import subprocess
import sys

import orjson
import pytest

from tests.platform.site import ROOT, GatewaySite, events, running_gateway

STREAMS = 6
LAST_EVENT = 60
EXIT_CODE = 70
EXIT_START_FAILED = 71
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


def test_a_gateway_whose_address_is_taken_ends_with_an_error(site: GatewaySite):
    """It went on running, served nothing and took part in its group."""
    settings = orjson.loads((site.folder / "g1.json").read_bytes())
    settings["listen"]["callers"] = f"127.0.0.1:{site.ports[0]}"
    settings_file = site.folder / "second.json"
    settings_file.write_bytes(orjson.dumps(settings))
    second = subprocess.run(
        [sys.executable, "platform/serve.py"],
        cwd=ROOT,
        env=os.environ | {"COURSEKEEL_SETTINGS": str(settings_file)},
        capture_output=True,
        text=True,
        timeout=15,
    )
    assert second.returncode == EXIT_START_FAILED
    assert "event=process_ended cause=start_failed" in second.stdout
    assert site.ask("/again/1").status == 200

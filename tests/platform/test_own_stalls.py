"""A gateway that stands still for a moment blames no server for it."""

import os
import signal
import threading
import time

import pytest

from tests.platform.site import Answer, GatewaySite, read, running_gateway

STREAMS = 16
# Longer than a server has for its report, a connection has to be made, and a new
# request may wait.
STALL_S = 0.4
STALLS = 8
# Until a stall begins, so that they fall on different steps of the requests.
STEP_S = 0.004


@pytest.fixture
def site():
    with running_gateway(revoke_ms=5_000) as gateway_site:
        yield gateway_site


def ask_beside_a_stall(site: GatewaySite, begins_after_s: float) -> list[Answer]:
    """Send streams, let the gateway's process stand still; returns the answers."""
    answers: list[Answer] = []

    def ask() -> None:
        connection, _ = site.open("/stream/2")
        answers.append(read(connection))

    threads = [threading.Thread(target=ask) for _ in range(STREAMS)]
    for thread in threads:
        thread.start()
    time.sleep(begins_after_s)
    gateway = site.processes[-1].pid
    os.kill(gateway, signal.SIGSTOP)
    time.sleep(STALL_S)
    os.kill(gateway, signal.SIGCONT)
    for thread in threads:
        thread.join()
    return answers


def test_a_stall_of_the_gateway_refuses_no_stream(site):
    answers = [
        answer
        for number in range(STALLS)
        for answer in ask_beside_a_stall(site, number * STEP_S)
    ]
    assert {(answer.status, answer.whole) for answer in answers} == {(200, True)}
    assert "pool_unreached" not in site.log()

"""A request crashes the worker of each server that runs it, behind a front that lives.

The server goes on answering reports. All its runs are cut, and new ones for 1.5 s.
"""

import threading
import time

import pytest

from tests.platform.site import GatewaySite, read, running_gateway
from tests.platform.test_group import GroupSite

CRASHING_BODY = b"ends its worker"
PLAY_S = 15.0
# How long after the third crash the request may still arrive, and how often later.
CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
MIN_OTHERS_SERVED = 0.95


@pytest.fixture(scope="module")
def group():
    with running_gateway(servers=30, engines=15) as site:
        yield GroupSite(site)


class Play:
    """Sends the crashing request to each instance in turn, beside other requests."""

    def __init__(self, group: GroupSite, path: str, body: bytes) -> None:
        self.site: GatewaySite = group.site
        self.ports = [group.ports[f"m{number}"][0] for number in (1, 2, 3)]
        self.path, self.body = path, body
        self.served: list[bool] = []
        self.until_s = time.monotonic() + PLAY_S
        for number in range(len(self.site.server_ports)):
            self.site.faults(
                f"s{number}", crashed_by=body.decode(), down_s=1.5, front_lives=True
            )

    def run(self) -> None:
        threads = [threading.Thread(target=self.send_crashing)]
        threads += [
            threading.Thread(target=self.send_others, args=(number,))
            for number in range(6)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def send_crashing(self) -> None:
        turn = 0
        while time.monotonic() < self.until_s:
            port = self.ports[turn % 3]
            threading.Thread(target=self.send, args=(port, self.body)).start()
            turn += 1
            time.sleep(0.8)

    def send_others(self, number: int) -> None:
        turn = number
        while time.monotonic() < self.until_s:
            body = b"other %d" % (turn * 6 + number)
            answer = self.send(self.ports[turn % 3], body)
            self.served.append(
                answer is not None and answer.status == 200 and answer.whole
            )
            turn += 1
            time.sleep(0.1)

    def send(self, port: int, body: bytes):
        try:
            connection, _ = self.site.open(self.path, body, port=port)
            return read(connection)
        except OSError:
            return None

    def arrivals_s(self) -> list[float]:
        servers = self.site.control.get("/servers").values()
        runs = [run for state in servers for run in state["ran"]]
        body = self.body.decode()
        return sorted(run["at_s"] for run in runs if run["body"] == body)

    @property
    def worker_crashes(self) -> int:
        servers = self.site.control.get("/servers").values()
        return sum(state["worker_crashes"] for state in servers)


@pytest.mark.parametrize("path", ["/again/worker", "/stream/20"])
def test_a_request_that_crashes_workers_is_barred(group, path):
    """Guards against crashes that aren't counted because the endpoint answers."""
    play = Play(group, path, CRASHING_BODY + path.encode())
    play.run()
    arrivals_s = play.arrivals_s()
    late = [at_s for at_s in arrivals_s[3:] if at_s > arrivals_s[2] + CONTACT_S]
    served = sum(play.served) / len(play.served)
    report = (len(arrivals_s), len(late), play.worker_crashes, len(play.served))
    assert len(late) <= MAX_LATE_ARRIVALS, (report, served)
    assert served >= MIN_OTHERS_SERVED, (report, served)

"""Gateways whose links to all servers are cut, while everything else reaches them."""

import threading
import time
from collections.abc import Iterator
from itertools import count

import orjson
import pytest

from standins.site import wait_until
from tests.platform.site import GatewaySite, free_port, read, running_gateway

# `contact-ms` of the sites: from then on first tries at cut instances count.
CONTACT_S = 3.0
CUT_S = 8.0
PER_S = 8.0
KINDS = ("/again/x", "/once/x", "/stream/3")
MEMBERS = (1, 2, 3)


class CutGroup:
    """Three gateways before nine servers, each with links that can be cut."""

    def __init__(self, site: GatewaySite, **timers: float) -> None:
        self.site = site
        self.timers = timers
        self.peer_port = free_port("127.0.0.11")
        self.ports: dict[int, list[int]] = {}
        self.processes = {}
        for number in MEMBERS:
            self.start(number)
        for number in MEMBERS:
            self.wait_ready(number)

    def start(self, number: int) -> None:
        name = f"m{number}"
        self.ports[number] = self.site.start_gateway(
            name,
            wait=False,
            listen={"peers": self.address(number)},
            seeds=[self.address(1), self.address(2)],
            program=("-m", "tests.common.faulted_gateway"),
            cut_file=str(self._cut_file(number)),
            **self.timers,
        )
        self.processes[number] = self.site.processes[-1]

    def wait_ready(self, number: int) -> None:
        def knows_all() -> bool:
            _, page = self.site._raw(self.ports[number][2], "/metrics")
            return b"\ncoursekeel_members 3" in page

        wait_until(lambda: self.site.ready(self.ports[number]), "it is ready", 30)
        wait_until(knows_all, f"m{number} has three members", 30)

    def address(self, number: int) -> str:
        return f"127.0.0.{10 + number}:{self.peer_port}"

    def _cut_file(self, number: int):
        return self.site.folder / f"cut-{number}.json"

    def cut(self, numbers: tuple[int, ...], how: str) -> None:
        state = orjson.dumps({"how": how, "ports": self.site.server_ports})
        for number in numbers:
            new = self._cut_file(number).with_suffix(".new")
            new.write_bytes(state)
            new.rename(self._cut_file(number))

    def log(self, number: int) -> str:
        return self.site.log(f"m{number}")


class FirstTries:
    """Callers that send each member requests of all kinds in turn, and never repeat.

    ``tries`` has a row for each: member, kind, start and end in s, status (0 without an
    answer), and whether the answer is whole.
    """

    def __init__(self, group: CutGroup, members: tuple[int, ...] = MEMBERS) -> None:
        self.group, self.members = group, members
        self.tries: list[tuple[int, str, float, float, int, bool]] = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_all, args=(member,))
            for member in members
        ]
        self._sends: list[threading.Thread] = []

    def __enter__(self) -> "FirstTries":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in [*self._threads, *self._sends]:
            thread.join()

    def _send_all(self, member: int) -> None:
        for number in count():
            if self._stop.wait(1 / PER_S):
                return
            kind = KINDS[number % len(KINDS)]
            send = threading.Thread(target=self._send, args=(member, kind))
            self._sends.append(send)
            send.start()

    def _send(self, member: int, kind: str) -> None:
        started_s = time.monotonic()
        status, whole = 0, False
        try:
            port = self.group.ports[member][0]
            connection, _ = self.group.site.open(kind, b"x", port=port)
            answer = read(connection)
            status, whole = answer.status, answer.whole
        except OSError:
            pass
        ended_s = time.monotonic()
        self.tries.append((member, kind, started_s, ended_s, status, whole))

    def between(self, members: tuple[int, ...], from_s: float, to_s: float) -> list:
        return [t for t in self.tries if t[0] in members and from_s <= t[2] < to_s]


def served(tries: list) -> int:
    return sum(status == 200 and whole for *_, status, whole in tries)


@pytest.fixture(scope="module")
def group() -> Iterator[CutGroup]:
    with running_gateway(servers=9, engines=3) as site:
        yield CutGroup(site)


@pytest.mark.parametrize("how", ["hang", "reset", "live"])
def test_instances_cut_off_from_all_servers_serve_first_tries(group, how):
    """The users' rule: two thirds as often as the others, or few failures."""
    cut_members, others = (1, 2), (3,)
    with FirstTries(group) as callers:
        time.sleep(1.0)
        group.cut(cut_members, how)
        cut_s = time.monotonic()
        time.sleep(CUT_S)
        group.cut(cut_members, "")
        healed_s = time.monotonic()
        time.sleep(CONTACT_S + 2.0)
    at_cut = callers.between(cut_members, cut_s + CONTACT_S, healed_s)
    at_others = callers.between(others, cut_s + CONTACT_S, healed_s)
    later = callers.between(MEMBERS, healed_s + CONTACT_S, time.monotonic())
    share, usual = served(at_cut) / len(at_cut), served(at_others) / len(at_others)
    failed = len(at_cut) - served(at_cut)
    outcomes = sorted((kind, status) for _, kind, _, _, status, _ in at_cut)
    allowed = 10 + (len(at_cut) + len(at_others)) / 50
    assert share >= usual * 2 / 3 or failed <= allowed, (share, usual, outcomes)
    assert served(later) == len(later), [t for t in later if t[4] != 200]


def test_refusals_are_immediate_while_all_instances_are_cut_off(group):
    with FirstTries(group) as callers:
        group.cut(MEMBERS, "hang")
        cut_s = time.monotonic()
        time.sleep(CONTACT_S + 4.0)
        group.cut(MEMBERS, "")
        healed_s = time.monotonic()
        time.sleep(CONTACT_S + 2.0)
    refused = callers.between(MEMBERS, cut_s + CONTACT_S, healed_s - 1.0)
    slow = [t for t in refused if t[3] - t[2] > 1.0]
    assert {t[4] for t in refused} == {503}
    assert not slow, slow
    later = callers.between(MEMBERS, healed_s + CONTACT_S, time.monotonic())
    assert served(later) == len(later), [t for t in later if t[4] != 200]

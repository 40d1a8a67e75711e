"""Prompts that share a part under which servers crash, whatever else they hold."""

import itertools
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from tests.platform.site import read, running_gateway
from tests.platform.test_group import GroupSite

# `contact-ms` of the sites: arrivals count from so long after the fifth crash.
CONTACT_S = 3.0
CRASHES, MORE_ARRIVALS = 5, 3
FIRST_PART, DEAD_PART = "5c1e07a2", "dead0001"
SERVERS = 18
_NUMBERS = itertools.count(1)


@pytest.fixture(scope="module")
def group():
    with running_gateway(servers=SERVERS, engines=9) as site:
        yield GroupSite(site)


class Callers:
    """Callers of prompts that hold the given shared parts and a last one of their own.

    ``results`` has for each request when it was sent, and whether it was served.
    """

    def __init__(self, group: GroupSite, path: str, parts: tuple[str, ...]) -> None:
        self.group, self.path, self.parts = group, path, parts
        self.results: list[tuple[float, bool]] = []
        self.request_ids: list[str] = []

    @contextmanager
    def sending(self, per_s: float) -> Iterator[None]:
        stop, sends = threading.Event(), []

        def send_all() -> None:
            while not stop.wait(1 / per_s):
                sends.append(threading.Thread(target=self._send))
                sends[-1].start()

        sender = threading.Thread(target=send_all)
        sender.start()
        try:
            yield
        finally:
            stop.set()
            for thread in (sender, *sends):
                thread.join()

    def _send(self) -> None:
        number = next(_NUMBERS)
        parts = ",".join(f"{part}:40" for part in (*self.parts, f"{number:08x}"))
        port = self.group.ports[f"m{1 + number % 3}"][0]
        sent_s = time.monotonic()
        served = False
        try:
            connection, request_id = self.group.site.open(
                self.path, b"%d" % number, port=port, prefix_hash=parts, model="m"
            )
            self.request_ids.append(request_id)
            answer = read(connection)
            served = answer.status == 200 and answer.whole
        except OSError:
            pass
        self.results.append((sent_s, served))

    def served_share(self, from_s: float, to_s: float) -> float:
        inside = [ok for sent_s, ok in self.results if from_s <= sent_s < to_s]
        return sum(inside) / len(inside)


def states(group: GroupSite) -> list[dict]:
    return list(group.site.control.get("/servers").values())


def play(
    group: GroupSite, path: str, sound_per_s: float, then: Callable[[], None]
) -> tuple[Callers, Callers, float]:
    """Send sound prompts, and after a while also such with the part that crashes."""
    group.site.forget()
    for number in range(SERVERS):
        group.site.faults(f"s{number}", crashed_by_part=DEAD_PART, down_s=3.0)
    sound = Callers(group, path, (FIRST_PART, "0b0b0b0b"))
    guilty = Callers(group, path, (FIRST_PART, DEAD_PART))
    with sound.sending(sound_per_s):
        time.sleep(4.0)
        begun_s = time.monotonic()
        with guilty.sending(2.0):
            then()
    return sound, guilty, begun_s


def crash_times(group: GroupSite) -> list[float]:
    return sorted(x["at_s"] for s in states(group) for x in s["crashed"])


@pytest.mark.parametrize(
    ("path", "sound_per_s"), [("/stream/20", 9.0), ("/again/parts", 24.0)]
)
def test_a_part_under_which_servers_crash_reaches_few_more(group, path, sound_per_s):
    crashed_before = len(crash_times(group))
    sound, guilty, begun_s = play(group, path, sound_per_s, lambda: time.sleep(16.0))
    ended_s = time.monotonic()
    crashes = crash_times(group)[crashed_before:]
    fifth_s = crashes[min(len(crashes), CRASHES) - 1]
    ids = set(guilty.request_ids)
    late = [
        arrival
        for state in states(group)
        for arrival in state["arrived"]
        if arrival["request_id"] in ids and arrival["at_s"] > fifth_s + CONTACT_S
    ]
    usual = sound.served_share(0.0, begun_s)
    then = sound.served_share(fifth_s + 2 * CONTACT_S, ended_s)
    assert len(late) <= MORE_ARRIVALS, (len(crashes), len(late))
    assert then >= usual / 2, (usual, then)
    group.site.forget()
    time.sleep(3.5)

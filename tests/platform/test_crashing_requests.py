"""A request that crashes every server that starts to run it is barred at all instances.

A retry comes under a new id and possibly at another instance, so counting attempts per
id does not stop it.
"""

from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import pytest

from standins.site import wait_until
from tests.platform.site import read, running_gateway
from tests.platform.test_group import GroupSite

# How many servers a request may still reach after its third crash.
MAX_SENDS_AFTER_THIRD_CRASH = 3
# `contact-ms` of the sites: the time for a strike to reach all connected instances.
CONTACT_S = 3
CRASHING_BODY = b"ends its server"
# How many crashes a request may cause before all instances bar it: three, and three
# more while they exchange their records.
MAX_CRASHES = 6


@pytest.fixture(scope="module")
def group():
    with running_gateway() as site:
        yield GroupSite(site)


@pytest.fixture(scope="module")
def large_group():
    """Three gateways before three engines and nine plain servers."""
    with running_gateway(servers=12) as site:
        yield GroupSite(site)


class CrashingRequest:
    """Sends a request under new ids; counts the servers that it reaches or crashes."""

    def __init__(self, group: GroupSite, path: str, body: bytes, **faults) -> None:
        self.group, self.path, self.body = group, path, body
        servers = len(group.site.server_ports)
        self.numbers = range(3) if path.startswith("/stream") else range(3, servers)
        self.initial_crashes = self.count("crashes")
        self.initial_barred = {member: self.barred(member) for member in (1, 2, 3)}
        for number in self.numbers:
            text = body.decode()
            group.site.faults(f"s{number}", crashed_by=text, down_s=0.5, **faults)

    def count(self, field: str) -> int:
        servers = self.group.site.control.get("/servers")
        values = [servers[f"s{number}"][field] for number in self.numbers]
        if field == "crashes":
            return sum(values)
        return sum(run["body"] == self.body.decode() for runs in values for run in runs)

    @property
    def crashes(self) -> int:
        return self.count("crashes") - self.initial_crashes

    def send(self, member: int, **headers):
        port = self.group.ports[f"m{member}"][0]
        connection, _ = self.group.site.open(self.path, self.body, port=port, **headers)
        try:
            return read(connection)
        except OSError:
            return None

    def send_until_third_crash(self) -> None:
        for turn in range(30):
            if self.crashes >= 3:
                return
            self.send(1 + turn % 3)
            self.wait_until_servers_return()
        raise AssertionError(f"got {self.crashes} crashes, expected 3")

    def send_at_once(self, members: list[int]) -> list:
        """Send one request to each of these members at the same moment."""
        with ThreadPoolExecutor(len(members)) as pool:
            return list(pool.map(self.send, members))

    def wait_until_barred(self) -> None:
        """Wait until all instances bar the request."""
        for member in (1, 2, 3):
            wait_until(
                lambda n=member: self.barred(n) > self.initial_barred[n],
                f"m{member} bars it",
                CONTACT_S,
            )

    def barred(self, member: int) -> float:
        return self.group.metric(member, "coursekeel_barred_requests")

    def wait_until_servers_return(self) -> None:
        wait_until(lambda: self.group.ask(1) == 200, "plain servers serve")
        wait_until(
            lambda: self.group.ask(1, "/stream/3", body=b"innocent") == 200,
            "engines serve",
        )


@pytest.mark.parametrize("path", ["/stream/20", "/again/guilty"])
def test_after_three_crashes_a_request_reaches_few_more_servers(group, path):
    """The request is sent under new ids, to each instance in turn."""
    crashing = CrashingRequest(group, path, CRASHING_BODY + path.encode())
    crashing.send_until_third_crash()
    sent_before = crashing.count("ran")
    for turn in range(9):
        crashing.send(1 + turn % 3)
        crashing.wait_until_servers_return()
    assert crashing.count("ran") - sent_before <= MAX_SENDS_AFTER_THIRD_CRASH


@pytest.mark.parametrize("path", ["/stream/21", "/again/refused"])
def test_every_instance_refuses_a_barred_request_without_running_it(group, path):
    crashing = CrashingRequest(group, path, CRASHING_BODY + path.encode())
    crashing.send_until_third_crash()
    crashing.wait_until_barred()
    sent_before = crashing.count("ran")
    for member in (1, 2, 3):
        answer = crashing.send(member)
        assert (answer.status, answer.body) == (503, b"request_stops_engines")
        assert 100 < float(answer.headers["retry-after"]) <= 120
    assert crashing.count("ran") == sent_before


@pytest.mark.parametrize("path", ["/stream/26", "/again/in-step"])
@pytest.mark.parametrize("members", [[1, 2, 3], [1, 1, 1]])
def test_copies_sent_at_once_crash_few_servers(large_group, path, members):
    """Copies that run in step, whose crashes coincide and would count as one."""
    body = CRASHING_BODY + f"{path} at {members}".encode()
    crashing = CrashingRequest(large_group, path, body)
    for _ in range(4):
        crashing.send_at_once(members)
    crashing.wait_until_barred()
    answers = crashing.send_at_once(members)
    assert [answer.status for answer in answers] == [503] * 3
    assert crashing.crashes <= MAX_CRASHES


def test_a_request_that_crashes_its_server_after_some_events_is_barred(group):
    crashing = CrashingRequest(
        group, "/stream/22", CRASHING_BODY + b" late", crash_events=3
    )
    crashing.send_until_third_crash()
    crashing.wait_until_barred()
    assert crashing.send(2).status == 503


def test_streams_lost_beside_a_crashing_request_are_not_barred(group):
    """Each crashed engine also runs other streams, which are resumed elsewhere."""
    crashing = CrashingRequest(group, "/stream/23", CRASHING_BODY + b" beside")
    for turn in range(30):
        if crashing.crashes >= 3:
            break
        port = group.ports[f"m{1 + turn % 3}"][0]
        connections = [
            group.site.open("/stream/40", b"beside %d" % each, port=port)[0]
            for each in range(6)
        ]
        wait_until(lambda: len(group.site.open_runs()) >= 6, "all six run")
        crashing.send(1 + turn % 3)
        for connection in connections:
            read(connection)
        crashing.wait_until_servers_return()
    assert crashing.crashes >= 3
    crashing.wait_until_barred()
    assert crashing.send(1).status == 503
    for each in range(6):
        assert group.ask(1 + each % 3, "/stream/3", body=b"beside %d" % each) == 200
        assert group.ask(1 + each % 3, "/stream/40", body=b"beside %d" % each) == 200


def test_repeated_crashes_of_all_engines_at_once_bar_no_request(group):
    """The same frequent request runs at all engines, which crash together."""
    innocent = CrashingRequest(group, "/stream/30", b"popular")
    group.site.forget()
    for _ in range(3):
        connections = [
            group.site.open("/stream/30", b"popular", port=group.ports[f"m{n}"][0])[0]
            for n in (1, 2, 3, 1, 2, 3)
        ]
        wait_until(lambda: len(group.site.open_runs()) >= 6, "all six run")
        for number in range(3):
            group.site.crash(number, 0.3)
        for connection in connections:
            with suppress(OSError):
                read(connection)
        innocent.wait_until_servers_return()
    for member in (1, 2, 3):
        assert group.ask(member, "/stream/30", body=b"popular") == 200


def test_an_instance_that_starts_later_refuses_barred_requests(group):
    crashing = CrashingRequest(group, "/stream/24", CRASHING_BODY + b" news")
    crashing.send_until_third_crash()
    group.start(4)
    sent_before = crashing.count("ran")
    wait_until(lambda: crashing.send(4).status == 503, "m4 refuses it", 3)
    assert crashing.count("ran") - sent_before <= 1


def test_a_request_stays_barred_after_a_crash_of_all_instances(group):
    """Instances read barred requests from the store, as no peer is left."""
    crashing = CrashingRequest(group, "/stream/25", CRASHING_BODY + b" kept")
    stored_before = len(group.site.control.get("/store")["kept"])
    crashing.send_until_third_crash()
    crashing.wait_until_barred()
    wait_until(
        lambda: len(group.site.control.get("/store")["kept"]) > stored_before,
        "it is stored",
    )
    group.end_all()
    for number in (1, 2, 3):
        group.start(number)
    sent_before = crashing.count("ran")
    assert [crashing.send(member).status for member in (1, 2, 3)] == [503] * 3
    assert crashing.count("ran") == sent_before

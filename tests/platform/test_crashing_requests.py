"""A request that ends every server that begins to run it.

Users saw one request end 22 servers, and another 28. It came again and again: with the
same path, caller and body, under a new id each time, at any instance. Each id ended up
to five servers (the route's tries), and each new id began to count anew, at whichever
instance it came to. Evidence, from a recorded day: 21 ids ended 58 servers at nine
instances, none with more than five; of the runs that died with a server exactly one had
begun there and given nothing, in 55 of 56 cases.
"""

from contextlib import suppress

import pytest

from standins.site import wait_until
from tests.platform.site import read, running_gateway
from tests.platform.test_group import GroupSite

# After the third server that it ends, a request may reach servers so many times more.
MORE_SENDS = 3
# `contact-ms` of the users' sites: by then all that are in touch must know.
CONTACT_S = 3
GUILTY = b"ends its server"


@pytest.fixture(scope="module")
def group():
    with running_gateway() as site:
        yield GroupSite(site)


class Crashes:
    """Sends the same request under new ids, and counts what reaches servers."""

    def __init__(self, group: GroupSite, path: str, body: bytes, **faults) -> None:
        self.group, self.path, self.body = group, path, body
        self.numbers = range(3) if path.startswith("/stream") else range(3, 6)
        self.before = self.count("crashes")
        self.barred_before = {member: self.barred(member) for member in (1, 2, 3)}
        for number in self.numbers:
            text = body.decode()
            group.site.faults(f"s{number}", crashed_by=text, down_s=0.5, **faults)

    def count(self, what: str) -> int:
        servers = self.group.site.control.get("/servers")
        found = [servers[f"s{number}"][what] for number in self.numbers]
        if what == "crashes":
            return sum(found)
        return sum(each["body"] == self.body.decode() for x in found for each in x)

    @property
    def crashes(self) -> int:
        return self.count("crashes") - self.before

    def send(self, member: int, **more):
        port = self.group.ports[f"m{member}"][0]
        connection, _ = self.group.site.open(self.path, self.body, port=port, **more)
        try:
            return read(connection)
        except OSError:
            return None

    def until_third(self) -> None:
        for turn in range(30):
            if self.crashes >= 3:
                return
            self.send(1 + turn % 3)
            self.all_back()
        raise AssertionError(f"got {self.crashes} crashes, expected 3")

    def until_barred(self) -> None:
        """All members know within the users' bound."""
        for member in (1, 2, 3):
            wait_until(
                lambda n=member: self.barred(n) > self.barred_before[n],
                f"m{member} bars it",
                CONTACT_S,
            )

    def barred(self, member: int) -> float:
        return self.group.metric(member, "coursekeel_barred_requests")

    def all_back(self) -> None:
        wait_until(lambda: self.group.ask(1) == 200, "plain servers serve")
        wait_until(
            lambda: self.group.ask(1, "/stream/3", body=b"innocent") == 200,
            "engines serve",
        )


@pytest.mark.parametrize("path", ["/stream/20", "/again/guilty"])
def test_after_three_servers_a_request_reaches_few_more_at_any_instance(group, path):
    """Each comes under a new id, at each instance in turn."""
    guilty = Crashes(group, path, GUILTY + path.encode())
    guilty.until_third()
    reached = guilty.count("ran")
    for turn in range(9):
        guilty.send(1 + turn % 3)
        guilty.all_back()
    assert guilty.count("ran") - reached <= MORE_SENDS


@pytest.mark.parametrize("path", ["/stream/21", "/again/refused"])
def test_a_barred_request_is_refused_at_once_as_not_run_at_every_instance(group, path):
    guilty = Crashes(group, path, GUILTY + path.encode())
    guilty.until_third()
    guilty.until_barred()
    reached = guilty.count("ran")
    for member in (1, 2, 3):
        answer = guilty.send(member)
        assert (answer.status, answer.body) == (503, b"request_stops_engines")
        assert 100 < float(answer.headers["retry-after"]) <= 120
    assert guilty.count("ran") == reached


def test_a_request_that_gives_events_before_its_server_ends_is_barred_too(group):
    guilty = Crashes(group, "/stream/22", GUILTY + b" late", crash_events=3)
    guilty.until_third()
    guilty.until_barred()
    assert guilty.send(2).status == 503


def test_what_died_beside_a_guilty_request_is_served(group):
    """Each engine that ends has an innocent stream too, which goes on elsewhere."""
    guilty = Crashes(group, "/stream/23", GUILTY + b" beside")
    for turn in range(30):
        if guilty.crashes >= 3:
            break
        port = group.ports[f"m{1 + turn % 3}"][0]
        asked = [
            group.site.open("/stream/40", b"beside %d" % each, port=port)[0]
            for each in range(6)
        ]
        wait_until(lambda: len(group.site.open_runs()) >= 6, "all six run")
        guilty.send(1 + turn % 3)
        for connection in asked:
            read(connection)
        guilty.all_back()
    assert guilty.crashes >= 3
    guilty.until_barred()
    assert guilty.send(1).status == 503
    for each in range(6):
        assert group.ask(1 + each % 3, "/stream/3", body=b"beside %d" % each) == 200
        assert group.ask(1 + each % 3, "/stream/40", body=b"beside %d" % each) == 200


def test_a_zone_that_ends_bars_nobody_however_often(group):
    """The same popular request runs at all engines, and all end at once."""
    innocent = Crashes(group, "/stream/30", b"popular")
    group.site.forget()
    for _ in range(3):
        asked = [
            group.site.open("/stream/30", b"popular", port=group.ports[f"m{n}"][0])[0]
            for n in (1, 2, 3, 1, 2, 3)
        ]
        wait_until(lambda: len(group.site.open_runs()) >= 6, "all six run")
        for number in range(3):
            group.site.crash(number, 0.3)
        for connection in asked:
            with suppress(OSError):
                read(connection)
        innocent.all_back()
    for member in (1, 2, 3):
        assert group.ask(member, "/stream/30", body=b"popular") == 200


def test_an_instance_that_starts_later_knows_who_is_barred(group):
    guilty = Crashes(group, "/stream/24", GUILTY + b" news")
    guilty.until_third()
    group.start(4)
    reached = guilty.count("ran")
    wait_until(lambda: guilty.send(4).status == 503, "m4 knows", 3)
    assert guilty.count("ran") - reached <= 1


def test_what_is_barred_stays_so_though_all_instances_end_at_once(group):
    """Each learns of it from the store, before anybody is left to ask."""
    guilty = Crashes(group, "/stream/25", GUILTY + b" kept")
    kept = len(group.site.control.get("/store")["kept"])
    guilty.until_third()
    guilty.until_barred()
    wait_until(
        lambda: len(group.site.control.get("/store")["kept"]) > kept, "it is kept"
    )
    group.end_all()
    for number in (1, 2, 3):
        group.start(number)
    reached = guilty.count("ran")
    assert [guilty.send(each).status for each in (1, 2, 3)] == [503] * 3
    assert guilty.count("ran") == reached

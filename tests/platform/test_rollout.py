"""Roll-outs before the users' platform: real gateways, its operator and its servers.

Servers 0 to 2 are engines, 3 to 5 are plain ones of the version v1; 6 to 8 are plain
ones that the list names later, as v2.
"""

import threading
import time
from collections import Counter
from contextlib import contextmanager
from http.client import HTTPException

import pytest

from standins.site import wait_until
from tests.platform.site import GatewaySite, free_port, running_gateway

OLD = ("s3", "s4", "s5")
NEW = ("s6", "s7", "s8")


@pytest.fixture
def site(tmp_path):
    made = GatewaySite(tmp_path)
    try:
        made.start(9, listed=6)
        yield made
        for word in ("unhandled_failure", "task_failed", "Traceback"):
            assert word not in made.log(), made.log()[-3_000:]
    finally:
        made.stop()


class Callers:
    """Ask all the while, a few at once, of all instances in turn."""

    def __init__(self, site: GatewaySite, ports: list[int], path: str) -> None:
        self.site, self.ports, self.path = site, ports, path
        self.statuses: Counter[int] = Counter()
        self.done = threading.Event()
        self.threads = [
            threading.Thread(target=self.ask, args=(number,)) for number in range(6)
        ]

    def ask(self, number: int) -> None:
        while not self.done.is_set():
            port = self.ports[number % len(self.ports)]
            try:
                self.statuses[self.site.ask(self.path, port=port).status] += 1
            except (OSError, HTTPException):
                self.statuses[0] += 1
            time.sleep(0.01)


@contextmanager
def asked(site: GatewaySite, ports: list[int] | None = None, path: str = "/again/x"):
    callers = Callers(site, ports or site.ports[:1], path)
    for each in callers.threads:
        each.start()
    try:
        yield callers
    finally:
        callers.done.set()
        for each in callers.threads:
            each.join()


def ran(site: GatewaySite, names: tuple[str, ...]) -> int:
    servers = site.control.get("/servers")
    return sum(len(servers[name]["ran"]) for name in names)


def list_new(site: GatewaySite) -> None:
    site.put([site.server_row(number, version="v2") for number in (6, 7, 8)])


def test_a_good_version_is_tried_on_few_requests_and_completed_in_time(site):
    with asked(site) as callers:
        site.order("plain", "v2", 9)
        list_new(site)
        begun_s = time.monotonic()
        wait_until(lambda: site.rollout("plain") == "running", "it is recorded", 3)
        time.sleep(3)
        tried, all_of_them = ran(site, NEW), ran(site, OLD + NEW)
        assert 0 < tried <= 0.1 * all_of_them + 50
        wait_until(lambda: site.rollout("plain") == "completed", "it is completed", 9)
        assert time.monotonic() - begun_s < 9
        before = ran(site, OLD)
        time.sleep(0.5)
        assert ran(site, OLD) == before, "the old servers stop at once"
    assert set(callers.statuses) == {200}


def test_a_bad_version_is_taken_back_before_fifty_bad_answers(site):
    for name in NEW:
        site.faults(name, fail=10_000)
    with asked(site) as callers:
        site.order("plain", "v2", 30)
        list_new(site)
        wait_until(lambda: site.rollout("plain") == "rolled_back", "taken back", 15)
        tried = ran(site, NEW)
        assert 0 < tried < 50
        time.sleep(1)
        assert ran(site, NEW) == tried
    assert set(callers.statuses) == {200}, "what may be repeated ran at the old ones"
    assert "reason=worse" in site.log()


def test_a_slow_version_is_taken_back(site):
    for name in OLD:
        site.faults(name, delay_ms=20)
    for name in NEW:
        site.faults(name, delay_ms=120)
    with asked(site):
        site.order("plain", "v2", 30)
        list_new(site)
        wait_until(lambda: site.rollout("plain") == "rolled_back", "taken back", 15)


def test_a_new_version_gets_nothing_before_its_order(site):
    """Its servers may be listed before the instance has read the order."""
    with asked(site):
        site.store(fault="silent")
        time.sleep(0.3)
        site.order("plain", "v2", 30)
        list_new(site)
        site.store(fault="")
        wait_until(lambda: "event=rollout_ordered" in site.log(), "the order is read")
        time.sleep(1.0)
    assert ran(site, NEW) <= 0.1 * ran(site, OLD + NEW) + 50


def test_a_version_that_no_order_names_serves_once_orders_are_known(site):
    list_new(site)
    with asked(site):
        wait_until(lambda: ran(site, NEW) > 5, "it serves", 5)


def test_while_the_store_is_away_nothing_more_goes_to_a_bad_version(site):
    """The verdict counts at once, and the record follows when the store is back."""
    site.configure()
    with asked(site, path="/open/x"):
        site.order("plain", "v2", 60)
        list_new(site)
        wait_until(lambda: site.rollout("plain") == "running", "it is recorded", 5)
        wait_until(lambda: ran(site, NEW) > 3, "it is tried", 5)
        site.store(fault="silent")
        for name in NEW:
            site.faults(name, fail=10_000)
        wait_until(lambda: "phase=rolled_back" in site.log(), "taken back", 25)
        tried = ran(site, NEW)
        time.sleep(1)
        assert ran(site, NEW) == tried
        site.store(fault="")
        wait_until(lambda: site.rollout("plain") == "rolled_back", "it is recorded", 5)


def test_an_instance_that_starts_anew_knows_the_verdict_before_it_sends(site):
    for name in NEW:
        site.faults(name, fail=10_000)
    with asked(site):
        site.order("plain", "v2", 30)
        list_new(site)
        wait_until(lambda: site.rollout("plain") == "rolled_back", "taken back", 15)
    tried = ran(site, NEW)
    ports = site.start_gateway("g2")
    with asked(site, ports[:1]):
        time.sleep(2)
    assert ran(site, NEW) == tried


@pytest.mark.parametrize(
    "order",
    [
        {"service": "plain", "target-version": "v2", "duration-s": "soon"},
        {"service": "plain", "target-version": ["v2"], "duration-s": 9},
        {"service": "other", "target-version": "v2", "duration-s": 9},
        {"service": "plain", "target-version": "v2", "duration-s": 0},
    ],
)
def test_a_malformed_order_is_told_and_changes_nothing(site, order):
    site.put([("op", "rollout/plain", order)])
    wait_until(lambda: "key=rollout/plain" in site.log(), "it is told")
    assert site.ask("/again/x").status == 200
    assert site.rollout("plain") == ""


def test_a_malformed_order_in_the_place_of_a_good_one_takes_nothing_away(site):
    site.order("plain", "v2", 60)
    wait_until(lambda: "event=rollout_ordered" in site.log(), "the order is read")
    bad = {"service": "plain", "target-version": "v2", "duration-s": "soon"}
    site.put([("op", "rollout/plain", bad)])
    wait_until(lambda: "key=rollout/plain" in site.log(), "it is told")
    site.store(compact=True)
    site.configure()
    wait_until(lambda: f"version={site.version}" in site.log(), "all is read again")
    list_new(site)
    with asked(site):
        wait_until(lambda: ran(site, NEW) > 0, "it is tried", 5)
        assert ran(site, NEW) <= 0.1 * ran(site, OLD + NEW) + 50


def test_a_verdict_that_a_restored_store_forgot_is_recorded_again(site):
    for name in NEW:
        site.faults(name, fail=10_000)
    site.store(copy=True)
    with asked(site):
        site.order("plain", "v2", 30)
        list_new(site)
        wait_until(lambda: site.rollout("plain") == "rolled_back", "taken back", 15)
        tried = ran(site, NEW)
        site.store(restore=True)
        site.order("plain", "v2", 30)
        list_new(site)
        wait_until(lambda: site.rollout("plain") == "rolled_back", "it is again", 15)
    assert ran(site, NEW) == tried


def test_a_group_judges_together_and_outlives_its_conductor(tmp_path):
    """Three instances, each of which sees too little; one that conducts is killed."""
    with running_gateway(9) as site:
        site.put([("servers", site.identity(number), None) for number in (6, 7, 8)])
        port = free_port("127.0.0.21")
        peers = [f"127.0.0.{20 + number}:{port}" for number in (1, 2, 3)]
        ports = [
            site.start_gateway(
                f"m{number}", listen={"peers": peers[number - 1]}, seeds=peers[:1]
            )[0]
            for number in (1, 2, 3)
        ]
        for name in NEW:
            site.faults(name, fail=10_000)
        with asked(site, ports):
            site.order("plain", "v2", 30)
            list_new(site)
            wait_until(lambda: site.rollout("plain") == "running", "recorded", 5)
            site.processes[-1].kill()
            del ports[-1]
        with asked(site, ports):
            wait_until(lambda: site.rollout("plain") == "rolled_back", "taken back", 20)
            tried = ran(site, NEW)
            time.sleep(1)
            assert ran(site, NEW) == tried <= 60

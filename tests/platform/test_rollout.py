"""Tests rollouts with real gateway processes and a stand-in of the platform.

Servers 0 to 2 are engines, 3 to 5 plain servers of version v1. Servers 6 to 8 are plain
servers of version v2, which each test lists.
"""

import threading
import time
from collections import Counter
from contextlib import contextmanager
from http.client import HTTPException

import pytest

from standins.site import wait_until
from tests.platform.site import GatewaySite, free_port, running_gateway

OLD_SERVERS = ("s3", "s4", "s5")
NEW_SERVERS = ("s6", "s7", "s8")


@pytest.fixture
def site(tmp_path):
    gateway_site = GatewaySite(tmp_path)
    try:
        gateway_site.start(9, listed=6)
        yield gateway_site
        for word in ("unhandled_failure", "task_failed", "Traceback"):
            assert word not in gateway_site.log(), gateway_site.log()[-3_000:]
    finally:
        gateway_site.stop()


class Callers:
    """Six threads that send requests to the given ports until stopped."""

    def __init__(self, site: GatewaySite, ports: list[int], path: str) -> None:
        self.site, self.ports, self.path = site, ports, path
        self.statuses: Counter[int] = Counter()
        self.stop = threading.Event()
        self.threads = [
            threading.Thread(target=self.send_requests, args=(number,))
            for number in range(6)
        ]

    def send_requests(self, number: int) -> None:
        while not self.stop.is_set():
            port = self.ports[number % len(self.ports)]
            try:
                self.statuses[self.site.ask(self.path, port=port).status] += 1
            except (OSError, HTTPException):
                self.statuses[0] += 1
            time.sleep(0.01)


@contextmanager
def background_requests(
    site: GatewaySite, ports: list[int] | None = None, path: str = "/again/x"
):
    callers = Callers(site, ports or site.ports[:1], path)
    for thread in callers.threads:
        thread.start()
    try:
        yield callers
    finally:
        callers.stop.set()
        for thread in callers.threads:
            thread.join()


def run_count(site: GatewaySite, names: tuple[str, ...]) -> int:
    servers = site.control.get("/servers")
    return sum(len(servers[name]["ran"]) for name in names)


def list_new_servers(site: GatewaySite) -> None:
    site.put([site.server_row(number, version="v2") for number in (6, 7, 8)])


def test_a_good_version_gets_few_requests_first_and_completes_in_time(site):
    with background_requests(site) as callers:
        site.order("plain", "v2", 9)
        list_new_servers(site)
        started_s = time.monotonic()
        wait_until(lambda: site.rollout("plain") == "running", "the state is stored", 3)
        time.sleep(3)
        new_runs, all_runs = (
            run_count(site, NEW_SERVERS),
            run_count(site, OLD_SERVERS + NEW_SERVERS),
        )
        assert 0 < new_runs <= 0.1 * all_runs + 50
        wait_until(
            lambda: site.rollout("plain") == "completed", "the rollout is completed", 9
        )
        assert time.monotonic() - started_s < 9
        old_runs = run_count(site, OLD_SERVERS)
        time.sleep(0.5)
        assert run_count(site, OLD_SERVERS) == old_runs, (
            "the old servers get no more requests"
        )
    assert set(callers.statuses) == {200}


def test_a_failing_version_is_rolled_back_before_fifty_failed_responses(site):
    for name in NEW_SERVERS:
        site.faults(name, fail=10_000)
    with background_requests(site) as callers:
        site.order("plain", "v2", 30)
        list_new_servers(site)
        wait_until(
            lambda: site.rollout("plain") == "rolled_back",
            "the rollout is rolled back",
            15,
        )
        new_runs = run_count(site, NEW_SERVERS)
        assert 0 < new_runs < 50
        time.sleep(1)
        assert run_count(site, NEW_SERVERS) == new_runs
    assert set(callers.statuses) == {200}, (
        "failed requests are retried at the old servers"
    )
    assert "reason=worse" in site.log()


def test_a_slow_version_is_rolled_back(site):
    for name in OLD_SERVERS:
        site.faults(name, delay_ms=20)
    for name in NEW_SERVERS:
        site.faults(name, delay_ms=120)
    with background_requests(site):
        site.order("plain", "v2", 30)
        list_new_servers(site)
        wait_until(
            lambda: site.rollout("plain") == "rolled_back",
            "the rollout is rolled back",
            15,
        )


def test_a_new_version_is_limited_to_canary_traffic_if_listed_before_its_order_is_read(
    site,
):
    """The servers are listed while the instance cannot read the order yet."""
    with background_requests(site):
        site.store(fault="silent")
        time.sleep(0.3)
        site.order("plain", "v2", 30)
        list_new_servers(site)
        site.store(fault="")
        wait_until(lambda: "event=rollout_ordered" in site.log(), "the order is read")
        time.sleep(1.0)
    assert (
        run_count(site, NEW_SERVERS)
        <= 0.1 * run_count(site, OLD_SERVERS + NEW_SERVERS) + 50
    )


def test_a_version_without_an_order_serves_once_orders_are_read(site):
    list_new_servers(site)
    with background_requests(site):
        wait_until(
            lambda: run_count(site, NEW_SERVERS) > 5, "the new version serves", 5
        )


def test_a_failing_version_is_rolled_back_in_a_store_outage(site):
    """The rollback takes effect at once and is stored when the store is back."""
    site.configure()
    with background_requests(site, path="/open/x"):
        site.order("plain", "v2", 60)
        list_new_servers(site)
        wait_until(lambda: site.rollout("plain") == "running", "the state is stored", 5)
        wait_until(
            lambda: run_count(site, NEW_SERVERS) > 3, "the new version gets requests", 5
        )
        site.store(fault="silent")
        for name in NEW_SERVERS:
            site.faults(name, fail=10_000)
        wait_until(
            lambda: "phase=rolled_back" in site.log(), "the rollout is rolled back", 25
        )
        new_runs = run_count(site, NEW_SERVERS)
        time.sleep(1)
        assert run_count(site, NEW_SERVERS) == new_runs
        site.store(fault="")
        wait_until(
            lambda: site.rollout("plain") == "rolled_back", "the state is stored", 5
        )


def test_a_new_instance_sends_nothing_to_a_version_rolled_back_earlier(site):
    for name in NEW_SERVERS:
        site.faults(name, fail=10_000)
    with background_requests(site):
        site.order("plain", "v2", 30)
        list_new_servers(site)
        wait_until(
            lambda: site.rollout("plain") == "rolled_back",
            "the rollout is rolled back",
            15,
        )
    new_runs = run_count(site, NEW_SERVERS)
    ports = site.start_gateway("g2")
    with background_requests(site, ports[:1]):
        time.sleep(2)
    assert run_count(site, NEW_SERVERS) == new_runs


@pytest.mark.parametrize(
    "order",
    [
        {"service": "plain", "target-version": "v2", "duration-s": "soon"},
        {"service": "plain", "target-version": ["v2"], "duration-s": 9},
        {"service": "other", "target-version": "v2", "duration-s": 9},
        {"service": "plain", "target-version": "v2", "duration-s": 0},
    ],
)
def test_a_malformed_order_is_logged_and_changes_nothing(site, order):
    site.put([("op", "rollout/plain", order)])
    wait_until(
        lambda: "key=rollout/plain" in site.log(), "the order is logged as unreadable"
    )
    assert site.ask("/again/x").status == 200
    assert site.rollout("plain") == ""


def test_a_malformed_order_does_not_replace_a_valid_one(site):
    site.order("plain", "v2", 60)
    wait_until(lambda: "event=rollout_ordered" in site.log(), "the order is read")
    bad = {"service": "plain", "target-version": "v2", "duration-s": "soon"}
    site.put([("op", "rollout/plain", bad)])
    wait_until(
        lambda: "key=rollout/plain" in site.log(), "the order is logged as unreadable"
    )
    site.store(compact=True)
    site.configure()
    wait_until(
        lambda: f"version={site.version}" in site.log(), "the tables are read again"
    )
    list_new_servers(site)
    with background_requests(site):
        wait_until(
            lambda: run_count(site, NEW_SERVERS) > 0, "the new version gets requests", 5
        )
        assert (
            run_count(site, NEW_SERVERS)
            <= 0.1 * run_count(site, OLD_SERVERS + NEW_SERVERS) + 50
        )


def test_a_rollback_lost_by_a_store_restore_is_stored_again(site):
    for name in NEW_SERVERS:
        site.faults(name, fail=10_000)
    site.store(copy=True)
    with background_requests(site):
        site.order("plain", "v2", 30)
        list_new_servers(site)
        wait_until(
            lambda: site.rollout("plain") == "rolled_back",
            "the rollout is rolled back",
            15,
        )
        new_runs = run_count(site, NEW_SERVERS)
        site.store(restore=True)
        site.order("plain", "v2", 30)
        list_new_servers(site)
        wait_until(
            lambda: site.rollout("plain") == "rolled_back",
            "it is rolled back again",
            15,
        )
    assert run_count(site, NEW_SERVERS) == new_runs


def test_a_group_rolls_back_after_a_member_is_killed(tmp_path):
    """Three instances share the requests, so that the verdict needs the sum of them."""
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
        for name in NEW_SERVERS:
            site.faults(name, fail=10_000)
        with background_requests(site, ports):
            site.order("plain", "v2", 30)
            list_new_servers(site)
            wait_until(
                lambda: site.rollout("plain") == "running", "the state is stored", 5
            )
            site.processes[-1].kill()
            del ports[-1]
        with background_requests(site, ports):
            wait_until(
                lambda: site.rollout("plain") == "rolled_back",
                "the rollout is rolled back",
                20,
            )
            new_runs = run_count(site, NEW_SERVERS)
            time.sleep(1)
            assert run_count(site, NEW_SERVERS) == new_runs <= 60

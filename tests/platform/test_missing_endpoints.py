"""Endpoints whose rows go while a gateway's connections to the store fail."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import datetime

import pytest

from standins.site import wait_until
from tests.platform.site import KEY, GatewaySite, running_gateway

_DRAIN_S = 2.0
# Failures follow each other faster than missing endpoints are given up, and each is
# shorter than registrations take to lapse.
_FAILURE_INTERVAL_S = 0.9
_TIMERS = {"endpoints_lapse_ms": 600, "endpoints_return_ms": 1_000}
_FAILURES = 6
# Outages in series: registrations lapse in each, and the store doesn't respond for long
# enough in between for endpoints to register again.
_DOWN_S, _UP_S, _OUTAGES = 2.5, 0.8, 4
# The last part of the time is for a request that is on its way.
_LAST_START_S = 0.95 * _DRAIN_S


@pytest.fixture
def site():
    with running_gateway(revoke_ms=5_000, **_TIMERS) as gateway_site:
        yield gateway_site


def ask_for(
    site: GatewaySite, for_s: float, path: str = "/again/x", key: str = KEY
) -> None:
    end_s = time.monotonic() + for_s
    while time.monotonic() < end_s:
        assert site.ask(path, key=key).status == 200
        time.sleep(0.02)


def let_registrations_lapse(site: GatewaySite) -> None:
    """Refuse the gateway for longer than registrations take to lapse."""
    before = site.log().count("store_back table=endpoints")
    site.store(fault="reset", abort_waiting=True)
    ask_for(site, 2 * _TIMERS["endpoints_lapse_ms"] / 1_000)
    site.store(fault="")
    wait_until(
        lambda: site.log().count("store_back table=endpoints") > before, "it is back"
    )


def test_short_failures_in_series_keep_no_endpoint_that_was_removed(site):
    for number in range(_FAILURES):
        site.store(abort_waiting=True)
        ask_for(site, _FAILURE_INTERVAL_S / 2)
        if number == 1:
            let_registrations_lapse(site)
            site.put([("servers", "s3", None)])
            removed_s = time.monotonic()
            wait_until(lambda: "endpoint_missing endpoint=s3" in site.log(), "told")
        ask_for(site, _FAILURE_INTERVAL_S / 2)
    arrived = site.control.get("/servers")["s3"]["arrived"]
    late_s = [each["at_s"] - removed_s for each in arrived]
    assert [each for each in late_s if each > _DRAIN_S] == []


def test_reads_that_are_behind_keep_no_endpoint_that_was_removed():
    """Guards against taking them for an outage, in which registrations lapse."""
    timers = {"endpoints_lapse_ms": 600, "endpoints_return_ms": 1_500}
    with running_gateway(revoke_ms=5_000, **timers) as site:
        site.store(copy=True)
        let_registrations_lapse(site)
        site.put([("servers", "s3", None)])
        removed_s = time.monotonic()
        wait_until(lambda: "endpoint_missing endpoint=s3" in site.log(), "told")
        site.store(gap={"silent_s": 0, "for_s": 0.7, "later_pages": False})
        ask_for(site, 4)
        arrived = site.control.get("/servers")["s3"]["arrived"]
    late_s = [each["at_s"] - removed_s for each in arrived]
    assert [each for each in late_s if each > _DRAIN_S] == []


def missing_since_s(log: str, name: str) -> float:
    """When the gateway first logged that an endpoint was missing, by `monotonic`."""
    line = next(each for each in log.splitlines() if _is_missing(each, name))
    written = datetime.fromisoformat(line.split()[0].removeprefix("time="))
    return written.timestamp() - time.time() + time.monotonic()


def _is_missing(line: str, name: str) -> bool:
    return f"event=endpoint_missing endpoint={name} " in line


@contextmanager
def store_outage(site: GatewaySite, fault: str) -> Iterator[None]:
    """The store is down, open connections included."""
    site.store(fault=fault, abort_waiting=fault != "silent")
    yield
    site.store(fault="")


def ask_openly(site: GatewaySite, for_s: float) -> None:
    """Send requests without keys, which no outage of the store makes invalid."""
    ask_for(site, for_s, "/open/x", "")


def play_outages(site: GatewaySite, fault: str, removed: tuple[int, ...]) -> None:
    """Outages in series; in the first one rows go."""
    for number in range(_OUTAGES):
        with store_outage(site, fault):
            ask_openly(site, _DOWN_S / 2)
            if number == 0:
                site.put([("servers", f"s{each}", None) for each in removed])
            ask_openly(site, _DOWN_S / 2)
        ask_openly(site, _UP_S)


@pytest.mark.parametrize("fault", ["silent", "reset", "503"])
def test_outages_in_series_keep_no_endpoint_that_was_removed(fault):
    """Guards against keeping it anew after each outage."""
    with running_gateway() as site:
        site.faults("s3", failing=True)
        play_outages(site, fault, (3,))
        told_s = missing_since_s(site.log(), "s3")
        arrived = site.control.get("/servers")["s3"]["arrived"]
    late_s = [each["at_s"] - told_s for each in arrived]
    assert [each for each in late_s if each > _LAST_START_S] == []


@pytest.mark.parametrize("fault", ["silent", "reset", "503"])
def test_endpoints_that_say_they_serve_are_used_while_outages_follow(fault):
    """Guards against refusing requests while sound endpoints can't register again."""
    with running_gateway() as site:
        play_outages(site, fault, (3, 4, 5))
        for number in (3, 4, 5):
            site.put_server(number)
        ask_openly(site, 2 * _DRAIN_S)
        assert "reason=not_back" not in site.log()


def test_an_endpoint_that_says_it_serves_is_gone_when_the_store_stays():
    """Guards against keeping it for as long as it says so."""
    with running_gateway(endpoints_hold_ms=500) as site:
        with store_outage(site, "reset"):
            ask_openly(site, _DOWN_S)
            site.put([("servers", "s3", None)])
        wait_until(lambda: "endpoint_missing endpoint=s3" in site.log(), "told")
        gone = "endpoint_gone endpoint=s3 reason=not_back"
        wait_until(lambda: gone in site.log(), "gone", 2 * _DRAIN_S)


@pytest.mark.parametrize(("path", "number"), [("/again/x", 3), ("/stream/2", 0)])
def test_a_missing_endpoint_that_says_it_leaves_gets_no_more_requests(path, number):
    name = f"s{number}"
    with running_gateway(revoke_ms=6_000) as site:
        with store_outage(site, "reset"):
            ask_for(site, _DOWN_S, path)
            site.put([("servers", name, None)])
            site.leave(number)
        wait_until(lambda: f"endpoint_missing endpoint={name}" in site.log(), "told")
        told_s = missing_since_s(site.log(), name)
        ask_for(site, _DRAIN_S, path)
        arrived = site.control.get("/servers")[name]["arrived"]
    late_s = [each["at_s"] - told_s for each in arrived]
    assert [each for each in late_s if each > _DRAIN_S / 4] == []

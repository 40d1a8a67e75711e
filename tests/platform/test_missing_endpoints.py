"""Endpoints whose rows go while a gateway's connections to the store fail."""

import time

import pytest

from standins.site import wait_until
from tests.platform.site import GatewaySite, running_gateway

_DRAIN_S = 2.0
# Failures follow each other faster than missing endpoints are given up, and each is
# shorter than registrations take to lapse.
_FAILURE_INTERVAL_S = 0.9
_TIMERS = {"endpoints_lapse_ms": 600, "endpoints_return_ms": 1_000}
_FAILURES = 6


@pytest.fixture
def site():
    with running_gateway(revoke_ms=5_000, **_TIMERS) as gateway_site:
        yield gateway_site


def ask_for(site: GatewaySite, for_s: float) -> None:
    end_s = time.monotonic() + for_s
    while time.monotonic() < end_s:
        assert site.ask("/again/x").status == 200
        time.sleep(0.02)


def test_short_failures_in_series_keep_no_endpoint_that_was_removed(site):
    for number in range(_FAILURES):
        site.store(abort_waiting=True)
        ask_for(site, _FAILURE_INTERVAL_S / 2)
        if number == 1:
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
        time.sleep(1)
        site.store(copy=True, abort_waiting=True)
        wait_until(lambda: "store_back table=endpoints" in site.log(), "it reads again")
        site.put([("servers", "s3", None)])
        removed_s = time.monotonic()
        wait_until(lambda: "endpoint_missing endpoint=s3" in site.log(), "told")
        site.store(gap={"silent_s": 0, "for_s": 0.7, "later_pages": False})
        ask_for(site, 4)
        arrived = site.control.get("/servers")["s3"]["arrived"]
    late_s = [each["at_s"] - removed_s for each in arrived]
    assert [each for each in late_s if each > _DRAIN_S] == []

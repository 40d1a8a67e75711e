"""Whole reads of the store that are some seconds behind what a gateway knows."""

import time

import pytest

from standins.site import wait_until
from tests.platform.site import GatewaySite, free_port, running_gateway

# How long feeds get no response, and then whole reads are of the copy.
_SILENT_S = 0.2
_FOR_S = 1.5
# Longer than all of that, so that keys stay confirmed.
_REVOKE_MS = 5_000


@pytest.fixture
def site():
    with running_gateway(revoke_ms=_REVOKE_MS) as gateway_site:
        yield gateway_site


def arrivals(site: GatewaySite, server: str) -> int:
    return len(site.control.get("/servers")[server]["arrived"])


def leave(site: GatewaySite, number: int, draining: bool) -> None:
    """Let a server leave, and wait until the gateway has logged that."""
    if draining:
        site.put_server(number, "draining")
        leaving = f"endpoint_leaving endpoint=s{number}"
        wait_until(lambda: leaving in site.log(), "the gateway knows that it leaves")
    site.put([("servers", f"s{number}", None)])
    gone = f"endpoint_gone endpoint=s{number}"
    wait_until(lambda: gone in site.log(), "the gateway knows that it is gone")


def open_gap(site: GatewaySite, later_pages: bool = False) -> None:
    site.store(gap={"silent_s": _SILENT_S, "for_s": _FOR_S, "later_pages": later_pages})


def ask_until_over(site: GatewaySite, path: str) -> list[int]:
    """Send requests until the reads are up to date again; return the statuses."""
    statuses, end_s = [], time.monotonic() + _SILENT_S + _FOR_S + 0.7
    while time.monotonic() < end_s:
        statuses.append(site.ask(path).status)
        time.sleep(0.02)
    return statuses


@pytest.mark.parametrize("draining", [True, False], ids=["draining", "removed"])
@pytest.mark.parametrize(
    ("path", "number"), [("/again/x", 3), ("/once/x", 3), ("/stream/2", 0)]
)
def test_a_read_that_is_behind_brings_back_no_endpoint_that_has_left(
    site, path, number, draining
):
    site.store(copy=True)
    leave(site, number, draining)
    site.forget()
    open_gap(site)
    statuses = ask_until_over(site, path)
    assert arrivals(site, f"s{number}") == 0
    assert set(statuses) == {200}


def test_a_read_that_is_behind_drops_no_endpoint_that_came_since(site):
    """Guards against dropping an endpoint that the read is too old to list."""
    rows = [site.server_row(number) for number in (3, 4, 5)]
    site.put([("servers", row[1], None) for row in rows])
    wait_until(lambda: site.log().count("event=endpoint_gone") == 3, "they are gone")
    site.store(copy=True)
    site.put(rows)
    wait_until(lambda: site.ask("/again/x").status == 200, "they are there")
    open_gap(site)
    assert set(ask_until_over(site, "/again/x")) == {200}


def test_a_page_that_is_behind_the_first_one_brings_back_no_endpoint(site):
    site.store(copy=True)
    leave(site, 4, draining=True)
    site.forget()
    open_gap(site, later_pages=True)
    ask_until_over(site, "/again/x")
    assert arrivals(site, "s4") == 0


def test_reads_that_are_behind_are_logged_and_counted(site):
    site.store(copy=True)
    leave(site, 3, draining=True)
    open_gap(site)
    wait_until(lambda: "event=read_behind table=endpoints" in site.log(), "it is told")
    wait_until(
        lambda: "coursekeel_reads_behind 0" not in site.metrics(), "it is counted"
    )


def test_changes_apply_again_once_reads_are_up_to_date(site):
    site.store(copy=True)
    leave(site, 3, draining=True)
    open_gap(site)
    time.sleep(_SILENT_S + 0.3)
    site.put_server(4, "draining")
    wait_until(lambda: "endpoint_leaving endpoint=s4" in site.log(), "s4 leaves")
    site.forget()
    assert all(site.ask("/again/x").status == 200 for _ in range(12))
    assert arrivals(site, "s4") == 0


def test_a_gateway_that_starts_by_a_read_behind_learns_leavings_from_a_member(site):
    port = free_port("127.0.0.12")
    peers = [f"127.0.0.{number}:{port}" for number in (12, 13)]
    timers = {"revoke_ms": _REVOKE_MS}
    site.start_gateway("m1", listen={"peers": peers[0]}, seeds=peers[:1], **timers)
    site.store(copy=True)
    leave(site, 3, draining=False)
    wait_until(lambda: "endpoint_gone endpoint=s3" in site.log("m1"), "m1 knows")
    site.store(gap={"silent_s": 0, "for_s": 5, "later_pages": False})
    ports = site.start_gateway(
        "m2", listen={"peers": peers[1]}, seeds=peers[:1], **timers
    )
    wait_until(lambda: "member_joined" in site.log("m2"), "m2 has found m1")
    time.sleep(0.5)
    site.forget()
    assert all(site.ask("/again/x", port=ports[0]).status == 200 for _ in range(20))
    assert arrivals(site, "s3") == 0

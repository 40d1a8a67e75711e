"""A large configuration is applied in time over slow links.

A time limit on a whole response, instead of on silence, made instances abandon and
repeat reads that were still being received.
"""

import gzip
from http.client import HTTPConnection

import pytest

from standins.site import wait_until
from tests.platform.site import (
    GatewaySite,
    configuration,
    events,
    free_port,
    route,
    running_gateway,
)

# 5 Mbit/s, the slowest link of a site.
LINK_BYTES_PER_S = 625_000
# The size of a large site's configuration.
ROUTES = 1_469
# Members of a zone that read from the one that reads the store.
FOLLOWERS = 18
# The site's limit on the time to apply a change.
MAX_APPLY_S = 3.0


def large_configuration(version: int, routes: int) -> dict:
    """Return the usual configuration with ``routes`` unused routes of varied names."""
    more = [
        route(f"r-{number * 7_919 % 999_983:06x}", "idempotent", "plain")
        for number in range(routes)
    ]
    large = configuration(version)
    return large | {"routes": large["routes"] + more}


@pytest.fixture(scope="module")
def site():
    with running_gateway() as site:
        yield site


@pytest.fixture(scope="module")
def peer(site: GatewaySite):
    """The peer address of a gateway that has the large configuration."""
    site.store(bytes_per_s=0)
    address = f"127.0.0.1:{free_port()}"
    site.put([("op", "config", large_configuration(1_000, ROUTES))])
    site.start_gateway("asked", listen={"peers": address})
    return address


@pytest.fixture
def slow_link(site: GatewaySite):
    """The store responds at the speed of a slow link."""
    site.store(bytes_per_s=LINK_BYTES_PER_S)
    yield
    site.store(bytes_per_s=0)


def write_and_await(site: GatewaySite, version: int, routes: int) -> None:
    """Write a configuration and wait until a route that it adds is served.

    The wait is long, so that a busy machine does not fail the test.
    """
    large = large_configuration(version, routes)
    large["routes"].append(route(f"new{version}", "idempotent", "plain"))
    site.put([("op", "config", large)])
    wait_until(lambda: site.ask(f"/new{version}/x").status == 200, "in force", 20)


def test_a_response_that_takes_longer_than_the_stall_limit_is_applied(site, slow_link):
    write_and_await(site, 2, 2 * ROUTES)
    write_and_await(site, 3, 2 * ROUTES)


def test_the_connection_of_an_abandoned_read_is_closed(site, slow_link):
    """Otherwise it would use up bandwidth that the next read needs."""
    site.store(stalls_at=LINK_BYTES_PER_S // 2)
    cut_before = site.control.get("/store")["cut"]
    site.put([("op", "config", large_configuration(4, 2 * ROUTES))])

    def closed() -> bool:
        return site.control.get("/store")["cut"] > cut_before

    wait_until(closed, "the stalled response is closed", 20)
    assert "event=answer_cut table=configuration source=store" in site.log()
    site.store(stalls_at=0)
    write_and_await(site, 5, 2 * ROUTES)


def test_streams_delayed_by_a_long_read_on_the_same_link_are_not_lost(site, slow_link):
    """Silence during a transfer of configuration does not count as a lost run.

    The stream, 1.2 s without the transfer, ends within its route's timeout of 4 s.
    """
    site.store(shares_link=True)
    connection, request_id = site.open("/stream/60")
    response = connection.getresponse()
    first_bytes = response.read(20)
    site.put([("op", "config", large_configuration(6, 2 * ROUTES))])
    body = first_bytes + response.read()
    connection.close()
    site.store(shares_link=False)
    assert body == events(60)
    assert len(site.ran(request_id)) == 1
    lost = [line for line in site.log().splitlines() if "event=run_lost" in line]
    assert not [line for line in lost if request_id in line]


def test_a_large_configuration_can_reach_a_zone_within_the_limit(site, peer):
    """Adds the times from the store to one member and from it to all others.

    A tenth of the limit is left for encoding and decoding.
    """
    host, port = peer.split(":")
    connection = HTTPConnection(host, int(port), timeout=10)
    query = f"group=127.0.0.1:{site.store_port}&wait_ms=0"
    headers = {"accept-encoding": "gzip"}
    connection.request("GET", f"/tables/configuration?{query}", headers=headers)
    response = connection.getresponse()
    encoded = response.read()
    connection.close()
    decoded = encoded
    if response.headers["content-encoding"] == "gzip":
        decoded = gzip.decompress(encoded)
    assert decoded.count(b"path_prefix") > ROUTES
    from_store_s = site.config_bytes() / LINK_BYTES_PER_S
    gathering_s = 0.2
    to_others_s = FOLLOWERS * len(encoded) / LINK_BYTES_PER_S
    assert gathering_s + from_store_s + to_others_s <= 0.9 * MAX_APPLY_S

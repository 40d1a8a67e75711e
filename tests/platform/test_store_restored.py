"""The store comes back from an older copy, under real gateways.

Its era rises, versions are given out again, and what was written since is gone until
its writers write it again.
"""

import pytest

from standins.site import wait_until
from tests.platform.site import KEY, GatewaySite, free_port


@pytest.fixture
def site(tmp_path):
    made = GatewaySite(tmp_path)
    try:
        made.start(6)
        yield made
        for word in ("unhandled_failure", "task_failed", "Traceback"):
            assert word not in made.log(), made.log()[-3_000:]
    finally:
        made.stop()


def restored(site: GatewaySite, name: str = "g1") -> bool:
    return site.log(name).count("event=store_restored") >= 2


def test_changes_after_a_restore_are_in_force_though_their_versions_were_given_out(
    site,
):
    """The copy is some versions back: what is written next has a lower version than
    what was read before, for the configuration and for the list of endpoints."""
    site.store(copy=True)
    for _ in range(20):
        site.configure()
    wait_until(lambda: f"version={site.version}" in site.log(), "the last is in force")
    site.store(restore=True)
    wait_until(lambda: restored(site), "both tables were read again")
    site.configure(keys=(KEY, "key-2"))
    site.put_server(3, "draining")
    wait_until(lambda: site.ask("/again/x", key="key-2").status == 200, "a new key")
    wait_until(lambda: "endpoint_leaving endpoint=s3" in site.log(), "s3 leaves")
    before = len(site.control.get("/servers")["s3"]["ran"])
    assert all(site.ask("/again/x").status == 200 for _ in range(12))
    assert len(site.control.get("/servers")["s3"]["ran"]) == before


def test_a_configuration_does_not_go_back_nor_a_key_come_back(site):
    site.configure(keys=(KEY, "key-2"))
    wait_until(lambda: site.ask("/again/x", key="key-2").status == 200, "key-2 works")
    site.store(copy=True)
    site.configure()
    wait_until(lambda: site.ask("/again/x", key="key-2").status == 401, "it is gone")
    site.store(restore=True)
    wait_until(lambda: restored(site), "both tables were read again")
    for _ in range(20):
        assert site.ask("/again/x", key="key-2").status == 401
        assert site.ask("/again/x").status == 200


def test_endpoints_that_the_copy_lacks_serve_on_and_register_again(site):
    rows = [site.server_row(number) for number in (3, 4, 5)]
    site.put([("servers", row[1], None) for row in rows])
    wait_until(lambda: site.log().count("event=endpoint_gone") == 3, "they are gone")
    site.store(copy=True)
    site.put([("servers", f"{row[1]}", row[2]) for row in rows])
    wait_until(lambda: site.ask("/again/x").status == 200, "they are back")
    site.store(restore=True)
    wait_until(lambda: restored(site), "both tables were read again")
    assert all(site.ask("/again/x").status == 200 for _ in range(12))


def test_an_endpoint_that_left_before_the_restore_does_not_come_back_to_life(site):
    site.store(copy=True)
    site.put_server(3, "draining")
    wait_until(lambda: "endpoint_leaving endpoint=s3" in site.log(), "s3 leaves")
    site.put([("servers", site.identity(4), None)])
    wait_until(lambda: "endpoint_gone endpoint=s4" in site.log(), "s4 is gone")
    site.forget()
    site.store(restore=True)
    wait_until(lambda: restored(site), "both tables were read again")
    assert all(site.ask("/again/x").status == 200 for _ in range(20))
    servers = site.control.get("/servers")
    assert servers["s3"]["ran"] == servers["s4"]["ran"] == []
    assert len(servers["s5"]["ran"]) == 20


@pytest.mark.parametrize("told", ["", "0", "x"])
def test_an_era_that_falls_or_cannot_be_read_proves_nothing(site, told):
    site.store(era_told=told)
    wait_until(lambda: not site.ready(), "what is known is too old")
    assert site.ask("/again/x").status == 503
    log = site.log()
    assert "event=store_era_fell" in log or "store-era: got 'x', expected" in log
    site.store(era_told=None)
    wait_until(site.ready, "the era is there again")
    assert site.ask("/again/x").status == 200


def test_members_of_another_era_learn_from_each_other(tmp_path):
    """One that the store turned away learns the new era from its neighbour; one that
    starts learns the newest configuration from it, which the copy doesn't have."""
    site = GatewaySite(tmp_path)
    port = free_port("127.0.0.2")
    peers = [f"127.0.0.{number}:{port}" for number in (2, 3)]
    try:
        site.start(6)
        first = site.start_gateway("m1", listen={"peers": peers[0]}, seeds=peers[:1])
        site.store(copy=True)
        site.configure(keys=(KEY, "key-2"))
        wait_until(
            lambda: site.ask("/again/x", port=first[0], key="key-2").status == 200,
            "key-2 works",
        )
        site.store(restore=True)
        wait_until(lambda: restored(site, "m1"), "both tables were read again")
        second = site.start_gateway("m2", listen={"peers": peers[1]}, seeds=peers[:1])
        wait_until(
            lambda: site.ask("/again/x", port=second[0], key="key-2").status == 200,
            "the newcomer knows the newest configuration",
        )
        assert site.ask("/again/x", port=first[0], key="key-2").status == 200
    finally:
        site.stop()

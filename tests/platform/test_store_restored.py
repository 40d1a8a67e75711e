"""The store is restored from an older copy while real gateways run.

Its era rises, it assigns versions again, and later writes are lost until their writers
repeat them.
"""

import pytest

from standins.site import wait_until
from tests.platform.site import KEY, GatewaySite, free_port


@pytest.fixture
def site(tmp_path):
    gateway_site = GatewaySite(tmp_path)
    try:
        gateway_site.start(6)
        yield gateway_site
        for marker in ("unhandled_failure", "task_failed", "Traceback"):
            assert marker not in gateway_site.log(), gateway_site.log()[-3_000:]
    finally:
        gateway_site.stop()


def has_read_restored_tables(site: GatewaySite, name: str = "g1") -> bool:
    return site.log(name).count("event=store_restored") >= 2


def test_changes_after_a_restore_apply_although_their_versions_were_used_before(
    site,
):
    """The next write to either table has a lower version than the instance has read
    before."""
    site.store(copy=True)
    for _ in range(20):
        site.configure()
    wait_until(lambda: f"version={site.version}" in site.log(), "the last is in force")
    site.store(restore=True)
    wait_until(lambda: has_read_restored_tables(site), "both tables were read again")
    site.configure(keys=(KEY, "key-2"))
    site.put_server(3, "draining")
    wait_until(lambda: site.ask("/again/x", key="key-2").status == 200, "a new key")
    wait_until(lambda: "endpoint_leaving endpoint=s3" in site.log(), "s3 leaves")
    before = len(site.control.get("/servers")["s3"]["ran"])
    assert all(site.ask("/again/x").status == 200 for _ in range(12))
    assert len(site.control.get("/servers")["s3"]["ran"]) == before


def test_a_restore_reverts_neither_the_configuration_nor_a_revoked_key(site):
    site.configure(keys=(KEY, "key-2"))
    wait_until(lambda: site.ask("/again/x", key="key-2").status == 200, "key-2 works")
    site.store(copy=True)
    site.configure()
    wait_until(lambda: site.ask("/again/x", key="key-2").status == 401, "it is gone")
    site.store(restore=True)
    wait_until(lambda: has_read_restored_tables(site), "both tables were read again")
    for _ in range(20):
        assert site.ask("/again/x", key="key-2").status == 401
        assert site.ask("/again/x").status == 200


def test_endpoints_missing_from_the_copy_stay_in_use(site):
    rows = [site.server_row(number) for number in (3, 4, 5)]
    site.put([("servers", row[1], None) for row in rows])
    wait_until(lambda: site.log().count("event=endpoint_gone") == 3, "they are gone")
    site.store(copy=True)
    site.put([("servers", f"{row[1]}", row[2]) for row in rows])
    wait_until(lambda: site.ask("/again/x").status == 200, "they are back")
    site.store(restore=True)
    wait_until(lambda: has_read_restored_tables(site), "both tables were read again")
    assert all(site.ask("/again/x").status == 200 for _ in range(12))


def test_endpoints_that_left_before_the_restore_stay_out_of_use(site):
    site.store(copy=True)
    site.put_server(3, "draining")
    wait_until(lambda: "endpoint_leaving endpoint=s3" in site.log(), "s3 leaves")
    site.put([("servers", site.identity(4), None)])
    wait_until(lambda: "endpoint_gone endpoint=s4" in site.log(), "s4 is gone")
    site.forget()
    site.store(restore=True)
    wait_until(lambda: has_read_restored_tables(site), "both tables were read again")
    assert all(site.ask("/again/x").status == 200 for _ in range(20))
    servers = site.control.get("/servers")
    assert servers["s3"]["ran"] == servers["s4"]["ran"] == []
    assert len(servers["s5"]["ran"]) == 20


def calls(site: GatewaySite) -> int:
    """How many queries the store has had."""
    return int(site.control.get("/store")["calls"])


@pytest.mark.parametrize("era", ["", "0", "x"])
def test_a_lower_or_malformed_era_confirms_nothing(site, era):
    """The instance stops being ready without that too, if the store responds late."""
    site.store(era_told=era)
    wait_until(
        lambda: (
            "event=store_era_fell" in site.log()
            or "store-era: got 'x', expected" in site.log()
        ),
        "the era is refused",
    )
    wait_until(lambda: not site.ready(), "the cached state is too old")
    answered = calls(site) + 8
    while calls(site) < answered:
        assert not site.ready()
        assert site.ask("/again/x").status == 503
    site.store(era_told=None)
    wait_until(site.ready, "the era is there again")
    assert site.ask("/again/x").status == 200


def test_members_with_different_eras_exchange_the_newest_state(tmp_path):
    """An instance that starts after the restore receives from its peer the newest
    configuration, which the store has lost."""
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
        wait_until(
            lambda: has_read_restored_tables(site, "m1"), "both tables were read again"
        )
        second = site.start_gateway("m2", listen={"peers": peers[1]}, seeds=peers[:1])
        wait_until(
            lambda: site.ask("/again/x", port=second[0], key="key-2").status == 200,
            "the new instance has the newest configuration",
        )
        assert site.ask("/again/x", port=first[0], key="key-2").status == 200
    finally:
        site.stop()

"""An outage of the store for all gateways of three zones at once."""

import time

import pytest

from standins.site import wait_until
from tests.platform.site import ZONES, free_port, running_gateway

# Instances by zone; the instances of the last one query the store for themselves.
SIZES = (4, 3, 2)
OUTAGE_S = 6.0
# Entries that lapsed are back about two seconds after the store's return.
BACK_S = 2.0


@pytest.mark.parametrize("fault", ["silent", "reset"])
def test_one_outage_of_the_store_is_told_once(fault):
    """Guards against an outage that ends when a member has a slightly newer copy."""
    with running_gateway(revoke_ms=5_000) as site:
        port = free_port("127.0.0.11")
        zones = [
            zone for zone, size in zip(ZONES, SIZES, strict=True) for _ in range(size)
        ]
        names = {f"m{number}": zone for number, zone in enumerate(zones, 1)}
        ports = [
            site.start_gateway(
                name,
                wait=False,
                zone=zone,
                listen={"peers": f"127.0.0.{10 + int(name[1:])}:{port}"},
                seeds=[f"127.0.0.11:{port}"],
                revoke_ms=5_000,
            )
            for name, zone in names.items()
        ]
        for each in ports:
            wait_until(lambda each=each: site.ready(each), "it is ready", 40)
        time.sleep(5)
        before = {name: len(site.log(name)) for name in names}
        site.store(fault=fault, abort_waiting=fault == "reset")
        time.sleep(OUTAGE_S)

        def told(name: str) -> list[str]:
            lines = site.log(name)[before[name] :].splitlines()
            return [
                word
                for line in lines
                if "table=endpoints" in line
                for word in ("store_lost", "store_back")
                if f"event={word}" in line
            ]

        in_outage = {name: told(name) for name in names}
        site.store(fault="")
        time.sleep(BACK_S)
        after = {name: told(name) for name in names}
        assert in_outage == {name: ["store_lost"] for name in names}
        assert after == {name: ["store_lost", "store_back"] for name in names}

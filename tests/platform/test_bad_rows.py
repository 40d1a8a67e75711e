"""Gateways that come back beside malformed rows of servers serve as before."""

import re
import time
from base64 import b64encode

import pytest

from standins.site import Http, wait_until
from tests.platform.site import running_gateway

HOSTS = ["H:80", "H", "H :80", "[H:80", "http://H:80/", "H:http", "::1:80", "127.1:80"]
HOSTS += ["127..1:80", "H:-1", "H:" + "9" * 5_000, "[::%réseau]:80"]
# Gateways are ready again within `recovery-s` of the users' pages.
RECOVERY_S = 12


@pytest.fixture
def site():
    with running_gateway() as site:
        yield site


def put_nested_row(site) -> None:
    """Write a value of 100,000 brackets, as the operator would."""
    value = b64encode(b"[" * 100_000).decode()
    row = {"table": "servers", "part": "", "key": "nested", "value": value}
    body = {"expected-rev": [], "put": [row], "remove": []}
    Http(site.store_port).ask("POST", "/coursekeel/rows-tx", body)


def put_bad_rows(site) -> int:
    """List each address in a row of its own, and all of them in one; a nested value."""
    good = site.server_row(3)[2]
    rows = [("servers", f"bad{n}", good | {"address": a}) for n, a in enumerate(HOSTS)]
    rows.append(("servers", "list", good | {"address": HOSTS}))
    site.put(rows)
    put_nested_row(site)
    return len(rows)


def test_gateways_serve_beside_rows_with_bad_addresses_and_after_a_restart(site):
    """Guards against a list of servers that no instance reads while one row stands."""
    count = put_bad_rows(site)
    wait_until(lambda: site.log().count("row_unreadable") >= count, "the rows are read")
    assert [site.ask("/again/1").status for _ in range(20)] == [200] * 20
    for process in site.processes[1:]:
        process.kill()
        process.wait()
    began_s = time.monotonic()
    ports = site.start_gateway("g2")
    assert time.monotonic() - began_s < RECOVERY_S
    answers = [site.ask("/again/1", port=ports[0]) for _ in range(20)]
    assert [answer.status for answer in answers] == [200] * 20
    for name in ("g1", "g2"):
        assert "follow_failed" not in site.log(name)
        assert "event=endpoint_chosen" in site.log(name)
        chosen = re.findall(
            r"event=endpoint_chosen .*? endpoint=bad(\d+)", site.log(name)
        )
        assert set(chosen) <= {"0"}, "only the first is an address"

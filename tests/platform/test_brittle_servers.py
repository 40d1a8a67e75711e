"""Servers that fall over when they have to turn too many requests away."""

import time

import pytest

from tests.platform.site import running_gateway
from tests.platform.test_group import GroupSite
from tests.platform.test_server_limits import Callers

CONTACT_S = 3.0
SERVERS = ("s3", "s4", "s5")
# What a server may turn away in a second, how many it runs at a time, and for how long.
BRITTLE, ROOM, RUN_S = 4, 2, 0.3
PLAYED_S = 9.0


@pytest.fixture(scope="module")
def group():
    with running_gateway() as site:
        yield GroupSite(site)


def test_brittle_servers_fall_seldom_and_are_used(group):
    """By the users' rule: at most two falls and a tenth of the servers' number."""
    callers = Callers(group, "/again/brittle", (1, 2, 3))
    named = {"brittle": BRITTLE, "delay_ms": int(RUN_S * 1000), "down_s": 2.0}
    with callers.sending(per_s=60.0):
        for name in SERVERS:
            group.site.faults(name, **named)
        time.sleep(CONTACT_S)
        for name in SERVERS:
            group.site.faults(name, **named, room=ROOM)
        begun_s = time.monotonic()
        time.sleep(PLAYED_S)
        ended_s = time.monotonic()
        states = [group.site.control.get("/servers")[name] for name in SERVERS]
    group.site.forget()
    falls = sum(len(state["falls"]) for state in states)
    ran = sum(begun_s <= r["at_s"] < ended_s for s in states for r in s["ran"])
    room = len(SERVERS) * ROOM / RUN_S * PLAYED_S
    assert falls <= 2 + len(SERVERS) / 10, (falls, ran, room)
    assert ran >= 0.5 * room, (falls, ran, room)

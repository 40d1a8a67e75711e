"""Keys that end while instances are away: real gateways before the stand-in."""

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.site import wait_until
from tests.platform.site import KEY, GatewaySite, free_port

SPARE = "key-2"
# More writes than lie between the copy and the positions that instances hold, so that
# the restored store gives out all of their versions again.
WRITES = 30
# What `GatewaySite` sets.
REVOKE_MS = 1_300


class Zone:
    """Three gateways of one availability zone, one of which asks the store for all."""

    def __init__(self, site: GatewaySite, program: tuple[str, ...]) -> None:
        self.site = site
        port = free_port("127.0.0.21")
        addresses = [f"127.0.0.{21 + number}:{port}" for number in range(3)]
        self.ports, self.processes = [], []
        for number, address in enumerate(addresses):
            listen = {"peers": address}
            self.ports.append(
                site.start_gateway(
                    f"m{number}",
                    wait=False,
                    listen=listen,
                    seeds=addresses,
                    program=program,
                )
            )
            self.processes.append(site.processes[-1])
        wait_until(lambda: all(site.ready(each) for each in self.ports), "all ready")
        self.wait_for_version()

    def wait_for_version(self) -> None:
        """The newest configuration is in force at all instances."""
        applied = f"event=configuration_applied version={self.site.version} "
        wait_until(
            lambda: all(applied in self.site.log(f"m{n}") for n in range(3)),
            f"version {self.site.version} is in force",
        )

    def statuses(self, key: str) -> list[int]:
        """What each instance answers to a request with a key."""
        return [
            self.site.ask("/again/x", port=each[0], key=key).status
            for each in self.ports
        ]

    def signal(self, numbers: tuple[int, ...], what: signal.Signals) -> None:
        for number in numbers:
            self.processes[number].send_signal(what)

    def is_stopped(self, number: int) -> bool:
        stat = Path(f"/proc/{self.processes[number].pid}/stat").read_text()
        return stat.rpartition(")")[2].split()[0] == "T"


def _zone(folder: Path, *program: str) -> Iterator[Zone]:
    site = GatewaySite(folder)
    try:
        site.start(6)
        site.configure(keys=(KEY, SPARE))
        yield Zone(site, program)
    finally:
        site.stop()


@pytest.fixture
def zone(tmp_path) -> Iterator[Zone]:
    yield from _zone(tmp_path, "platform/serve.py")


@pytest.fixture
def suspendable_zone(tmp_path) -> Iterator[Zone]:
    yield from _zone(tmp_path, "-m", "tests.common.faulted_gateway")


@pytest.mark.parametrize("away", [(0,), (1,), (2,), (0, 1, 2)])
def test_a_key_that_ends_as_the_store_is_restored_ends_for_who_was_away(zone, away):
    """Callers saw two instances of one zone, and no others, serve a key long after it
    had been taken away.

    1. Instances hold positions in the configuration's feed; the store is restored from
       a copy that is older than these, and gives their versions out again.
    2. Who asks before the old position is reached is told 410, and reads anew. Who is
       away until it is passed asks on from it.
    3. The key was taken away by a version below the position: the feed skips it, and
       each empty answer of the feed proves that nothing changed.
    4. Whoever learns the configuration from that instance believes its proofs.

    Cause: positions were compared as numbers, without the era that names the store's
    life. Evidence: without eras two or all three instances answered 200 to each of
    eight requests over 3 s, with proofs as young as ever; with eras none does.
    """
    site = zone.site
    site.store(copy=True)
    for _ in range(WRITES):
        site.put_server(3)
    site.configure(keys=(KEY, SPARE))
    zone.wait_for_version()
    zone.signal(away, signal.SIGSTOP)
    site.store(restore=True)
    site.configure(keys=(KEY,))
    for _ in range(2 * WRITES):
        site.put_server(3)
    zone.signal(away, signal.SIGCONT)
    wait_until(lambda: zone.statuses(SPARE) == [401] * 3, "the key ends everywhere", 6)
    assert all(zone.statuses(SPARE) == [401] * 3 for _ in range(10))
    assert zone.statuses(KEY) == [200] * 3


@pytest.mark.parametrize("suspended", [(0,), (0, 1, 2)])
def test_a_key_that_ends_while_a_machine_is_suspended_is_not_acted_on(
    suspendable_zone, suspended
):
    """Callers saw instances that had just woken serve a key that had ended meanwhile.

    1. The machine is suspended for longer than `revoke_ms`; the key is taken away.
    2. The store is silent, so that none learns of it as it wakes.
    3. A woken instance takes a request before it has heard of anybody.

    Cause: ages were counted by CLOCK_MONOTONIC, which stands still while a machine is
    suspended, so that a proof was as young after it as before. Evidence: woken
    instances answered 200 in each run, and by a clock that counts the time none does.
    """
    zone, site = suspendable_zone, suspendable_zone.site
    zone.signal(suspended, signal.SIGUSR1)
    wait_until(lambda: all(map(zone.is_stopped, suspended)), "they are suspended")
    site.store(fault="silent")
    site.configure(keys=(KEY,))
    acknowledged_s = time.monotonic()
    over_s = acknowledged_s + 1.5 * REVOKE_MS / 1000
    wait_until(lambda: time.monotonic() > over_s, "the bound on keys is over")
    zone.signal(suspended, signal.SIGCONT)
    assert 200 not in [zone.statuses(SPARE)[each] for each in suspended]
    assert all(200 not in zone.statuses(SPARE) for _ in range(5))
    site.store(fault="")
    wait_until(lambda: zone.statuses(SPARE) == [401] * 3, "the key ends everywhere", 6)
    assert zone.statuses(KEY) == [200] * 3

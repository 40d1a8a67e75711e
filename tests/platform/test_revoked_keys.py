"""Keys revoked while instances are stopped or suspended, with real gateways."""

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.site import wait_until
from tests.platform.site import KEY, GatewaySite, free_port

SECOND_KEY = "key-2"
# Enough for the restored store to assign again all versions that instances have read.
WRITES_AFTER_COPY = 30
# As `GatewaySite` sets it.
REVOKE_MS = 1_300


class Zone:
    """Three gateways of one availability zone; one reads the store for all."""

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
        wait_until(lambda: all(site.ready(ports) for ports in self.ports), "all ready")
        self.wait_for_version()

    def wait_for_version(self) -> None:
        """Wait until the newest configuration is in force at all instances."""
        applied = f"event=configuration_applied version={self.site.version} "
        wait_until(
            lambda: all(applied in self.site.log(f"m{n}") for n in range(3)),
            f"version {self.site.version} is in force",
        )

    def statuses(self, key: str) -> list[int]:
        """Return the status of a request with ``key`` at each instance."""
        return [
            self.site.ask("/again/x", port=ports[0], key=key).status
            for ports in self.ports
        ]

    def refusals(self, key: str) -> list[tuple[int, bytes]]:
        """Return the status and body of a request with ``key`` at each instance."""
        answers = [self.site.ask("/again/x", port=p[0], key=key) for p in self.ports]
        return [(answer.status, answer.body) for answer in answers]

    def signal(self, numbers: tuple[int, ...], signal_number: signal.Signals) -> None:
        for number in numbers:
            self.processes[number].send_signal(signal_number)

    def is_stopped(self, number: int) -> bool:
        stat = Path(f"/proc/{self.processes[number].pid}/stat").read_text()
        return stat.rpartition(")")[2].split()[0] == "T"


def _zone(folder: Path, *program: str) -> Iterator[Zone]:
    site = GatewaySite(folder)
    try:
        site.start(6)
        site.configure(keys=(KEY, SECOND_KEY))
        yield Zone(site, program)
    finally:
        site.stop()


@pytest.fixture
def zone(tmp_path) -> Iterator[Zone]:
    yield from _zone(tmp_path, "platform/serve.py")


@pytest.fixture
def suspendable_zone(tmp_path) -> Iterator[Zone]:
    yield from _zone(tmp_path, "-m", "tests.common.faulted_gateway")


@pytest.mark.parametrize("stopped", [(0,), (1,), (2,), (0, 1, 2)])
def test_a_key_revoked_after_a_restore_is_refused_by_stopped_instances(zone, stopped):
    """An instance stopped during a restore could follow on from its old position.

    The feed then skipped the revocation, whose version was lower. Positions must be
    compared with their era. An instance that could not read the store lately says so
    with 503, since a key that it doesn't know may be new.
    """
    site = zone.site
    site.store(copy=True)
    for _ in range(WRITES_AFTER_COPY):
        site.put_server(3)
    site.configure(keys=(KEY, SECOND_KEY))
    zone.wait_for_version()
    zone.signal(stopped, signal.SIGSTOP)
    site.store(restore=True)
    site.configure(keys=(KEY,))
    for _ in range(2 * WRITES_AFTER_COPY):
        site.put_server(3)
    zone.signal(stopped, signal.SIGCONT)
    wait_until(
        lambda: zone.statuses(SECOND_KEY) == [401] * 3, "the key ends everywhere", 6
    )
    refusals = {refusal for _ in range(10) for refusal in zone.refusals(SECOND_KEY)}
    assert refusals <= {(401, b"unknown_key"), (503, b"belief_old")}, refusals
    assert zone.statuses(KEY) == [200] * 3


@pytest.mark.parametrize("suspended", [(0,), (0, 1, 2)])
def test_a_key_revoked_during_a_suspension_is_refused_after_it(
    suspendable_zone, suspended
):
    """CLOCK_MONOTONIC stands still while a machine is suspended. The age of the cached
    configuration must include the suspension.
    """
    zone, site = suspendable_zone, suspendable_zone.site
    zone.signal(suspended, signal.SIGUSR1)
    wait_until(lambda: all(map(zone.is_stopped, suspended)), "they are suspended")
    site.store(fault="silent")
    site.configure(keys=(KEY,))
    acknowledged_s = time.monotonic()
    bound_passed_s = acknowledged_s + 1.5 * REVOKE_MS / 1000
    wait_until(lambda: time.monotonic() > bound_passed_s, "the bound on keys is over")
    zone.signal(suspended, signal.SIGCONT)
    assert 200 not in [zone.statuses(SECOND_KEY)[number] for number in suspended]
    assert all(200 not in zone.statuses(SECOND_KEY) for _ in range(5))
    site.store(fault="")
    wait_until(
        lambda: zone.statuses(SECOND_KEY) == [401] * 3, "the key ends everywhere", 6
    )
    assert zone.statuses(KEY) == [200] * 3

"""Starts gateways as the deploy file does: `python3 platform/serve.py` on each."""

import asyncio
import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
_DEPS = ROOT / "target" / "deps"
_READY_S = 20.0


def free_port(*hosts: str) -> int:
    """Return a port that is free for TCP and UDP at each of these addresses."""
    for _ in range(100):
        with socket.socket() as first:
            first.bind((hosts[0], 0))
            port = int(first.getsockname()[1])
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as tried:
                        tried.bind((host, port))
        except OSError:
            continue
        return port
    raise OSError("no free port")


class Gateways:
    """The gateways of a small deployment, one in each zone, each at an address."""

    def __init__(self, folder: Path, store: str, zones: list[str]) -> None:
        self.folder = folder
        self.store = store
        self.zones = zones
        self.hosts = [f"127.0.0.{11 + number}" for number in range(len(zones))]
        names = ("callers", "readiness", "metrics", "peers")
        self.ports = {name: free_port(*self.hosts) for name in names}
        self.processes: list[subprocess.Popen[bytes]] = []
        self.out: set[int] = set()

    def settings(self, number: int, **bounds: Any) -> dict[str, Any]:
        """The settings of one gateway, as `deploy/gateway.json` lays them out."""
        host = self.hosts[number]
        return {
            "instance_id": f"front-{self.zones[number]}-{number + 1}",
            "zone": self.zones[number],
            "listen": {name: f"{host}:{port}" for name, port in self.ports.items()},
            "seeds": [f"{seed}:{self.ports['peers']}" for seed in self.hosts],
            "store": self.store,
            "timers": {
                "revoke_ms": 5000,
                "strict_revoke": True,
                "configuration_ms": 2000,
                "stretch_ms": 5000,
                "drain_ms": 2000,
                "grace_s": 8,
            }
            | bounds,
            "canary": {},
            "retries": {"ratio": 0.8, "slack": 150, "window_s": 10},
        }

    def start(self) -> None:
        """Start all processes."""
        for number in range(len(self.zones)):
            self.processes.append(self._process(number))

    def _process(self, number: int) -> "subprocess.Popen[bytes]":
        file = self.folder / f"{number}.json"
        file.write_text(json.dumps(self.settings(number)))
        with (self.folder / f"{number}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "platform/serve.py"],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self._environment(file),
            )

    async def roll(self, number: int) -> None:
        """Stop a gateway with SIGTERM, start it again, and wait until it is ready."""
        self.terminate(number)
        while self.processes[number].poll() is None:
            await asyncio.sleep(0.05)
        self.processes[number] = self._process(number)
        await self.wait_until_ready()

    def _environment(self, settings: Path) -> dict[str, str]:
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")}
        kept |= {"COURSEKEEL_SETTINGS": str(settings), "PYTHONDONTWRITEBYTECODE": "1"}
        if _DEPS.is_dir():
            kept["PYTHONPATH"] = str(_DEPS)
        return kept

    async def wait_until_ready(self) -> bool:
        """Wait until every gateway says that it is ready."""
        async with asyncio.timeout(_READY_S):
            for host in self.hosts:
                while not await self._is_ready(host):
                    await asyncio.sleep(0.1)
        return True

    async def _is_ready(self, host: str) -> bool:
        port = self.ports["readiness"]
        try:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET /coursekeel/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def watch(self) -> None:
        """Ask each gateway every second, as the platform does; two misses are out."""
        misses = [0] * len(self.hosts)
        while True:
            for number, host in enumerate(self.hosts):
                ready = await self._is_ready(host)
                misses[number] = 0 if ready else misses[number] + 1
            self.out = {n for n, missed in enumerate(misses) if missed >= 2}
            await asyncio.sleep(1)

    def node_for(self, client: int) -> int:
        """The gateway for a new connection of a client, all being in one zone.

        "When fewer than half of a zone's nodes are in, all of them are used."
        """
        nodes = [n for n in range(len(self.hosts)) if n not in self.out]
        if 2 * len(nodes) < len(self.hosts):
            nodes = list(range(len(self.hosts)))
        return nodes[client % len(nodes)]

    def address(self, number: int) -> tuple[str, int]:
        """Where a gateway takes callers' connections."""
        return self.hosts[number], self.ports["callers"]

    def terminate(self, number: int) -> None:
        """Send SIGTERM to one gateway."""
        self.processes[number].terminate()

    def logs(self) -> str:
        """What all processes wrote."""
        return "".join(
            (self.folder / f"{number}.log").read_text(errors="replace")
            for number in range(len(self.zones))
        )

    def stop(self) -> None:
        """End all processes."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()

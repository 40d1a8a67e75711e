"""One small deployment: a store, servers and gateways, for the time of a case."""

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from review.clients import HOST, Client
from review.gateways import Gateways, free_port
from review.http import faults
from review.record import Record
from review.servers import Server, Site
from review.store import Store

ZONES = ["zone-a", "zone-b", "zone-c"]
KEY = "xd9dnn2ctnfzs989anu6"
_SERVERS_HOST = "127.0.0.2"
_STORE_HOST = "127.0.0.3"
_LIMIT_S = 110.0

# How a case ends; `run.sh` turns these into its own exit codes.
HELD, NOT_RUN, BROKEN = 0, 2, 10


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration; ``more`` adds or replaces fields."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "path-prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": 25_000,
        "target-latency-ms": 4_500,
        "priority": 1,
        "service": service,
        "max-attempts": 5,
        "anonymous": False,
    } | more


def engine_service(name: str, *models: str) -> dict[str, Any]:
    """Return a service of model servers."""
    engine = {
        "slots": 24,
        "kv-capacity": 88_000,
        "kv-token-bytes": 327_680,
        "moves": True,
        "backups": True,
        "handle-s": 4.0,
        "models": [{"name": model} for model in models],
    }
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": 210,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a service of plain servers."""
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": 110,
        "protocol": "h1",
        "tls": False,
    }


def configuration(
    routes: list[dict[str, Any]], services: list[dict[str, Any]], version: int = 1
) -> dict[str, Any]:
    """Return the row `op/config`."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "huka270", "api-keys": [KEY], "priority": 1}],
    }


class World:
    """A deployment in a temporary folder, and the record of what happens in it."""

    def __init__(self, folder: Path) -> None:
        self.record = Record()
        self.site = Site(self.record)
        self.store = Store()
        self.folder = folder
        self.gateways: Gateways
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    async def start(
        self,
        config: dict[str, Any],
        servers: list[Server],
        zones: list[str] | None = None,
    ) -> None:
        """Start the store, the servers and a gateway for each of ``zones``."""
        await self.store.start(_STORE_HOST, free_port(_STORE_HOST))
        self.store.put("op", "config", config)
        for server in servers:
            await self.add_server(server)
        self.gateways = Gateways(self.folder, self.store.address, zones or ZONES)
        self.gateways.start()
        await self.gateways.wait_until_ready()
        self.record.add("gateways_ready", trouble=self.trouble)

    async def add_server(self, server: Server, address: str = "") -> None:
        """Start a server, at a free address or at that of one that has ended."""
        host, _, port = address.rpartition(":")
        await server.start(
            host or _SERVERS_HOST, int(port) if port else free_port(_SERVERS_HOST)
        )
        self.store.put("servers", server.name, server.row())

    def client(self, number: int) -> Client:
        """Return a client whose connections the platform hands to one gateway."""
        gateway = self.gateways.address(number % len(ZONES))
        return Client(self.record, gateway, KEY)


def run_case(file: str, play: Callable[[World], Awaitable[int]]) -> None:
    """Play a case, write `record.txt` beside it, and exit with how it ended."""
    sys.exit(asyncio.run(_run(Path(file).parent / "record.txt", play)))


async def _run(path: Path, play: Callable[[World], Awaitable[int]]) -> int:
    this_task = asyncio.current_task()
    assert this_task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        world = World(Path(folder))
        code = NOT_RUN
        try:
            async with asyncio.timeout(_LIMIT_S):
                code = await play(world)
            if faults:
                world.record.say(f"faults of the stand-ins: {faults[:3]}")
                code = NOT_RUN
        except (Exception, asyncio.CancelledError) as failure:
            world.record.say(f"the case couldn't run: {failure!r}")
            code = NOT_RUN
        finally:
            with suppress(AttributeError):
                world.gateways.stop()
                if keep := os.environ.get("KEEP_LOGS"):
                    Path(keep).write_text(world.gateways.logs())
        world.record.write(path)
        return code

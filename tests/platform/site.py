"""Runs gateway processes and the platform's stand-in, and sends requests as callers."""

import itertools
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

import orjson
from attrs import define, field, frozen

from standins.site import Http, wait_until

ROOT = Path(__file__).parents[2]
HOST = "site.example"
ZONES = ("ikeja", "lekki", "yaba")
KEY = "key-1"
_CONFIGURATION_PATH = "/coursekeel/rows-get?table=op&part=&limit=3"
_REQUEST_NUMBERS = itertools.count(1)


@frozen
class Answer:
    """A response that a caller received; ``whole`` is False if it was cut off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def route(name: str, kind: str, pool: str, **more: Any) -> dict[str, Any]:
    """Return a configured route; ``more`` adds or replaces its fields."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": 4_000,
        "target-latency-ms": 1_000,
        "service": pool,
        "max-attempts": 2,
        "anonymous": False,
    } | more


def configuration(
    version: int = 1,
    keys: tuple[str, ...] = (KEY,),
    second_keys: tuple[str, ...] | None = None,
) -> dict[str, Any]:
    """Return the platform's configuration.

    ``keys`` are the API keys of the first team, ``second_keys`` those of a second team;
    None leaves the second team out.
    """
    teams = {"team-1": keys, "team-2": second_keys}
    return {
        "version": version,
        "routes": [
            route(
                "stream", "streaming", "engines", resumable=True, **{"max-attempts": 5}
            ),
            route("once", "non_idempotent", "plain", **{"max-attempts": 1}),
            route("again", "idempotent", "plain"),
            route("open", "idempotent", "plain", anonymous=True),
            route("hasty", "idempotent", "plain", **{"timeout-ms": 300}),
        ],
        "services": [
            {"name": "engines", "engine": {"slots": 8, "backups": True}},
            {"name": "plain", "health-path": "/health"},
        ],
        "limits": {"max-body-bytes": 2_000},
        "tenants": [
            {"name": name, "api-keys": list(team_keys), "priority": 1}
            for name, team_keys in teams.items()
            if team_keys is not None
        ],
    }


@define
class GatewaySite:
    """The processes of one test module: the stand-in and the gateways.

    ``ports`` are those of the first gateway: callers, readiness and metrics.
    """

    folder: Path
    control: Http = field(init=False)
    store_port: int = 0
    server_ports: list[int] = field(factory=list)
    ports: list[int] = field(factory=list)
    processes: list[subprocess.Popen[bytes]] = field(factory=list)
    version: int = 1
    engines: int = 3

    def start(self, servers: int, listed: int | None = None, **timers: float) -> None:
        standin_ports = self.start_process(
            ["-m", "tests.platform.standin", str(servers)], "standin"
        )
        control, self.store_port, *self.server_ports = standin_ports
        self.control = Http(control)
        self.put([("op", "config", configuration())])
        for number in range(servers if listed is None else listed):
            self.put_server(number)
        self.ports = self.start_gateway("g1", **timers)

    def start_gateway(
        self,
        name: str,
        wait: bool = True,
        listen: dict[str, str] | None = None,
        seeds: list[str] | None = None,
        retries: dict[str, float] | None = None,
        answers: dict[str, int] | None = None,
        program: tuple[str, ...] = ("platform/serve.py",),
        store_link: str = "",
        cut_file: str = "",
        zone: str = ZONES[0],
        **timers: float,
    ) -> list[int]:
        settings = {
            "instance_id": name,
            "zone": zone,
            "listen": {
                "callers": "127.0.0.1:0",
                "readiness": "127.0.0.1:0",
                "metrics": "127.0.0.1:0",
            }
            | (listen or {}),
            "seeds": seeds or [],
            "store": f"127.0.0.1:{self.store_port}",
            "timers": {
                "revoke_ms": 1_300,
                "grace_s": 6,
            }
            | timers,
            "retries": retries or {"ratio": 1.0, "slack": 1_500},
            "answers": answers or {},
            "seed": 1,
        }
        settings_file = self.folder / f"{name}.json"
        settings_file.write_bytes(orjson.dumps(settings))
        ports = self.start_process(
            list(program),
            name,
            COURSEKEEL_SETTINGS=str(settings_file),
            COURSEKEEL_STORE_LINK=store_link,
            COURSEKEEL_CUT_FILE=cut_file,
        )
        if wait:
            wait_until(lambda: self.ready(ports), "the gateway is ready")
        return ports

    def start_process(
        self, arguments: list[str], name: str, **variables: str
    ) -> list[int]:
        log = self.folder / f"{name}.log"
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log.open("ab"),
            stderr=subprocess.STDOUT,
            cwd=ROOT,
            env=os.environ | variables,
        )
        self.processes.append(process)

        def printed_ports() -> list[int]:
            assert process.poll() is None, log.read_text()[-3_000:]
            for line in log.read_text().splitlines(keepends=True):
                # The output is unbuffered, so the last line may be incomplete.
                if line.startswith("listening ") and line.endswith("\n"):
                    return [int(port) for port in line.split()[1:]]
            return []

        return list(wait_until(printed_ports, f"{name} listens"))

    def stop(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def ready(self, ports: list[int] | None = None) -> bool:
        status, _ = self._raw((ports or self.ports)[1], "/coursekeel/ready")
        return status == 200

    def _raw(self, port: int, path: str) -> tuple[int, bytes]:
        connection = HTTPConnection("127.0.0.1", port, timeout=10)
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read()

    def metrics(self) -> str:
        return self._raw(self.ports[2], "/metrics")[1].decode()

    def log(self, name: str = "g1") -> str:
        return (self.folder / f"{name}.log").read_text()

    # Control of the stand-in.

    def put(self, rows: list[tuple[str, str, Any]]) -> None:
        self.control.ask("POST", "/rows", [list(row) for row in rows])

    def put_server(
        self, number: int, state: str = "ready", version: str = "v1"
    ) -> None:
        self.put([self.server_row(number, state, version)])

    def order(self, pool: str, target: Any, duration_s: float) -> None:
        """Write an operator's order to roll out a version."""
        row = {"service": pool, "target-version": target, "duration-s": duration_s}
        self.put([("op", f"rollout/{pool}", row)])

    def rollout(self, pool: str) -> str:
        """Return the stored state of a pool's rollout, empty if there is none."""
        rows = self.control.get("/store")["status"]
        return str(rows.get(f"rollout/{pool}", {}).get("state", ""))

    def server_row(
        self, number: int, state: str = "ready", version: str = "v1"
    ) -> tuple[str, str, Any]:
        row = {
            "service": "plain" if number >= self.engines else "engines",
            "address": f"127.0.0.1:{self.server_ports[number]}",
            "zone": ZONES[number % 3],
            "slots": 8,
            "state": state,
            "version": version,
        }
        return "servers", self.identity(number), row

    def identity(self, number: int) -> str:
        """Return the id of the server's current incarnation."""
        return str(self.control.get("/servers")[f"s{number}"]["identity"])

    def rename(self, number: int, identity: str) -> None:
        """Give the server a new incarnation at the same address; replace its row."""
        old = self.identity(number)
        self.control.ask("POST", f"/servers/s{number}/identity", identity)
        self.put([("servers", old, None), self.server_row(number)])

    def configure(self, **more: Any) -> None:
        self.version += 1
        self.put([("op", "config", configuration(self.version, **more))])

    def config_bytes(self) -> int:
        """Return the size in bytes of a store response with the whole configuration."""
        return len(self._raw(self.store_port, _CONFIGURATION_PATH)[1])

    def store(self, **state: Any) -> None:
        self.control.ask("POST", "/store", state)

    def faults(self, name: str, **faults: Any) -> None:
        self.control.ask("POST", f"/servers/{name}", faults)

    def silence(self, names: tuple[str, ...], for_s: float) -> None:
        """Let servers say nothing on any connection for a while, then go on."""
        body = {"servers": names, "for_s": for_s}
        self.control.ask("POST", "/silence", body)

    def plain_faults(self, **faults: Any) -> None:
        for name in ("s3", "s4", "s5"):
            self.faults(name, **faults)

    def ran(self, request_id: str) -> list[dict[str, Any]]:
        """Return the runs of a request at all servers, with the server's name."""
        servers = self.control.get("/servers")
        return [
            run | {"server": name}
            for name, state in servers.items()
            for run in state["ran"]
            if run["headers"]["request-id"] == request_id
        ]

    def open_runs(self) -> list[str]:
        servers = self.control.get("/servers")
        return [run for state in servers.values() for run in state["open"]]

    def leave(self, number: int) -> None:
        """Let the server say that it is leaving, and serve on; its row stays."""
        self.control.ask("POST", f"/servers/s{number}/leave", {})

    def crash(self, number: int, down_s: float) -> None:
        """Crash the server; a new incarnation starts after ``down_s`` seconds."""
        self.control.ask("POST", f"/servers/s{number}/crash", {"down_s": down_s})

    def forget(self) -> None:
        self.control.ask("POST", "/forget", {})

    # Requests of callers.

    def open(
        self,
        path: str,
        body: bytes = b"",
        port: int = 0,
        request_id: str = "",
        key: str = KEY,
        **headers: str,
    ) -> tuple[HTTPConnection, str]:
        connection = HTTPConnection("127.0.0.1", port or self.ports[0], timeout=20)
        request_id = request_id or f"r{next(_REQUEST_NUMBERS)}"
        request_headers = {
            "host": HOST,
            "request-id": request_id,
            "deadline-ms": "5000",
        }
        if key:
            request_headers["authorization"] = f"Bearer {key}"
        request_headers |= {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        connection.request(
            "POST" if body else "GET", path, body or None, request_headers
        )
        return connection, request_id

    def ask(self, path: str, body: bytes = b"", **more: Any) -> Answer:
        connection, _ = self.open(path, body, **more)
        return read(connection)


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port of a loopback address on which nothing listens."""
    with socket.socket() as listener:
        listener.bind((host, 0))
        return int(listener.getsockname()[1])


def read(connection: HTTPConnection) -> Answer:
    """Read the response, even if it is cut off, and close the connection."""
    response = connection.getresponse()
    headers = {name.lower(): value for name, value in response.getheaders()}
    try:
        data, whole = response.read(), True
    except (HTTPException, OSError) as failure:
        data, whole = getattr(failure, "partial", b""), False
    connection.close()
    return Answer(response.status, headers, data, whole)


def events(upto: int, start: int = 1) -> bytes:
    """Return the stand-in's stream events ``start`` to ``upto``."""
    return b"".join(
        b"id: %d\ndata: piece-%d\n\n" % (number, number)
        for number in range(start, upto + 1)
    )


@contextmanager
def running_gateway(
    servers: int = 6, engines: int = 3, **timers: float
) -> Iterator[GatewaySite]:
    with tempfile.TemporaryDirectory() as folder:
        site = GatewaySite(Path(folder), engines=engines)
        try:
            site.start(servers, **timers)
            yield site
            for word in ("unhandled_failure", "task_failed", "Traceback"):
                assert word not in site.log(), site.log()[-3_000:]
        finally:
            site.stop()

"""A gateway's process before the stand-in's, and callers that speak to it."""

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
_CONFIGURATION_CALL = "/coursekeel/rows-get?table=op&part=&limit=3"
_IDS = itertools.count(1)


@frozen
class Answer:
    """What a caller got; ``whole`` says whether the answer looked complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def route(name: str, kind: str, pool: str, **more: Any) -> dict[str, Any]:
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
    """``second_keys`` are those of a second team, None if there is none."""
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
            {"name": "plain"},
        ],
        "limits": {"max-body-bytes": 2_000},
        "tenants": [
            {"name": name, "api-keys": list(held), "priority": 1}
            for name, held in teams.items()
            if held is not None
        ],
    }


@define
class GatewaySite:
    """Everything that runs for one test module."""

    folder: Path
    control: Http = field(init=False)
    store_port: int = 0
    server_ports: list[int] = field(factory=list)
    ports: list[int] = field(factory=list)
    processes: list[subprocess.Popen[bytes]] = field(factory=list)
    version: int = 1

    def start(self, servers: int, listed: int | None = None) -> None:
        standin = self.start_process(
            ["-m", "tests.platform.standin", str(servers)], "standin"
        )
        control, self.store_port, *self.server_ports = standin
        self.control = Http(control)
        self.put([("op", "config", configuration())])
        for number in range(servers if listed is None else listed):
            self.put_server(number)
        self.ports = self.start_gateway("g1")

    def start_gateway(
        self,
        name: str,
        wait: bool = True,
        listen: dict[str, str] | None = None,
        seeds: list[str] | None = None,
        retries: dict[str, float] | None = None,
        program: tuple[str, ...] = ("platform/serve.py",),
        store_link: str = "",
        **timers: float,
    ) -> list[int]:
        settings = {
            "instance_id": name,
            "zone": "ikeja",
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
            "seed": 1,
        }
        file = self.folder / f"{name}.json"
        file.write_bytes(orjson.dumps(settings))
        ports = self.start_process(
            list(program),
            name,
            COURSEKEEL_SETTINGS=str(file),
            COURSEKEEL_STORE_LINK=store_link,
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

        def listening() -> list[int]:
            assert process.poll() is None, log.read_text()[-3_000:]
            for line in log.read_text().splitlines(keepends=True):
                # Unbuffered, a line is written piece by piece.
                if line.startswith("listening ") and line.endswith("\n"):
                    return [int(each) for each in line.split()[1:]]
            return []

        return list(wait_until(listening, f"{name} listens"))

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

    # The platform's side.

    def put(self, rows: list[tuple[str, str, Any]]) -> None:
        self.control.ask("POST", "/rows", [list(each) for each in rows])

    def put_server(
        self, number: int, state: str = "ready", version: str = "v1"
    ) -> None:
        self.put([self.server_row(number, state, version)])

    def order(self, pool: str, target: Any, duration_s: float) -> None:
        """The operator orders that a version be rolled out."""
        row = {"service": pool, "target-version": target, "duration-s": duration_s}
        self.put([("op", f"rollout/{pool}", row)])

    def rollout(self, pool: str) -> str:
        """What operators read of a roll-out, empty if nothing yet."""
        rows = self.control.get("/store")["status"]
        return str(rows.get(f"rollout/{pool}", {}).get("state", ""))

    def server_row(
        self, number: int, state: str = "ready", version: str = "v1"
    ) -> tuple[str, str, Any]:
        row = {
            "service": "plain" if number >= 3 else "engines",
            "address": f"127.0.0.1:{self.server_ports[number]}",
            "zone": ZONES[number % 3],
            "slots": 8,
            "state": state,
            "version": version,
        }
        return "servers", self.identity(number), row

    def identity(self, number: int) -> str:
        """The id of the server's present incarnation."""
        return str(self.control.get("/servers")[f"s{number}"]["identity"])

    def rename(self, number: int, identity: str) -> None:
        """Another incarnation has the server's address; its row replaces the old."""
        old = self.identity(number)
        self.control.ask("POST", f"/servers/s{number}/identity", identity)
        self.put([("servers", old, None), self.server_row(number)])

    def configure(self, **more: Any) -> None:
        self.version += 1
        self.put([("op", "config", configuration(self.version, **more))])

    def config_bytes(self) -> int:
        """The size of an answer of the store that holds the whole configuration."""
        return len(self._raw(self.store_port, _CONFIGURATION_CALL)[1])

    def store(self, **state: Any) -> None:
        self.control.ask("POST", "/store", state)

    def faults(self, name: str, **faults: Any) -> None:
        self.control.ask("POST", f"/servers/{name}", faults)

    def plain_faults(self, **faults: Any) -> None:
        for name in ("s3", "s4", "s5"):
            self.faults(name, **faults)

    def ran(self, request_id: str) -> list[dict[str, Any]]:
        servers = self.control.get("/servers")
        return [
            each | {"server": name}
            for name, state in servers.items()
            for each in state["ran"]
            if each["headers"]["request-id"] == request_id
        ]

    def open_runs(self) -> list[str]:
        servers = self.control.get("/servers")
        return [run for state in servers.values() for run in state["open"]]

    def crash(self, number: int, down_s: float) -> None:
        """The server's process ends; another incarnation is back after a while."""
        self.control.ask("POST", f"/servers/s{number}/crash", {"down_s": down_s})

    def forget(self) -> None:
        self.control.ask("POST", "/forget", {})

    # The callers' side.

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
        request_id = request_id or f"r{next(_IDS)}"
        sent = {"host": HOST, "request-id": request_id, "deadline-ms": "5000"}
        if key:
            sent["authorization"] = f"Bearer {key}"
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request("POST" if body else "GET", path, body or None, sent)
        return connection, request_id

    def ask(self, path: str, body: bytes = b"", **more: Any) -> Answer:
        connection, _ = self.open(path, body, **more)
        return read(connection)


def free_port(host: str = "127.0.0.1") -> int:
    """A port of a loopback address that nothing listens at."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def read(connection: HTTPConnection) -> Answer:
    response = connection.getresponse()
    headers = {name.lower(): value for name, value in response.getheaders()}
    try:
        data, whole = response.read(), True
    except (HTTPException, OSError) as failure:
        data, whole = getattr(failure, "partial", b""), False
    connection.close()
    return Answer(response.status, headers, data, whole)


def events(upto: int, start: int = 1) -> bytes:
    return b"".join(
        b"id: %d\ndata: piece-%d\n\n" % (number, number)
        for number in range(start, upto + 1)
    )


@contextmanager
def running_gateway(servers: int = 6) -> Iterator[GatewaySite]:
    with tempfile.TemporaryDirectory() as folder:
        site = GatewaySite(Path(folder))
        try:
            site.start(servers)
            yield site
            for word in ("unhandled_failure", "task_failed", "Traceback"):
                assert word not in site.log(), site.log()[-3_000:]
        finally:
            site.stop()

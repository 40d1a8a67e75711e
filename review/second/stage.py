"""Stand-ins and processes for the cases of the second review; standard library only.

One asyncio program plays the platform's store, the servers and the clients as
PROTOCOL.md describes them, on loopback addresses. The gateways are the project's own
processes, started with the command of the deploy file.

Each gateway has a view of its own: its own port of each server, which the rows that it
reads name. All views show the same rows at the same
versions. So the path of one gateway to the servers can be cut, as a partition of its
machine does, while the paths of the others stay whole.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
HOST = "site.example"
KEY = "key-1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

_Headers = dict[str, str]
_Writer = asyncio.StreamWriter
_Reader = asyncio.StreamReader


class CannotRun(Exception):
    """The case could not be played; says nothing of the rule."""


class Record:
    """The lines of `record.txt`: what was sent, answered and run, and when."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} s  {text}\n")
        self._file.flush()


async def read_message(reader: _Reader) -> tuple[str, _Headers, bytes] | None:
    """Read the first line, headers and body of a request; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = b""
    if length := int(headers.get("content-length", 0)):
        body = await reader.readexactly(length)
    return first, headers, body


def answer(
    status: int, body: bytes = b"", headers: _Headers | None = None, close: bool = False
) -> bytes:
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """One server of a service; ``ports`` are those of the views, in their order."""

    def __init__(self, site: "Site", identity: str, service: str, zone: str) -> None:
        self.site = site
        self.identity = identity
        self.service = service
        self.zone = zone
        self.ports: list[int] = []
        self.listeners: list[asyncio.Server | None] = []
        self.connections: dict[int, set[_Writer]] = {}
        self.running: dict[str, int] = {}
        self.runs: list[str] = []
        self.ran_at_s: dict[str, float] = {}
        self.behave: Callable[..., Awaitable[bool]] | None = None

    async def open(self, view: int) -> None:
        """Listen for the gateway of a view."""
        port = self.ports[view] if view < len(self.ports) else 0

        async def connected(reader: _Reader, writer: _Writer) -> None:
            self.connections.setdefault(view, set()).add(writer)
            try:
                await self._serve(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                self.connections[view].discard(writer)
                writer.close()

        listener = await asyncio.start_server(connected, "127.0.0.1", port)
        if view == len(self.ports):
            self.ports.append(listener.sockets[0].getsockname()[1])
            self.listeners.append(listener)
        else:
            self.listeners[view] = listener

    def cut(self, view: int) -> None:
        """Cut the path of a view: its connections are reset, new ones refused."""
        listener = self.listeners[view]
        if listener is not None:
            listener.close()
            self.listeners[view] = None
        for writer in list(self.connections.get(view, ())):
            writer.transport.abort()

    def row(self, view: int) -> dict[str, Any]:
        """Return the server's entry in the store, as a view shows it."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.ports[view]}",
            "zone": self.zone,
            "version": "v1",
            "slots": 24,
            "state": "ready",
            "warmup-left-ms": 0,
            "sequence": 1,
        }

    async def _serve(self, reader: _Reader, writer: _Writer) -> None:
        while (message := await read_message(reader)) is not None:
            first, headers, body = message
            method, target, _ = first.split(" ", 2)
            if target == "/coursekeel/report":
                writer.write(answer(200, json.dumps(self._report()).encode()))
            elif target == "/health":
                writer.write(answer(200, b"", {"Instance-Id": self.identity}))
            elif target.startswith("/coursekeel/"):
                writer.write(answer(404))
            elif headers.get("expect-instance", self.identity) != self.identity:
                writer.write(answer(421, b"", {"Instance-Id": self.identity}))
            elif "request-id" not in headers:
                writer.write(answer(400, b"", {"Not-Executed": "no id"}))
            elif not await self._run(reader, writer, method, target, headers, body):
                return
            await writer.drain()

    def _report(self) -> dict[str, Any]:
        runs = [[run, 1000, made, 5] for run, made in self.running.items()]
        return {
            "stage": "mixed",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "queued": 0,
            "running": len(runs),
            "kv-used": 1000 * len(runs),
            "kv-total": 88000,
            "handles": 0,
            "state": "ready",
            "next-token": 0,
            "runs": runs,
        }

    async def _run(
        self,
        reader: _Reader,
        writer: _Writer,
        method: str,
        target: str,
        headers: _Headers,
        body: bytes,
    ) -> bool:
        """Run a request; returns whether the connection serves another one."""
        run = headers["request-id"]
        self.runs.append(run)
        self.ran_at_s[run] = time.monotonic()
        after = int(headers.get("last-event-id", 0))
        self.site.record(
            f"{self.identity} runs {run}: {method} {target}"
            + (f" after event {after}" if after else "")
        )
        own = {"Request-Id": run, "Response-Signature": f"sig.{self.identity}"}
        if "/stream" not in target:
            await asyncio.sleep(0.05)
            writer.write(answer(200, f"{self.identity} {run}".encode(), own))
            return True
        pieces = int(target.rpartition("/")[2])
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in own.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        gone = asyncio.ensure_future(reader.read(1))
        self.running[run] = after
        try:
            for number in range(after + 1, pieces + 1):
                done, _ = await asyncio.wait({gone}, timeout=self.site.event_gap_s)
                if done:
                    self.site.record(f"{self.identity} drops {run}: connection closed")
                    return False
                if self.behave and not await self.behave(self, run, number, writer):
                    return False
                event = f"id: {number}\ndata: piece-{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                self.running[run] = number
            writer.write(b"0\r\n\r\n")
            self.site.record(f"{self.identity} has finished {run}")
            return False
        finally:
            gone.cancel()
            self.running.pop(run, None)


class Store:
    """The platform's store: linearizable rows.

    A platform tells machines apart by their addresses. Here all processes connect from
    the same one, so the store tells them apart by whose socket the other end is.
    """

    def __init__(self, site: "Site") -> None:
        self.site = site
        self.version = 1
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.changed = asyncio.Event()
        self.port = 0
        # The views that get no answer.
        self.silent_to: set[int] = set()

    async def open(self) -> None:
        """Listen for the gateways."""

        async def connected(reader: _Reader, writer: _Writer) -> None:
            try:
                view = self._view_of(writer.get_extra_info("peername")[1])
                while (message := await read_message(reader)) is not None:
                    first, _, body = message
                    reply = await self._call(view, first.split(" ")[1], body)
                    if view in self.silent_to:
                        await reader.read()
                        return
                    writer.write(reply)
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        listener = await asyncio.start_server(connected, "127.0.0.1", 0)
        self.port = listener.sockets[0].getsockname()[1]

    def _view_of(self, peer_port: int) -> int:
        """Return the view of the gateway that has a socket at a port; 0 if none."""
        ends = (f":{peer_port:04X}", f":{self.port:04X}")
        table = Path("/proc/net/tcp").read_text()
        lines = [line.split() for line in table.splitlines()][1:]
        inodes = [
            each[9]
            for each in lines
            if each[1].endswith(ends[0]) and each[2].endswith(ends[1])
        ]
        for gateway in self.site.gateways:
            if inodes and gateway.holds_socket(inodes[0]):
                return gateway.view
        return 0

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a server does; None removes it."""
        encoded = None if value is None else b64encode(json.dumps(value).encode())
        self._write(table, key, encoded and encoded.decode())

    def _write(self, table: str, key: str, value: str | None) -> None:
        self.version += 1
        row: dict[str, Any] = {"table": table, "part": "", "key": key}
        row |= {"ver": self.version}
        self.rows[table, key] = row | (
            {"gone": True} if value is None else {"value": value}
        )
        self.changed.set()
        self.changed = asyncio.Event()

    def _page(self, view: int, rows: list[dict[str, Any]]) -> bytes:
        shown = [self._shown(view, row) for row in rows]
        page = {"rows": shown, "more": False, "ver": self.version}
        return json.dumps(page | {"now_ms": time.monotonic() * 1000}).encode()

    def _shown(self, view: int, row: dict[str, Any]) -> dict[str, Any]:
        server = self.site.servers.get(row["key"])
        if row["table"] != "servers" or "gone" in row or server is None:
            return row
        value = json.loads(b64decode(row["value"])) | {
            "address": server.row(view)["address"]
        }
        return row | {"value": b64encode(json.dumps(value).encode()).decode()}

    async def _call(self, view: int, target: str, body: bytes) -> bytes:
        path, _, text = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        await asyncio.sleep(0.004)
        if path.endswith("rows-get"):
            rows = [
                row
                for (table, _), row in sorted(self.rows.items())
                if table == query["table"] and "gone" not in row
            ]
            return answer(200, self._page(view, rows))
        if path.endswith("rows-feed"):
            return await self._feed(view, query)
        if path.endswith("rows-tx"):
            return self._transact(json.loads(body))
        return answer(404, b"{}")

    async def _feed(self, view: int, query: dict[str, str]) -> bytes:
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            rows = [
                row
                for (table, _), row in self.rows.items()
                if table == query["table"] and row["ver"] > int(query["since-rev"])
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                rows.sort(key=lambda row: row["ver"])
                return answer(200, self._page(view, rows))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, call: dict[str, Any]) -> bytes:
        for wanted in call.get("expected-rev", ()):
            row = self.rows.get((wanted["table"], wanted["key"]))
            version = 0 if row is None or "gone" in row else row["ver"]
            if version != wanted["ver"]:
                return answer(412, self._page(0, [row] if version else []))
        for row in call.get("put", ()):
            self._write(row["table"], row["key"], row["value"])
        for row in call.get("remove", ()):
            self._write(row["table"], row["key"], None)
        reply = {"ver": self.version, "now_ms": time.monotonic() * 1000}
        return answer(200, json.dumps(reply).encode())


class Gateway:
    """One gateway process; ``view`` is its number."""

    def __init__(self, site: "Site", view: int, zone: str) -> None:
        self.site, self.view, self.zone = site, view, zone
        self.name = f"front-{zone}-{view + 1}"
        self.ip = f"127.0.0.{21 + view}"
        self.process: subprocess.Popen[bytes] | None = None
        self.log = site.folder / f"{self.name}.log"

    @property
    def front(self) -> str:
        """The address for clients."""
        return f"{self.ip}:{self.site.ports[0]}"

    def start(self) -> None:
        """Start the process with the command and the settings of the deploy file."""
        ports, seeds = self.site.ports, self.site.seeds
        settings = {
            "instance_id": self.name,
            "zone": self.zone,
            "listen": {
                "callers": f"{self.ip}:{ports[0]}",
                "readiness": f"{self.ip}:{ports[1]}",
                "metrics": f"{self.ip}:{ports[2]}",
                "peers": f"{self.ip}:{ports[3]}",
            },
            "seeds": seeds,
            "store": f"127.0.0.1:{self.site.store.port}",
            "timers": {
                "revoke_ms": 5000,
                "strict_revoke": True,
                "configuration_ms": 2000,
                "stretch_ms": 5000,
                "drain_ms": 2000,
                "grace_s": 8,
            },
            "canary": {},
            "retries": {"ratio": 0.8, "slack": 150, "window_s": 10},
        }
        path = self.site.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        variables = {
            "COURSEKEEL_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONUNBUFFERED": "1",
        }
        self.process = subprocess.Popen(
            ["python3", "platform/serve.py"],
            cwd=ROOT,
            env=kept | variables,
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )
        self.site.record(f"{self.name} is started")

    def holds_socket(self, inode: str) -> bool:
        """Return whether a socket is this process's."""
        if self.process is None:
            return False
        folder = Path("/proc", str(self.process.pid), "fd")
        try:
            return any(
                os.readlink(each) == f"socket:[{inode}]" for each in folder.iterdir()
            )
        except OSError:
            return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.site.record(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def ready(self, within_s: float = 20.0) -> None:
        """Wait until the readiness page says 200."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process is None or self.process.poll() is not None:
                raise CannotRun(f"{self.name} has ended: {self.log.read_text()[-800:]}")
            page = await self.page(1, "/coursekeel/ready")
            if page.startswith("HTTP/1.1 200"):
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not get ready")

    async def page(self, port: int, path: str) -> str:
        """Return a status page with its head; empty if there is none."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.site.ports[port]
            )
            head = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            writer.write(head.encode())
            page = await asyncio.wait_for(reader.read(), 5)
            writer.close()
        except (OSError, TimeoutError):
            return ""
        return page.decode("latin-1")


class Reply:
    """What a client has received of one answer."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: _Headers = {}
        self.body = b""
        self.whole = False


class Site:
    """The whole small deployment; ``zones`` has one gateway's zone each."""

    def __init__(self, folder: Path, record: Record, zones: list[str]) -> None:
        self.folder, self.record, self.zones = folder, record, zones
        self.store = Store(self)
        self.servers: dict[str, Server] = {}
        self.gateways: list[Gateway] = []
        self.ports = _free_ports([f"127.0.0.{21 + n}" for n in range(len(zones))])
        self.event_gap_s = 0.1

    @property
    def seeds(self) -> list[str]:
        """The addresses that the platform names as seeds."""
        return [f"{g.ip}:{self.ports[3]}" for g in self.gateways[:3]]

    async def add_servers(self, service: str, count: int) -> None:
        """Start servers of a service, and enter them in the store."""
        for number in range(count):
            identity = f"i-{service}-{number + 1}"
            zone = self.zones[number % len(self.zones)]
            server = self.servers[identity] = Server(self, identity, service, zone)
            for view in range(len(self.zones)):
                await server.open(view)
            self.store.put("servers", identity, server.row(0))

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start the gateways, and wait until they are ready and know each other."""
        self.store.put("op", "config", configuration)
        await self.store.open()
        self.gateways = [Gateway(self, n, zone) for n, zone in enumerate(self.zones)]
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.ready()
        until = time.monotonic() + 20
        known = f"\ncoursekeel_members {len(self.gateways)}"
        for gateway in self.gateways:
            while known not in await gateway.page(2, "/metrics"):
                if time.monotonic() > until:
                    raise CannotRun(f"{gateway.name} does not know all members")
                await asyncio.sleep(0.1)

    def stop(self) -> None:
        """End all processes that were started."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()

    def ran_at(self, run: str) -> list[str]:
        """Return the ids of the servers that ran a request, once for each run."""
        return [s.identity for s in self.servers.values() for r in s.runs if r == run]

    async def ask(
        self,
        gateway: Gateway,
        run: str,
        target: str,
        deadline_ms: int,
        method: str = "POST",
        key: str = KEY,
        body_bytes: int = 200,
    ) -> Reply:
        """Send one request on a connection of its own, and read its answer."""
        reply = Reply()
        text = run.encode() if method == "POST" else b""
        body = text.ljust(body_bytes if text else 0, b".")
        self.record(f"a client sends {run}: {method} {target} to {gateway.name}")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                await self._exchange(
                    gateway, run, target, deadline_ms, method, key, body, reply
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        end = "whole" if reply.whole else "not whole"
        shown = reply.body[-60:].decode("latin-1").replace("\n", " ")
        self.record(f"the client of {run} has {reply.status}, {end}: ...{shown}")
        return reply

    async def _exchange(
        self,
        gateway: Gateway,
        run: str,
        target: str,
        deadline_ms: int,
        method: str,
        key: str,
        body: bytes,
        reply: Reply,
    ) -> None:
        reader, writer = await asyncio.open_connection(gateway.ip, self.ports[0])
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {run}"]
        lines += [f"Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}"]
        if "/stream" in target:
            lines += ["Model: m", "Token-Usage: 800,140"]
            lines += [f"Prefix-Hash: 5c1e07a2:200,{abs(hash(run)) % 2**32:08x}:600"]
        lines.append(f"Content-Length: {len(body)}")
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *rest = head.split("\r\n")
            reply.status = int(first.split(" ")[1])
            pairs = (line.partition(":") for line in rest if line)
            reply.headers = {n.strip().lower(): v.strip() for n, _, v in pairs}
            if reply.headers.get("transfer-encoding") != "chunked":
                length = int(reply.headers.get("content-length", 0))
                reply.body = await reader.readexactly(length)
                reply.whole = True
                return
            while size := int(await reader.readuntil(b"\r\n"), 16):
                reply.body += (await reader.readexactly(size + 2))[:-2]
            reply.whole = True
        finally:
            writer.close()


def _free_ports(hosts: list[str], count: int = 4) -> list[int]:
    """Return ports that are free, for TCP and UDP, at all of some addresses."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as first:
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
        if port not in ports and all(_is_free(host, port) for host in hosts):
            ports.append(port)
    return ports


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route; underscores in the names of ``more`` stand for hyphens."""
    fields = {name_.replace("_", "-"): value for name_, value in more.items()}
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "route-type": kind,
        "service": service,
        "timeout-ms": 25000,
        "target-latency-ms": 4500,
        "max-attempts": 1,
        "priority": 1,
        "anonymous": False,
    } | fields


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    backups: bool = False,
    plain: tuple[str, ...] = ("plain",),
    max_body_bytes: int = 4 << 20,
) -> dict[str, Any]:
    """Return a configuration with a service of engines and some plain ones."""
    engine = {"slots": 24, "backups": backups, "models": [{"name": "m"}]}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm", "engine": engine, "health-path": "/health"},
            *({"name": name, "health-path": "/health"} for name in plain),
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": max_body_bytes,
            "header-timeout-ms": 10000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api-keys": [KEY], "priority": 1}],
    }


def play(
    case: Callable[[Site, bool], Awaitable[bool]], file: str, zones: list[str]
) -> None:
    """Play a case, and exit: 1 if its rule was broken, 0 if it held, 2 if unplayed.

    ``case`` gets the site and whether to play the disruption; it returns whether the
    rule held.
    """
    record = Record(Path(file).with_name("record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("with the disruption" if trouble else "without the disruption")

    async def played() -> bool:
        # What is open at the end is cancelled, which is nothing to report.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        with tempfile.TemporaryDirectory() as folder:
            site = Site(Path(folder), record, zones)
            try:
                async with asyncio.timeout(110):
                    return await case(site, trouble)
            finally:
                site.stop()
                if kept := os.environ.get("KEEP_LOGS"):
                    for log in Path(folder).glob("*.log"):
                        Path(kept, log.name).write_bytes(log.read_bytes())

    try:
        held = asyncio.run(played())
    except Exception as failure:
        record(f"the case could not be played: {failure!r}")
        sys.exit(CANNOT_RUN)
    record("the rule held" if held else "the rule is broken")
    sys.exit(HELD if held else BROKEN)

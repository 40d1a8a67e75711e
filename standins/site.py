"""A small site of processes: a platform, engines, services and entries on loopback.

Used by the demo, the bench and the tests with real processes. The product starts no
process itself; this does.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

import orjson

OPERATOR_KEY = "operator-key"
ZONES = ("ikeja", "lekki", "yaba")
_START_S = 20.0
_LOOK_S = 0.02
# How many of an entry's last log lines a failed wait reports.
_REPORTED_LOG_LINES = 30


def sha256_of(key: str) -> str:
    import hashlib

    return hashlib.sha256(key.encode()).hexdigest()


def wait_until(check: Callable[[], Any], what: str, limit_s: float = _START_S) -> Any:
    """Look again and again until ``check`` gives something true, and return it."""
    give_up = time.monotonic() + limit_s
    while time.monotonic() < give_up:
        found = check()
        if found:
            return found
        time.sleep(_LOOK_S)
    raise TimeoutError(f"waited {limit_s} s in vain: {what}")


class Http:
    """Asks one process; a new connection each time, so that none is ever stale."""

    def __init__(self, port: int, key: str = "") -> None:
        self.port = port
        self.key = key

    def open(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 60,
    ) -> Any:
        connection = HTTPConnection("127.0.0.1", self.port, timeout=timeout_s)
        data = body if body is None or isinstance(body, bytes) else orjson.dumps(body)
        sent = {"authorization": f"Bearer {self.key}", **(headers or {})}
        connection.request(method, path, data, sent)
        return connection.getresponse()

    def ask(self, method: str, path: str, body: Any = None, **more: Any) -> Any:
        response = self.open(method, path, body, **more)
        data = response.read()
        return response.status, orjson.loads(data) if data else None

    def get(self, path: str) -> Any:
        return self.ask("GET", path)[1]

    def fault(self, **faults: Any) -> None:
        self.ask("POST", "/control/faults", faults)


class Process:
    """One process of the site, and the ports that it said it listens at."""

    def __init__(self, arguments: list[str], log: Path) -> None:
        self._log = log.open("ab")
        self._before = len(log.read_text())
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=self._log,
            stderr=self._log,
            cwd=Path(__file__).parent.parent,
        )
        self.log = log
        self.ports: list[int] = []

    @property
    def pid(self) -> int:
        return self._process.pid

    def listening(self) -> list[int]:
        self.ports = wait_until(self._said_ports, f"{self.log.name}: listens")
        return self.ports

    def _said_ports(self) -> list[int]:
        text = self.log.read_text()[self._before :]
        if self._process.poll() is not None:
            raise RuntimeError(f"didn't start: {text[-2000:]}")
        for line in text.splitlines(keepends=True):
            # Unbuffered, a line is written piece by piece.
            if line.startswith("listening ") and line.endswith("\n"):
                return [int(each) for each in line.split()[1:]]
        return []

    def signal(self, number: int) -> None:
        self._process.send_signal(number)

    def kill(self) -> None:
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()

    def end(self, limit_s: float = 30) -> int:
        self._process.send_signal(signal.SIGTERM)
        return self._process.wait(limit_s)

    @property
    def running(self) -> bool:
        return self._process.poll() is None


class Site:
    """Starts and ends everything; used as a context."""

    def __init__(self) -> None:
        self.copies = True
        self._folder = tempfile.TemporaryDirectory(prefix="coursekeel-")
        self.folder = Path(self._folder.name)
        self.processes: dict[str, Process] = {}
        self.entries: dict[str, Http] = {}
        self.engines: dict[str, Http] = {}
        self.services: dict[str, Http] = {}
        self.links: dict[str, int] = {}
        self.platform = Http(0)

    def __enter__(self) -> "Site":
        return self

    def __exit__(self, *failure: object) -> None:
        for process in self.processes.values():
            if process.running:
                process.signal(signal.SIGCONT)
            process.kill()
        if failure[0] is not None and os.environ.get("SHOW_LOGS"):
            for name in self.processes:
                sys.stderr.write(f"--- {name}\n{self.log_of(name)}\n")
        self._folder.cleanup()

    def log_of(self, name: str) -> str:
        return self.processes[name].log.read_text()

    def start(self, name: str, *arguments: str) -> Process:
        process = Process(list(arguments), self.folder / f"{name}.log")
        self.processes[name] = process
        return process

    def start_platform(self, *options: str) -> None:
        process = self.start("platform", "standins", "platform", *options)
        self.platform = Http(process.listening()[0])

    def start_engines(self, count: int, *options: str) -> None:
        names = [f"engine-{number}" for number in range(1, count + 1)]
        for name in names:
            self.start(name, "standins", "engine", "--name", name, *options)
        for index, name in enumerate(names):
            self._endpoint(name, "engine", ZONES[index % len(ZONES)], self.engines)

    def start_services(self, count: int, *options: str) -> None:
        names = [f"booking-{number}" for number in range(1, count + 1)]
        for name in names:
            self.start(name, "standins", "service", "--name", name, *options)
        for index, name in enumerate(names):
            self._endpoint(name, "service", ZONES[index % len(ZONES)], self.services)

    def _endpoint(
        self, name: str, kind: str, zone: str, known: dict[str, Http]
    ) -> None:
        port = self.processes[name].listening()[0]
        known[name] = Http(port)
        self.list_instance(name, kind, zone, f"127.0.0.1:{port}")

    def list_instance(self, name: str, kind: str, zone: str, address: str) -> None:
        line = {"instance_id": name, "kind": kind, "zone": zone, "address": address}
        self.platform.ask("POST", "/control/instances", [line])

    def mark_leaving(self, name: str, leaving: bool = True) -> None:
        line = {"instance_id": name, "leaving": leaving}
        self.platform.ask("POST", "/control/instances", [line])

    def start_entries(self, count: int, **timers: int) -> None:
        names = [f"entry-{number}" for number in range(1, count + 1)]
        for name in names:
            self.launch_entry(name, **timers)
        for name in names:
            self.entry_listening(name)

    def start_link(self, name: str) -> Http:
        """A link of its own from the entry ``name`` to the platform."""
        to = str(self.platform.port)
        process = self.start(f"link-{name}", "standins", "link", "--to", to)
        port, control = process.listening()
        self.links[name] = port
        return Http(control)

    def launch_entry(self, name: str, **timers: int) -> None:
        self.launch_program(name, ("coursekeel", "entry"), **timers)

    def launch_program(self, name: str, program: Sequence[str], **timers: int) -> None:
        """Start an entry by another program that takes its settings."""
        zone = ZONES[(int(name.split("-")[1]) - 1) % len(ZONES)]
        port = self.links.get(name, self.platform.port)
        settings = {
            "instance_id": name,
            "zone": zone,
            "platform": {
                "base_url": f"http://127.0.0.1:{port}",
                "timeout_ms": 500,
            },
            "operators": [
                {
                    "name": "demo",
                    "key_hash": sha256_of(OPERATOR_KEY),
                    "may_confirm": True,
                }
            ],
            "timers": timers,
            "copies": self.copies,
        }
        file = self.folder / f"{name}.json"
        file.write_bytes(orjson.dumps(settings))
        self.start(name, *program, "--settings", str(file))

    def entry_listening(self, name: str) -> None:
        http, peer = self.processes[name].listening()
        self.entries[name] = Http(http, OPERATOR_KEY)
        zone = ZONES[(int(name.split("-")[1]) - 1) % len(ZONES)]
        self.list_instance(name, "entry", zone, f"127.0.0.1:{peer}")

    def until_ready(self) -> None:
        for name, entry in self.entries.items():
            wait_until(lambda e=entry: _is_ready(e), f"{name} is ready")

    def until_ready_at(self, name: str) -> None:
        wait_until(lambda: _is_ready(self.entries[name]), f"{name} is ready")

    def put_in_force(self, intent: dict[str, Any], entry: str = "entry-1") -> int:
        """Plan, confirm, and wait until the intent is accepted everywhere."""
        http = self.entries[entry]
        wait_until(lambda: self._sees_all(http, intent), "endpoints are listed")
        status, plan = http.ask("POST", "/operator/plans", intent)
        if status != 200:
            raise RuntimeError(f"plan refused: {plan}")
        path = f"/operator/plans/{plan['plan_id']}/confirm"
        status, confirmed = http.ask("POST", path)
        if status != 200:
            raise RuntimeError(f"confirm refused: {confirmed}")
        try:
            wait_until(lambda: self.accepted(entry), "the intent is accepted")
        except TimeoutError as failure:
            failure.add_note(self._pending_report(entry))
            raise
        return int(confirmed["revision"])

    def _pending_report(self, entry: str) -> str:
        """What the entry's rollout waits for, and the state and log of each entry."""
        waiting = self.entries[entry].get("/operator/intent").get("waiting")
        lines = [f"{entry} waits for {waiting}"]
        for name, http in self.entries.items():
            lines.append(f"{name}: {http.get('/operator/status')}")
            lines += self.log_of(name).splitlines()[-_REPORTED_LOG_LINES:]
        return "\n".join(lines)

    def _sees_all(self, http: Http, intent: dict[str, Any]) -> bool:
        status, _ = http.ask("POST", "/operator/plans", intent)
        return bool(status == 200)

    def accepted(self, entry: str) -> bool:
        return bool(self.entries[entry].get("/operator/intent")["state"] == "accepted")

    def until_serving(self) -> None:
        """Every entry has fresh evidence of every endpoint."""
        for name, entry in self.entries.items():
            wait_until(lambda e=entry: _all_serving(e), f"{name} sees its endpoints")


def _is_ready(entry: Http) -> bool:
    try:
        return bool(entry.ask("GET", "/readyz")[0] == 200)
    except (OSError, HTTPException):
        return False


def _all_serving(entry: Http) -> bool:
    found = entry.get("/operator/endpoints")["endpoints"]
    return all(each["takes_new_work"] for each in found)


def sample_intent(
    engines: list[str], services: list[str], **class_changes: Any
) -> dict[str, Any]:
    """Two teams, one model, one booking service, and the deployments' classes."""
    dossier = {"name": "dossier", "profile": "dossier", **class_changes}
    return {
        "models": [{"name": "summary", "serves": {"model": "dossier"}}],
        "endpoints": [
            *({"endpoint_id": name, "models": ["summary"]} for name in engines),
            *({"endpoint_id": name, "kind": "service"} for name in services),
        ],
        "services": [
            {
                "name": "booking",
                "endpoints": services,
                "routes": [
                    {"path_prefix": "/slots", "methods": ["GET"], "repeatable": True},
                    {"path_prefix": "/confirmations", "methods": ["POST"]},
                ],
            }
        ]
        if services
        else [],
        "classes": [
            dossier,
            {"name": "lookup", "profile": "lookup"},
            {"name": "interactive", "silence_ms": 600, "patience_ms": 10000},
        ],
        "teams": [
            {
                "name": name,
                "key_hashes": [sha256_of(f"{name}-key")],
                "models": ["summary"],
                "services": ["booking"] if services else [],
                "request_class": request_class,
                "open_answers_limit": 1000,
            }
            for name, request_class in (
                ("ikeja", "dossier"),
                ("wuse", "dossier"),
                ("desk", "interactive"),
            )
        ],
    }

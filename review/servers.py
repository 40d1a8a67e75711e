"""Stand-ins of the platform's servers: model servers with streams, and plain ones."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.http import Connection, Request, answer, listen
from review.record import Record


@dataclass
class Run:
    """One request that a server works on, or has worked on."""

    request_id: str
    server: str
    service: str
    began_s: float
    route: str = ""
    copy_to: str = ""
    events: int = 0
    ended: str = ""


@dataclass
class Site:
    """What all servers share: the record, the runs, and the copies by address.

    ``prefill_s`` is how long a prompt is read, ``gap_s`` the time between two events,
    ``last`` the number of a stream's last event, unless its path ends with one.
    """

    record: Record
    prefill_s: float = 0.05
    gap_s: float = 0.05
    last: int = 40
    runs: list[Run] = field(default_factory=list)
    servers: dict[str, "Server"] = field(default_factory=dict)

    def runs_of(self, request_id: str) -> list[Run]:
        """The runs of one request, in order."""
        return [run for run in self.runs if run.request_id == request_id]


class Server:
    """One incarnation of a server.

    ``dark`` makes it silent on all connections. ``breaks`` says of a run, before each
    event, whether the server breaks its answer off there. ``full`` makes it reset new
    connections, as one at its `max-conns` does; ``late_s`` delays a 421.
    """

    def __init__(
        self, site: Site, name: str, service: str, zone: str, models: tuple[str, ...]
    ) -> None:
        self.site = site
        self.name = name
        self.service = service
        self.zone = zone
        self.models = models
        self.address = ""
        self.dark = False
        self.full = False
        self.late_s = 0.0
        self.held_up_until_s = 0.0
        self.breaks: Callable[[Run, int], bool] = lambda run, number: False
        self.copies: set[str] = set()
        self._listener: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        self._running: dict[str, Run] = {}

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self.address = f"{host}:{port}"
        self.site.servers[self.address] = self
        self._listener = await listen(host, port, self._handle, self._accept)
        self.site.record.add("server_starts", server=self.name, service=self.service)

    def row(self) -> dict[str, Any]:
        """The entry of this server in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 24,
            "state": "ready",
            "warmup-left-ms": 0,
            "stage": "mixed",
            "models": self._models(),
            "sequence": 1,
        }

    def crash(self) -> None:
        """End as a crashed process does: every connection is reset."""
        self.site.record.add("server_crashes", server=self.name)
        if self._listener is not None:
            self._listener.close()
        if self.site.servers.get(self.address) is self:
            del self.site.servers[self.address]
        for connection in list(self._connections):
            connection.reset()
        for run in self._running.values():
            run.ended = run.ended or "crashed"

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": model, "version": 1, "adapters": []} for model in self.models]

    def _accept(self, connection: Connection) -> bool:
        if self.full:
            self.site.record.add("connection_refused", server=self.name)
            connection.reset()
            return False
        return True

    async def _handle(self, connection: Connection, request: Request) -> None:
        self._connections.add(connection)
        try:
            await self._respond(connection, request)
        finally:
            self._connections.discard(connection)

    async def _respond(self, connection: Connection, request: Request) -> None:
        path = request.target.partition("?")[0]
        if self.dark:
            await connection.closed_by_peer()
        elif path == "/coursekeel/report":
            connection.write(self._report())
        elif path == "/coursekeel/kv-list":
            body = json.dumps({"epoch": 1, "next-token": 1, "held": []}).encode()
            connection.write(answer(200 if self.models else 404, body))
        elif path == "/health":
            connection.write(answer(200, b"", {"Instance-Id": self.name}))
        elif request.headers.get("expect-instance", self.name) != self.name:
            await self._another_expected(connection, request)
        elif "kv-from" in request.headers and not self._has_copy(request):
            connection.write(answer(503, b"", {"Not-Executed": "1"}))
        else:
            await self._run(connection, request)

    def _report(self) -> bytes:
        if not self.models:
            return answer(404)
        runs = [[r.request_id, 8000, r.events, 5] for r in self._running.values()]
        report = {
            "stage": "mixed",
            "models": self._models(),
            "busy": False,
            "sequence": 1,
            "queued": 0,
            "running": len(runs),
            "kv-used": 0,
            "kv-total": 88_000,
            "handles": 0,
            "runs": [run for run in runs if run[2]],
        }
        return answer(200, json.dumps(report).encode())

    async def _another_expected(self, connection: Connection, request: Request) -> None:
        expected = request.headers["expect-instance"]
        await asyncio.sleep(self.late_s)
        self.site.record.add(
            "answers_421",
            server=self.name,
            id=request.headers.get("request-id"),
            expected=expected,
        )
        connection.write(answer(421, b"", {"Instance-Id": self.name}))

    def _has_copy(self, request: Request) -> bool:
        address, _, request_id = request.headers["kv-from"].partition("/")
        return address == self.address and request_id in self.copies

    async def _run(self, connection: Connection, request: Request) -> None:
        request_id = request.headers["request-id"]
        run = Run(request_id, self.name, self.service, self.site.record.now_s())
        run.route = request.target.split("/")[1]
        run.copy_to = request.headers.get("kv-backup", "")
        self.site.runs.append(run)
        self._running[request_id] = run
        self.site.record.add(
            "runs",
            id=request_id,
            server=self.name,
            service=self.service,
            path=request.target,
            tenant=request.headers.get("tenant", ""),
            expected=request.headers.get("expect-instance", ""),
            after=request.headers.get("last-event-id", 0),
            copy_to=request.headers.get("kv-backup", "-"),
            copy_from=request.headers.get("kv-from", "-"),
            deadline_ms=request.headers.get("deadline-ms", "-"),
        )
        work = asyncio.ensure_future(self._work(connection, request, run))
        closed = asyncio.ensure_future(connection.closed_by_peer())
        await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
        if not work.done() and not run.ended:
            run.ended = "connection_closed"
        for task in (work, closed):
            task.cancel()
        self._running.pop(request_id, None)
        self.site.record.add(
            "run_ends",
            id=request_id,
            server=self.name,
            events=run.events,
            how=run.ended,
        )
        connection.writer.close()

    async def _work(self, connection: Connection, request: Request, run: Run) -> None:
        signed = {
            "Request-Id": run.request_id,
            "Response-Signature": f"sig.{self.name}.{run.request_id}",
        }
        if self.models:
            await self._stream(connection, request, run, signed)
            return
        await asyncio.sleep(0.05)
        connection.write(answer(200, f"{self.name} done".encode(), signed))
        run.ended = "whole"

    async def _stream(
        self,
        connection: Connection,
        request: Request,
        run: Run,
        signed: dict[str, str],
    ) -> None:
        until_s = time.monotonic() + int(request.headers["deadline-ms"]) / 1000
        number = int(request.headers.get("last-event-id", 0))
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in signed.items()]
        lines += ["Transfer-Encoding: chunked", "", ""]
        connection.write("\r\n".join(lines).encode())
        if "kv-from" not in request.headers:
            await asyncio.sleep(self.site.prefill_s)
        length = request.target.rpartition("/")[2]
        last = int(length) if length.isdigit() else self.site.last
        while number < last:
            if time.monotonic() >= until_s:
                run.ended = "deadline"
                connection.reset()
                return
            if self.breaks(run, number):
                run.ended = "broken_off"
                connection.write(b"40\r\nid: ")
                await asyncio.sleep(0.01)
                connection.reset()
                return
            number += 1
            await self._while_held_up()
            await self._while_dark()
            self._send_event(connection, request, run, number)
            await asyncio.sleep(self.site.gap_s)
        await self._while_dark()
        connection.write(b"0\r\n\r\n")
        run.ended = "whole"

    async def _while_held_up(self) -> None:
        """Wait while the prompt of another request is read here."""
        while (left_s := self.held_up_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)

    def read_long_prompt(self, for_s: float) -> None:
        """Hold up all runs here for the time that another's prompt takes."""
        self.site.record.add("long_prompt", server=self.name, for_s=for_s)
        self.held_up_until_s = time.monotonic() + for_s

    async def _while_dark(self) -> None:
        """Say nothing more while the server is dark: it is not back in any case."""
        if self.dark:
            await asyncio.Event().wait()

    def _send_event(
        self, connection: Connection, request: Request, run: Run, number: int
    ) -> None:
        event = f"id: {number}\ndata: piece {number} of {run.request_id}\n\n".encode()
        connection.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        run.events += 1
        backup = self.site.servers.get(request.headers.get("kv-backup", ""))
        if backup is not None and backup.models:
            backup.copies.add(run.request_id)

"""A small stand-in of the platform: its store and its servers in one process.

The store sends its era in every response and can be restored from an older copy.

`python -m tests.platform.standin SERVERS` prints the ports of its control site, its
store and its servers. The control site sets faults and lists the runs of each server.
"""

import sys
import time
from base64 import b64decode, b64encode
from typing import Any

from twisted.internet import asyncioreactor

asyncioreactor.install()

import orjson  # noqa: E402
from klein import Klein  # noqa: E402
from twisted.internet import reactor  # noqa: E402
from twisted.internet.defer import Deferred  # noqa: E402
from twisted.internet.error import ConnectionAborted  # noqa: E402
from twisted.internet.task import deferLater  # noqa: E402
from twisted.web.http import HTTPChannel  # noqa: E402
from twisted.web.server import Site  # noqa: E402

_EVENT_GAP_S = 0.02
_INVALID_HEADS = (
    b"HTTP/1.1 000 Some\r\n",
    b"HTTP/1.1 99 Some\r\n",
    b"HTTP/1.1 200 OK\r\nX More: 1\r\n",
    b"HTTP/1.1 200 OK\r\nX\x01More: 1\r\n",
    b"HTTP/1.1 200 OK\r\nX-More: 1\x002\r\n",
)
# Interval between the pieces of a response at limited bandwidth.
_PIECE_INTERVAL_S = 0.05
# Time from the start of a crashing request to the crash, and from the crash to the
# restart, unless the fault sets another.
_CRASH_DELAY_S = 0.06
_DOWN_S = 1.0


class Store:
    """Tables of rows with one rising version; the history can be compacted."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.version = 1
        self.era = 1
        # The rows and the version that a restore brings back.
        self.copy: tuple[dict[tuple[str, str], dict[str, Any]], int] = ({}, 1)
        # The era sent in responses: None for the true one, empty for no header.
        self.era_told: str | None = None
        self.oldest = 0
        # Rate of heartbeat writes; each raises the version and changes no row.
        self.beats_per_s = 0.0
        self.fault = ""
        self.calls = 0
        # Bandwidth of the store's responses, 0 for no limit. With a limit, a response
        # stalls for good before it exceeds ``stalls_at`` bytes, 0 for never.
        self.bytes_per_s = 0
        self.stalls_at = 0
        # Whether the servers' responses queue behind those of the store on one link.
        self.shares_link = False
        self.sending = 0
        self.cut = 0
        self.waiting: list[tuple[str, int, Deferred[bytes]]] = []
        # Until then feeds get no response, and whole reads get the copy.
        self.feeds_silent_until_s = 0.0
        self.behind_until_s = 0.0
        self.copied_s = 0.0
        # Whether only the pages after a table's first one are of the copy.
        self.behind_later_pages = False
        self.app = self._routes()

    def put(self, table: str, key: str, value: Any) -> None:
        encoded = value and b64encode(orjson.dumps(value)).decode()
        self.put_encoded(table, key, encoded)

    def put_encoded(self, table: str, key: str, value: str | None) -> None:
        self.version += 1
        row: dict[str, Any] = {"table": table, "part": "", "key": key}
        row |= {"gone": True} if value is None else {"value": value}
        self.rows[table, key] = row | {"ver": self.version}

    def open_gap(self, silent_s: float, for_s: float, later_pages: bool) -> None:
        """Lose the feeds' history, then let whole reads be behind.

        Feeds get no response for ``silent_s`` seconds, then their history is gone and
        their connections are aborted. After that whole reads get the copy, for
        ``for_s`` seconds: its rows, version and time.
        """
        self.feeds_silent_until_s = reactor.seconds() + silent_s
        self.behind_later_pages = later_pages
        reactor.callLater(silent_s, self._drop_history, for_s)

    def _drop_history(self, for_s: float) -> None:
        self.feeds_silent_until_s = 0.0
        self.version += 1
        self.oldest = self.version
        self.behind_until_s = reactor.seconds() + for_s
        self.abort_waiting()

    def abort_waiting(self) -> None:
        """Abort the connections of the feeds that wait for a change."""
        waiting, self.waiting = self.waiting, []
        for *_, response in waiting:
            response.errback(ConnectionAborted())

    def _state_to_read(
        self, first_page: bool
    ) -> tuple[float, int, dict[tuple[str, str], dict[str, Any]]]:
        """Return the time, version and rows that a whole read gets now."""
        now_s = reactor.seconds()
        if now_s >= self.behind_until_s or (first_page and self.behind_later_pages):
            return now_s, self.version, self.rows
        rows, version = self.copy
        return self.copied_s, version, rows

    def beat(self) -> None:
        """Write a heartbeat and schedule the next."""
        if self.beats_per_s:
            self.version += 1
            reactor.callLater(1 / self.beats_per_s, self.beat)

    def take_copy(self) -> None:
        self.copy = (dict(self.rows), self.version)
        self.copied_s = reactor.seconds()

    def restore(self, again_s: float | None = None) -> None:
        """Restore the copy, raise the era and abort the waiting requests.

        After ``again_s`` seconds the operator and the servers rewrite the lost rows.
        """
        lost = dict(self.rows)
        rows, self.version = self.copy
        self.rows = dict(rows)
        self.era += 1
        if again_s is not None:
            reactor.callLater(again_s, self._write_again, lost, self.version)
        self.abort_waiting()

    def _write_again(
        self, lost: dict[tuple[str, str], dict[str, Any]], copy_version: int
    ) -> None:
        """Write the lost rows again, except those written since the restore."""
        for table in ("op", "servers"):
            keys = {key for name, key in {**self.rows, **lost} if name == table}
            for key in sorted(keys):
                if self.rows.get((table, key), {}).get("ver", 0) > copy_version:
                    continue
                lost_value = lost.get((table, key), {}).get("value")
                if self.rows.get((table, key), {}).get("value") != lost_value:
                    self.put_encoded(table, key, lost_value)
            self.wake(table)

    def of(self, table: str) -> list[dict[str, Any]]:
        return [row for (name, _), row in self.rows.items() if name == table]

    def wake(self, table: str) -> None:
        if reactor.seconds() < self.feeds_silent_until_s:
            return
        for waiter in list(self.waiting):
            if waiter[0] == table:
                self.waiting.remove(waiter)
                waiter[2].callback(self.changes(table, waiter[1]))

    def changes(self, table: str, since: int) -> bytes:
        rows = [
            row
            for (name, _), row in self.rows.items()
            if name == table and row["ver"] > since
        ]
        return self._answer(sorted(rows, key=lambda row: row["ver"]))

    def _answer(
        self,
        rows: list[dict[str, Any]],
        more: bool = False,
        version: int | None = None,
        now_s: float | None = None,
    ) -> bytes:
        now_ms = (reactor.seconds() if now_s is None else now_s) * 1000
        version = self.version if version is None else version
        body = {"rows": rows, "more": more, "ver": version, "now_ms": now_ms}
        return orjson.dumps(body)

    def _routes(self) -> Klein:
        app = Klein()

        @app.route("/coursekeel/rows-get")
        def get(request: Any) -> Any:
            if (fault := self._faulted(request)) is not None:
                return fault
            table = request.args[b"table"][0].decode()
            start = request.args.get(b"from", [b""])[0].decode()
            limit = min(int(request.args[b"limit"][0]), 3)
            now_s, version, state = self._state_to_read(first_page=not start)
            rows = sorted(
                (row for (name, _), row in state.items() if name == table),
                key=lambda row: row["key"],
            )
            rows = [r for r in rows if r["key"] >= start and "gone" not in r]
            page = self._answer(rows[:limit], len(rows) > limit, version, now_s)
            return self._send(request, page)

        @app.route("/coursekeel/rows-tx", methods=["POST"])
        def write(request: Any) -> Any:
            if (fault := self._faulted(request)) is not None:
                return fault
            call = orjson.loads(request.content.read())
            if (unmet := self._unmet(call["expected-rev"])) is not None:
                request.setResponseCode(412)
                return unmet
            for row in call["put"]:
                self.put_encoded(row["table"], row["key"], row["value"])
            for row in call["remove"]:
                self.put_encoded(row["table"], row["key"], None)
            now_ms = reactor.seconds() * 1000
            return orjson.dumps({"ver": self.version, "now_ms": now_ms})

        @app.route("/coursekeel/rows-feed")
        def feed(request: Any) -> Any:
            if (fault := self._faulted(request)) is not None:
                return fault
            table = request.args[b"table"][0].decode()
            since = int(request.args[b"since-rev"][0])
            if since < self.oldest or since > self.version:
                request.setResponseCode(410)
                return b"{}"
            silent = reactor.seconds() < self.feeds_silent_until_s
            changed = (r for (t, _), r in self.rows.items() if t == table)
            if not silent and any(row["ver"] > since for row in changed):
                return self._send(request, self.changes(table, since))
            response: Deferred[bytes] = Deferred()
            waiter = (table, since, response)
            self.waiting.append(waiter)
            wait_s = int(request.args[b"wait-ms"][0]) / 1000
            reactor.callLater(wait_s, self._wait_over, waiter)
            return response.addCallbacks(
                lambda body: self._send(request, body), lambda _: self._cut(request)
            )

        return app

    def _cut(self, request: Any) -> Any:
        request.transport.abortConnection()
        return Deferred()

    def _unmet(self, expected: list[dict[str, Any]]) -> bytes | None:
        """Return the current rows if a version differs from ``expected``, else None."""
        rows = [self.rows.get((cond["table"], cond["key"])) for cond in expected]
        present = [None if row is None or "gone" in row else row for row in rows]
        versions = [row["ver"] if row else 0 for row in present]
        if versions == [cond["ver"] for cond in expected]:
            return None
        return self._answer([row for row in present if row])

    def _send(self, request: Any, body: bytes) -> Any:
        """Send a response at the bandwidth of the link."""
        if not self.bytes_per_s:
            return body
        request.setHeader("content-length", str(len(body)))
        self.sending += 1
        request.notifyFinish().addBoth(self._sent)
        last: Deferred[bytes] = Deferred()
        self._send_piece(request, body, 0, last)
        return last

    def _send_piece(
        self, request: Any, body: bytes, start: int, last: "Deferred[bytes]"
    ) -> None:
        end = start + int(self.bytes_per_s * _PIECE_INTERVAL_S)
        if request._disconnected or (self.stalls_at and end > self.stalls_at):
            return
        if end >= len(body):
            last.callback(body[start:])
            return
        request.write(body[start:end])
        reactor.callLater(_PIECE_INTERVAL_S, self._send_piece, request, body, end, last)

    def _sent(self, failure: Any) -> None:
        self.sending -= 1
        self.cut += failure is not None

    @property
    def fills_link(self) -> bool:
        """Whether the servers' output waits for a store response on the shared link."""
        return self.shares_link and self.sending > 0

    def _wait_over(self, waiter: tuple[str, int, "Deferred[bytes]"]) -> None:
        if reactor.seconds() < self.feeds_silent_until_s:
            return
        if waiter in self.waiting:
            self.waiting.remove(waiter)
            waiter[2].callback(self._answer([]))

    def _faulted(self, request: Any) -> Any:
        self.calls += 1
        era = str(self.era) if self.era_told is None else self.era_told
        if era:
            request.setHeader("store-era", era)
        if self.fault.isdigit():
            request.setResponseCode(int(self.fault))
            return b"{}"
        if self.fault == "reset":
            request.transport.abortConnection()
            return Deferred()
        return Deferred() if self.fault == "silent" else None

    def set_fault(self, fault: str) -> None:
        self.fault = fault
        if fault == "silent":
            self.waiting.clear()


class _RoomyChannel(HTTPChannel):
    """A connection that takes heads of any size that a gateway may pass on."""

    totalHeadersSize = MAX_LENGTH = 1 << 20
    maxHeaders = 1 << 20


class Server:
    """One server: unary responses, streams of numbered events, and KV copies."""

    def __init__(self, name: str, store: Store) -> None:
        self.name = self.first_name = name
        self.incarnation = 1
        self.port = 0
        self.calls: set[Any] = set()
        self.listener: Any = None
        self.store = store
        self.peers: dict[str, Server] = {}
        self.address = ""
        self.faults: dict[str, Any] = {}
        self.ran: list[dict[str, Any]] = []
        self.crashed: list[dict[str, Any]] = []
        self.arrived: list[dict[str, Any]] = []
        self.held: list[dict[str, Any]] = []
        self.copies: set[str] = set()
        self.open: dict[str, Any] = {}
        # Runs that were preempted for memory; a report counts them, without an id.
        self.preempted: dict[str, Any] = {}
        self.once_preempted: set[str] = set()
        self.worker_crashes = 0
        self.shed_s: list[float] = []
        self.falls_s: list[float] = []
        self.worker_back_s = 0.0
        self.silent_until_s = 0.0
        # Whether the server says that it is leaving, when it began to, and the requests
        # that ask for its state.
        self.leaving = False
        self.left_s = 0.0
        self.state_requests: list[str] = []
        self.app = self._routes()

    def listen(self) -> int:
        """Listen, at the same port in every incarnation."""
        site = Site(self.app.resource())
        site.protocol = _RoomyChannel
        self.listener = reactor.listenTCP(self.port, site, interface="127.0.0.1")
        self.port = self.listener.getHost().port
        return self.port

    def crash(self, down_s: float = _DOWN_S) -> None:
        """Reset every connection and refuse new ones, as a crashed process does.

        After ``down_s`` seconds a new incarnation starts and replaces the row.
        """
        if self.listener is None:
            return
        self.listener.stopListening()
        self.listener = None
        for request in list(self.calls):
            request.transport.abortConnection()
        self.open.clear()
        self.copies.clear()
        reactor.callLater(down_s, self._restart)

    def crash_worker(self, down_s: float) -> None:
        """Cut all runs, and new ones for ``down_s`` seconds; go on answering reports.

        What accepts connections survives the process that runs requests.
        """
        if not self.worker_is_down:
            self.worker_crashes += 1
            self.worker_back_s = time.monotonic() + down_s
        for request in list(self.calls):
            request.transport.abortConnection()
        self.open.clear()
        self.copies.clear()

    @property
    def worker_is_down(self) -> bool:
        return time.monotonic() < self.worker_back_s

    def fall_silent(self, for_s: float) -> None:
        """Say nothing on any connection for ``for_s`` seconds, then go on."""
        self.silent_until_s = time.monotonic() + for_s

    @property
    def silent_s(self) -> float:
        """For how long the server goes on saying nothing."""
        return max(0.0, self.silent_until_s - time.monotonic())

    def limits_to_name(self) -> list[bytes]:
        """The values of ``names_limit``: one, or several for a malformed answer."""
        named = self.faults.get("names_limit", [])
        values = named if isinstance(named, list) else [named]
        return [str(value).encode() for value in values]

    def _is_full(self) -> bool:
        """Whether a brittle server has no room; one that sheds too much falls over.

        ``brittle`` is how many requests it may turn away in a second, ``room`` how many
        run at a time.
        """
        room = self.faults.get("room")
        if room is None or len(self.calls) < room:
            return False
        now_s = time.monotonic()
        self.shed_s = [each for each in self.shed_s if now_s - each < 1] + [now_s]
        if len(self.shed_s) > self.faults["brittle"]:
            self.falls_s.append(now_s)
            self.shed_s.clear()
            self.crash(self.faults.get("down_s", _DOWN_S))
        return True

    def _crash_by(self, path: str, down_s: float) -> None:
        if self.faults.get("front_lives"):
            self.crash_worker(down_s)
            return
        if self.listener is not None:
            self.crashed.append({"path": f"/{path}", "at_s": time.monotonic()})
        self.crash(down_s)

    def _restart(self) -> None:
        old_name = self.name
        self.incarnation += 1
        self.name = f"{self.first_name}-{self.incarnation}"
        self.leaving = False
        self.listen()
        value = self.store.rows.get(("servers", old_name), {}).get("value")
        if value is not None:
            self.store.put("servers", old_name, None)
            self.store.put_encoded("servers", self.name, value)
            self.store.wake("servers")

    def _routes(self) -> Klein:
        app = Klein()

        @app.route("/health")
        def health(request: Any) -> bytes:
            self.state_requests.append("health")
            self._say_whether_it_closes(request)
            request.setHeader("instance-id", self.name)
            if self.faults.get("full"):
                request.setResponseCode(503)
                request.setHeader("not-executed", "1")
            elif self.is_leaving or self.faults.get("failing"):
                request.setResponseCode(503)
            return b""

        @app.route("/coursekeel/report")
        def report(request: Any) -> Any:
            self.state_requests.append("report")
            self._say_whether_it_closes(request)
            if self.faults.get("dark"):
                return Deferred()
            if self.silent_s:
                return deferLater(reactor, self.silent_s, report, request)
            if self.store.fills_link:
                return deferLater(reactor, _PIECE_INTERVAL_S, report, request)
            if "report_ms" in self.faults:
                report_s = self.faults["report_ms"] / 1000
                return deferLater(reactor, report_s, self._report)
            return self._report()

        @app.route("/<path:path>", methods=["GET", "POST"])
        def call(request: Any, path: str) -> Any:
            return self._call(request, path)

        return app

    def _report(self) -> bytes:
        runs = [[run_id, 10, 1, 5] for run_id in self.open]
        return orjson.dumps(
            {
                "queued": len(self.preempted),
                "running": len(runs),
                "kv-used": 0,
                "kv-total": 90_000,
                "runs": runs,
            }
            | self._state_told()
        )

    def _state_told(self) -> dict[str, Any]:
        """What the server's report says of itself, if it says anything."""
        if self.faults.get("tells_no_state"):
            return {}
        if leaves_ms := self.faults.get("leaves_ms"):
            return {"state": "draining", "leaves_ms": leaves_ms}
        return {"state": self.state}

    @property
    def is_leaving(self) -> bool:
        """Whether the server says in all its answers that it is leaving."""
        return self.leaving or "leaves_ms" in self.faults

    @property
    def state(self) -> str:
        """Whether the server is leaving, as its report says."""
        return "draining" if self.is_leaving else "ready"

    def leave(self) -> None:
        """Say from now on that it is leaving, and serve on."""
        self.leaving, self.left_s = True, time.monotonic()

    def _say_whether_it_closes(self, request: Any) -> None:
        if self.is_leaving or self.faults.get("closes"):
            request.setHeader("connection", "close")

    def _read_later(self, request: Any, path: str) -> Any:
        """Read a request that came during a silence, unless its sender has left."""
        return Deferred() if request._disconnected else self._call(request, path)

    def _arrival(self, request: Any) -> dict[str, Any]:
        return {
            "request_id": request.getHeader("request-id"),
            "by": self.name,
            "at_s": time.monotonic(),
        }

    def _call(self, request: Any, path: str) -> Any:
        if self.silent_s:
            self.held.append(self._arrival(request))
            return deferLater(reactor, self.silent_s, self._read_later, request, path)
        if request.getHeader("expect-instance") != self.name:
            request.setResponseCode(421)
            return b""
        self.arrived.append(self._arrival(request))
        self._say_whether_it_closes(request)
        for limit in self.limits_to_name():
            request.responseHeaders.addRawHeader(b"server-limit", limit)
        if "brittle" in self.faults:
            request.setHeader("server-brittle", str(self.faults["brittle"]))
        if self.faults.get("full") or self._use_fault("shed") or self._is_full():
            request.setResponseCode(503)
            request.setHeader("not-executed", "1")
            return b""
        headers = {
            name.decode().lower(): values[0].decode()
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        run_id = headers["request-id"]
        if "kv-from" in headers and run_id not in self.copies:
            request.setResponseCode(503)
            request.setHeader("not-executed", "1")
            return b""
        body = request.content.read().decode()
        self.ran.append(
            {
                "path": request.uri.decode(),
                "headers": headers,
                "body": body,
                "by": self.name,
                "at_s": time.monotonic(),
            }
        )
        self.calls.add(request)
        request.notifyFinish().addBoth(lambda _: self.calls.discard(request))
        if self._use_fault("mute") or self.faults.get("dark"):
            return self._until_closed(request)
        if self._use_fault("hang"):
            if "hang_ms" not in self.faults:
                return Deferred()
            delay_s = self.faults["hang_ms"] / 1000
            return deferLater(reactor, delay_s, self._run, request, path, headers, body)
        if self._use_fault("invalid_head"):
            return self._send_invalid_head(request, run_id)
        if self._use_fault("reset") or self.worker_is_down:
            request.transport.abortConnection()
            return Deferred()
        return self._run(request, path, headers, body)

    def _send_invalid_head(self, request: Any, run_id: str) -> Any:
        """Answer with a head that isn't HTTP, each time another, and then close."""
        head = _INVALID_HEADS[len(self.ran) % len(_INVALID_HEADS)]
        own = f"Request-Id: {run_id}\r\nResponse-Signature: sig-{self.name}\r\n"
        rest = f"{own}Content-Length: 4\r\n\r\nbody"
        request.transport.write(head + rest.encode())
        request.transport.loseConnection()
        return Deferred()

    def _run(self, request: Any, path: str, headers: dict[str, str], body: str) -> Any:
        """Work on a request, unless its sender has left meanwhile."""
        if request._disconnected:
            return Deferred()
        run_id = headers["request-id"]
        if self._is_crashed_by(path, body) or self._is_crashed_by_part(headers):
            return self._crash_soon(request, run_id, path)
        if "last-event-id" in headers and self._use_fault("rejects_resumed"):
            request.setHeader("request-id", run_id)
            request.setHeader("response-signature", f"sig-{self.name}")
            request.setResponseCode(409)
            return b"not resumed here"
        response_id = "f" * 16 if self._use_fault("foreign") else run_id
        request.setHeader("request-id", response_id)
        request.setHeader("response-signature", f"sig-{self.name}")
        if path.startswith("stream"):
            return self._stream(request, headers, int(path.rpartition("/")[2]))
        return self._whole(request, run_id)

    def _whole(self, request: Any, run_id: str) -> Any:
        if self._use_fault("unsigned"):
            request.responseHeaders.removeHeader(b"response-signature")
        if self._use_fault("fail"):
            request.setResponseCode(500)
            return b"failed"
        body = f"{self.name} {run_id}".encode()
        body += b"x" * self.faults.get("more_bytes", 0)
        if self._use_fault("torn"):
            request.setHeader("content-length", str(len(body) + 5))
            request.write(body)
            request.transport.loseConnection()
            return Deferred()
        if self._use_fault("unframed_reset") or self.faults.get("unframed"):
            request.clientproto = b"HTTP/1.0"
            request.write(body)
            if self.faults.get("unframed"):
                request.transport.loseConnection()
            else:
                reactor.callLater(0.01, request.transport.abortConnection)
            return Deferred()
        delay_s = self.faults.get("delay_ms", 0) / 1000
        return deferLater(reactor, delay_s, lambda: body)

    def _stream(self, request: Any, headers: dict[str, str], last: int) -> Any:
        run_id = headers["request-id"]
        self.open[run_id] = request
        if "kv-backup" in headers:
            self.peers[headers["kv-backup"]].copies.add(run_id)
        request.setHeader("content-type", "text/event-stream")
        request.notifyFinish().addErrback(lambda _: self._dropped(run_id, request))
        first = int(headers.get("last-event-id", 0)) + 1
        # An empty write sends the headers.
        request.write(b"")
        first_gap_s = self.faults.get("first_gap_ms", 0) / 1000
        reactor.callLater(first_gap_s, self._event, request, run_id, first, last)
        return Deferred()

    def _dropped(self, run_id: str, request: Any) -> None:
        """End a run whose caller has left; another of the same id goes on."""
        if self.open.get(run_id) is request:
            del self.open[run_id]

    def _event(self, request: Any, run_id: str, number: int, last: int) -> None:
        if run_id not in self.open or self.faults.get("dark"):
            return
        if request._disconnected:
            return
        if self.silent_s:
            reactor.callLater(self.silent_s, self._event, request, run_id, number, last)
            return
        if self.store.fills_link:
            reactor.callLater(
                _PIECE_INTERVAL_S, self._event, request, run_id, number, last
            )
            return
        if number > last:
            del self.open[run_id]
            request.finish()
            return
        event = b"id: %d\ndata: piece-%d\n\n" % (number, number)
        if self.faults.get("cut_at") == number:
            self.faults.pop("cut_at")
            del self.open[run_id]
            request.write(event[:9])
            reactor.callLater(0.005, request.transport.abortConnection)
            return
        if self.faults.get("dark_at") == number:
            self.faults["dark"] = True
            return
        if self.faults.get("mute_at") == number and self._use_fault("mutes"):
            # The connection stays open, and nothing tells of the run any more.
            del self.open[run_id]
            return
        if self._is_preempted(run_id, number):
            self._preempt(request, run_id, number, last)
            return
        request.write(event)
        gap_s = self.faults.get("gap_ms", 1000 * _EVENT_GAP_S) / 1000
        reactor.callLater(gap_s, self._event, request, run_id, number + 1, last)

    def _is_preempted(self, run_id: str, number: int) -> bool:
        """Whether a run is preempted at an event; each is only once."""
        if self.faults.get("preempt_at") != number or run_id in self.once_preempted:
            return False
        return self._use_fault("preempts")

    def _preempt(self, request: Any, run_id: str, number: int, last: int) -> None:
        """Queue a run again, as an engine that is out of memory does."""
        self.preempted[run_id] = self.open.pop(run_id)
        self.once_preempted.add(run_id)
        request.notifyFinish().addBoth(lambda _: self.preempted.pop(run_id, None))
        delay_s = self.faults["preempted_ms"] / 1000
        reactor.callLater(delay_s, self._go_on, request, run_id, number, last)

    def _go_on(self, request: Any, run_id: str, number: int, last: int) -> None:
        if self.preempted.pop(run_id, None) is not None:
            self.open[run_id] = request
            self._event(request, run_id, number, last)

    def _is_crashed_by(self, path: str, body: str) -> bool:
        text = self.faults.get("crashed_by", "")
        return bool(text) and (text in body or text in path)

    def _is_crashed_by_part(self, headers: dict[str, str]) -> bool:
        """Whether the prompt holds the part under which the server crashes."""
        parts = headers.get("prefix-hash", "").split(",")
        names = [part.partition(":")[0] for part in parts]
        return self.faults.get("crashed_by_part") in names[:-1]

    def _crash_soon(self, request: Any, run_id: str, path: str) -> Any:
        """Start the request and crash the server shortly after.

        A stream sends its headers and ``crash_events`` events before the crash.
        """
        down_s = self.faults.get("down_s", _DOWN_S)
        reactor.callLater(_CRASH_DELAY_S, self._crash_by, path, down_s)
        if path.startswith("stream"):
            request.setHeader("request-id", run_id)
            request.setHeader("response-signature", f"sig-{self.name}")
            request.setHeader("content-type", "text/event-stream")
            first = int(request.getHeader("last-event-id") or 0) + 1
            for number in range(first, first + self.faults.get("crash_events", 0)):
                request.write(b"id: %d\ndata: piece-%d\n\n" % (number, number))
            request.write(b"")
        return Deferred()

    def _until_closed(self, request: Any) -> Any:
        run_id = request.getHeader("request-id")
        self.open[run_id] = request
        request.notifyFinish().addErrback(lambda _: self._dropped(run_id, request))
        return Deferred()

    def _use_fault(self, fault: str) -> bool:
        """Use up one occurrence of a fault; return False if none is left."""
        if self.faults.get(fault, 0) <= 0:
            return False
        self.faults[fault] -= 1
        return True


def _control(store: Store, servers: dict[str, Server]) -> Klein:
    app = Klein()

    @app.route("/rows", methods=["POST"])
    def rows(request: Any) -> bytes:
        before = store.version
        for table, key, value in orjson.loads(request.content.read()):
            store.put(table, key, value)
        for table in ("op", "servers"):
            if any(row["ver"] > before for row in store.of(table)):
                store.wake(table)
        return b"{}"

    @app.route("/store", methods=["POST"])
    def fault(request: Any) -> bytes:
        body = orjson.loads(request.content.read())
        if body.pop("open_silent", False):
            # Waiting requests never get a response; new ones do.
            store.waiting.clear()
        if body.pop("abort_waiting", False):
            store.abort_waiting()
        if body.pop("copy", False):
            store.take_copy()
        if body.pop("restore", False):
            store.restore(body.pop("again_s", None))
        store.era_told = body.pop("era_told", store.era_told)
        if "beats_per_s" in body:
            store.beats_per_s = body.pop("beats_per_s")
            store.beat()
        if body.pop("compact", False):
            store.oldest = store.version
        if "gap" in body:
            store.open_gap(**body.pop("gap"))
        store.bytes_per_s = body.pop("bytes_per_s", store.bytes_per_s)
        store.stalls_at = body.pop("stalls_at", store.stalls_at)
        store.shares_link = body.pop("shares_link", store.shares_link)
        if "fault" in body:
            store.set_fault(body["fault"])
        return b"{}"

    @app.route("/store", methods=["GET"])
    def state(request: Any) -> bytes:
        suspect_keys = [r["key"] for r in store.of("suspects") if "value" in r]
        counters = {
            "calls": store.calls,
            "cut": store.cut,
            "kept": suspect_keys,
            "era": store.era,
        }
        counters["status"] = {
            row["key"]: orjson.loads(b64decode(row["value"]))
            for row in store.of("status")
            if "value" in row
        }
        return orjson.dumps(counters)

    @app.route("/servers/<name>", methods=["POST"])
    def server_faults(request: Any, name: str) -> bytes:
        servers[name].faults = orjson.loads(request.content.read())
        return b"{}"

    @app.route("/servers/<name>/identity", methods=["POST"])
    def identity(request: Any, name: str) -> bytes:
        servers[name].name = orjson.loads(request.content.read())
        return b"{}"

    @app.route("/servers/<name>/leave", methods=["POST"])
    def leave(request: Any, name: str) -> bytes:
        servers[name].leave()
        return b"{}"

    @app.route("/servers/<name>/crash", methods=["POST"])
    def crash(request: Any, name: str) -> bytes:
        servers[name].crash(**orjson.loads(request.content.read()))
        return b"{}"

    @app.route("/silence", methods=["POST"])
    def silence(request: Any) -> bytes:
        body = orjson.loads(request.content.read())
        for name in body["servers"]:
            servers[name].fall_silent(body["for_s"])
        return b"{}"

    @app.route("/servers", methods=["GET"])
    def ran(request: Any) -> bytes:
        states = {
            name: {
                "identity": server.name,
                "ran": server.ran,
                "arrived": server.arrived,
                "held": server.held,
                "crashed": server.crashed,
                "falls": server.falls_s,
                "open": list(server.open),
                "crashes": server.incarnation - (server.listener is not None),
                "worker_crashes": server.worker_crashes,
                "left_s": server.left_s,
                "state_requests": server.state_requests,
            }
            for name, server in servers.items()
        }
        return orjson.dumps(states)

    @app.route("/forget", methods=["POST"])
    def forget(request: Any) -> bytes:
        for server in servers.values():
            server.ran.clear()
            server.arrived.clear()
            server.held.clear()
            server.falls_s.clear()
            server.state_requests.clear()
            server.faults.clear()
        return b"{}"

    return app


def main() -> None:
    """Start the stand-in and run until the process is killed."""
    store = Store()
    names = [f"s{number}" for number in range(int(sys.argv[1]))]
    servers = {name: Server(name, store) for name in names}
    apps = [_control(store, servers), store.app]
    ports = [
        reactor.listenTCP(0, Site(app.resource()), interface="127.0.0.1").getHost().port
        for app in apps
    ]
    for server in servers.values():
        ports.append(server.listen())
        server.address = f"127.0.0.1:{server.port}"
    for server in servers.values():
        server.peers = {peer.address: peer for peer in servers.values()}
    print("listening", *ports, flush=True)
    reactor.run()


if __name__ == "__main__":
    main()

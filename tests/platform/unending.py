"""A server that sends bytes without end in place of an answer, until it is closed.

It answers report requests as a sound server does, unless the report is what has no end.
Each connection is served by a thread of the test's own process.
"""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import orjson
from attrs import define, field, frozen

__all__ = ["KINDS", "Exchange", "UnendingServer", "unending_server"]

_BLOCK_BYTES = 256 * 1024
_BYTES_PER_S = 20_000_000
_REPORT = orjson.dumps(
    {"queued": 0, "running": 0, "kv-used": 0, "kv-total": 90_000, "runs": []}
)
_STATUS = b"HTTP/1.1 200 OK\r\n"
_OWN = b"Request-Id: %(id)s\r\nResponse-Signature: sig-u\r\n"
_STREAM = _STATUS + _OWN + b"Content-Type: text/event-stream\r\n\r\n"


@frozen
class Kind:
    """What a server sends: ``first`` once, then ``more`` again and again."""

    first: bytes
    more: bytes


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


KINDS = {
    "header_lines": Kind(_STATUS + _OWN, b"X-More: " + b"x" * 1_000 + b"\r\n"),
    "one_header_line": Kind(_STATUS + _OWN + b"X-More: ", b"x" * 1_000),
    "interim_answers": Kind(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "no_protocol": Kind(b"", b"\xff\x00~" * 300),
    "chunks": Kind(
        _STATUS + _OWN + b"Transfer-Encoding: chunked\r\n\r\n", _chunk(b"x" * 8_000)
    ),
    "chunk_extensions": Kind(
        _STATUS + _OWN + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1;" + b"e" * 900 + b"\r\nx\r\n",
    ),
    "huge_length": Kind(
        _STATUS + _OWN + b"Content-Length: 1000000000000\r\n\r\n", b"x" * 8_000
    ),
    "until_closed": Kind(_STATUS + _OWN + b"\r\n", b"x" * 8_000),
    "failure_body": Kind(
        b"HTTP/1.1 500 Internal Server Error\r\n" + _OWN + b"\r\n", b"x" * 8_000
    ),
    "data_line": Kind(_STREAM + b"id: 1\ndata: ", b"x" * 8_000),
    "data_lines": Kind(_STREAM + b"id: 1\n", b"data: " + b"x" * 1_000 + b"\n"),
    "comment": Kind(_STREAM + b": ", b"x" * 8_000),
    "no_text": Kind(_STREAM, b"\xff\x00~" * 300),
    "report": Kind(_STATUS + b"\r\n", b"x" * 8_000),
}


@define
class Exchange:
    """One connection: when it came, how much was sent, and when it was closed."""

    opened_s: float
    sent_bytes: int = 0
    closed_s: float | None = None

    @property
    def kept_s(self) -> float:
        """How long the connection was kept, or has been until now."""
        return (self.closed_s or time.monotonic()) - self.opened_s


@define(eq=False)
class UnendingServer:
    """Listens on loopback and sends ``kind`` to each request."""

    kind: str
    address: str = ""
    exchanges: list[Exchange] = field(factory=list)
    _listener: socket.socket = field(factory=socket.socket)

    def start(self) -> None:
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with suppress(OSError), connection:
            request = _read_head(connection)
            is_report = b"GET /coursekeel/report" in request
            if is_report != (self.kind == "report"):
                length = len(_REPORT) if is_report else 0
                head = b"Content-Length: %d\r\nConnection: close\r\n\r\n" % length
                connection.sendall(_STATUS + head + (_REPORT if is_report else b""))
                return
            exchange = Exchange(time.monotonic())
            self.exchanges.append(exchange)
            try:
                self._send(connection, KINDS[self.kind], _request_id(request), exchange)
            finally:
                exchange.closed_s = time.monotonic()

    def _send(
        self, connection: socket.socket, kind: Kind, request_id: bytes, to: Exchange
    ) -> None:
        connection.sendall(kind.first.replace(b"%(id)s", request_id))
        block = kind.more * (_BLOCK_BYTES // len(kind.more))
        while True:
            connection.sendall(block)
            to.sent_bytes += len(block)
            due_s = to.opened_s + to.sent_bytes / _BYTES_PER_S
            time.sleep(max(0.0, due_s - time.monotonic()))


def _read_head(connection: socket.socket) -> bytes:
    request = b""
    while b"\r\n\r\n" not in request:
        data = connection.recv(65_536)
        if not data:
            raise ConnectionError("the request ended before its head")
        request += data
    return request


def _request_id(request: bytes) -> bytes:
    for line in request.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"request-id":
            return value.strip()
    return b""


@contextmanager
def unending_server(kind: str) -> Iterator[UnendingServer]:
    server = UnendingServer(kind)
    server.start()
    try:
        yield server
    finally:
        server.stop()

"""A small HTTP/1.1 server on asyncio, whose handlers own the bytes of the answer."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

_RESET = struct.pack("ii", 1, 0)

# Errors of the stand-ins themselves; with one, a case has not run.
faults: list[str] = []


@dataclass(eq=False)
class Connection:
    """One accepted connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def write(self, data: bytes) -> None:
        """Write bytes, unless the connection is closed."""
        if not self.writer.is_closing():
            self.writer.write(data)

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None and not self.writer.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.writer.transport.abort()

    async def closed_by_peer(self) -> None:
        """Return once the peer has closed the connection."""
        try:
            while await self.reader.read(1024):
                pass
        except OSError:
            pass


@dataclass
class Request:
    """One request; the names of headers are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Connection, Request], Awaitable[None]]
Accept = Callable[[Connection], bool]


def answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; None if the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        pairs = (line.split(":", 1) for line in lines[1:] if line)
        headers = {name.lower(): value.strip() for name, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(method, target, headers, body)


async def listen(
    host: str, port: int, handle: Handler, accept: Accept = lambda _: True
) -> asyncio.Server:
    """Serve requests; a connection for which ``accept`` is false isn't read."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        try:
            if not accept(connection):
                return
            while not writer.is_closing():
                request = await read_request(reader)
                if request is None:
                    break
                await handle(connection, request)
        except (OSError, asyncio.CancelledError):
            pass
        except Exception as failure:
            faults.append(repr(failure))
        finally:
            if not writer.is_closing():
                writer.close()

    return await asyncio.start_server(serve, host, port)

"""A client of the platform: one connection for many requests, answers read to the end.

It gives a stream up after the gap that the pages name.
"""

import asyncio
import itertools
from dataclasses import dataclass, field

from review.record import Record

HOST = "review.example"
_NUMBERS = itertools.count(1)


@dataclass
class Answer:
    """What a client saw; ``end`` is one of `complete`, `cut`, `no answer`, `gave up`.

    Times are in seconds of the record. ``ended_s`` is when the answer had ended for the
    client, by the gateway or because the client gave up.
    """

    request_id: str
    sent_s: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    end: str = "no answer"
    ended_s: float = 0.0


class Client:
    """One client; its connection is kept until it breaks."""

    def __init__(self, record: Record, gateway: tuple[str, int], key: str) -> None:
        self.record = record
        self.gateway = gateway
        self.key = key
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 25_000,
        gap_s: float = 18.0,
        prompt_tokens: int = 0,
        model: str = "m",
    ) -> Answer:
        """Send a request, and read its answer."""
        request_id = f"{next(_NUMBERS):016x}"
        if self._writer is None or self._writer.is_closing():
            self._reader, self._writer = await asyncio.open_connection(*self.gateway)
        lines = [
            f"{'POST' if body else 'GET'} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {self.key}",
        ]
        if prompt_tokens:
            lines += [
                f"Model: {model}",
                f"Token-Usage: {prompt_tokens},400",
                f"Prefix-Hash: 5c1e07a2:200,{request_id}:{prompt_tokens - 200}",
            ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        found = Answer(request_id, self.record.now_s())
        self.record.add("sent", id=request_id, path=path, to=self.gateway[0])
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self._read(found, gap_s)
        except TimeoutError:
            found.end = "gave up"
        except (asyncio.IncompleteReadError, OSError, ValueError):
            found.end = "cut" if found.status else "no answer"
        found.ended_s = self.record.now_s()
        if found.end != "complete":
            self.close()
        self.record.add(
            "answer",
            id=request_id,
            status=found.status or "none",
            end=found.end.replace(" ", "_"),
            events=found.body.count(b"\n\n"),
            bytes=len(found.body),
        )
        return found

    async def _read(self, found: Answer, gap_s: float) -> None:
        assert self._reader is not None
        head = await asyncio.wait_for(self._reader.readuntil(b"\r\n\r\n"), gap_s)
        lines = head.decode("latin-1").split("\r\n")
        found.status = int(lines[0].split(" ")[1])
        pairs = (line.split(":", 1) for line in lines[1:] if line)
        found.headers = {name.lower(): value.strip() for name, value in pairs}
        if "content-length" in found.headers:
            length = int(found.headers["content-length"])
            found.body = await self._reader.readexactly(length)
        else:
            await self._read_chunks(found, gap_s)
        found.end = "complete"

    async def _read_chunks(self, found: Answer, gap_s: float) -> None:
        assert self._reader is not None
        while True:
            line = await asyncio.wait_for(self._reader.readuntil(b"\r\n"), gap_s)
            size = int(line, 16)
            data = await self._reader.readexactly(size + 2)
            if not size:
                return
            found.body += data[:-2]

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

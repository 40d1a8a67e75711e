"""A client of an entry's HTTP interface for the command line."""

from http.client import HTTPConnection, HTTPException
from typing import Any, TextIO
from urllib.parse import urlsplit

import orjson
from attrs import define

from coursekeel.errors import CoursekeelError

__all__ = ["EntryClient"]

# Longer than an entry needs for any response.
_TIMEOUT_S = 30


@define
class EntryClient:
    """Sends requests to one entry, without an event loop."""

    entry: str
    key: str

    def request(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send one request; returns the response's status and parsed JSON."""
        response = self._send(method, path, body, "application/json")
        return response.status, orjson.loads(response.read() or b"{}")

    def follow(self, request_id: str, out: TextIO) -> int:
        """Stream an answer's text to ``out``; returns 0 if it was complete, else 1."""
        path = f"/v1/answers/{request_id}"
        response = self._send("GET", path, None, "text/event-stream")
        if response.status != 200:
            out.write(response.read().decode() + "\n")
            return 1
        for line in response:
            if line.startswith(b"data: [DONE]"):
                out.write("\n")
                return 0
            if line.startswith(b"data: "):
                out.write(_text(orjson.loads(line[6:])))
                out.flush()
        return 1

    def _send(self, method: str, path: str, body: Any, accept: str) -> Any:
        url = urlsplit(self.entry)
        if url.scheme != "http" or not url.hostname:
            raise CoursekeelError(
                f"--entry: got {self.entry!r}, expected http://HOST:PORT"
            )
        connection = HTTPConnection(url.hostname, url.port or 80, timeout=_TIMEOUT_S)
        data = body if body is None or isinstance(body, bytes) else orjson.dumps(body)
        headers = {"authorization": f"Bearer {self.key}", "accept": accept}
        try:
            connection.request(method, path, data, headers)
            return connection.getresponse()
        except (OSError, HTTPException) as failure:
            raise CoursekeelError(f"{self.entry}: {failure}") from failure


def _text(event: dict[str, Any]) -> str:
    choices = event.get("choices") or [{}]
    choice = choices[0]
    text = choice.get("text") or choice.get("delta", {}).get("content") or ""
    return str(text)

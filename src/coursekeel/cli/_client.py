"""What the command line needs of an entry's HTTP interface."""

from http.client import HTTPConnection, HTTPException
from typing import Any, TextIO
from urllib.parse import urlsplit

import orjson
from attrs import define

from coursekeel.errors import CoursekeelError

__all__ = ["EntryClient"]

# For one question of the command line. Longer than an entry needs for any answer.
_TIMEOUT_S = 30


@define
class EntryClient:
    """Asks one entry. The command line needs no event loop, so none is started."""

    entry: str
    key: str

    def ask(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send one request; returns its status and JSON."""
        response = self._send(method, path, body, "application/json")
        return response.status, orjson.loads(response.read() or b"{}")

    def follow(self, request_id: str, out: TextIO) -> int:
        """Write an answer's text as it comes; 0 if it came whole."""
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
        place = urlsplit(self.entry)
        if place.scheme != "http" or not place.hostname:
            raise CoursekeelError(
                f"--entry: got {self.entry!r}, expected http://HOST:PORT"
            )
        connection = HTTPConnection(
            place.hostname, place.port or 80, timeout=_TIMEOUT_S
        )
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
    found = choice.get("text") or choice.get("delta", {}).get("content") or ""
    return str(found)

"""A caller that holds what it was given and comes back when it is cut off."""

import time
from http.client import HTTPException
from typing import Any

import orjson

from standins._tokens import first_foreign_token
from standins.site import Http


class Caller:
    """One request and the tokens held for it, exactly as a client would keep them."""

    def __init__(self, request: dict[str, Any], key: str, request_id: str) -> None:
        self.request = {**request, "stream": True}
        self.key = key
        self.request_id = request_id
        self.tokens: list[int] = []
        self.event_id = ""
        self.events: list[str] = []
        self.times: list[float] = []
        self.event_ids: list[str] = []
        self.finished = False
        self.error: dict[str, Any] | None = None
        self.status = 0

    def post(self, port: int, timeout_s: float = 30) -> "Caller":
        """Send the request, or send it again, and read to the end or the cut."""
        headers = {"idempotency-key": self.request_id}
        return self._read(port, "POST", "/v1/completions", headers, timeout_s)

    def follow(self, port: int, timeout_s: float = 30) -> "Caller":
        """Come back for the rest."""
        headers = {"accept": "text/event-stream"}
        path = f"/v1/answers/{self.request_id}"
        return self._read(port, "GET", path, headers, timeout_s)

    def _read(
        self,
        port: int,
        method: str,
        path: str,
        headers: dict[str, str],
        timeout_s: float,
    ) -> "Caller":
        self.error = None
        if self.event_id:
            headers["last-event-id"] = self.event_id
        body = self.request if method == "POST" else None
        try:
            http = Http(port, self.key)
            response = http.open(method, path, body, headers, timeout_s)
            self.status = response.status
            if response.status != 200:
                self.error = orjson.loads(response.read())["error"]
                return self
            self._events(response)
        except (OSError, HTTPException, ValueError):
            self.events.append("cut")
        return self

    def _events(self, response: Any) -> None:
        name = event_id = ""
        for raw in response:
            field, _, value = raw.decode().rstrip("\n").partition(": ")
            if field == "id":
                event_id = value
            elif field == "event":
                name = value
            elif field == "data":
                self._take(name, event_id, value)
                name = event_id = ""
                if self.finished or self.error:
                    return

    def _take(self, name: str, event_id: str, data: str) -> None:
        if data == "[DONE]":
            self.finished = True
            return
        body = orjson.loads(data)
        if name:
            self.events.append(name)
            if name == "restart":
                self.tokens.clear()
                self.event_id = ""
            if name == "error":
                self.error = body["error"]
            return
        self.event_id = event_id
        self.tokens += body["choices"][0]["token_ids"]
        self.times.append(time.monotonic())
        self.event_ids.append(event_id)

    @property
    def whole(self) -> bool:
        """Finished, of the asked length, and each token made from all before it."""
        return (
            self.finished
            and len(self.tokens) == self.request["max_tokens"]
            and first_foreign_token(self.request, self.tokens) is None
        )

"""A stand-in of the platform's store: rows of tables, with feeds and conditions."""

import asyncio
import json
import time
from base64 import b64encode
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.http import Connection, Request, answer, listen

_JSON = {"Content-Type": "application/json"}


class Store:
    """Answers `rows-get`, `rows-feed` and `rows-tx` as the pages describe them."""

    def __init__(self) -> None:
        self.version = 1
        self.address = ""
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen."""
        self.address = f"{host}:{port}"
        return await listen(host, port, self._handle)

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row; None removes it."""
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        if value is None:
            row["gone"] = True
        else:
            row["value"] = b64encode(json.dumps(value).encode()).decode()
        self._set(row)

    def _set(self, row: dict[str, Any]) -> None:
        self._rows[(row["table"], row["key"])] = row
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, connection: Connection, request: Request) -> None:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match parts.path.rpartition("/")[2]:
            case "rows-get":
                page = self._get(query)
            case "rows-feed":
                page = await self._feed(query)
            case "rows-tx":
                connection.write(self._change(json.loads(request.body)))
                return
            case _:
                connection.write(answer(404))
                return
        page |= {"ver": self.version, "now_ms": time.monotonic() * 1000}
        connection.write(answer(200, json.dumps(page).encode(), _JSON))

    def _of(self, table: str) -> list[dict[str, Any]]:
        return [row for row in self._rows.values() if row["table"] == table]

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        present = [row for row in self._of(query["table"]) if "gone" not in row]
        first = query.get("from", "")
        rows = sorted(
            (row for row in present if row["key"] >= first), key=lambda row: row["key"]
        )
        return {"rows": rows, "more": False}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        since = int(query["since-rev"])
        end_s = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            rows = [row for row in self._of(query["table"]) if row["ver"] > since]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return {"rows": sorted(rows, key=lambda row: row["ver"])}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _change(self, call: dict[str, Any]) -> bytes:
        for expected in call.get("expected-rev", []):
            row = self._rows.get((expected["table"], expected["key"]), {"gone": True})
            if expected["ver"] != (0 if "gone" in row else row["ver"]):
                return answer(412, json.dumps({"rows": []}).encode(), _JSON)
        self.version += 1
        for put in call.get("put", []):
            self._set({**put, "ver": self.version})
        for removed in call.get("remove", []):
            self._set({**removed, "ver": self.version, "gone": True})
        body = {"ver": self.version, "now_ms": time.monotonic() * 1000}
        return answer(200, json.dumps(body).encode(), _JSON)

"""The platform's table, objects and instance list, in memory, with outages."""

import time
from typing import Any

import orjson
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

_Version = tuple[int, dict[str, Any]]


class PlatformStandIn:
    def __init__(self, reactor: Any, lag_ms: float) -> None:
        self.reactor = reactor
        self.lag_ms = lag_ms
        self.rows: dict[str, _Version] = {}
        self.versions = 0
        self.objects: dict[str, bytes] = {}
        self.instances: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]
        self.counts = {"table_writes": 0, "table_reads": 0, "puts": 0, "gets": 0}
        self.faults: dict[str, Any] = {}
        self.app = _routes(self)

    def transact(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        wrong = {
            key: self._shown(key)
            for key, version in order["expected"].items()
            if self.rows.get(key, (0, {}))[0] != version
        }
        if wrong:
            return 409, {"rows": wrong}
        written = {}
        for key, value in order["writes"].items():
            self.versions += 1
            written[key] = self.versions
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (self.versions, value)
        return 200, {"versions": written}

    def _shown(self, key: str) -> dict[str, Any] | None:
        row = self.rows.get(key)
        return None if row is None else {"version": row[0], "value": row[1]}

    def shown(self, keys: list[str]) -> dict[str, Any]:
        return {"rows": {key: self._shown(key) for key in keys if key in self.rows}}

    def change_list(self, changes: list[dict[str, Any]]) -> None:
        for each in changes:
            if each.get("gone"):
                self.instances.pop(each["instance_id"], None)
            else:
                known = self.instances.get(each["instance_id"], {})
                self.instances[each["instance_id"]] = {**known, **each}
        self.history.append((time.monotonic(), list(self.instances.values())))

    def lagging_list(self) -> list[dict[str, Any]]:
        seen = time.monotonic() - self.lag_ms / 1000
        return [rows for at, rows in self.history if at <= seen][-1]

    def refuses(self, fault: str) -> bool:
        return bool(self.faults.get("outage") or self.faults.get(fault))


def _routes(platform: PlatformStandIn) -> Klein:
    app = Klein()

    def answer(request: Any, code: int, body: Any, write: bool) -> Any:
        """Answer as the faults that are set allow."""
        if write and platform.faults.get("lose_answers", 0) > 0:
            platform.faults["lose_answers"] -= 1
            request.transport.abortConnection()
            return Deferred()
        request.setResponseCode(code)
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        delay_ms = platform.faults.get("delay_ms", 0)
        if delay_ms:
            return deferLater(platform.reactor, delay_ms / 1000, lambda: data)
        return data

    def refused(request: Any, fault: str = "store_down") -> Any:
        if platform.faults.get("hang"):
            return Deferred()
        if platform.refuses(fault):
            request.setResponseCode(503)
            return b"{}"
        return None

    @app.route("/table/transact", methods=["POST"])
    def transact(request: Any) -> Any:
        no = refused(request)
        if no is not None:
            return no
        platform.counts["table_writes"] += 1
        code, body = platform.transact(orjson.loads(request.content.read()))
        return answer(request, code, body, write=True)

    @app.route("/table/read", methods=["POST"])
    def read(request: Any) -> Any:
        no = refused(request)
        if no is not None:
            return no
        platform.counts["table_reads"] += 1
        keys = orjson.loads(request.content.read())["keys"]
        return answer(request, 200, platform.shown(keys), write=False)

    @app.route("/table/scan")
    def scan(request: Any) -> Any:
        no = refused(request)
        if no is not None:
            return no
        platform.counts["table_reads"] += 1
        prefix = request.args[b"prefix"][0].decode()
        limit = int(request.args[b"limit"][0])
        keys = sorted(key for key in platform.rows if key.startswith(prefix))
        return answer(request, 200, platform.shown(keys[:limit]), write=False)

    @app.route("/objects/<path:key>", methods=["PUT", "GET", "DELETE"])
    def objects(request: Any, key: str) -> Any:
        no = refused(request)
        if no is not None:
            return no
        if request.method == b"GET":
            platform.counts["gets"] += 1
            data = platform.objects.get(key)
            return answer(request, 404 if data is None else 200, data or b"", False)
        platform.counts["puts"] += 1
        if request.method == b"PUT":
            platform.objects[key] = request.content.read()
        else:
            platform.objects.pop(key, None)
        return answer(request, 200, {}, write=True)

    @app.route("/instances", methods=["GET"])
    def instances(request: Any) -> Any:
        no = refused(request, "list_down")
        if no is not None:
            return no
        return answer(request, 200, {"instances": platform.lagging_list()}, False)

    @app.route("/control/instances", methods=["POST"])
    def change(request: Any) -> bytes:
        platform.change_list(orjson.loads(request.content.read()))
        return b"{}"

    @app.route("/control/faults", methods=["POST"])
    def faults(request: Any) -> bytes:
        platform.faults.update(orjson.loads(request.content.read()))
        return b"{}"

    @app.route("/control/state")
    def state(request: Any) -> bytes:
        return orjson.dumps(
            {
                "counts": platform.counts,
                "rows": platform.shown(list(platform.rows))["rows"],
                "objects": {key: len(data) for key, data in platform.objects.items()},
            }
        )

    return app

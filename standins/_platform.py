"""The stand-in of the product's own platform, before which an entry runs.

Its table, objects and instance list in memory, with outages. Two others stand in for
other things: `tests/platform/standin.py` for the users' platform and its servers,
before which a gateway runs; `tests/common/fake_platform.py` for this one inside a
test's own process, where a core is driven without sockets.
"""

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
    faulted = _Faulted(platform)
    _table_routes(app, platform, faulted)
    _object_routes(app, platform, faulted)
    _control_routes(app, platform)

    @app.route("/instances", methods=["GET"])
    def instances(request: Any) -> Any:
        no = faulted.refused(request, "list_down")
        if no is not None:
            return no
        listed = {"instances": platform.lagging_list()}
        return faulted.answer(request, 200, listed, write=False)

    return app


class _Faulted:
    """Answers as the faults that are set allow."""

    def __init__(self, platform: PlatformStandIn) -> None:
        self.platform = platform

    def answer(self, request: Any, code: int, body: Any, write: bool) -> Any:
        platform = self.platform
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

    def refused(self, request: Any, fault: str = "store_down") -> Any:
        """What a request gets that isn't served at all; None if it is."""
        if self.platform.faults.get("hang"):
            return Deferred()
        if self.platform.refuses(fault):
            request.setResponseCode(503)
            return b"{}"
        return None


def _table_routes(app: Klein, platform: PlatformStandIn, faulted: _Faulted) -> None:
    @app.route("/table/transact", methods=["POST"])
    def transact(request: Any) -> Any:
        no = faulted.refused(request)
        if no is not None:
            return no
        platform.counts["table_writes"] += 1
        code, body = platform.transact(orjson.loads(request.content.read()))
        return faulted.answer(request, code, body, write=True)

    @app.route("/table/read", methods=["POST"])
    def read(request: Any) -> Any:
        no = faulted.refused(request)
        if no is not None:
            return no
        platform.counts["table_reads"] += 1
        keys = orjson.loads(request.content.read())["keys"]
        return faulted.answer(request, 200, platform.shown(keys), write=False)

    @app.route("/table/scan")
    def scan(request: Any) -> Any:
        no = faulted.refused(request)
        if no is not None:
            return no
        platform.counts["table_reads"] += 1
        prefix = request.args[b"prefix"][0].decode()
        limit = int(request.args[b"limit"][0])
        keys = sorted(key for key in platform.rows if key.startswith(prefix))
        return faulted.answer(request, 200, platform.shown(keys[:limit]), write=False)


def _object_routes(app: Klein, platform: PlatformStandIn, faulted: _Faulted) -> None:
    @app.route("/objects/<path:key>", methods=["PUT", "GET", "DELETE"])
    def objects(request: Any, key: str) -> Any:
        no = faulted.refused(request)
        if no is not None:
            return no
        if request.method == b"GET":
            platform.counts["gets"] += 1
            data = platform.objects.get(key)
            code = 404 if data is None else 200
            return faulted.answer(request, code, data or b"", write=False)
        platform.counts["puts"] += 1
        if request.method == b"PUT":
            platform.objects[key] = request.content.read()
        else:
            platform.objects.pop(key, None)
        return faulted.answer(request, 200, {}, write=True)


def _control_routes(app: Klein, platform: PlatformStandIn) -> None:
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

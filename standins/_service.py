"""A plain service that counts how often each call ran."""

import os
from typing import Any

import orjson
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

# From the beginning of a run that ends its endpoint to that end: 54 to 121 ms in a
# recorded day.
CRASH_S = 0.06


class ServiceStandIn:
    def __init__(self, reactor: Any, name: str) -> None:
        self.reactor = reactor
        self.name = name
        self.ran: dict[str, int] = {}
        self.faults: dict[str, Any] = {}
        self.app = _routes(self)


def _routes(service: ServiceStandIn) -> Klein:
    app = Klein()

    @app.route("/control/faults", methods=["POST"])
    def faults(request: Any) -> bytes:
        service.faults.update(orjson.loads(request.content.read()))
        return b"{}"

    @app.route("/control/ran")
    def ran(request: Any) -> bytes:
        return orjson.dumps(service.ran)

    @app.route("/status")
    def status(request: Any) -> bytes:
        return orjson.dumps(
            {
                "name": service.name,
                "incarnation": "1",
                "leaving": bool(service.faults.get("leaving")),
                "running": 0,
                "queued": 0,
                "slots": 256,
                "models": [],
                "epochs": {},
            }
        )

    @app.route("/<path:path>", methods=["GET", "POST", "PUT", "DELETE"])
    def call(request: Any, path: str) -> Any:
        key = request.getHeader("idempotency-key") or path
        service.ran[key] = service.ran.get(key, 0) + 1
        answer = orjson.dumps({"path": path, "key": key, "times": service.ran[key]})
        text = service.faults.get("crashed_by")
        if text and text in request.content.getvalue().decode():
            service.reactor.callLater(CRASH_S, os._exit, 137)
            return Deferred()
        if service.faults.get("lose_answers", 0) > 0:
            service.faults["lose_answers"] -= 1
            request.transport.abortConnection()
            return Deferred()
        request.setHeader("content-type", "application/json")
        delay_ms = service.faults.get("delay_ms", 0)
        return deferLater(service.reactor, delay_ms / 1000, lambda: answer)

    return app

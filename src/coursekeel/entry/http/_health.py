"""What a balancer and a collector of metrics ask of an entry."""

from typing import Any

from attrs import define
from klein import Klein

from coursekeel.entry.http._common import send_json
from coursekeel.entry.http._gate import Gate
from coursekeel.observe import Metrics

__all__ = ["HealthApi"]


@define(eq=False)
class HealthApi:
    """Says whether the entry lives and may be given callers, and what it counted."""

    gate: Gate
    metrics: Metrics

    def routes(self, app: Klein) -> None:
        """Add the routes that need no key."""
        app.route("/healthz")(self.healthz)
        app.route("/readyz")(self.readyz)
        app.route("/metrics")(self.show_metrics)

    def healthz(self, request: Any) -> bytes:
        """The process lives."""
        return send_json(request, 200, {"healthy": True})

    def readyz(self, request: Any) -> bytes:
        """The balancer's question: may this entry be given callers?"""
        ready = self.gate.configuration.ready and not self.gate.draining
        return send_json(request, 200 if ready else 503, {"ready": ready})

    def show_metrics(self, request: Any) -> bytes:
        """Everything counted, in the form that the collector asks for."""
        content, headers = self.metrics.render([request.getHeader("accept") or ""])
        for name, value in headers.items():
            request.setHeader(name, value)
        return content

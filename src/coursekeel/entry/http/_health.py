"""HTTP interface for load balancers and metrics collectors."""

from typing import Any

from attrs import define
from klein import Klein

from coursekeel.entry.http._common import send_json
from coursekeel.entry.http._gate import Gate
from coursekeel.observe import Metrics

__all__ = ["HealthApi"]


@define(eq=False)
class HealthApi:
    """Serves liveness, readiness and metrics; needs no key."""

    gate: Gate
    metrics: Metrics

    def routes(self, app: Klein) -> None:
        """Add the routes."""
        app.route("/healthz")(self.healthz)
        app.route("/readyz")(self.readyz)
        app.route("/metrics")(self.show_metrics)

    def healthz(self, request: Any) -> bytes:
        """Liveness: 200 whenever the process can answer."""
        return send_json(request, 200, {"healthy": True})

    def readyz(self, request: Any) -> bytes:
        """Readiness: 200 if the balancer may send callers here, else 503."""
        ready = self.gate.configuration.ready and not self.gate.draining
        return send_json(request, 200 if ready else 503, {"ready": ready})

    def show_metrics(self, request: Any) -> bytes:
        """All metrics, in the format of the request's Accept header."""
        content, headers = self.metrics.render([request.getHeader("accept") or ""])
        for name, value in headers.items():
            request.setHeader(name, value)
        return content

"""HTTP interface for callers: calls to plain services."""

from typing import Any

from attrs import define
from klein import Klein

from coursekeel.calls import CallReply
from coursekeel.entry._calls_task import CallRequest, CallsTask
from coursekeel.entry.answers._sinks import Refusal
from coursekeel.entry.http._common import not_run, refuse
from coursekeel.entry.http._gate import Gate, check_id
from coursekeel.errors import RequestInvalid
from coursekeel.intents import Intent, ServiceIntent, TeamIntent
from coursekeel.observe import Metrics
from coursekeel.runtime import Clock

__all__ = ["ServiceApi"]

_CALL_MESSAGES = {
    "in_progress": "a call with this key is under way, or its entry died in it",
    "key_reused": "this key was used for another call",
    "refused_before": "a call with this key was refused; use a new key",
    "answer_lost": "the call was sent and its answer was lost",
    "store_unavailable": "the store can't be asked whether the key is new",
    "claim_unsure": "whether the key is new can't be settled now",
    "no_endpoint": "no endpoint of the service takes calls now",
    "request_stops_engines": "endpoints ended under this call",
}


@define(eq=False)
class ServiceApi:
    """Validates calls and passes them to `CallsTask`."""

    gate: Gate
    calls: CallsTask
    clock: Clock
    metrics: Metrics

    def routes(self, app: Klein) -> None:
        """Add the services' route."""
        methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        app.route("/services/<service>/<path:path>", methods=methods)(self.service)

    @property
    def _intent(self) -> Intent:
        return self.gate.configuration.intent

    async def service(self, request: Any, service: str, path: str) -> Any:
        """Forward one call to a plain service."""
        team = self.gate.admit(request)
        if isinstance(team, Refusal):
            return refuse(request, team)
        service_intent = self._intent.service(service)
        if service_intent is None or service not in team.services:
            text = f"team {team.name} has no service {service!r}"
            return refuse(request, not_run("not_found", text))
        call = self._call_request(request, team, service_intent, path)
        if isinstance(call, Refusal):
            return refuse(request, call)
        started_ms = self.clock.now_ms()
        self.gate.open_requests += 1
        try:
            reply = await self.calls.call(call)
        finally:
            self.gate.open_requests -= 1
        self._record_metrics(call, reply, started_ms)
        return _send_call_reply(request, reply)

    def _call_request(
        self, request: Any, team: TeamIntent, service: ServiceIntent, path: str
    ) -> CallRequest | Refusal:
        key = request.getHeader("idempotency-key") or ""
        try:
            if key:
                check_id(key)
        except RequestInvalid as fault:
            return not_run("bad_request", str(fault))
        query = request.uri.partition(b"?")[2].decode("ascii", "replace")
        call = CallRequest(
            team=team,
            service=service,
            policy=self._intent.request_class(service.request_class),
            method=request.method.decode(),
            path=f"/{path}" + (f"?{query}" if query else ""),
            content_type=request.getHeader("content-type") or "",
            body=request.content.getvalue(),
            key=key,
        )
        if call.route is None:
            text = f"service {service.name} has no route {call.method} {call.path}"
            return not_run("not_found", text)
        return call

    def _record_metrics(
        self, call: CallRequest, reply: CallReply, started_ms: float
    ) -> None:
        labels = {"team": call.team.name, "class": call.policy.name}
        took_s = (self.clock.now_ms() - started_ms) / 1000
        self.metrics.call_s.observe(labels, took_s)
        self.metrics.requests.inc({**labels, "outcome": reply.code or "finished"})


def _send_call_reply(request: Any, reply: CallReply) -> bytes:
    if reply.reply is not None:
        request.setResponseCode(reply.reply.status)
        request.setHeader("content-type", reply.reply.content_type)
        if reply.repeated:
            request.setHeader("idempotent-replayed", "true")
        return reply.reply.body
    message = _CALL_MESSAGES.get(reply.code, reply.code)
    # The call's core reports "not run" only if the stored claim confirms it.
    refusal = Refusal(reply.code, message, reply.run, reply.retry_after_ms)
    return refuse(request, refusal, confirmed=True)

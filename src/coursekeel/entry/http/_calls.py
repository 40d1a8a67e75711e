"""The callers' interface to plain services."""

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
    """Checks calls and hands them to the task that carries them."""

    gate: Gate
    calls: CallsTask
    clock: Clock
    metrics: Metrics

    def routes(self, app: Klein) -> None:
        """Add the services' route."""
        every = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        app.route("/services/<service>/<path:path>", methods=every)(self.service)

    @property
    def _intent(self) -> Intent:
        return self.gate.configuration.intent

    async def service(self, request: Any, service: str, path: str) -> Any:
        """Carry one call to a plain service."""
        team = self.gate.admit(request)
        if isinstance(team, Refusal):
            return refuse(request, team)
        found = self._intent.service(service)
        if found is None or service not in team.services:
            text = f"team {team.name} has no service {service!r}"
            return refuse(request, not_run("not_found", text))
        wanted = self._call_request(request, team, found, path)
        if isinstance(wanted, Refusal):
            return refuse(request, wanted)
        started_ms = self.clock.now_ms()
        self.gate.open_requests += 1
        try:
            reply = await self.calls.call(wanted)
        finally:
            self.gate.open_requests -= 1
        self._count(wanted, reply, started_ms)
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
        wanted = CallRequest(
            team=team,
            service=service,
            policy=self._intent.request_class(service.request_class),
            method=request.method.decode(),
            path=f"/{path}" + (f"?{query}" if query else ""),
            content_type=request.getHeader("content-type") or "",
            body=request.content.getvalue(),
            key=key,
        )
        if wanted.route is None:
            text = f"service {service.name} has no route {wanted.method} {wanted.path}"
            return not_run("not_found", text)
        return wanted

    def _count(self, wanted: CallRequest, reply: CallReply, started_ms: float) -> None:
        labels = {"team": wanted.team.name, "class": wanted.policy.name}
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
    # The call's core says "not run" only with its proof.
    refusal = Refusal(reply.code, message, reply.run, reply.retry_after_ms)
    return refuse(request, refusal, proved=True)

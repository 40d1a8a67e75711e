"""The task that runs calls to plain services."""

import math
from functools import cached_property
from typing import Any
from uuid import uuid4

from attrs import define, evolve, field
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from coursekeel.calls import (
    CallAction,
    CallArrived,
    CallCore,
    CallEvent,
    CallPolicy,
    CallReply,
    ClaimRead,
    ClaimRow,
    ClaimWritten,
    OutcomeRecorded,
    ReadClaim,
    Record,
    SendCall,
    SendEnded,
    SendOutcome,
    SendReply,
    ServiceReply,
    WriteClaim,
    claim_key,
    fingerprint_of,
)
from coursekeel.entry.suspects._endpoint_watch import EndpointWatch
from coursekeel.fetch import AnswerLost, Fetcher, HttpReply, NotReached
from coursekeel.intents import ClassPolicy, RouteIntent, ServiceIntent, TeamIntent
from coursekeel.observe import log_event
from coursekeel.quarantine import Sign
from coursekeel.reactor import Reactor
from coursekeel.routing import Decision, Grant, PlacementRequest
from coursekeel.runtime import Clock, RoutingTask, spawn
from coursekeel.storage import (
    Batcher,
    Committed,
    Platform,
    Transaction,
    TransactOutcome,
)
from coursekeel.suspects import (
    HeldStart,
    QuarantineGate,
    QuarantinePass,
    request_fingerprint,
)
from coursekeel.units import SECONDS_PER_MINUTE

__all__ = ["CallRequest", "CallsTask"]

# Retries of writing a call's result, for about half a minute of a store outage.
_RECORD_RETRIES = 30
_RECORD_PAUSE_S = 1.0
_SAFE_METHODS = ("GET", "HEAD")


@define(frozen=True)
class CallRequest:
    """One call to a service; ``key`` is its idempotency key, or empty."""

    team: TeamIntent
    service: ServiceIntent
    policy: ClassPolicy
    method: str
    path: str
    content_type: str
    body: bytes
    key: str

    @property
    def route(self) -> RouteIntent | None:
        """The matching route with the longest path prefix, or None."""
        matching = [
            route
            for route in self.service.routes
            if self.method in route.methods and self.path.startswith(route.path_prefix)
        ]
        return max(matching, key=lambda route: len(route.path_prefix), default=None)

    @property
    def repeatable(self) -> bool:
        """Whether the intent allows repeating the call; False without a route."""
        route = self.route
        return route is not None and route.repeatable

    @property
    def part_fingerprints(self) -> tuple[str, ...]:
        """None: prompts of the product's own engines don't name their parts."""
        return ()

    @cached_property
    def fingerprint(self) -> str:
        """Fingerprint of the call, equal for repeated calls with any key or entry."""
        service = self.service.name.encode()
        parts = (b"call", service, self.method.encode(), self.path.encode(), self.body)
        return request_fingerprint(self.team.name, *parts)


@define(eq=False)
class _CallRun:
    """A running call: its quarantine pass, its reply, the endpoints tried."""

    request: CallRequest
    quarantine_pass: QuarantinePass
    reply: "Deferred[CallReply]" = field(factory=Deferred)
    tried: set[str] = field(factory=set)

    def send_reply(self, reply: CallReply) -> None:
        """Send the final reply; names the quarantine if it left no endpoint."""
        barred_ms = self.quarantine_pass.barred_ms
        if reply.code == "no_endpoint" and barred_ms:
            reply = evolve(
                reply,
                code="request_stops_engines",
                retry_after_ms=math.ceil(barred_ms),
            )
        self.reply.callback(reply)


@define(eq=False)
class CallsTask:
    """Runs calls: carries out the actions of each call's core.

    ``address`` returns the "host:port" of an endpoint id.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    batcher: Batcher
    routing: RoutingTask
    incarnation: str
    connect_ms: int
    address: Any
    gate: QuarantineGate
    watch: EndpointWatch
    _fetchers: dict[bool, Fetcher] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for repeatable in (True, False):
            fetcher = Fetcher(
                self.reactor, self.connect_ms, keeps_connections=repeatable
            )
            self._fetchers[repeatable] = fetcher

    async def call(self, request: CallRequest) -> CallReply:
        """Run one call and wait for its reply."""
        core = CallCore(
            CallPolicy(request.repeatable, retry_after_ms=1_000),
            self._new_claim(request),
            keyed=bool(request.key),
        )
        run = _CallRun(request, QuarantinePass(self.gate, request))
        spawn(self._run(core, run), "call", self.reactor)
        return await run.reply

    def _new_claim(self, request: CallRequest) -> ClaimRow | None:
        if request.repeatable or not request.key:
            return None
        return ClaimRow(
            key=claim_key(request.team.name, request.service.name, request.key),
            attempt_id=str(uuid4()),
            owner=self.incarnation,
            fingerprint=fingerprint_of(request.method, request.path, request.body),
            expires_at_s=self.clock.wall_s() + request.policy.keep_s,
        )

    async def _run(self, core: CallCore, run: _CallRun) -> None:
        actions = core.handle(CallArrived())
        while actions:
            events: list[CallEvent] = []
            for action in actions:
                event = await self._carry_out(action, run)
                if event is not None:
                    events.append(event)
            actions = [each for event in events for each in core.handle(event)]

    async def _carry_out(self, action: CallAction, run: _CallRun) -> CallEvent | None:
        match action:
            case WriteClaim():
                return ClaimWritten(await self._write_claim(action.row))
            case ReadClaim():
                return ClaimRead(await self.platform.read([action.key]))
            case SendCall():
                return SendEnded(await self._send(run))
            case Record():
                return OutcomeRecorded(await self._record_outcome(action))
            case SendReply():
                run.send_reply(action.reply)
                return None

    async def _write_claim(self, row: ClaimRow) -> TransactOutcome:
        due = f"expires/{row.expires_at_s // SECONDS_PER_MINUTE:010d}/{row.key}"
        return await self.batcher.transact(
            Transaction({row.key: 0}, {row.key: row.to_row(), due: {"key": row.key}})
        )

    async def _record_outcome(self, action: Record) -> TransactOutcome:
        """Store the call's outcome; retries a failed write unless it is a refusal."""
        write = Transaction(
            {action.row.key: action.version}, {action.row.key: action.row.to_row()}
        )
        outcome = await self.batcher.transact(write)
        if isinstance(outcome, Committed) or action.row.state.value == "refused":
            return outcome
        spawn(self._retry_record(write), "record_call", self.reactor)
        return outcome

    async def _retry_record(self, write: Transaction) -> None:
        for _ in range(_RECORD_RETRIES):
            await deferLater(self.reactor, _RECORD_PAUSE_S)
            outcome = await self.batcher.transact(write)
            if isinstance(outcome, Committed):
                return
        log_event("call_not_recorded", keys=",".join(write.writes))

    # Sending.

    async def _send(self, run: _CallRun) -> ServiceReply | SendOutcome:
        await self._wait_for_turn(run)
        if not run.quarantine_pass.may_send():
            return SendOutcome.NO_ENDPOINT
        deadline_ms = self.clock.now_ms() + run.request.policy.patience_ms
        decision = await self._find_endpoint(run, deadline_ms)
        if not isinstance(decision, Grant):
            return SendOutcome.NO_ENDPOINT
        run.tried.add(decision.endpoint_id)
        started_ms = self.clock.now_ms()
        try:
            return await self._send_to(decision.endpoint_id, run, deadline_ms)
        finally:
            run_ms = self.clock.now_ms() - started_ms
            self.routing.release(decision.endpoint_id, run_ms)

    def _wait_for_turn(self, run: _CallRun) -> "Deferred[None]":
        may_start: Deferred[None] = Deferred()
        HeldStart(self.reactor, run.quarantine_pass).run(
            lambda: may_start.callback(None)
        )
        return may_start

    def _find_endpoint(self, run: _CallRun, deadline_ms: float) -> "Deferred[Decision]":
        request = run.request
        decision: Deferred[Decision] = Deferred()
        placement = PlacementRequest(
            team=request.team.name,
            request_class=request.policy.name,
            rank=request.policy.rank,
            pool=f"service/{request.service.name}",
            cost=1.0,
            deadline_ms=deadline_ms,
            weight=request.team.weight,
            excluded=frozenset(run.tried),
        )
        self.routing.place(placement, decision.callback)
        return decision

    async def _send_to(
        self, endpoint_id: str, run: _CallRun, deadline_ms: float
    ) -> ServiceReply | SendOutcome:
        request = run.request

        def may_send() -> bool:
            """Repeat the checks once the connection is open."""
            now_ms = self.clock.now_ms()
            may_take = self.routing.router.may_take(endpoint_id, now_ms)
            return may_take and now_ms < deadline_ms and run.quarantine_pass.may_send()

        headers = {"content-type": request.content_type or "application/octet-stream"}
        if request.key:
            headers["idempotency-key"] = request.key
        outcome = await self._fetchers[request.repeatable].ask(
            request.method,
            f"http://{self.address(endpoint_id)}{request.path}",
            request.service.timeout_ms,
            None if request.method in _SAFE_METHODS else request.body,
            headers,
            may_send,
        )
        match outcome:
            case HttpReply():
                self.gate.report_success(request)
                return ServiceReply(outcome.status, outcome.content_type, outcome.body)
            case NotReached():
                return SendOutcome.NOT_SENT
            case AnswerLost():
                log_event(
                    "call_answer_lost", endpoint=endpoint_id, error=outcome.reason
                )
                self.watch.run_lost(request, endpoint_id, Sign.UNSEEN, engine=False)
                return SendOutcome.MAYBE_SENT

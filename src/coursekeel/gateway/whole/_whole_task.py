"""The task of one request whose answer is a whole body.

A `CallCore` decides whether the request is sent (again) and what the reply is, as for
service calls in `entry`. Calls need no claim here, since a request that must not run
twice is sent once.

Where this instance doesn't reach the endpoints, the request is relayed to a member.

Owns the search for an endpoint or a member, the open try and the deadline of the
answer.
"""

from attrs import define, field

from coursekeel.answers import RunState
from coursekeel.calls import (
    CallAction,
    CallArrived,
    CallCore,
    CallEvent,
    CallPolicy,
    CallReply,
    SendCall,
    SendEnded,
    SendOutcome,
    SendReply,
    ServiceReply,
)
from coursekeel.forwarding import EndpointRecord, RouteKind
from coursekeel.gateway._adapters import OutboundRequest
from coursekeel.gateway._caller_reply import CallerReply
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway._deadlines import Deadline
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway._retry_budgets import SendAccount
from coursekeel.gateway.admission._queue_deadline import queue_deadline_ms
from coursekeel.gateway.admission._refusals import (
    REQUEST_BARRED_CODE,
    STOPPING,
    WHOLE_RETRY_MS,
    GatewayRefusal,
    refusal_after_loss,
    refusal_retry_ms,
)
from coursekeel.gateway.relay._relay_client import MemberSearch
from coursekeel.gateway.whole._relayed_try import RelayedTry
from coursekeel.gateway.whole._whole_try import Try, TryOwner, WholeTry
from coursekeel.routing import (
    POOL_UNREACHED_CODE,
    Decision,
    Grant,
    PlacementRequest,
    Refuse,
)
from coursekeel.suspects import HeldStart, QuarantinePass

__all__ = ["WholeAnswerTask"]

# The cost of a call for fair queueing: calls have no tokens, so all cost the same.
_CALL_COST = 1.0

# The shortest time limit of a try that another can follow, in target latencies of its
# route. A shorter limit would abort answers that are merely slow.
_MIN_TRY_TARGETS = 1.5

# A request with less time left isn't sent, as no answer would arrive in time.
_MIN_REMAINING_MS = 5.0

# Sends that reach no endpoint: one more than show that the pool isn't reached
# (`PoolReach`), so that the last goes to a member.
_UNREACHED_TRIES = 4

# The status in the log of a request whose caller left before a reply.
_NO_STATUS = 0


@define(eq=False)
class WholeAnswerTask(TryOwner):
    """Drives a `CallCore`: finds an endpoint, sends, and replies."""

    context: GatewayContext
    call: AdmittedRequest
    reply: CallerReply
    core: CallCore = field(init=False)
    _send_account: SendAccount = field(init=False)
    _quarantine_pass: QuarantinePass = field(init=False)
    _held_start: HeldStart = field(init=False)
    _member_search: MemberSearch = field(init=False)
    _tried: set[str] = field(factory=set)
    _request_number: int | None = None
    _current_try: Try | None = None
    _deadline: Deadline | None = None
    _permit_lapses_ms: float | None = None
    _refusal_code: str = ""
    _retry_after_ms: float = WHOLE_RETRY_MS

    def __attrs_post_init__(self) -> None:
        route = self.call.route
        policy = CallPolicy(
            route.kind is RouteKind.REPEATABLE,
            tries=max(route.tries, 1),
            unreached_tries=_UNREACHED_TRIES,
            retry_after_ms=int(WHOLE_RETRY_MS),
        )
        self.core = CallCore(policy, None, keyed=False)
        self._send_account = self.context.send_account(self.call.pool)
        self._quarantine_pass = QuarantinePass(self.context.quarantine, self.call)
        self._held_start = HeldStart(self.context.reactor, self._quarantine_pass)
        self._member_search = MemberSearch(self.context.relays, self.call.pool)

    def start(self) -> None:
        """Start the deadline and the first search; the task sends the reply itself."""
        context = self.context
        self.reply.on_gone(self._caller_left)
        self._deadline = context.deadlines.add(
            self.call.deadline_ms, self._deadline_reached
        )
        if not self.call.relayed:
            self._send_account.budget.requested(context.clock.now_ms())
        self._handle(CallArrived())

    def _handle(self, event: CallEvent) -> None:
        for action in self.core.handle(event):
            self._carry_out(action)

    def _carry_out(self, action: CallAction) -> None:
        match action:
            case SendCall():
                self._held_start.run(self._search)
            case SendReply():
                self._send_reply(action.reply)
            case _:
                raise AssertionError(
                    f"unexpected action of a call without a claim: {action}"
                )

    # Finding an endpoint and sending.

    def _search(self) -> None:
        """Search for an endpoint; again only if the retry budget allows it."""
        now_ms = self.context.clock.now_ms()
        if not self._send_account.may_send(now_ms):
            self._placement_refused("retry_budget")
            return
        request = PlacementRequest(
            team=self.call.team_name,
            request_class=self.call.route.name,
            rank=self.call.rank,
            pool=self.context.versions.pool_for(self.call, not self._tried),
            cost=_CALL_COST,
            deadline_ms=queue_deadline_ms(self.call, now_ms),
            excluded=frozenset(self._tried),
        )
        self._request_number = self.context.routing.place(
            request, self._placement_decided
        )

    def _placement_decided(self, decision: Decision) -> None:
        self._request_number = None
        if isinstance(decision, Grant):
            self._tried.add(decision.endpoint_id)
            self._permit_lapses_ms = decision.permit_lapses_ms
            self._send(decision.endpoint_id)
        elif decision.code == POOL_UNREACHED_CODE and not self.call.relayed:
            self._relay()
        else:
            self._refuse_placement(decision)

    def _refuse_placement(self, decision: Refuse) -> None:
        self._retry_after_ms = refusal_retry_ms(
            decision.code,
            decision.retry_after_ms,
            self._remaining_ms,
            self.context.random,
        )
        self._send_account.not_sent()
        self.context.log_if_limited(self.call, decision)
        self._placement_refused(decision.code)

    def _placement_refused(self, code: str) -> None:
        self._refusal_code = code
        self._handle(SendEnded(SendOutcome.NO_ENDPOINT))

    def _send(self, endpoint_id: str) -> None:
        record = self._record_in_time(endpoint_id)
        code = self._current_refusal_code()
        if record is None:
            self._release_grant(endpoint_id)
            self._handle(SendEnded(SendOutcome.NOT_SENT))
        elif code:
            if code == REQUEST_BARRED_CODE:
                self._retry_after_ms = self._quarantine_pass.barred_ms
            self._release_grant(endpoint_id)
            self._placement_refused(code)
        else:
            self._open_try(record)

    def _record_in_time(self, endpoint_id: str) -> EndpointRecord | None:
        """Return the endpoint's record; None if it is gone or time is too short."""
        record = self.context.site.directory.record(endpoint_id)
        return record if self._remaining_ms >= _MIN_REMAINING_MS else None

    @property
    def _remaining_ms(self) -> float:
        return self.call.deadline_ms - self.context.clock.now_ms()

    def _current_refusal_code(self) -> str:
        """Return why the request may be sent nowhere now; empty if it may be sent."""
        if not self.context.site.may_still_send(self.call):
            return "belief_old"
        return "" if self._quarantine_pass.may_send() else REQUEST_BARRED_CODE

    def may_still_send(self, endpoint_id: str) -> bool:
        """Return whether the request may still be sent, once its connection is open."""
        directory, now_ms = self.context.site.directory, self.context.clock.now_ms()
        record = directory.serving_record(endpoint_id, now_ms)
        if record is None or self._remaining_ms < _MIN_REMAINING_MS:
            return False
        return (
            self.context.versions.may_receive(record)
            and not self._current_refusal_code()
        )

    def _release_grant(self, endpoint_id: str) -> None:
        prompt_tokens = self.call.caller.prompt_tokens
        self.context.routing.return_unused(endpoint_id, prompt_tokens)
        self._send_account.not_sent()

    def _open_try(self, record: EndpointRecord) -> None:
        remaining_ms = self._remaining_ms
        call, endpoint_id = self.call, record.endpoint_id
        load = self.context.routing.router.load(endpoint_id)
        version = self.context.versions.named(endpoint_id)
        self.context.metrics.chosen(
            call,
            endpoint_id,
            "whole",
            load,
            version=version,
            named_per_s=self.context.endpoints.limits.per_s(endpoint_id),
        )
        outbound = OutboundRequest(
            record, call.caller.request_id, call.team_name, remaining_ms
        )
        self._current_try = WholeTry(self, self.context, call, endpoint_id)
        limit_ms = self._try_limit_ms(remaining_ms)
        self._current_try.open(outbound, limit_ms, self._permit_lapses_ms)

    def _try_limit_ms(self, remaining_ms: float) -> float | None:
        """Return the time limit in ms of a try that another can follow.

        Rule: the remaining time divided evenly among the tries left, but at least 1.5
        target latencies of the route. None for the last try, and on routes that are not
        repeatable.
        """
        route = self.call.route
        is_last_try = len(self._tried) >= route.tries
        if is_last_try or route.kind is not RouteKind.REPEATABLE:
            return None
        tries_left = route.tries - len(self._tried) + 1
        return max(remaining_ms / tries_left, _MIN_TRY_TARGETS * route.target_ms)

    # Relaying.

    def _relay(self) -> None:
        """Relay the request to a member, or refuse it if none may serve it."""
        code = self._current_refusal_code()
        member = "" if code else self._member_search.next_member()
        if not member:
            self._refuse_relay(code or POOL_UNREACHED_CODE)
            return
        self._tried.add(member)
        relayed = RelayedTry(self, self.context, self.call, self._member_search, member)
        self._current_try = relayed
        relayed.open(self._try_limit_ms(self._remaining_ms))

    def _refuse_relay(self, code: str) -> None:
        wait_ms = WHOLE_RETRY_MS
        if code == REQUEST_BARRED_CODE:
            wait_ms = self._quarantine_pass.barred_ms
        self._refuse_placement(Refuse(0, code, int(wait_ms)))

    def may_still_relay(self) -> bool:
        """Return whether the request may be sent to a member now."""
        return self._may_send_now

    def member_passed_over(self, member: str) -> None:
        """Ask another member; the request has not run."""
        self._tried.discard(member)
        self._current_try = None
        self._relay()

    def relay_refused(self, refusal: GatewayRefusal) -> None:
        """Pass on a refusal that holds at every instance."""
        self._current_try = None
        self._send_account.not_sent()
        self._retry_after_ms = refusal.retry_after_ms
        self._placement_refused(refusal.code)

    def may_replace_try(self) -> bool:
        """Return whether the request may be sent again; if so, a retry is reserved."""
        now_ms = self.context.clock.now_ms()
        return self._may_send_now and self._send_account.reserve(now_ms)

    @property
    def _may_send_now(self) -> bool:
        in_time = self._remaining_ms >= _MIN_REMAINING_MS
        return in_time and not self._current_refusal_code()

    def try_ended(self, outcome: ServiceReply | SendOutcome) -> None:
        """Pass the outcome of the open try to the core."""
        if self._current_try is not None and not self._current_try.may_have_arrived:
            self._send_account.not_sent()
        self._current_try = None
        self._handle(SendEnded(outcome))

    # Ends.

    def _send_reply(self, call_reply: CallReply) -> None:
        self._cancel_deadline()
        reply = call_reply.reply
        if reply is not None:
            self._log_end("answered", reply.status)
            self.context.quarantine.report_success(self.call)
            self.reply.whole(reply.status, reply.headers, reply.body)
            return
        not_run = call_reply.run is RunState.NOT_RUN
        code = self._refusal_code or call_reply.code if not_run else call_reply.code
        self._refuse(refusal_after_loss(call_reply.run, code, self._retry_after_ms))

    def _deadline_reached(self) -> None:
        """Refuse the request at its deadline, or at the end of this instance's stop."""
        may_have_run = self._current_try is not None or self.core.may_have_run
        self._stop_work()
        stopping = self._remaining_ms > 0
        if may_have_run:
            code = "stopping" if stopping else "timeout"
            self._refuse(refusal_after_loss(RunState.UNKNOWN, code, 0))
        elif stopping:
            self._refuse(STOPPING)
        else:
            refusal = refusal_after_loss(RunState.NOT_RUN, "too_late", WHOLE_RETRY_MS)
            self._refuse(refusal)

    def _refuse(self, refusal: GatewayRefusal) -> None:
        self._log_end(refusal.code, refusal.status)
        self.reply.refuse(refusal)

    def _caller_left(self) -> None:
        self._log_end("caller_left", _NO_STATUS)
        self._cancel_deadline()
        self._stop_work()

    def _stop_work(self) -> None:
        self._held_start.stop()
        self._send_account.release()
        if self._request_number is not None:
            self.context.routing.withdraw(self._request_number)
            self._request_number = None
        if self._current_try is not None:
            self._current_try.abandon()
            self._current_try = None

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()

    def _log_end(self, code: str, status: int) -> None:
        self.context.metrics.ended(self.call, code, status, len(self._tried))

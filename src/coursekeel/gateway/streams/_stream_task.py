"""The task of one streamed answer, a sequence of numbered events.

An `AnswerCore` decides, as for generations in `entry`. Here the unit is an event, and
an endpoint of another availability zone keeps a copy of a run's memory, from which a
lost run continues.

Where this instance doesn't reach the endpoints, a run is relayed to a member; to the
core the member is an endpoint.

Owns the open runs. Relies on `StreamPlacement` to choose endpoints, and on
`StreamReply` for the reply to the caller.
"""

import math
from functools import partial
from typing import Any

from attrs import define, field, frozen

from coursekeel.answers import (
    Action,
    AnswerCore,
    AnswerPolicy,
    AttemptEnded,
    CancelAttempt,
    Cancelled,
    Complete,
    CopyPlaced,
    DeadlineReached,
    Deliver,
    EndpointGranted,
    Event,
    ExpectedModel,
    HeadArrived,
    Interrupt,
    Loss,
    NoEndpointFree,
    OpenAttempt,
    RequestEndpoint,
    RunState,
    Started,
    StopSending,
    StreamHead,
    Way,
)
from coursekeel.fetch import ExchangeHead
from coursekeel.forwarding import EndpointRecord, EventLedger
from coursekeel.gateway._adapters import OutboundRequest
from coursekeel.gateway._caller_reply import CallerReply
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway._deadlines import Deadline
from coursekeel.gateway._metrics import LostRun
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway._retry_budgets import SendAccount
from coursekeel.gateway._retry_queue import RetryQueue
from coursekeel.gateway.admission._refusals import (
    OTHER_INSTANCE_RETRY_MS,
    REQUEST_BARRED_CODE,
    STOPPING,
    STREAM_RETRY_MS,
    GatewayRefusal,
    refusal_after_loss,
    refusal_retry_ms,
    refusal_without_endpoint,
)
from coursekeel.gateway.endpoints._load_reports import (
    LoadReports,
    NoReport,
    ReportResult,
)
from coursekeel.gateway.relay._relay_client import MemberSearch
from coursekeel.gateway.streams._overdue_runs import OverdueRuns, RunOwner
from coursekeel.gateway.streams._placement import StreamPlacement
from coursekeel.gateway.streams._relayed_attempt import RelayedAttempt
from coursekeel.gateway.streams._silence_doubt import PREEMPTED
from coursekeel.gateway.streams._stream_attempt import StreamAttempt
from coursekeel.gateway.streams._stream_reply import StreamReply
from coursekeel.gateway.streams._successors import SuccessorLookup
from coursekeel.routing import POOL_UNREACHED_CODE, Decision, Grant
from coursekeel.runtime import AnswerDriver, AnswerShell
from coursekeel.suspects import HeldStart, QuarantinePass
from coursekeel.units import MS_PER_SECOND

__all__ = ["StreamTask"]

# An alarm this late means that this process was paused. Less than `silence_ms`, so that
# a pause isn't taken for a stall of every endpoint at once.
_OWN_PAUSE_MS = 100.0

# How long a run that continues from a copy waits for a permit, if the copy's endpoint
# limits its requests. After that the run continues elsewhere with a new prefill.
_COPY_PERMIT_WAIT_MS = 200.0

# How long an overdue run stays open beside a successor that isn't accepted yet.
# Endpoints refuse within some ms; two must not work on a request for over 400 ms.
_HANDOVER_MS = 250.0

# How often a stream that has begun looks for an endpoint, or a member that reaches one,
# while there is none.
_SEARCH_INTERVAL_MS = 100.0

# Tries of a begun stream in a row, without an event, before it pauses between searches:
# its copy, and one other endpoint. The pause doubles with each further try.
_TRIES_WITHOUT_PAUSE = 2
_MIN_SEARCH_PAUSE_MS = 50.0
_MAX_SEARCH_PAUSE_MS = 1_000.0

# How long a stream waits for a retry to go on from its copy: endpoints drop a copy some
# seconds after its run has ended.
_COPY_RETRY_WAIT_MS = 3_000.0

# The code of a refusal because this instance has no retry left for the pool.
_NO_RETRY_CODE = "retry_budget"

# Refusals that waiting doesn't change: the request is barred for minutes, or this
# instance stops.
_FINAL_CODES = frozenset({REQUEST_BARRED_CODE, STOPPING.code})


@frozen
class _WaitingCopy:
    """A run from a copy that waits for a retry, and how long the copy is usable."""

    action: OpenAttempt
    usable_until_ms: float


@define(eq=False)
class StreamTask(RunOwner, AnswerShell):
    """Drives one stream from the admitted request to the end of the reply."""

    context: GatewayContext
    reports: LoadReports
    successors: SuccessorLookup
    call: AdmittedRequest
    reply: CallerReply
    core: AnswerCore[EventLedger] = field(init=False)
    _driver: AnswerDriver = field(init=False)
    _placement: StreamPlacement = field(init=False)
    _stream_reply: StreamReply = field(init=False)
    _retry_queue: RetryQueue = field(init=False)
    _send_account: SendAccount = field(init=False)
    _quarantine_pass: QuarantinePass = field(init=False)
    _held_search: HeldStart = field(init=False)
    _held_copy: HeldStart = field(init=False)
    _overdue_runs: OverdueRuns = field(init=False)
    _member_search: MemberSearch = field(init=False)
    _chosen_member: str = ""
    _relayed_tries: int = 0
    _tries_without_event: int = 0
    _search_timer: Any = None
    _unproven_endpoint_id: str = ""
    _deadline: Deadline | None = None
    open_attempts: dict[int, StreamAttempt] = field(factory=dict)
    _copy_waits: _WaitingCopy | None = None
    _permit_lapses_ms: float | None = None
    _refusal_code: str = ""
    _retry_after_ms: float = STREAM_RETRY_MS

    def __attrs_post_init__(self) -> None:
        context, call = self.context, self.call
        self._placement = StreamPlacement(context, self.reports, call)
        self._stream_reply = StreamReply(context, call, self.reply)
        self._retry_queue = context.retry_queues.of(call.pool)
        self._send_account = context.send_account(call.pool)
        self._quarantine_pass = QuarantinePass(context.quarantine, call)
        self._held_search = HeldStart(context.reactor, self._quarantine_pass)
        self._held_copy = HeldStart(context.reactor, self._quarantine_pass)
        self.core = AnswerCore(
            call.caller.request_id,
            ExpectedModel(call.pool, "", ""),
            self._policy(),
            EventLedger(call.caller.resume_after or 0),
        )
        self._overdue_runs = OverdueRuns(self)
        self._driver = AnswerDriver(
            self.core,
            self,
            context.reactor,
            context.clock,
            _OWN_PAUSE_MS,
            stall_is_loss=self._overdue_runs.stalled_run_suspected,
        )
        self._member_search = MemberSearch(context.relays, call.pool)

    def run_overdue(self, number: int, reason: str, overdue_ms: float) -> None:
        """Replace a run that may be lost, or wait on it."""
        self._overdue_runs.run_overdue(number, reason, overdue_ms)

    def run_not_listed(self, number: int) -> None:
        """Give up a run without an event that its endpoint doesn't list, or keep it."""
        self._overdue_runs.run_not_listed(number)

    def report_late(self, number: int) -> None:
        """Find out whether the endpoint that keeps the run's copy is silent too."""
        self._overdue_runs.report_late(number)

    def avoid_zone_of(self, endpoint_id: str) -> None:
        """Avoid an endpoint's zone in this stream's searches from now on."""
        self._placement.avoid_zone_of(endpoint_id)

    def _keep_recovered_run(self) -> None:
        """Withdraw the search for a successor of a run that goes on."""
        self._stop_searching()
        self.core.search_withdrawn()

    def _progressed(self) -> None:
        """Return what was asked for to go on: events arrive."""
        for number, attempt in self.open_attempts.items():
            if attempt.overdue_reason and self.core.attempts[number].live:
                attempt.set_overdue("")
        self._send_account.release()
        self._retry_queue.remove(self)
        self._tries_without_event = 0

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer was sent to the caller."""
        return self.reply.head_sent

    def wait_for_retry(self) -> None:
        """Take a retry as soon as this instance has one, in order."""
        if not self._send_account.has_reserved:
            self._retry_queue.add(self, self._retry_given)

    def _retry_given(self) -> None:
        self._send_account.retry_given()
        waiting, self._copy_waits = self._copy_waits, None
        if waiting is not None and self.core.attempts[waiting.action.attempt].live:
            self._open_or_drop_copy(waiting)
        elif not self.open_attempts:
            self._search_again()

    def _open_or_drop_copy(self, waiting: _WaitingCopy) -> None:
        """Open the copy's run with the retry; if the copy is too old, go on without."""
        if self.context.clock.now_ms() < waiting.usable_until_ms:
            self._open_attempt(waiting.action)
        else:
            self.handle_event(AttemptEnded(waiting.action.attempt, Loss.NOT_SENT))

    def may_replace_run(self) -> bool:
        """Return whether the request may be sent again; if so, a retry is reserved."""
        now_ms = self.context.clock.now_ms()
        return (
            self.core.may_run_again
            and self.has_tries_left
            and self.context.site.may_still_send(self.call, self._has_new_events)
            and self._quarantine_pass.may_send()
            and self._send_account.reserve(now_ms)
        )

    @property
    def has_tries_left(self) -> bool:
        """Whether the route allows one more run; refused sends were none."""
        return self.core.runs < max(self.call.route.tries, 1)

    def _policy(self) -> AnswerPolicy:
        """Return the core's limits for this request.

        A stream that is not resumable runs once. Instead of time limits for the first
        token there is `FirstEventWatch`, instead of patience the request's deadline.
        Runs never race, which would double the work; an
        overdue one only ends after its successor was accepted.
        """
        call, timers = self.call, self.context.settings.timers
        return AnswerPolicy(
            patience_ms=math.inf,
            first_token_ms=math.inf,
            copy_first_ms=math.inf,
            silence_ms=timers.silence_ms,
            races=False,
            handover_ms=_HANDOVER_MS,
            deaths_before_stop=max(call.route.tries, 1),
            # The quarantine decides which requests crash endpoints.
            reset_losses_after_ms=0,
            reread_tries=0,
            max_runs=math.inf if call.route.kind.idempotent else 1,
            retry_after_ms=int(STREAM_RETRY_MS),
        )

    def start(self) -> None:
        """Start the deadline and the first search; the task sends the reply itself."""
        self.reply.on_gone(self._caller_left)
        self._deadline = self.context.deadlines.add(
            self.call.deadline_ms, lambda: self.handle_event(DeadlineReached())
        )
        if not self.call.relayed:
            self._send_account.budget.requested(self.context.clock.now_ms())
        self.handle_event(Started())

    def handle_event(self, event: Event) -> None:
        """Pass an event to the core; one that arrives meanwhile is queued."""
        self._driver.handle_event(event)

    def event_handled(self, event: Event, actions: list[Action]) -> None:
        """Release a granted slot if the run continues from a copy instead."""
        if isinstance(event, EndpointGranted) and not _opens_attempt(actions):
            self._placement.release_grant(event.endpoint_id)

    def carry_out(self, action: Action, now_ms: float) -> None:
        """Carry out one action of the core."""
        match action:
            case RequestEndpoint():
                self._search(action)
            case OpenAttempt():
                self._start_attempt(action)
            case CancelAttempt():
                self._cancel(action.attempt)
            case Deliver():
                self._progressed()
                if self.core.is_searching:
                    self._keep_recovered_run()
                ledger = self.core.ledger
                self._stream_reply.deliver(ledger.take(), ledger.next_position)
            case Complete():
                self._complete()
            case Interrupt():
                self._interrupt(action)
            case StopSending():
                self._stop_work()

    # Searching.

    def _search(self, action: RequestEndpoint) -> None:
        if self._refusal_code:
            self._refuse()
            return
        if self._waits_on_preempted_run:
            self._keep_suspected_run("copy_refused")
            return
        pause_ms = self._search_pause_ms
        if pause_ms:
            self._search_later(pause_ms)
            return
        self._start_search(action)

    def _start_search(self, action: RequestEndpoint) -> None:
        self._held_search.run(
            lambda: self._placement.search(action, self._placement_decided)
        )

    @property
    def _waits_on_preempted_run(self) -> bool:
        """Whether a run is open that only its copy should have replaced."""
        return any(
            attempt.overdue_reason == PREEMPTED
            for attempt in self.open_attempts.values()
        )

    @property
    def _search_pause_ms(self) -> float:
        """The pause before the next search of a begun stream whose tries are refused.

        A refused try costs a retry, and endpoints are full for longer than a moment.
        """
        excess = self._tries_without_event - _TRIES_WITHOUT_PAUSE
        if not self.has_begun or excess < 0:
            return 0.0
        return float(min(_MIN_SEARCH_PAUSE_MS * 2**excess, _MAX_SEARCH_PAUSE_MS))

    def _placement_decided(self, decision: Decision) -> None:
        if isinstance(decision, Grant):
            self._permit_lapses_ms = decision.permit_lapses_ms
            self._endpoint_granted(decision.endpoint_id)
            return
        if decision.code == POOL_UNREACHED_CODE and not self.call.relayed:
            self._chosen_member = self._choose_member()
            if self._chosen_member:
                self.handle_event(EndpointGranted(self._chosen_member))
                return
            if self.core.run_state is not RunState.NOT_RUN:
                self._search_later()
                return
        self.context.log_if_limited(self.call, decision)
        self._refusal_code = decision.code
        left_ms = self.call.deadline_ms - self.context.clock.now_ms()
        self._retry_after_ms = refusal_retry_ms(
            decision.code, decision.retry_after_ms, left_ms, self.context.random
        )
        self._refuse()

    def _endpoint_granted(self, endpoint_id: str) -> None:
        """Use a granted endpoint; to replace an open run, only if it gives a report."""
        if not self.core.waits_on_suspected_run:
            self.handle_event(EndpointGranted(endpoint_id))
            return
        self._unproven_endpoint_id = endpoint_id
        self.reports.request_shared_report(
            endpoint_id, partial(self._granted_endpoint_reported, endpoint_id)
        )

    def _granted_endpoint_reported(
        self, endpoint_id: str, result: ReportResult
    ) -> None:
        if self._unproven_endpoint_id != endpoint_id:
            return
        self._unproven_endpoint_id = ""
        if result not in (NoReport.SILENT, NoReport.NOT_REACHED):
            self.handle_event(EndpointGranted(endpoint_id))
            return
        self._placement.release_grant(endpoint_id)
        if self.core.waits_on_suspected_run:
            self._keep_suspected_run("successor_silent")
        elif self.core.has_healthy_run:
            self.core.search_withdrawn()
        else:
            self._search_again()

    def _keep_suspected_run(self, reason: str) -> None:
        """Wait on a suspected run, as nothing can replace it now."""
        for attempt in self.open_attempts.values():
            attempt.set_overdue("")
            self._overdue_runs.run_kept(attempt, reason)
        self._send_account.release()
        self.handle_event(NoEndpointFree(int(self._retry_after_ms)))

    def _refuse(self) -> None:
        """Refuse the request: no endpoint, or no send allowed.

        A suspected run that is still open is waited on instead. A healthy one, which
        was opened from a copy meanwhile, goes on.
        """
        if self.core.waits_on_suspected_run:
            code, self._refusal_code = self._refusal_code, ""
            self._keep_suspected_run(code)
            return
        if self.core.has_healthy_run:
            self._refusal_code = ""
            self.core.search_withdrawn()
            return
        if self.has_begun and self._refusal_code not in _FINAL_CODES:
            self._wait_to_go_on()
            return
        run = self.core.run_state
        self._stream_reply.refuse_or_cut(
            refusal_without_endpoint(run, self._refusal_code, self._retry_after_ms)
        )
        self.handle_event(Cancelled())

    def _wait_to_go_on(self) -> None:
        """Wait for a retry, or search again soon, until the deadline at most."""
        code, self._refusal_code = self._refusal_code, ""
        self._stream_reply.waits(code, len(self._retry_queue))
        if code == _NO_RETRY_CODE:
            self.wait_for_retry()
        else:
            self._send_account.release()
            self._search_later()

    # Attempts.

    def _start_attempt(self, action: OpenAttempt) -> None:
        """Open an attempt; one that routing did not choose may have to wait first."""
        if action.way is Way.COPY:
            self._held_copy.run(lambda: self._await_copy_permit(action))
        else:
            self._open_attempt(action)

    def _await_copy_permit(self, action: OpenAttempt) -> None:
        self.context.endpoints.limits.when_permitted(
            action.endpoint_id, _COPY_PERMIT_WAIT_MS, lambda: self._open_copy(action)
        )

    def _open_copy(self, action: OpenAttempt) -> None:
        if self.core.attempts[action.attempt].live:
            self._open_attempt(action)

    def _open_attempt(self, action: OpenAttempt) -> None:
        if action.endpoint_id == self._chosen_member:
            self._open_relay(action)
            return
        record = self._placement.record_for(action)
        if record is not None and self._may_send():
            self._send(action, record)
            return
        if action.way is not Way.COPY:
            # A copy's slot wasn't granted; it is counted when the run is sent there.
            self._placement.release_grant(action.endpoint_id)
        elif self.has_begun and self._refusal_code == _NO_RETRY_CODE:
            self._wait_with_copy(action)
            return
        self.handle_event(AttemptEnded(action.attempt, Loss.NOT_SENT))

    def _wait_with_copy(self, action: OpenAttempt) -> None:
        """Wait for a retry to go on from a copy, which costs the least."""
        code, self._refusal_code = self._refusal_code, ""
        usable_until_ms = self.context.clock.now_ms() + _COPY_RETRY_WAIT_MS
        self._copy_waits = _WaitingCopy(action, usable_until_ms)
        self._stream_reply.waits(code, len(self._retry_queue))
        self.wait_for_retry()

    @property
    def _has_new_events(self) -> bool:
        """Whether the core has received an event beyond those that the caller has."""
        first_position = self.call.caller.resume_after or 0
        return self.core.ledger.next_position > first_position

    def _may_send(self) -> bool:
        """Return whether a run may be sent now; if not, the next search is refused."""
        if self._refusal_code:
            return False
        if not self.context.site.may_still_send(self.call, self._has_new_events):
            self._refusal_code = "belief_old"
        elif not self._quarantine_pass.may_send():
            self._refusal_code = REQUEST_BARRED_CODE
            self._retry_after_ms = self._quarantine_pass.barred_ms
            return False
        elif not self._send_account.may_send(self.context.clock.now_ms()):
            self._refusal_code = _NO_RETRY_CODE
        else:
            return True
        self._retry_after_ms = OTHER_INSTANCE_RETRY_MS
        return False

    def may_still_send(self, endpoint: EndpointRecord) -> bool:
        """Return whether a run may still be sent, once its connection is open."""
        context, now_ms = self.context, self.context.clock.now_ms()
        record = context.site.directory.serving_record(endpoint.endpoint_id, now_ms)
        if record is None or record.pool != self.call.pool:
            return False
        if now_ms >= self.call.deadline_ms:
            return False
        if not context.versions.may_receive(record):
            return False
        may_act = context.site.may_still_send(self.call, self._has_new_events)
        return may_act and self._quarantine_pass.may_send()

    def _send(self, action: OpenAttempt, record: EndpointRecord) -> None:
        context, ways = self.context, self._stream_reply.ways
        now_ms = context.clock.now_ms()
        ways.append(action.way.value)
        self._tries_without_event += 1
        if action.way is Way.COPY:
            context.routing.router.count_run_at_copy(action.endpoint_id)
        copy = self._placement.place_copy(action)
        if copy is not None:
            self.handle_event(CopyPlaced(action.attempt, copy.endpoint_id))
        copy_to = copy.address if copy else ""
        context.metrics.chosen(
            self.call,
            action.endpoint_id,
            action.way.value,
            context.routing.router.load(action.endpoint_id),
            self._placement.reports_requested,
            copy_to,
            context.versions.named(action.endpoint_id),
            context.endpoints.limits.per_s(action.endpoint_id),
        )
        attempt = StreamAttempt(
            self, action.attempt, action.endpoint_id, action.way is Way.COPY, now_ms
        )
        self.open_attempts[action.attempt] = attempt
        outbound = self._outbound_request(action, record, copy_to, now_ms)
        # Routing's permit is for the endpoint that it chose, not for that of a copy.
        from_copy = action.way is Way.COPY
        attempt.open(outbound, None if from_copy else self._permit_lapses_ms)

    def _outbound_request(
        self, action: OpenAttempt, record: EndpointRecord, copy_to: str, now_ms: float
    ) -> OutboundRequest:
        call, position = self.call, self.core.ledger.next_position
        from_copy = action.way is Way.COPY
        return OutboundRequest(
            record,
            call.caller.request_id,
            call.team_name,
            call.deadline_ms - now_ms,
            resume_after=position if position or from_copy else None,
            copy_to=copy_to,
            copy_from=record.address if from_copy else "",
            copied_run=call.caller.request_id if from_copy else "",
            urgent=len(self._stream_reply.ways) > 1,
        )

    # Relaying.

    def _search_later(self, pause_ms: float = _SEARCH_INTERVAL_MS) -> None:
        """Search again soon: a stream that has begun waits until its deadline."""
        self._member_search = MemberSearch(self.context.relays, self.call.pool)
        self._search_timer = self.context.reactor.callLater(
            pause_ms / MS_PER_SECOND, self._search_again
        )

    def _search_again(self) -> None:
        self._search_timer = None
        excluded, held = self.core.excluded_endpoints, self.core.ledger.next_position
        self._start_search(RequestEndpoint(excluded, True, held))

    def _choose_member(self) -> str:
        return self._member_search.next_member() if self._tries_to_give else ""

    @property
    def _tries_to_give(self) -> int:
        """How many endpoints the next member may send the run to.

        Half of what is left, so that another member can resume it. Endpoints that this
        instance was cut off from don't count. A request that may run once is given one,
        whatever kind of route the member's configuration has by then.
        """
        most = self.call.route.tries if self.call.route.kind.idempotent else 1
        left = max(most, 1) - self._relayed_tries
        return (left + 1) // 2

    def _open_relay(self, action: OpenAttempt) -> None:
        if not self._may_send():
            self.handle_event(AttemptEnded(action.attempt, Loss.NOT_SENT))
            return
        now_ms, tries = self.context.clock.now_ms(), self._tries_to_give
        self._stream_reply.ways.append("relay")
        self._relayed_tries += tries
        attempt = RelayedAttempt(
            self, action.attempt, action.endpoint_id, False, now_ms
        )
        self.open_attempts[action.attempt] = attempt
        position = self.core.ledger.next_position
        attempt.relay(self._member_search, tries, position or None)

    def may_still_relay(self) -> bool:
        """Return whether a run may still be sent to a member."""
        if self.context.clock.now_ms() >= self.call.deadline_ms:
            return False
        may_act = self.context.site.may_still_send(self.call, self._has_new_events)
        return may_act and self._quarantine_pass.may_send()

    def relay_lost(self, lost: LostRun) -> None:
        """Report to the reply that a member lost a run."""
        self._stream_reply.run_lost(lost, self.core.ledger.next_position)

    def relay_not_run(self, tries: int) -> None:
        """Return the tries and the budget of a run that a member didn't begin."""
        self._relayed_tries -= tries
        self.not_sent()

    def relay_refused(self, refusal: GatewayRefusal) -> None:
        """Refuse the next search as the member refused the request."""
        self._refusal_code = refusal.code
        self._retry_after_ms = refusal.retry_after_ms

    def _cancel(self, number: int) -> None:
        attempt = self.open_attempts.pop(number, None)
        if attempt is None:
            return
        if attempt.overdue_reason and not self.core.ended:
            attempt.report_lost(attempt.overdue_reason)
        elif self._is_lost_by_what_it_sent:
            attempt.report_lost("silent")
        attempt.close()

    @property
    def _is_lost_by_what_it_sent(self) -> bool:
        """Whether a run that is cancelled had sent data that isn't this request's.

        A run beside one that goes on was only its successor, and is no loss.
        """
        if self.core.ended or self.core.has_healthy_run:
            return False
        return not self._stream_reply.is_recovering

    def is_open(self, number: int) -> bool:
        """Return whether the attempt still belongs to the stream."""
        return number in self.open_attempts

    def not_sent(self) -> None:
        """Return the budget of a send that reached no endpoint."""
        self._send_account.not_sent()

    def attempt_ended(self, number: int) -> None:
        """Remove an attempt whose connection has ended."""
        self.open_attempts.pop(number, None)

    def stream_opened(self, attempt: int, head: ExchangeHead) -> None:
        """Open the reply, and report the head to the core."""
        self._stream_reply.stream_opened(head)
        label = self.core.attempts[attempt].label
        position = self.core.attempts[attempt].from_position
        # The dialect has checked the head; the core's checks of model and label are for
        # engines that echo them.
        checked = StreamHead(label, label, self.call.pool, "", "", "", position)
        self.handle_event(HeadArrived(attempt, checked))

    def final_response_received(self, head: ExchangeHead, body: bytes) -> None:
        """Pass on a final response that is not a stream, and end the task."""
        self._stream_reply.final_response_received(head, body)
        self.context.quarantine.report_success(self.call)
        self.handle_event(Cancelled())

    def run_lost(self, lost: LostRun) -> None:
        """Report a lost run to the reply, placement, rollouts and the crash watch.

        The endpoint of a preempted one is sound: it has too little memory for now.
        """
        self._stream_reply.run_lost(lost, self.core.ledger.next_position)
        if lost.why == PREEMPTED:
            return
        self._placement.run_lost(lost.endpoint_id)
        self._record_version_outcome(lost)
        self.context.crashes.run_lost(self.call, lost)

    def _record_version_outcome(self, lost: LostRun) -> None:
        """Report the loss to the rollouts.

        A response is the version's own failure; other losses may have a common cause.
        """
        versions = self.context.versions
        if lost.why.startswith("status_"):
            versions.ended(self.call, lost.endpoint_id, True, 0.0)
        else:
            versions.lost(self.call, lost.endpoint_id)

    # Ends.

    def _complete(self) -> None:
        self._stream_reply.log_completed()
        self.context.quarantine.report_success(self.call)
        if self.call.caller.resume_after is None:
            took_ms = self.context.clock.now_ms() - self.call.arrived_ms
            self.context.lengths.stream_finished(self.call.route.name, took_ms)
        self._stop_work()
        self._stream_reply.finish()

    def _interrupt(self, action: Interrupt) -> None:
        code = self._code_at_end if action.code == "interrupted" else action.code
        self._stop_work()
        refusal = refusal_after_loss(action.run, code, self._retry_after_ms)
        self._stream_reply.refuse_or_cut(refusal)

    @property
    def _code_at_end(self) -> str:
        """Why its time is over: its deadline, or the end of this instance's stop."""
        has_time_left = self.context.clock.now_ms() < self.call.deadline_ms
        return STOPPING.code if has_time_left else "timeout"

    def _caller_left(self) -> None:
        if not self.core.ended:
            self._stream_reply.caller_left()
            self.handle_event(Cancelled())

    def _stop_work(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
        self._send_account.release()
        self._retry_queue.remove(self)
        self._held_copy.stop()
        self._stop_searching()
        for number in list(self.open_attempts):
            self._cancel(number)
        self._driver.stop_alarm()

    def _stop_searching(self) -> None:
        self._held_search.stop()
        self._placement.stop()
        if self._unproven_endpoint_id:
            self._placement.release_grant(self._unproven_endpoint_id)
            self._unproven_endpoint_id = ""
        if self._search_timer is not None:
            self._search_timer.cancel()
            self._search_timer = None


def _opens_attempt(actions: list[Action]) -> bool:
    return any(isinstance(action, OpenAttempt) for action in actions)

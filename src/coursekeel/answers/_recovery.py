"""Resume an answer after its run was lost or stalled, or give it up.

Rule: an answer resumes in the cheapest way that is available: reading the engine's
own run again, continuing from a copy of the run's KV cache, or a new run that
prefills the prompt and the tokens held so far. Several runs lost in a row, without
one that streamed for a while, mean that the request itself crashes engines; the
answer is then interrupted. A stalled run is suspected: with `races` it stays open
beside its successor, otherwise until its successor is accepted or starts. An answer
that waits for longer than its class's ``patience_ms`` is interrupted.

Every way to one more run asks `Recovery.may_run_again`. If the policy's ``max_runs``
allows none, the loss of a run interrupts the answer, and a stalled run is waited on.

Owns the endpoints to avoid, the count of runs lost in a row, and the time since which
the answer waits. All timeouts and limits are in `AnswerPolicy`. Has no clock: callers
pass the current time in ms.
"""

import math
from collections.abc import Callable

from attrs import define, field

from coursekeel.answers._attempt import Attempt
from coursekeel.answers._attempts import AttemptSet
from coursekeel.answers._events import (
    Action,
    CancelAttempt,
    Interrupt,
    Loss,
    RequestEndpoint,
    RunState,
    SetAlarm,
    Way,
)
from coursekeel.answers._policy import AnswerPolicy
from coursekeel.charts import Machine

__all__ = ["Recovery"]


@define(eq=False)
class Recovery:
    """Recovery of one answer.

    ``position`` returns the ledger's next position. ``excluded_endpoints`` lost or
    refused a run of this answer since its last progress. ``lost_runs`` counts runs lost
    since the last one that streamed for ``reset_losses_after_ms``.
    """

    policy: AnswerPolicy
    attempts: AttemptSet
    machine: Machine
    position: Callable[[], int]
    excluded_endpoints: set[str] = field(factory=set)
    lost_runs: int = 0
    waiting_since_ms: float | None = None
    retry_after_ms: int = field(init=False)
    _own_stream_tries: int = 0
    _seeking: bool = False

    def __attrs_post_init__(self) -> None:
        self.retry_after_ms = self.policy.retry_after_ms

    @property
    def run_state(self) -> RunState:
        """Whether the request ran, as far as can be guaranteed."""
        if self.position():
            return RunState.RAN
        ran = self.attempts.may_have_run
        return RunState.UNKNOWN if ran else RunState.NOT_RUN

    @property
    def may_run_again(self) -> bool:
        """Whether the policy allows one more run; refused sends were none."""
        return self.attempts.runs < self.policy.max_runs

    def record_progress(self, streamed_ms: float) -> None:
        """Reset the recovery state after new pieces; called when the ledger grew.

        ``streamed_ms`` is the time since the run's first piece. A request that crashes
        engines may stream some pieces before each crash, so ``lost_runs`` is reset only
        once a run has streamed for ``reset_losses_after_ms``.
        """
        self.waiting_since_ms = None
        self._own_stream_tries = 0
        if streamed_ms >= self.policy.reset_losses_after_ms:
            self.lost_runs = 0
        if self.excluded_endpoints:
            self.excluded_endpoints.clear()

    # Opening attempts.

    def start_waiting(self, now_ms: float) -> None:
        """Start the patience timeout, as the answer waits for its first piece."""
        self.waiting_since_ms = now_ms

    def request_endpoint(self, avoided_endpoint_id: str = "") -> list[Action]:
        """Request an endpoint from routing, unless a request is already pending.

        ``avoided_endpoint_id`` is to be avoided this time, empty for none.
        """
        if self._seeking:
            return []
        self._seeking = True
        avoided = {attempt.endpoint_id for attempt in self.attempts.live}
        if avoided_endpoint_id:
            avoided.add(avoided_endpoint_id)
        excluded = frozenset(self.excluded_endpoints | avoided)
        continuing = len(self.attempts) > 0
        return [RequestEndpoint(excluded, continuing, self.position())]

    def use_endpoint(self, endpoint_id: str, now_ms: float) -> list[Action]:
        """Open an attempt on the endpoint that routing granted.

        Does nothing if a suspected stream has recovered in the meantime.
        """
        self._seeking = False
        if self.attempts.has_healthy or not self.may_run_again:
            return []
        attempts = self.attempts
        keeps_suspected = self.policy.races or self.policy.handover_ms
        cancelled = attempts.make_room() if keeps_suspected else attempts.cancel_all()
        self.machine.feed("granted")
        attempt = self._new_attempt(endpoint_id, Way.PREFILL, now_ms)
        return [*cancelled, *self.open_attempt(attempt)]

    def open_attempt(self, attempt: Attempt) -> list[Action]:
        """Open an attempt and update the alarm."""
        return [self.attempts.open(attempt), self.next_alarm()]

    def _new_attempt(
        self,
        endpoint_id: str,
        way: Way,
        now_ms: float,
        resumed_attempt: Attempt | None = None,
    ) -> Attempt:
        return self.attempts.new(
            endpoint_id, way, self.position(), now_ms, resumed_attempt
        )

    # Lost attempts.

    def drop_attempt(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """Cancel an attempt that sent data of another run, and avoid its endpoint."""
        attempt.machine.feed("lost")
        return self.replace_rejected(attempt, now_ms)

    def replace_rejected(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """Cancel an attempt whose machine is already in ``dropped``; seek another.

        Its endpoint is avoided until the answer progresses.
        """
        self.excluded_endpoints.add(attempt.endpoint_id)
        return [CancelAttempt(attempt.number), *self._seek_if_none_healthy(now_ms)]

    def reread_run(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """Read the run again, because pieces are missing before the received ones."""
        attempt.machine.feed("lost")
        return [
            CancelAttempt(attempt.number, stops_run=False),
            *self._reread_or_recover(attempt, now_ms),
        ]

    def handle_loss(self, attempt: Attempt, loss: Loss, now_ms: float) -> list[Action]:
        """Resume after an attempt's stream ended without a finish marker."""
        was_streaming = attempt.streaming
        attempt.machine.feed("lost")
        if was_streaming:
            return self._reread_or_recover(attempt, now_ms)
        if loss not in (Loss.NOT_SENT, Loss.REFUSED):
            return self._handle_lost_run(attempt, now_ms)
        attempt.may_have_run = False
        if attempt.way is Way.OWN_STREAM:
            return self._handle_lost_run(attempt, now_ms)
        self.excluded_endpoints.add(attempt.endpoint_id)
        return self._seek_if_none_healthy(now_ms)

    def _reread_or_recover(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """Read the engine's own run again, or treat it as lost after too many tries."""
        if not attempt.run_id or self._own_stream_tries >= self.policy.reread_tries:
            return self._handle_lost_run(attempt, now_ms)
        self._own_stream_tries += 1
        self._mark_recovering(now_ms)
        self.machine.feed("granted")
        reread = self._new_attempt(attempt.endpoint_id, Way.OWN_STREAM, now_ms, attempt)
        # If the engine doesn't respond, the copy of the same run is tried next.
        reread.copy_id = attempt.copy_id
        return self.open_attempt(reread)

    def _handle_lost_run(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """Count a lost run; interrupt the answer at the limit, otherwise resume it."""
        self.lost_runs += 1
        self.excluded_endpoints.add(attempt.endpoint_id)
        if not self.may_run_again:
            return self._give_up("answer_lost", "unstoppable")
        if self.lost_runs >= self.policy.deaths_before_stop:
            return self._give_up("request_stops_engines", "unstoppable")
        return self._resume_from_copy_or_seek(attempt, now_ms)

    def _resume_from_copy_or_seek(self, lost: Attempt, now_ms: float) -> list[Action]:
        """Continue from the run's KV cache copy, or seek an endpoint if it has none."""
        if not self._has_copy(lost) or self.attempts.has_healthy:
            return self._seek_if_none_healthy(now_ms)
        self._mark_recovering(now_ms)
        return self._open_copy(lost, now_ms)

    def _has_copy(self, attempt: Attempt) -> bool:
        return bool(attempt.copy_id) and attempt.copy_id not in self.excluded_endpoints

    def _open_copy(self, attempt: Attempt, now_ms: float) -> list[Action]:
        # A pending grant will find this live attempt and open nothing.
        self.machine.feed("granted")
        copy = self._new_attempt(attempt.copy_id, Way.COPY, now_ms, attempt)
        # If the engine never sent its run id, the copy is stored under the label.
        copy.run_id = attempt.run_id or attempt.label
        return self.open_attempt(copy)

    def _seek_if_none_healthy(self, now_ms: float) -> list[Action]:
        """Request an endpoint, unless a healthy attempt is open."""
        if self.attempts.has_healthy:
            return []
        if not self.may_run_again:
            return self._give_up("answer_lost", "unstoppable")
        self._mark_recovering(now_ms)
        return [*self.request_endpoint(), self.next_alarm()]

    def _mark_recovering(self, now_ms: float) -> None:
        """Start the patience timeout; leave ``running`` if no attempt is open."""
        if self.waiting_since_ms is None:
            self.waiting_since_ms = now_ms
        if self.machine.state == "running" and not self.attempts.live:
            self.machine.feed("lost")

    # Stalled attempts.

    def suspect(
        self, attempt: Attempt, now_ms: float, may_use_copy: bool = True
    ) -> list[Action]:
        """Suspect an attempt because it, or its whole endpoint, stalled.

        A copy that may not be used now is kept for later.
        """
        if not self.may_run_again:
            return []
        attempt.suspected = True
        self.excluded_endpoints.add(attempt.endpoint_id)
        if self.waiting_since_ms is None:
            self.waiting_since_ms = now_ms
        if self.policy.races:
            return self._open_competing_run(attempt, now_ms)
        if not self._has_copy(attempt) or not may_use_copy:
            return [*self.request_endpoint(attempt.copy_id), self.next_alarm()]
        if self.policy.handover_ms and not self.attempts.has_healthy:
            return [*self.attempts.make_room(), *self._open_copy(attempt, now_ms)]
        attempt.machine.feed("lost")
        return [
            CancelAttempt(attempt.number),
            *self._resume_from_copy_or_seek(attempt, now_ms),
        ]

    @property
    def is_searching(self) -> bool:
        """Whether a request for an endpoint is pending."""
        return self._seeking

    def search_withdrawn(self) -> None:
        """Forget a pending request for an endpoint."""
        self._seeking = False

    def keep_suspected(self, now_ms: float) -> list[Action]:
        """Wait on suspected attempts, as no endpoint is free to replace them."""
        self._seeking = False
        for attempt in self.attempts.live:
            if attempt.suspected:
                attempt.suspected = False
                attempt.last_received_ms = now_ms
        return [self.next_alarm()]

    def _open_competing_run(self, suspected: Attempt, now_ms: float) -> list[Action]:
        """Open a second run beside a suspected one, from its copy if it has one."""
        if not self._has_copy(suspected):
            return [*self.request_endpoint(), self.next_alarm()]
        return [*self.attempts.make_room(), *self._open_copy(suspected, now_ms)]

    def handle_alarm(self, now_ms: float) -> list[Action]:
        """Interrupt the answer if its patience is over, else suspect stalled attempts.

        The shell calls it, as `Tick`, at the time of the last `SetAlarm`.
        """
        since_ms = self.waiting_since_ms
        if since_ms is not None and now_ms >= since_ms + self.policy.patience_ms:
            return self._give_up("interrupted", "patience_over")
        actions: list[Action] = []
        if now_ms >= self._handover_ends_ms():
            actions += self.attempts.cancel_suspected()
        for attempt in self.stalled(now_ms):
            actions += self.suspect(attempt, now_ms)
        return [*actions, self.next_alarm()]

    def stalled(self, now_ms: float) -> list[Attempt]:
        """The attempts that become suspect now."""
        return [
            attempt
            for attempt in self.attempts.live
            if not attempt.suspected and now_ms >= self._suspect_at_ms(attempt)
        ]

    def next_alarm(self) -> SetAlarm:
        """Set the alarm for when an attempt becomes suspect or patience ends."""
        live = self.attempts.live
        times_ms = [
            self._suspect_at_ms(attempt) for attempt in live if not attempt.suspected
        ]
        if self.waiting_since_ms is not None:
            times_ms.append(self.waiting_since_ms + self.policy.patience_ms)
        times_ms.append(self._handover_ends_ms())
        return SetAlarm(min(times_ms))

    def successor_accepted(self) -> list[Action]:
        """Cancel suspected runs, as the engine of their successor took it on."""
        if self.policy.races:
            return []
        cancelled = self.attempts.cancel_suspected()
        return [*cancelled, self.next_alarm()] if cancelled else []

    def _handover_ends_ms(self) -> float:
        """The time at which suspected runs end beside their successor; else inf."""
        live = self.attempts.live
        opened_ms = [each.opened_ms for each in live if not each.suspected]
        if self.policy.races or not opened_ms or len(opened_ms) == len(live):
            return math.inf
        return min(opened_ms) + self.policy.handover_ms

    def _suspect_at_ms(self, attempt: Attempt) -> float:
        """The time at which an attempt becomes suspect unless data arrives before.

        Never if nothing may replace it.
        """
        if not self.may_run_again:
            return math.inf
        if attempt.has_progressed:
            return attempt.last_received_ms + self.policy.silence_ms
        if attempt.way is Way.COPY:
            return attempt.last_received_ms + self.policy.copy_first_ms
        return attempt.opened_ms + self.policy.first_token_ms

    # Interrupting the answer.

    def interrupt_at_deadline(self) -> list[Action]:
        """Interrupt the answer because the request's time is over."""
        return self._give_up("interrupted", "patience_over")

    def _give_up(self, code: str, chart_input: str) -> list[Action]:
        """Cancel all attempts and interrupt the answer with the error ``code``."""
        stopped = self.attempts.cancel_all()
        if self.machine.state == "running":
            # An attempt may be open, suspected or not, when patience or time ends.
            self.machine.feed("lost")
        self.machine.feed(chart_input)
        interrupt = Interrupt(
            code, self.run_state, self.position(), self.retry_after_ms
        )
        return [*stopped, interrupt]

"""Decide what becomes of a stream's run that is overdue: replaced, kept or lost.

Rule: an overdue run is replaced only if the request may be sent again and a retry is
reserved. One of a request that may run once is waited on until it ends. Any other one
without a retry is waited on for as long as a sound endpoint may be silent. Then it is
lost, so that the caller can ask another instance; but once the caller has a part of the
answer, the run is waited on while its stream waits for a retry.

A run whose endpoint gives no report is left only for an endpoint that does. If the one
that keeps its copy is silent as well, the run is waited on for as long; then another
endpoint is searched for. Reason: a silence common to several endpoints tells nothing of
any of them, and they go on where they were.

A run that its endpoint may have preempted is waited on for as long, too; meanwhile it
is replaced only from its copy, at an endpoint where nothing is queued.

Owns what is known of one stream's stalls, and the last reports of the endpoints that
keep copies of its runs, None until they come. The stream's task owns the runs. Relies
on `LoadReports`.
"""

import math
from abc import abstractmethod
from functools import partial

from attrs import define, field

from coursekeel.answers import EndpointStalled
from coursekeel.gateway.endpoints._load_reports import NoReport, ReportResult
from coursekeel.gateway.streams._silence_doubt import (
    NO_REPORT,
    NOT_LISTED,
    NOT_RUNNING,
    PREEMPTED,
    StallCheck,
)
from coursekeel.gateway.streams._stream_attempt import AttemptOwner, StreamAttempt

__all__ = ["OverdueRuns", "RunOwner"]

# How long an overdue run is waited on without a retry, or while its copy is silent too.
# Sound endpoints may fall silent for a second or so.
_MAX_OVERDUE_MS = 2_000.0


# How long a copy's endpoint isn't asked again: until its answer has been used, though
# the run stalls again meanwhile.
_COPY_REPORT_KEPT_MS = 300.0


class RunOwner(AttemptOwner):
    """The stream's task, as far as its overdue runs need it.

    ``open_attempts`` are its open runs, by number.
    """

    open_attempts: dict[int, StreamAttempt]

    @abstractmethod
    def wait_for_retry(self) -> None:
        """Take a retry as soon as this instance has one, in order."""

    @property
    @abstractmethod
    def has_tries_left(self) -> bool:
        """Whether the route allows one more run."""

    @abstractmethod
    def may_replace_run(self) -> bool:
        """Return whether the request may be sent again; if so, a retry is reserved."""

    @abstractmethod
    def avoid_zone_of(self, endpoint_id: str) -> None:
        """Avoid an endpoint's zone in this stream's searches from now on."""


@define(eq=False)
class OverdueRuns:
    """The overdue runs of one stream."""

    task: RunOwner
    _stall_check: StallCheck = field(init=False)
    _kept_at_position: int = -1
    _copy_reports: dict[int, ReportResult | None] = field(factory=dict)
    _copy_asked_ms: float = -math.inf

    def __attrs_post_init__(self) -> None:
        task = self.task
        self._stall_check = StallCheck(
            task.context.clock,
            task.reports,
            task.call.caller.request_id,
            lambda: task.core.ledger.next_position,
            self._endpoint_overdue,
            self._endpoint_late,
        )

    def stalled_run_suspected(self) -> bool:
        """Return whether a run that stalled is suspected now; called by the driver.

        A member watches the run that it serves, and `RelayedAttempt` the member.
        """
        task = self.task
        numbers = task.core.stalled_attempts(task.context.clock.now_ms())
        if not numbers:
            return True
        attempts = [task.open_attempts[each] for each in numbers if task.is_open(each)]
        relayed = any(attempt.is_relayed for attempt in attempts)
        if relayed or task.context.endpoints.link.full:
            return False
        for attempt in attempts:
            if attempt.first_event_ms is not None:
                self._stall_check.run_stalled(
                    attempt.endpoint_id, attempt.first_event_ms
                )
        return False

    def _endpoint_overdue(
        self, endpoint_id: str, reason: str, overdue_ms: float
    ) -> None:
        for attempt in list(self.task.open_attempts.values()):
            if attempt.endpoint_id == endpoint_id:
                self.run_overdue(attempt.number, reason, overdue_ms)

    def _endpoint_late(self, endpoint_id: str) -> None:
        for attempt in list(self.task.open_attempts.values()):
            if attempt.endpoint_id == endpoint_id:
                self.report_late(attempt.number)

    def run_overdue(self, number: int, reason: str, overdue_ms: float) -> None:
        """Let the core replace a run, which stays open until its successor starts."""
        attempt = self._unsuspected(number)
        if attempt is None:
            return
        if not self.task.core.may_run_again:
            self.run_kept(attempt, reason)
            return
        if reason == PREEMPTED and overdue_ms >= _MAX_OVERDUE_MS:
            reason = NOT_LISTED
        if reason == PREEMPTED:
            self._preempted_run_overdue(attempt, overdue_ms)
        elif reason != NO_REPORT:
            self._replace_or_keep(attempt, reason, overdue_ms)
        elif self._copy_reports.get(number, NoReport.SILENT) is None:
            self._ask_again(attempt, overdue_ms)
        else:
            self._silent_run_overdue(attempt, overdue_ms)

    def run_not_listed(self, number: int) -> None:
        """Give up a run without an event that its endpoint doesn't list.

        The last one that its route allows a begun stream is kept, and the only one of a
        request that may run once: its loss would be a cut, or would let the request run
        once more.
        """
        attempt = self.task.open_attempts.get(number)
        if attempt is None:
            return
        begun_last = self.task.has_begun and not self.task.has_tries_left
        if begun_last or not self.task.core.may_run_again:
            self.run_kept(attempt, NOT_RUNNING)
        else:
            attempt.lose(NOT_RUNNING)

    def _preempted_run_overdue(self, attempt: StreamAttempt, overdue_ms: float) -> None:
        """Go on from the run's copy if there is room for it, else wait on the run."""
        self.run_kept(attempt, PREEMPTED)
        core, copy_id = self.task.core, self._usable_copy(attempt.number)
        if not copy_id or copy_id in core.excluded_endpoints:
            return
        position = core.ledger.next_position

        def report_received(result: ReportResult) -> None:
            recovered = position != core.ledger.next_position
            if isinstance(result, NoReport) or result.queued or recovered:
                return
            if self._unsuspected(attempt.number) is attempt:
                self._replace_or_keep(attempt, PREEMPTED, overdue_ms)

        self.task.reports.request_shared_report(copy_id, report_received)

    def _unsuspected(self, number: int) -> StreamAttempt | None:
        """Return an open run that isn't being replaced yet, None if it isn't one."""
        core = self.task.core
        if core.ended or core.attempts[number].suspected:
            return None
        return self.task.open_attempts.get(number)

    def report_late(self, number: int) -> None:
        """Ask the endpoint that keeps a run's copy, as the run's own may be silent.

        Both are asked at nearly the same time, so that the end of a common silence
        isn't taken for an answer of one of them.
        """
        copy_id = self._usable_copy(number) if self.task.is_open(number) else ""
        now_ms = self.task.context.clock.now_ms()
        is_recent = now_ms - self._copy_asked_ms < _COPY_REPORT_KEPT_MS
        if number in self._copy_reports and is_recent:
            return
        if copy_id:
            self._copy_asked_ms = now_ms
            self._copy_reports[number] = None
            on_report = partial(self._copy_reported, number)
            self.task.reports.request_shared_report(copy_id, on_report)

    def _usable_copy(self, number: int) -> str:
        """Return the endpoint that keeps a run's copy and may run it, empty if none."""
        copy_id = self.task.core.attempts[number].copy_id
        record = self.task.context.site.directory.record(copy_id)
        return "" if record is None or record.leaving else copy_id

    def _copy_reported(self, number: int, result: ReportResult) -> None:
        if number in self._copy_reports:
            self._copy_reports[number] = result

    def _ask_again(self, attempt: StreamAttempt, overdue_ms: float) -> None:
        """Ask a silent run's endpoint once more while its copy's may still answer."""
        position = self.task.core.ledger.next_position

        def report_received(result: ReportResult) -> None:
            recovered = position != self.task.core.ledger.next_position
            if result is not NoReport.SILENT or recovered:
                return
            if self._unsuspected(attempt.number) is attempt:
                self._silent_run_overdue(attempt, overdue_ms)

        self.task.reports.request_shared_report(attempt.endpoint_id, report_received)

    def _silent_run_overdue(self, attempt: StreamAttempt, overdue_ms: float) -> None:
        report = self._copy_reports.pop(attempt.number, None)
        is_usable = bool(self._usable_copy(attempt.number))
        is_silent = report is None or report is NoReport.SILENT
        if is_usable and is_silent and overdue_ms < _MAX_OVERDUE_MS:
            self.run_kept(attempt, "copy_silent")
            return
        reached = not is_silent and report is not NoReport.NOT_REACHED
        self._replace_or_keep(attempt, NO_REPORT, overdue_ms, is_usable and reached)

    def _replace_or_keep(
        self,
        attempt: StreamAttempt,
        reason: str,
        overdue_ms: float,
        may_use_copy: bool = True,
    ) -> None:
        task = self.task
        if not task.may_replace_run():
            self._keep_without_retry(attempt, reason, overdue_ms)
            return
        attempt.set_overdue(reason)
        self._log_replaced(attempt, reason)
        if not attempt.is_relayed and reason != PREEMPTED:
            task.avoid_zone_of(attempt.endpoint_id)
        task.handle_event(EndpointStalled(attempt.endpoint_id, may_use_copy))

    def _keep_without_retry(
        self, attempt: StreamAttempt, reason: str, overdue_ms: float
    ) -> None:
        """Wait on a run, for longer than a silence only if its caller has a part."""
        if overdue_ms < _MAX_OVERDUE_MS:
            self.run_kept(attempt, reason)
        elif self.task.has_begun:
            self.run_kept(attempt, reason)
            self.task.wait_for_retry()
        else:
            attempt.lose(reason)

    def _log_replaced(self, attempt: StreamAttempt, reason: str) -> None:
        task = self.task
        task.context.metrics.run_replaced(
            task.call, attempt.endpoint_id, reason, task.core.runs
        )

    def run_kept(self, attempt: StreamAttempt, reason: str) -> None:
        """Log once a stall that an overdue run is waited on, for a log value."""
        position = self.task.core.ledger.next_position
        if position != self._kept_at_position:
            self._kept_at_position = position
            self.task.context.metrics.run_kept(
                self.task.call, attempt.endpoint_id, reason, position
            )

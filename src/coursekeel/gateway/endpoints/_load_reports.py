"""Request endpoints' load reports: before a request is placed, and while runs stall.

Runs that stall at one endpoint at the same time share one request. Owns the callbacks
of those requests. Relies on `EndpointProbe` for the requests. Passes reports to
routing, and to `SiteState` whether the endpoint is leaving. Ejects an endpoint that
doesn't answer, before a long prompt is sent to it. For a resumed stream, endpoints are
also asked which prompts they have in their cache.
"""

import logging
from collections.abc import Callable
from enum import Enum
from functools import partial
from http import HTTPStatus
from typing import Any

from attrs import define, field

from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._adapters import (
    EndpointCall,
    EndpointReport,
    UnreadableReport,
)
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway.endpoints._endpoint_probe import (
    EndpointProbe,
    ProbeFailure,
    ProbeFailureKind,
    ProbeResponse,
    ProbeResult,
)
from coursekeel.gateway.endpoints._silent_endpoints import (
    SILENT_EJECTION_MS,
    SilentEndpoints,
)
from coursekeel.observe import log_event
from coursekeel.routing import LoadReport
from coursekeel.units import MS_PER_SECOND

__all__ = ["LoadReports", "NoReport", "ReportResult"]

# How many endpoints' last requests are remembered; more than a site has.
_MAX_REQUESTED = 10_000

# Share of the time for a report after which it is late. Sound endpoints send theirs
# within a few ms, and another endpoint's must fit into the rest.
_LATE_SHARE = 0.6


class NoReport(Enum):
    """Why there is no usable report.

    ``SILENT``: nothing came in time, or the endpoint isn't known. ``NOT_REACHED``: the
    connection was refused, as by an endpoint that has ended or has too many.
    ``TURNED_AWAY``: it was reset, or the response was no report.
    """

    SILENT = "silent"
    NOT_REACHED = "not_reached"
    TURNED_AWAY = "turned_away"


_WHY_NO_REPORT = {
    ProbeFailureKind.TIMED_OUT: NoReport.SILENT,
    ProbeFailureKind.NOT_REACHED: NoReport.NOT_REACHED,
    ProbeFailureKind.CUT: NoReport.TURNED_AWAY,
}

ReportResult = EndpointReport | NoReport

_OnReport = Callable[[ReportResult], None]
_OnFound = Callable[[frozenset[str]], None]


@define(eq=False)
class _SharedRequest:
    """One request for a report, for all runs that wait for it."""

    on_report: list[_OnReport] = field(factory=list)
    on_late: list[Callable[[], None]] = field(factory=list)
    timer: Any = None
    is_late: bool = False

    def call_when_late(self, on_late: Callable[[], None]) -> None:
        """Call ``on_late`` when the report is late, now if it is."""
        if self.is_late:
            on_late()
        else:
            self.on_late.append(on_late)

    def late(self) -> None:
        """Most of the time for the report has passed."""
        self.is_late = True
        for callback in self.on_late:
            callback()


@define(eq=False)
class LoadReports:
    """Requests load reports; routing gets each one before the caller does."""

    context: GatewayContext
    _shared: dict[str, _SharedRequest] = field(factory=dict)
    _requested_ms: dict[str, float] = field(factory=dict)
    silent_endpoints: SilentEndpoints = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.silent_endpoints = SilentEndpoints(self.context)

    def request_reports(
        self, endpoint_ids: list[str], on_done: Callable[[], None]
    ) -> None:
        """Request several reports at once; call ``on_done`` when all have ended."""
        pending = set(endpoint_ids)

        def probe_ended(endpoint_id: str, _: ReportResult) -> None:
            pending.discard(endpoint_id)
            if not pending:
                on_done()

        for endpoint_id in endpoint_ids:
            self.request_report(endpoint_id, partial(probe_ended, endpoint_id))

    def find_cached_prompt(
        self, endpoint_ids: list[str], prompt_key: str, on_done: _OnFound
    ) -> None:
        """Call ``on_done`` with the endpoints that have the prompt in their cache."""
        records = [
            self.context.site.directory.record(candidate_id)
            for candidate_id in endpoint_ids
        ]
        pending = {endpoint.endpoint_id for endpoint in records if endpoint is not None}
        cached_at: set[str] = set()

        def probe_ended(endpoint_id: str, result: ProbeResult) -> None:
            pending.discard(endpoint_id)
            if isinstance(result, ProbeResponse) and result.status == HTTPStatus.OK:
                cached_keys = self.context.endpoints.dialect.read_cached_prompts(
                    result.body
                )
                if prompt_key in cached_keys:
                    cached_at.add(endpoint_id)
            if not pending:
                on_done(frozenset(cached_at))

        if not pending:
            on_done(frozenset())
        for record in records:
            if record is not None:
                call = self.context.endpoints.dialect.cached_prompts
                on_result = partial(probe_ended, record.endpoint_id)
                self._probe(record, call, on_result).start()

    def _probe(
        self,
        record: EndpointRecord,
        call: EndpointCall,
        on_result: Callable[[ProbeResult], None],
    ) -> EndpointProbe:
        context = self.context
        timeout_ms = context.settings.timers.report_ms
        return EndpointProbe(
            context.reactor, context.endpoints, record, call, timeout_ms, on_result
        )

    def request_report(self, endpoint_id: str, on_report: _OnReport) -> None:
        """Request one report; ``on_report`` is called once."""
        record = self.context.site.directory.record(endpoint_id)
        if record is None:
            on_report(NoReport.SILENT)
            return
        self.request_report_from(record, on_report)

    def request_shared_report(
        self,
        endpoint_id: str,
        on_report: _OnReport,
        on_late: Callable[[], None] | None = None,
    ) -> None:
        """Request one report, or wait for the one that another run has requested.

        The endpoint may have been dropped from the list: it serves on for a while.
        ``on_late`` is called before ``on_report`` if most of the time for the report
        passes without it.
        """
        shared = self._shared.get(endpoint_id)
        is_first = shared is None
        if shared is None:
            shared = self._shared[endpoint_id] = _SharedRequest()
        shared.on_report.append(on_report)
        if on_late is not None:
            shared.call_when_late(on_late)
        if is_first:
            late_ms = _LATE_SHARE * self.context.settings.timers.report_ms
            shared.timer = self.context.reactor.callLater(
                late_ms / MS_PER_SECOND, shared.late
            )
            on_ended = partial(self._shared_report_ended, endpoint_id)
            record = self.context.site.directory.last_known(endpoint_id)
            if record is None:
                on_ended(NoReport.SILENT)
            else:
                self.request_report_from(record, on_ended)

    def _shared_report_ended(self, endpoint_id: str, result: ReportResult) -> None:
        shared = self._shared.pop(endpoint_id)
        if shared.timer.active():
            shared.timer.cancel()
        for callback in shared.on_report:
            callback(result)

    def request_report_from(self, record: EndpointRecord, on_report: _OnReport) -> None:
        """Request a report of an endpoint that need not be listed."""
        requested_ms = self.context.clock.now_ms()
        self._note_request(record.endpoint_id, requested_ms)
        call = self.context.endpoints.dialect.report
        self._probe(
            record,
            call,
            lambda result: on_report(self._read_report(record, requested_ms, result)),
        ).start()

    def requested_ms(self, endpoint_id: str) -> float:
        """When an endpoint's report was last requested; minus infinity if never."""
        return self._requested_ms.get(endpoint_id, float("-inf"))

    def _note_request(self, endpoint_id: str, now_ms: float) -> None:
        self._requested_ms.pop(endpoint_id, None)
        self._requested_ms[endpoint_id] = now_ms
        if len(self._requested_ms) > _MAX_REQUESTED:
            del self._requested_ms[next(iter(self._requested_ms))]

    def request_own_state(
        self, record: EndpointRecord, timeout_ms: float, on_ended: Callable[[], None]
    ) -> None:
        """Request a report for what the endpoint says of itself.

        Unlike `request_report`, a request that fails ejects no endpoint, and doesn't
        count against its pool's reach.
        """
        requested_ms = self.context.clock.now_ms()

        def probe_ended(result: ProbeResult) -> None:
            if isinstance(result, ProbeResponse):
                self._read_report(record, requested_ms, result)
            on_ended()

        context = self.context
        call = context.endpoints.dialect.report
        EndpointProbe(
            context.reactor,
            context.endpoints,
            record,
            call,
            timeout_ms,
            probe_ended,
            tells_reach=False,
        ).start()

    def _read_report(
        self, record: EndpointRecord, requested_ms: float, result: ProbeResult
    ) -> ReportResult:
        """Pass the report to routing and return it, or why there is no usable one."""
        if isinstance(result, ProbeFailure):
            self._update_health(record, result)
            return _WHY_NO_REPORT[result.kind]
        if result.status != HTTPStatus.OK:
            return NoReport.TURNED_AWAY
        report = self.context.endpoints.dialect.read_report(result.body)
        if isinstance(report, UnreadableReport):
            _log_unreadable(record.endpoint_id, report)
            return NoReport.TURNED_AWAY
        self.silent_endpoints.answered(record.endpoint_id)
        if report.leaving is not None:
            self.context.site.record_own_state(
                record.endpoint_id, report.leaving, requested_ms
            )
        self._update_routing(record, report, requested_ms)
        return report

    def _update_health(self, record: EndpointRecord, result: ProbeFailure) -> None:
        """Eject an endpoint without a report; even full ones answer within a few ms."""
        endpoint_id = record.endpoint_id
        if result.kind is ProbeFailureKind.NOT_REACHED:
            self.context.health.unreachable(endpoint_id, result.reason)
        elif result.kind is ProbeFailureKind.TIMED_OUT:
            self.context.health.unreachable(
                endpoint_id, "report_timeout", SILENT_EJECTION_MS
            )
            self.silent_endpoints.silent(record)

    def _update_routing(
        self, record: EndpointRecord, report: EndpointReport, requested_ms: float
    ) -> None:
        load = LoadReport(
            record.endpoint_id,
            report.running,
            report.queued,
            record.slots,
            requested_ms,
            report.prefill_pending_runs,
            report.free_tokens,
        )
        self.context.routing.apply_report(load)


def _log_unreadable(endpoint_id: str, report: UnreadableReport) -> None:
    log_event(
        "report_unreadable", logging.WARNING, endpoint=endpoint_id, fault=report.fault
    )

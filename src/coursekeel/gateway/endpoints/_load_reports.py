"""Asks endpoints for their load before a request is placed.

Owns no state. Relies on `EndpointQuestion` to ask; feeds routing with what is said, and
tells of an endpoint that doesn't answer, so that it is known to be dead before a long
prompt is sent to it. A stream that comes back has endpoints asked as well which of them
keep its prompt.
"""

import logging
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from attrs import define

from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._adapters import (
    EndpointCall,
    EndpointReport,
    UnreadableReport,
)
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway.endpoints._endpoint_question import (
    EndpointAnswer,
    EndpointQuestion,
    NoAnswer,
    QuestionEnd,
    Silence,
)
from coursekeel.observe import log_event
from coursekeel.routing import LoadReport

__all__ = ["LoadReports"]

_OnReport = Callable[[EndpointReport | None], None]
_OnKept = Callable[[frozenset[str]], None]


@define(eq=False)
class LoadReports:
    """Asks for reports; routing gets each one before whoever asked for it."""

    context: GatewayContext

    def ask_all(self, endpoint_ids: list[str], done: Callable[[], None]) -> None:
        """Ask several endpoints at once; ``done`` is called when all have ended."""
        waiting = set(endpoint_ids)

        def one_ended(endpoint_id: str, _: EndpointReport | None) -> None:
            waiting.discard(endpoint_id)
            if not waiting:
                done()

        for endpoint_id in endpoint_ids:
            self.ask(endpoint_id, partial(one_ended, endpoint_id))

    def ask_kept(self, endpoint_ids: list[str], prompt_key: str, done: _OnKept) -> None:
        """Ask several endpoints which of them keep a prompt."""
        records = [self.context.site.directory.record(each) for each in endpoint_ids]
        waiting = {each.endpoint_id for each in records if each is not None}
        kept_at: set[str] = set()

        def one_ended(endpoint_id: str, end: QuestionEnd) -> None:
            waiting.discard(endpoint_id)
            if isinstance(end, EndpointAnswer) and end.status == HTTPStatus.OK:
                kept = self.context.endpoints.dialect.read_kept(end.body)
                if prompt_key in kept:
                    kept_at.add(endpoint_id)
            if not waiting:
                done(frozenset(kept_at))

        if not waiting:
            done(frozenset())
        for record in records:
            if record is not None:
                call = self.context.endpoints.dialect.kept_prompts
                on_end = partial(one_ended, record.endpoint_id)
                self._question(record, call, on_end).start()

    def _question(
        self,
        record: EndpointRecord,
        call: EndpointCall,
        on_end: Callable[[QuestionEnd], None],
    ) -> EndpointQuestion:
        context = self.context
        limit_ms = context.settings.timers.report_ms
        return EndpointQuestion(
            context.reactor, context.endpoints, record, call, limit_ms, on_end
        )

    def ask(self, endpoint_id: str, on_report: _OnReport) -> None:
        """Ask one endpoint; ``on_report`` gets None if it gave no report in time."""
        record = self.context.site.directory.record(endpoint_id)
        if record is None:
            on_report(None)
            return
        self.ask_record(record, on_report)

    def ask_record(self, record: EndpointRecord, on_report: _OnReport) -> None:
        """Ask an endpoint that the list need not name."""
        asked_ms = self.context.clock.now_ms()
        call = self.context.endpoints.dialect.report
        self._question(
            record, call, lambda end: on_report(self._report(record, asked_ms, end))
        ).start()

    def _report(
        self, record: EndpointRecord, asked_ms: float, end: QuestionEnd
    ) -> EndpointReport | None:
        """What was said, after routing has it; None if nothing that can be used."""
        if isinstance(end, NoAnswer):
            self._tell_health(record.endpoint_id, end)
            return None
        if end.status != HTTPStatus.OK:
            return None
        report = self.context.endpoints.dialect.read_report(end.body)
        if isinstance(report, UnreadableReport):
            _log_unreadable(record.endpoint_id, report)
            return None
        self._feed_routing(record, report, asked_ms)
        return report

    def _tell_health(self, endpoint_id: str, end: NoAnswer) -> None:
        """Endpoints answer this within a few milliseconds, even when they are full."""
        if end.silence is Silence.NOT_REACHED:
            self.context.health.unreachable(endpoint_id, end.reason)
        elif end.silence is Silence.TOO_LATE:
            self.context.health.unreachable(endpoint_id, "report_timeout")

    def _feed_routing(
        self, record: EndpointRecord, report: EndpointReport, asked_ms: float
    ) -> None:
        load = LoadReport(
            record.endpoint_id,
            report.running,
            report.queued,
            record.slots,
            asked_ms,
            report.unread_runs,
            report.free_tokens,
        )
        self.context.routing.reported(load)


def _log_unreadable(endpoint_id: str, report: UnreadableReport) -> None:
    log_event(
        "report_unreadable", logging.WARNING, endpoint=endpoint_id, fault=report.fault
    )

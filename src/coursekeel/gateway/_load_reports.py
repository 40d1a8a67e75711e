"""Asks endpoints for their load before a request is placed.

Owns the questions that are open. Relies on `EndpointClient` to ask; feeds routing with
what is said, and tells of an endpoint that doesn't answer, so that it is known to be
dead before a long prompt is sent to it.
"""

import logging
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any

from attrs import define, field

from coursekeel.fetch import Ending, Exchange, ExchangeHead, ExchangeSink
from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._adapters import EndpointReport, UnreadableReport
from coursekeel.gateway._context import GatewayContext
from coursekeel.observe import log_event
from coursekeel.routing import LoadReport

__all__ = ["LoadReports"]

_OnReport = Callable[[EndpointReport | None], None]


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

    def ask(self, endpoint_id: str, on_report: _OnReport) -> None:
        """Ask one endpoint; ``on_report`` gets None if it gave no report in time."""
        record = self.context.site.directory.record(endpoint_id)
        if record is None:
            on_report(None)
            return
        _Question(self.context, record, on_report).start()


@define(eq=False)
class _Question(ExchangeSink):
    """One question to one endpoint."""

    context: GatewayContext
    record: EndpointRecord
    on_report: _OnReport
    _asked_ms: float = 0.0
    _exchange: Exchange | None = None
    _limit: Any = None
    _head: ExchangeHead | None = None
    _body: list[bytes] = field(factory=list)

    def start(self) -> None:
        context = self.context
        self._asked_ms = context.clock.now_ms()
        limit_ms = context.settings.timers.report_ms
        self._limit = context.reactor.callLater(limit_ms / 1000, self._too_long)
        self._exchange = context.endpoints.ask_report(self.record, self)

    def head_arrived(self, head: ExchangeHead) -> None:
        self._head = head

    def data_arrived(self, data: bytes) -> None:
        self._body.append(data)

    def ended(self, ending: Ending, reason: str) -> None:
        if self._limit.active():
            self._limit.cancel()
        if ending is Ending.NOT_SENT:
            self.context.health.unreachable(self.record.endpoint_id, reason)
        if not self._answered_well(ending):
            self.on_report(None)
            return
        report = self.context.endpoints.dialect.read_report(b"".join(self._body))
        if isinstance(report, UnreadableReport):
            self._log_unreadable(report)
            self.on_report(None)
            return
        self._feed_routing(report)
        self.on_report(report)

    def _answered_well(self, ending: Ending) -> bool:
        head = self._head
        if ending is not Ending.WHOLE or head is None:
            return False
        return head.status == HTTPStatus.OK

    def _log_unreadable(self, report: UnreadableReport) -> None:
        log_event(
            "report_unreadable",
            logging.WARNING,
            endpoint=self.record.endpoint_id,
            fault=report.fault,
        )

    def _feed_routing(self, report: EndpointReport) -> None:
        load = LoadReport(
            self.record.endpoint_id,
            report.running,
            report.queued,
            self.record.slots,
            self._asked_ms,
            report.unread_runs,
            report.free_tokens,
        )
        self.context.routing.reported(load)

    def _too_long(self) -> None:
        assert self._exchange is not None
        self._exchange.abort()
        # An endpoint that computes answers in a few milliseconds even when it is full.
        self.context.health.unreachable(self.record.endpoint_id, "report_timeout")
        self.on_report(None)

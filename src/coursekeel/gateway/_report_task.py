"""Asks endpoints for their load, when a request is about to be placed."""

import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from attrs import define, field

from coursekeel.fetch import Ending, Exchange, ExchangeHead, ExchangeRequest
from coursekeel.fetch import ExchangeSink as Sink
from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._adapters import EndpointReport, UnreadableReport
from coursekeel.gateway._ports import ForwardingPorts
from coursekeel.observe import log_event
from coursekeel.routing import LoadReport

__all__ = ["ReportTask"]

_OK = 200
_Told = Callable[[EndpointReport | None], None]


@define(eq=False)
class ReportTask:
    """Asks, and feeds routing with what is said. An endpoint that can't be reached is
    known to be dead before a long prompt is sent to it.
    """

    ports: ForwardingPorts

    def ask_all(self, endpoint_ids: list[str], told: Callable[[], None]) -> None:
        """Ask several endpoints at once; ``told`` is called when all are done."""
        waiting = set(endpoint_ids)

        def one(endpoint_id: str) -> None:
            waiting.discard(endpoint_id)
            if not waiting:
                told()

        for endpoint_id in endpoint_ids:
            self.ask(endpoint_id, partial(_done, one, endpoint_id))

    def ask(self, endpoint_id: str, told: _Told) -> None:
        """Ask one endpoint; ``told`` gets None if it gave no report in time."""
        record = self.ports.directory.record(endpoint_id)
        if record is None:
            told(None)
            return
        _Ask(self.ports, record, told).start()


def _done(told: Callable[[str], None], endpoint_id: str, _: object) -> None:
    told(endpoint_id)


@define(eq=False)
class _Ask(Sink):
    ports: ForwardingPorts
    record: EndpointRecord
    told: _Told
    _asked_ms: float = 0.0
    _exchange: Exchange | None = None
    _limit: Any = None
    _head: ExchangeHead | None = None
    _body: list[bytes] = field(factory=list)

    def start(self) -> None:
        ports, record = self.ports, self.record
        self._asked_ms = ports.clock.now_ms()
        limit_ms = ports.settings.timers.report_ms
        self._limit = ports.reactor.callLater(limit_ms / 1000, self._too_long)
        path = ports.dialect.report_path
        headers = [(b"host", record.address.encode())]
        request = ExchangeRequest(record.host, record.port, b"GET", path, headers)
        self._exchange = Exchange(ports.reactor, request, self, limit_ms)
        self._exchange.start()

    def head_arrived(self, head: ExchangeHead) -> None:
        self._head = head

    def data_arrived(self, data: bytes) -> None:
        self._body.append(data)

    def ended(self, ending: Ending, reason: str) -> None:
        if self._limit.active():
            self._limit.cancel()
        if ending is Ending.NOT_SENT:
            self.ports.endpoint_failed(self.record.endpoint_id, reason)
        if ending is not Ending.WHOLE or self._head is None or self._head.status != _OK:
            self.told(None)
            return
        report = self.ports.dialect.read_report(b"".join(self._body))
        if isinstance(report, UnreadableReport):
            log_event(
                "report_unreadable",
                logging.WARNING,
                endpoint=self.record.endpoint_id,
                fault=report.fault,
            )
            self.told(None)
            return
        self._feed(report)
        self.told(report)

    def _feed(self, report: EndpointReport) -> None:
        load = LoadReport(
            self.record.endpoint_id,
            report.running,
            report.queued,
            self.record.slots,
            self._asked_ms,
            report.unread_runs,
            report.free_tokens,
        )
        self.ports.routing.reported(load)

    def _too_long(self) -> None:
        assert self._exchange is not None
        self._exchange.abort()
        # An endpoint that computes answers in a few milliseconds even when it is full.
        self.ports.endpoint_failed(self.record.endpoint_id, "report_timeout")
        self.told(None)

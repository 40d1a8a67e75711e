"""Find the new incarnation at an endpoint's address before it is listed.

Rule: an endpoint that responds in place of another incarnation sends its own id. It is
adopted into the same pool if that is the only pool of the configuration that serves
models of its report; a plain service reports none, and must be listed first. Sends name
the incarnation that they are for, so that a third one runs nothing.

Reason: a restart is listed after a second or two, and not at all during an outage of
the store. Meanwhile the endpoint's capacity and the copies it keeps would be unused.

Owns the pending report requests. Relies on `LoadReports`, and on `SiteState` to adopt.
"""

from collections.abc import Callable

from attrs import define, evolve, field

from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway.endpoints._load_reports import (
    LoadReports,
    NoReport,
    ReportResult,
)

__all__ = ["SuccessorLookup"]

_OnFound = Callable[[EndpointRecord | None], None]


@define(eq=False)
class SuccessorLookup:
    """Finds the endpoint that has another's address now; shared by all streams."""

    context: GatewayContext
    reports: LoadReports
    _pending: dict[str, list[_OnFound]] = field(factory=dict)

    def find(
        self, pool: str, endpoint_id: str, successor_id: str, on_found: _OnFound
    ) -> None:
        """Look up ``successor_id``, which responded in the place of ``endpoint_id``.

        ``on_found`` gets its record, None if it can't be used for ``pool``: addresses
        are reused, also for endpoints of other pools.
        """
        directory = self.context.site.directory
        record = directory.record(successor_id)
        predecessor = directory.record(endpoint_id)
        if record is not None or predecessor is None or not successor_id:
            usable = record is not None and not record.leaving and record.pool == pool
            on_found(record if usable else None)
            return
        callbacks = self._pending.setdefault(successor_id, [])
        callbacks.append(on_found)
        if len(callbacks) == 1:
            self._request_report(predecessor, successor_id)

    def _request_report(self, predecessor: EndpointRecord, successor_id: str) -> None:
        def report_received(report: ReportResult) -> None:
            successor = self._adopt_if_confirmed(predecessor, successor_id, report)
            for callback in self._pending.pop(successor_id):
                callback(successor)

        self.reports.request_report_from(
            evolve(predecessor, endpoint_id=successor_id), report_received
        )

    def _adopt_if_confirmed(
        self,
        predecessor: EndpointRecord,
        successor_id: str,
        report: ReportResult,
    ) -> EndpointRecord | None:
        site = self.context.site
        if isinstance(report, NoReport) or site.routes is None:
            return None
        if site.routes.pools_serving(report.models) != [predecessor.pool]:
            return None
        return site.adopt(predecessor.endpoint_id, successor_id)

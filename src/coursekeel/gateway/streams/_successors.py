"""Learn who has the address of an endpoint that is over, before the list says so.

Rule: an endpoint that answers for another incarnation names itself. It is taken for a
new endpoint of the same pool once its own report shows a model that no other pool of
the configuration serves; a plain service proves nothing, and waits for the list. Sends
name the incarnation that they are for, so that a third one runs nothing.

Reason: the list tells a restart within a second or two, and not at all while the store
is away. Until then each restarted endpoint was lost to new work, and the copies that it
kept were not found.

Owns the questions that are open. Relies on `LoadReports` to ask, and on the directory
to keep what it may.
"""

from collections.abc import Callable

from attrs import define, evolve, field

from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._adapters import EndpointReport
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway.endpoints._load_reports import LoadReports

__all__ = ["Successors"]

_OnFound = Callable[[EndpointRecord | None], None]


@define(eq=False)
class Successors:
    """Finds the endpoint that has another's address now."""

    context: GatewayContext
    reports: LoadReports
    _pending: dict[str, list[_OnFound]] = field(factory=dict)

    def find(self, endpoint_id: str, successor_id: str, on_found: _OnFound) -> None:
        """``named`` answered in the endpoint's place; None if it can't be used."""
        directory = self.context.site.directory
        record = directory.record(successor_id)
        predecessor = directory.record(endpoint_id)
        if record is not None or predecessor is None or not successor_id:
            on_found(None if record is None or record.leaving else record)
            return
        callbacks = self._pending.setdefault(successor_id, [])
        callbacks.append(on_found)
        if len(callbacks) == 1:
            self._request_report(predecessor, successor_id)

    def _request_report(self, predecessor: EndpointRecord, successor_id: str) -> None:
        def report_received(report: EndpointReport | None) -> None:
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
        report: EndpointReport | None,
    ) -> EndpointRecord | None:
        site = self.context.site
        if report is None or site.routes is None:
            return None
        if site.routes.pools_serving(report.models) != [predecessor.pool]:
            return None
        return site.adopt(predecessor.endpoint_id, successor_id)

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
    _asked: dict[str, list[_OnFound]] = field(factory=dict)

    def find(self, endpoint_id: str, named: str, on_found: _OnFound) -> None:
        """``named`` answered in the endpoint's place; None if it can't be used."""
        directory = self.context.site.directory
        known = directory.record(named)
        old = directory.record(endpoint_id)
        if known is not None or old is None or not named:
            on_found(None if known is None or known.leaving else known)
            return
        waiting = self._asked.setdefault(named, [])
        waiting.append(on_found)
        if len(waiting) == 1:
            self._ask(old, named)

    def _ask(self, old: EndpointRecord, named: str) -> None:
        def reported(report: EndpointReport | None) -> None:
            found = self._judge(old, named, report)
            for each in self._asked.pop(named):
                each(found)

        self.reports.ask_record(evolve(old, endpoint_id=named), reported)

    def _judge(
        self, old: EndpointRecord, named: str, report: EndpointReport | None
    ) -> EndpointRecord | None:
        site = self.context.site
        if report is None or site.routes is None:
            return None
        if site.routes.pools_serving(report.models) != [old.pool]:
            return None
        return site.adopt(old.endpoint_id, named)

"""What readings of the store change: routes, keys, and the list of endpoints."""

import logging
from collections.abc import Callable
from typing import Any

from attrs import define

from coursekeel.forwarding import (
    EndpointDirectory,
    EndpointRecord,
    ForwardingConfiguration,
    RouteTable,
)
from coursekeel.gateway._adapters import (
    Reading,
    Removed,
    Table,
    UnreadableEntry,
    Versioned,
)
from coursekeel.gateway._desk import Desk
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import RoutingTask
from coursekeel.settings import GatewaySettings

__all__ = ["Readings"]


@define(eq=False)
class Readings:
    """Applies what was read; each reading is in force when its method returns."""

    reactor: Reactor
    settings: Callable[[], GatewaySettings]
    directory: EndpointDirectory
    routing: RoutingTask
    desk: Desk
    list_known: bool = False
    _settling: Any = None

    def configured(self, reading: Reading) -> None:
        """Take a configuration; one that isn't newer is passed over."""
        for each in reading.entries:
            match each.entry:
                case ForwardingConfiguration():
                    self._take_configuration(each.entry)
                case UnreadableEntry():
                    _log_unreadable(Table.CONFIGURATION, each.entry, each.version)

    def _take_configuration(self, configuration: ForwardingConfiguration) -> None:
        table = self.desk.table
        if table is not None and configuration.version <= table.configuration.version:
            return
        self.desk.table = RouteTable(configuration)
        log_event(
            "configuration_applied",
            version=configuration.version,
            routes=len(configuration.routes),
        )
        self.endpoints_changed()

    def listed(self, reading: Reading) -> None:
        """Take the whole list of endpoints, or changes of it."""
        self.list_known = True
        if reading.whole:
            self._take_list(reading)
        else:
            for each in reading.entries:
                self._take_entry(each)
        self.endpoints_changed()

    def _take_list(self, reading: Reading) -> None:
        pairs: list[tuple[EndpointRecord, int]] = []
        unreadable: list[str] = []
        for each in reading.entries:
            match each.entry:
                case EndpointRecord():
                    pairs.append((each.entry, each.version))
                case UnreadableEntry():
                    unreadable.append(each.entry.entry_id)
                    _log_unreadable(Table.ENDPOINTS, each.entry, each.version)
        self.directory.replace_all(pairs, kept=unreadable)

    def _take_entry(self, versioned: Versioned) -> None:
        entry, version = versioned.entry, versioned.version
        match entry:
            case EndpointRecord():
                if entry.leaving:
                    log_event("endpoint_leaving", endpoint=entry.endpoint_id)
                self.directory.put(entry, version)
            case Removed():
                log_event("endpoint_gone", endpoint=entry.entry_id)
                self.directory.remove(entry.entry_id, version)
            case UnreadableEntry():
                _log_unreadable(Table.ENDPOINTS, entry, version)

    def list_came_back(self, lost_for_ms: float) -> None:
        """Entries lapse while the store is away, and the living register again."""
        timers = self.settings().timers
        if lost_for_ms < timers.endpoints_lapse_ms:
            return
        self.directory.store_returned()
        if self._settling is not None and self._settling.active():
            self._settling.cancel()
        self._settling = self.reactor.callLater(
            timers.endpoints_return_ms / 1000, self._list_settled
        )

    def _list_settled(self) -> None:
        for endpoint_id in self.directory.settle():
            log_event("endpoint_gone", endpoint=endpoint_id, reason="not_back")
        self.endpoints_changed()

    def endpoints_changed(self) -> None:
        """Endpoints came, went, or are known to be replaced: routing is told."""
        directory = self.directory
        router = self.routing.router
        router.configure(directory.pools(), directory.zones(), directory.slots())
        self.routing.review()


def _log_unreadable(table: Table, entry: UnreadableEntry, version: int) -> None:
    log_event(
        "row_unreadable",
        logging.WARNING,
        table=table.value,
        key=entry.entry_id,
        version=version,
        fault=entry.fault,
    )

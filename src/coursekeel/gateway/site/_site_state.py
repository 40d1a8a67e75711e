"""The cached state of the site: routes and keys, endpoints, and their freshness.

`Rollouts` decides which of a pool's endpoints may serve during a roll-out.

Owns the route table, the directory of endpoints and the times at which the store last
confirmed them. A snapshot or update is in force when the method that applies it
returns. Relies on `TableWatchTask` for these, and updates routing after every change of
the endpoints.

An unreadable entry is logged and removes nothing: its previous state stays.
"""

import logging
import math
from collections.abc import Callable
from typing import Any

from attrs import define, field

from coursekeel.canary import RolloutOrder, Rollouts, pool_of_order
from coursekeel.forwarding import (
    ConfigurationAge,
    EndpointDirectory,
    EndpointListAge,
    EndpointRecord,
    ForwardingConfiguration,
    Freshness,
    RequestLimits,
    RouteTable,
    StorePosition,
)
from coursekeel.gateway._adapters import (
    Outage,
    Removed,
    Table,
    TableRead,
    UnreadableEntry,
    VersionedEntry,
)
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway._metrics import logged_age_ms
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._start_hold import StartHold
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, RoutingTask
from coursekeel.units import MS_PER_SECOND

__all__ = ["SiteState"]

# Interval at which missing endpoints are reviewed; at each send the time is compared.
_REVIEW_INTERVAL_S = 0.1

# Time for a new endpoint to appear in the list: twice the sum of two usual heartbeats
# of 1.2 s and the time that changes gather.
_LISTING_TIME_S = 6.0
# Interval at which an adopted endpoint is checked after that, until the list shows it.
_ADOPTED_CHECK_INTERVAL_S = 0.5


def _return_false() -> bool:
    return False


@define(eq=False)
class SiteState:
    """The routes, keys and endpoints that are in force on this instance."""

    reactor: Reactor
    clock: Clock
    settings: LiveSettings
    directory: EndpointDirectory
    routing: RoutingTask
    store_is_away_for_group: Callable[[], bool] = _return_false
    freshness: Freshness = field(factory=Freshness)
    hold: StartHold = field(factory=StartHold)
    rollouts: Rollouts = field(factory=Rollouts.none)
    ordered: Callable[[], None] = lambda: None
    endpoints_changed: Callable[[], None] = lambda: None
    routes: RouteTable | None = None
    endpoints_read: bool = False
    _list_position: StorePosition = field(factory=StorePosition)
    _list_source: str = ""
    _review_timer: Any = None
    _tried_pools: dict[str, str] = field(factory=dict)

    # Routes and keys.

    @property
    def routes_age_ms(self) -> float:
        """Age of the last confirmation of routes and keys; infinite without one."""
        return self.freshness.age_ms(Table.CONFIGURATION.value, self.clock.now_ms())

    def configuration_age(self) -> ConfigurationAge:
        """Version and age of the configuration in force."""
        if self.routes is None:
            return ConfigurationAge()
        return ConfigurationAge(self.routes.configuration.version, self.routes_age_ms)

    @property
    def limits(self) -> RequestLimits:
        """The limits on callers' requests that are in force."""
        return self.routes.configuration.limits if self.routes else RequestLimits()

    @property
    def ready(self) -> bool:
        """Whether the cached state is complete and recent enough for keyed requests."""
        is_complete = self.routes is not None and self.endpoints_read
        return is_complete and self.routes_age_ms <= self.max_key_age_ms

    @property
    def max_key_age_ms(self) -> float:
        """The age of the keys' confirmation up to which requests are served.

        Infinite while the store is unreachable for the whole group, unless
        ``strict_revoke`` is set: then the cached keys stay valid until it returns.
        """
        timers = self.settings.timers
        if not timers.strict_revoke and self.store_is_away_for_group():
            return math.inf
        return timers.max_key_age_ms

    def may_still_send(self, call: AdmittedRequest, begun: bool = False) -> bool:
        """Whether a request's key is still valid; called before every send.

        A process may have been frozen since admission, and the key revoked meanwhile.
        A request whose answer has ``begun`` goes on, since its key was valid when it
        was sent, as it would have if its endpoint hadn't failed.
        """
        if call.route.anonymous or call.team is None or begun:
            return True
        if self.routes_age_ms > self.max_key_age_ms:
            return False
        assert self.routes is not None
        team = self.routes.team(call.caller.key)
        # The team's name is sent to the endpoint, so that team must hold the key now.
        return team is not None and team.name == call.team.name

    def apply_configuration(self, table_read: TableRead) -> None:
        """Apply a configuration and roll-out orders; those not newer are ignored."""
        if table_read.whole and not table_read.restored:
            # After a restore a missing order isn't withdrawn: it is written again.
            self.rollouts.withdraw_all_except(_pools_of_orders(table_read))
        for versioned in table_read.entries:
            match versioned.entry:
                case ForwardingConfiguration():
                    self._apply_configuration(
                        versioned.entry, versioned.position, table_read.source
                    )
                case RolloutOrder():
                    self._apply_order(versioned.entry, versioned.position)
                case Removed() if pool := pool_of_order(versioned.entry.entry_id):
                    self.rollouts.withdraw(pool)
                    self.update_routing()
                case UnreadableEntry():
                    _log_unreadable(
                        Table.CONFIGURATION, versioned.entry, versioned.position
                    )

    def _apply_order(self, order: RolloutOrder, position: StorePosition) -> None:
        begun = self.rollouts.set_order(order, position, self.clock.now_ms())
        if begun is None:
            return
        log_event(
            "rollout_ordered",
            pool=order.pool,
            target=order.target,
            within_ms=round(order.duration_ms),
            moment=position,
        )
        self.update_routing()
        self.ordered()

    def record_orders_read(self, position: StorePosition) -> None:
        """Record that all roll-out orders up to a store position were read."""
        if self.rollouts.set_orders_position(position):
            self.update_routing()

    def _apply_configuration(
        self,
        configuration: ForwardingConfiguration,
        position: StorePosition,
        source: str,
    ) -> None:
        routes = self.routes
        if routes and configuration.version <= routes.configuration.version:
            return
        self.routes = RouteTable(configuration)
        log_event(
            "configuration_applied",
            version=configuration.version,
            routes=len(configuration.routes),
            moment=position,
            source=source,
        )
        self.update_routing()
        self._release_held()

    # Endpoints.

    def endpoint_list_age(self) -> EndpointListAge:
        """Position, source and age of the list of endpoints in force."""
        age_ms = self.freshness.age_ms(Table.ENDPOINTS.value, self.clock.now_ms())
        return EndpointListAge(self._list_position, self._list_source, age_ms)

    def missing_ms(self, endpoint_id: str) -> float | None:
        """For how long the list has lacked an endpoint that is kept; None if named."""
        since_ms = self.directory.missing.since_ms(endpoint_id)
        return None if since_ms is None else self.clock.now_ms() - since_ms

    def record_list_read(self, position: StorePosition) -> None:
        """Record that all changes of the list up to a store position were read."""
        self._list_position = position

    def apply_endpoints(self, table_read: TableRead) -> None:
        """Apply the whole list of endpoints, or changes of it."""
        self.endpoints_read = True
        self._list_source = table_read.source
        if table_read.whole:
            self._apply_list(table_read)
        else:
            for versioned in table_read.entries:
                self._apply_change(versioned, table_read.source)
        self.update_routing()
        self._release_held()

    def _release_held(self) -> None:
        """Release requests that arrived before both tables were read."""
        if self.routes is not None and self.endpoints_read:
            self.hold.known()

    def _apply_list(self, table_read: TableRead) -> None:
        pairs: list[tuple[EndpointRecord, StorePosition]] = []
        unreadable: list[str] = []
        for versioned in table_read.entries:
            match versioned.entry:
                case EndpointRecord():
                    pairs.append((versioned.entry, versioned.position))
                case UnreadableEntry():
                    unreadable.append(versioned.entry.entry_id)
                    _log_unreadable(
                        Table.ENDPOINTS, versioned.entry, versioned.position
                    )
        was_leaving = self.directory.leaving_by_id()
        position, now_ms = table_read.position, self.clock.now_ms()
        if table_read.restored:
            self.directory.restore(pairs, position, now_ms, unreadable)
            self._schedule_review()
        else:
            self.directory.replace_all(pairs, position, now_ms, unreadable)
        is_leaving = self.directory.leaving_by_id()
        log_event(
            "endpoints_read",
            endpoints=len(is_leaving),
            moment=table_read.position,
            source=table_read.source,
        )
        named = {record.endpoint_id for record, _ in pairs} | set(unreadable)
        for endpoint_id in was_leaving | is_leaving:
            self._log_change(
                endpoint_id,
                was_leaving.get(endpoint_id, False),
                endpoint_id in named,
                table_read.position,
                table_read.source,
            )

    def _apply_change(self, change: VersionedEntry, source: str) -> None:
        entry, position = change.entry, change.position
        match entry:
            case EndpointRecord():
                self.directory.put(entry, position)
                self._log_change(entry.endpoint_id, False, True, position, source)
            case Removed():
                now_ms = self.clock.now_ms()
                self.directory.remove(entry.entry_id, position, now_ms)
                self._log_change(entry.entry_id, False, False, position, source)
            case UnreadableEntry():
                _log_unreadable(Table.ENDPOINTS, entry, position)

    def _log_change(
        self,
        endpoint_id: str,
        was_leaving: bool,
        named: bool,
        position: StorePosition,
        source: str,
    ) -> None:
        """Log that an endpoint is now leaving, gone, or missing after an outage.

        ``was_leaving`` says whether that was known before, ``named`` whether the list
        names the endpoint.
        """
        record = self.directory.record(endpoint_id)
        if record is None:
            event = "endpoint_gone"
        elif not named:
            event = "endpoint_missing"
        else:
            event = "endpoint_leaving" if record.leaving and not was_leaving else ""
        if event:
            log_event(event, endpoint=endpoint_id, moment=position, source=source)

    def record_own_state(
        self, endpoint_id: str, leaving: bool, asked_ms: float
    ) -> None:
        """Record what an endpoint says of itself: whether it is leaving.

        ``asked_ms`` is when it was asked. Its word is nearer than any list's: the list
        may lag behind, or can't be read.
        """
        if not leaving:
            self._record_serving(endpoint_id, asked_ms)
        elif self.directory.mark_leaving(endpoint_id):
            log_event(
                "endpoint_leaving",
                endpoint=endpoint_id,
                source="endpoint",
                asked_age_ms=round(self.clock.now_ms() - asked_ms),
            )
            self.update_routing()

    def _record_serving(self, endpoint_id: str, asked_ms: float) -> None:
        if self.directory.missing.record_serving(endpoint_id, asked_ms):
            missing_ms = self.missing_ms(endpoint_id) or 0.0
            log_event(
                "endpoint_kept", endpoint=endpoint_id, missing_ms=round(missing_ms)
            )

    def prepare_after_outage(self, outage: Outage) -> None:
        """Prepare for the first read of the list after an outage.

        Registrations expire while the store is down, and live endpoints register again
        within `endpoints_return_ms`: endpoints that are removed in that time count as
        missing. It isn't started again by an outage in which none can have expired.
        """
        lapse_ms = self.settings.timers.endpoints_lapse_ms
        if outage.unconfirmed_ms < lapse_ms:
            return
        now_ms = self.clock.now_ms()
        if self.directory.missing.recovering(now_ms) and outage.failed_ms < lapse_ms:
            return
        self.directory.begin_recovery(now_ms)
        log_event(
            "endpoints_recovering",
            unconfirmed_ms=logged_age_ms(outage.unconfirmed_ms),
            failed_ms=round(outage.failed_ms),
        )
        self._schedule_review()

    def _schedule_review(self) -> None:
        """Review the missing endpoints soon, and for as long as there are any."""
        if self._review_timer is None or not self._review_timer.active():
            self._review_timer = self.reactor.callLater(
                _REVIEW_INTERVAL_S, self._review_missing
            )

    def _review_missing(self) -> None:
        now_ms, directory = self.clock.now_ms(), self.directory
        confirmed_ms = self.freshness.confirmed_ms(Table.ENDPOINTS.value)
        if gone := directory.remove_missing(now_ms, confirmed_ms):
            for endpoint_id in gone:
                log_event("endpoint_gone", endpoint=endpoint_id, reason="not_back")
            self.update_routing()
        if directory.missing.recovering(now_ms) or directory.missing.ids():
            self._schedule_review()

    def mark_replaced(self, endpoint_id: str) -> None:
        """Mark an endpoint as replaced: another incarnation answers at its address."""
        self.directory.mark_replaced(endpoint_id)
        self.update_routing()

    def adopt(self, endpoint_id: str, successor_id: str) -> EndpointRecord | None:
        """Add an endpoint's successor at its address; None if it may not be used."""
        now_ms = self.clock.now_ms()
        record = self.directory.adopt(endpoint_id, successor_id, now_ms)
        if record is None or record.leaving:
            return None
        if self.directory.is_adopted(successor_id):
            log_event("endpoint_adopted", endpoint=successor_id, after=endpoint_id)
            self.reactor.callLater(
                _LISTING_TIME_S, self._check_adopted, successor_id, now_ms
            )
            self.update_routing()
        return record

    def _check_adopted(self, successor_id: str, adopted_ms: float) -> None:
        """Drop an adopted endpoint that the list lacks; check again if too early."""
        if not self.directory.is_adopted(successor_id):
            return
        confirmed_ms = self.freshness.confirmed_ms(Table.ENDPOINTS.value)
        if confirmed_ms >= adopted_ms + _LISTING_TIME_S * MS_PER_SECOND:
            log_event("endpoint_gone", endpoint=successor_id, reason="not_listed")
            self.directory.remove_adopted(successor_id)
            self.update_routing()
            return
        self.reactor.callLater(
            _ADOPTED_CHECK_INTERVAL_S, self._check_adopted, successor_id, adopted_ms
        )

    def pool_of(self, routed_pool: str) -> str:
        """The pool whose endpoints routing knows under this name.

        Routing knows the endpoints of a tried version as a pool of their own.
        """
        return self._tried_pools.get(routed_pool, routed_pool)

    def update_routing(self) -> None:
        """Pass the endpoints of each pool, their zones and slots to routing."""
        directory, router = self.directory, self.routing.router
        self.endpoints_changed()
        pools = self.rollouts.split(directory.pools(), directory.record_with_position)
        router.endpoints.configure(pools, directory.zones(), directory.slots())
        for tried, pool in self._tried_pools.items():
            if tried not in pools:
                router.move_queued(tried, pool)
        orders = self.rollouts.by_pool.items()
        self._tried_pools = {rollout.canary_pool: pool for pool, rollout in orders}
        self.routing.review()


def _pools_of_orders(table_read: TableRead) -> list[str]:
    """The pools with a roll-out order in a snapshot, including unreadable orders."""
    pools = []
    for versioned in table_read.entries:
        match versioned.entry:
            case RolloutOrder():
                pools.append(versioned.entry.pool)
            case UnreadableEntry() if pool := pool_of_order(versioned.entry.entry_id):
                pools.append(pool)
    return pools


def _log_unreadable(
    table: Table, entry: UnreadableEntry, position: StorePosition
) -> None:
    log_event(
        "row_unreadable",
        logging.WARNING,
        table=table.value,
        key=entry.entry_id,
        moment=position,
        fault=entry.fault,
    )

"""What an instance knows of its site: routes and keys, endpoints, and how fresh.

Which of a pool's endpoints may serve during a roll-out, `Rollouts` says.

Owns the route table, the directory of endpoints and the moments at which the store last
proved them. Each reading is in force when the method that takes it returns. Relies on
`FollowTask` for the readings, and tells routing of every change of the endpoints.

Nothing that can't be read takes anything away: an entry that is unreadable is logged,
and what was known of it before stays.
"""

import logging
import math
from collections.abc import Callable
from typing import Any

from attrs import define, field

from coursekeel.canary import RolloutOrder, Rollouts, pool_of_order
from coursekeel.forwarding import (
    Belief,
    EndpointDirectory,
    EndpointRecord,
    ForwardingConfiguration,
    Freshness,
    RequestLimits,
    RouteTable,
    StoreMoment,
)
from coursekeel.gateway._adapters import (
    Reading,
    Removed,
    Table,
    UnreadableEntry,
    Versioned,
)
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._start_hold import StartHold
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, RoutingTask
from coursekeel.units import MS_PER_SECOND

__all__ = ["KnownSite"]

# A list that is followed names a new endpoint within two heartbeats of 1.2 s (the usual
# ones) and the time its changes gather. Twice that.
_LISTED_WITHIN_S = 6.0


def _never() -> bool:
    return False


@define(eq=False)
class KnownSite:
    """The routes, keys and endpoints that are in force here."""

    reactor: Reactor
    clock: Clock
    settings: LiveSettings
    directory: EndpointDirectory
    routing: RoutingTask
    away_for_all: Callable[[], bool] = _never
    freshness: Freshness = field(factory=Freshness)
    hold: StartHold = field(factory=StartHold)
    rollouts: Rollouts = field(factory=Rollouts.none)
    ordered: Callable[[], None] = lambda: None
    routes: RouteTable | None = None
    endpoints_read: bool = False
    _settling: Any = None
    _tried_pools: dict[str, str] = field(factory=dict)

    # Routes and keys.

    @property
    def routes_age_ms(self) -> float:
        """How old the last proof of routes and keys is; infinite if there is none."""
        return self.freshness.age_ms(Table.CONFIGURATION.value, self.clock.now_ms())

    def belief(self) -> Belief:
        """What routes and keys are taken from now."""
        if self.routes is None:
            return Belief()
        return Belief(self.routes.configuration.version, self.routes_age_ms)

    @property
    def limits(self) -> RequestLimits:
        """The bounds on callers' requests that are in force."""
        return self.routes.configuration.limits if self.routes else RequestLimits()

    @property
    def ready(self) -> bool:
        """Say whether enough is known, and freshly enough, to serve keyed requests."""
        known = self.routes is not None and self.endpoints_read
        return known and self.routes_age_ms <= self.max_key_age_ms

    @property
    def max_key_age_ms(self) -> float:
        """The greatest age of what is known of keys at which one is acted on now.

        Where keys need not end at once, nothing binds while the store is away for all:
        then what is known is served on until it returns.
        """
        timers = self.settings.timers
        if not timers.strict_revoke and self.away_for_all():
            return math.inf
        return timers.max_key_age_ms

    def may_still_send(self, call: AdmittedRequest, begun: bool = False) -> bool:
        """Say whether a request's key may be acted on now.

        Asked again before every send: a process that was frozen since admission would
        act on keys that may long have been taken away. A request whose answer has
        ``begun`` was asked for while its key was surely valid, and the bound on keys
        counts from then: it goes on, as it would have if its endpoint hadn't failed.
        """
        if call.route.anonymous or call.team is None or begun:
            return True
        if self.routes_age_ms > self.max_key_age_ms:
            return False
        assert self.routes is not None
        team = self.routes.team(call.caller.key)
        # Endpoints are told the team's name, which must hold the key now.
        return team is not None and team.name == call.team.name

    def take_configuration(self, reading: Reading) -> None:
        """Take a configuration and orders; what isn't newer is passed over."""
        if reading.whole and not reading.restored:
            # An order that a copy lacks is written again.
            self.rollouts.withdrawn(_pools_of_orders(reading))
        for each in reading.entries:
            match each.entry:
                case ForwardingConfiguration():
                    relayed = reading.proven_ms is not None
                    self._put_in_force(each.entry, each.moment, relayed)
                case RolloutOrder():
                    self._take_order(each.entry, each.moment)
                case Removed() if pool := pool_of_order(each.entry.entry_id):
                    self.rollouts.withdrawn_one(pool)
                    self.tell_routing()
                case UnreadableEntry():
                    _log_unreadable(Table.CONFIGURATION, each.entry, each.moment)

    def _take_order(self, order: RolloutOrder, moment: StoreMoment) -> None:
        begun = self.rollouts.ordered(order, moment, self.clock.now_ms())
        if begun is None:
            return
        log_event(
            "rollout_ordered",
            pool=order.pool,
            target=order.target,
            within_ms=round(order.duration_ms),
            moment=moment,
        )
        self.tell_routing()
        self.ordered()

    def orders_proved(self, moment: StoreMoment) -> None:
        """All orders up to a moment are known."""
        if self.rollouts.orders_read(moment):
            self.tell_routing()

    def _put_in_force(
        self,
        configuration: ForwardingConfiguration,
        moment: StoreMoment,
        relayed: bool,
    ) -> None:
        routes = self.routes
        if routes and configuration.version <= routes.configuration.version:
            return
        self.routes = RouteTable(configuration)
        log_event(
            "configuration_applied",
            version=configuration.version,
            routes=len(configuration.routes),
            moment=moment,
            source="member" if relayed else "store",
        )
        self.tell_routing()
        self._tell_hold()

    # Endpoints.

    def take_endpoints(self, reading: Reading) -> None:
        """Take the whole list of endpoints, or changes of it."""
        self.endpoints_read = True
        if reading.whole:
            self._take_list(reading)
        else:
            for each in reading.entries:
                self._take_change(each)
        self.tell_routing()
        self._tell_hold()

    def _tell_hold(self) -> None:
        """What came before both tables were known can be served now."""
        if self.routes is not None and self.endpoints_read:
            self.hold.known()

    def _take_list(self, reading: Reading) -> None:
        pairs: list[tuple[EndpointRecord, StoreMoment]] = []
        unreadable: list[str] = []
        for each in reading.entries:
            match each.entry:
                case EndpointRecord():
                    pairs.append((each.entry, each.moment))
                case UnreadableEntry():
                    unreadable.append(each.entry.entry_id)
                    _log_unreadable(Table.ENDPOINTS, each.entry, each.moment)
        if reading.restored:
            self.directory.restore(pairs, kept=unreadable)
            self._settle_later()
        else:
            self.directory.replace_all(pairs, kept=unreadable)

    def _take_change(self, change: Versioned) -> None:
        entry, moment = change.entry, change.moment
        match entry:
            case EndpointRecord():
                if entry.leaving:
                    log_event("endpoint_leaving", endpoint=entry.endpoint_id)
                self.directory.put(entry, moment)
            case Removed():
                log_event("endpoint_gone", endpoint=entry.entry_id)
                self.directory.remove(entry.entry_id, moment)
            case UnreadableEntry():
                _log_unreadable(Table.ENDPOINTS, entry, moment)

    def endpoints_back(self, lost_for_ms: float) -> None:
        """The list is read again after an outage of the store of ``lost_for_ms``.

        Entries lapse while the store is away, and endpoints that live register again
        within `endpoints_return_ms`; one that is missing after that is gone.
        """
        timers = self.settings.timers
        if lost_for_ms < timers.endpoints_lapse_ms:
            return
        self.directory.store_returned()
        self._settle_later()

    def _settle_later(self) -> None:
        timers = self.settings.timers
        if self._settling is not None and self._settling.active():
            self._settling.cancel()
        self._settling = self.reactor.callLater(
            timers.endpoints_return_ms / 1000, self._settled
        )

    def _settled(self) -> None:
        for endpoint_id in self.directory.settle():
            log_event("endpoint_gone", endpoint=endpoint_id, reason="not_back")
        self.tell_routing()

    def endpoint_replaced(self, endpoint_id: str) -> None:
        """Another incarnation answered at the endpoint's address: this one is over."""
        self.directory.replaced(endpoint_id)
        self.tell_routing()

    def adopt(self, endpoint_id: str, successor_id: str) -> EndpointRecord | None:
        """Take the endpoint that has another's address now; None if it may not be."""
        record = self.directory.adopt(endpoint_id, successor_id)
        if record is None or record.leaving:
            return None
        if self.directory.unlisted(successor_id):
            log_event("endpoint_adopted", endpoint=successor_id, after=endpoint_id)
            now_ms = self.clock.now_ms()
            self.reactor.callLater(
                _LISTED_WITHIN_S, self._look_for_adopted, successor_id, now_ms
            )
            self.tell_routing()
        return record

    def _look_for_adopted(self, successor_id: str, adopted_ms: float) -> None:
        """What the list had time to name and doesn't is gone; else look again."""
        if not self.directory.unlisted(successor_id):
            return
        proven_ms = self.freshness.proven_ms(Table.ENDPOINTS.value)
        if proven_ms >= adopted_ms + _LISTED_WITHIN_S * MS_PER_SECOND:
            log_event("endpoint_gone", endpoint=successor_id, reason="not_listed")
            self.directory.disown(successor_id)
            self.tell_routing()
            return
        self.reactor.callLater(
            _LISTED_WITHIN_S, self._look_for_adopted, successor_id, adopted_ms
        )

    def tell_routing(self) -> None:
        """Tell routing which endpoints may serve which pool now."""
        directory, router = self.directory, self.routing.router
        pools = self.rollouts.split(directory.pools(), directory.known)
        router.endpoints.configure(pools, directory.zones(), directory.slots())
        for tried, pool in self._tried_pools.items():
            if tried not in pools:
                router.move(tried, pool)
        orders = self.rollouts.by_pool.items()
        self._tried_pools = {rollout.tried_pool: pool for pool, rollout in orders}
        self.routing.review()


def _pools_of_orders(reading: Reading) -> list[str]:
    """The pools whose orders a reading names; one that can't be read stays."""
    pools = []
    for each in reading.entries:
        match each.entry:
            case RolloutOrder():
                pools.append(each.entry.pool)
            case UnreadableEntry() if pool := pool_of_order(each.entry.entry_id):
                pools.append(pool)
    return pools


def _log_unreadable(table: Table, entry: UnreadableEntry, moment: StoreMoment) -> None:
    log_event(
        "row_unreadable",
        logging.WARNING,
        table=table.value,
        key=entry.entry_id,
        moment=moment,
        fault=entry.fault,
    )

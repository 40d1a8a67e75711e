"""The task that brings endpoints to the configuration, under a lease per group."""

from attrs import define, field

from coursekeel.endpoints import LoadPacer, Order, OrderOutcome, orders_due
from coursekeel.entry.control._configuration_task import ConfigurationTask
from coursekeel.entry.control._endpoints_task import EndpointsTask
from coursekeel.membership import GroupLease, LapseWatch, LeaseTerms
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic
from coursekeel.settings import Timers
from coursekeel.storage import Platform, Unavailable

__all__ = ["OrdersTask"]

# A lapse is seen within a third of a lease after it.
_LOOKS_A_LEASE = 3


@define(eq=False)
class OrdersTask:
    """Holds what group leases it can get and gives the orders that are due.

    For endpoints that don't check epochs an order goes only while the lease outlasts
    the slowest order, and a successor waits out lease and margin; a holder that is
    frozen inside the write can still wake and finish it. No promise rests on that:
    streams name what serves them, and this loop reads again and corrects.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    timers: Timers
    instance_id: str
    configuration: ConfigurationTask
    endpoints: EndpointsTask
    leases: dict[str, GroupLease] = field(factory=dict)
    given: int = 0
    _pacer: LoadPacer = field(factory=lambda: LoadPacer(6))
    _watch: LapseWatch = field(init=False)
    _loop: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        step_ms = self.timers.lease_ms / _LOOKS_A_LEASE
        self._watch = LapseWatch(self._terms, step_ms)
        self._loop = Periodic(self.reactor, "orders", step_ms, self._round)

    @property
    def _terms(self) -> LeaseTerms:
        return LeaseTerms(self.timers.lease_ms, self.timers.order_ms)

    def start(self) -> None:
        """Look for leases and orders from now on."""
        self._loop.start()

    async def stop(self) -> None:
        """Hand the leases back."""
        self._loop.stop()
        for lease in self.leases.values():
            if lease.state != "free":
                await self.platform.transact(lease.hand_back())

    async def _round(self) -> None:
        if not self.configuration.ready:
            return
        groups = {each.group for each in self.configuration.intent.endpoints}
        for group in sorted(groups):
            await self._keep(group)
        await self._give_due()

    async def _keep(self, group: str) -> None:
        key = f"leases/group/{group}"
        lease = self.leases.get(group)
        if lease is None:
            lease = GroupLease(key, self.instance_id, self._terms)
            self.leases[group] = lease
        asked_ms = self.clock.now_ms()
        if lease.state == "held":
            lease.answered(await self.platform.transact(lease.renew(asked_ms)))
            return
        rows = await self.platform.read([key])
        if isinstance(rows, Unavailable):
            return
        row = rows.rows.get(key)
        if row is not None:
            self._watch.saw(key, row.version, self.clock.now_ms())
        free = row is None or row.value["free"] or self._watch.lapsed(key)
        if not free:
            return
        asked_ms = self.clock.now_ms()
        lease.answered(await self.platform.transact(lease.take(row, asked_ms)))
        if lease.state == "held":
            log_event("group_lease_taken", group=group, epoch=lease.epoch)

    async def _give_due(self) -> None:
        current = self.configuration.current
        self._pacer.loads_per_minute = current.intent.loads_per_minute
        for order in orders_due(current, self.endpoints.facts):
            lease = self.leases.get(order.group)
            if lease is not None and self._may_order(lease, order):
                await self._give(order, lease)

    def _may_order(self, lease: GroupLease, order: Order) -> bool:
        """Read the clock again before the write: what was true a moment ago isn't.

        An endpoint that checks epochs refuses what comes too late by itself; for one
        that doesn't, the lease must outlast the slowest order.
        """
        need_ms = 0 if order.checks_epochs else self.timers.order_ms
        return lease.surely_held(self.clock.now_ms(), need_ms)

    async def _give(self, order: Order, lease: GroupLease) -> None:
        engine = self.endpoints.engine(order.endpoint_id)
        now_ms = self.clock.now_ms()
        if engine is None or not self._pacer.may_send(order, now_ms):
            return
        outcome = await engine.give(
            order, lease.epoch, lambda: self._may_order(lease, order)
        )
        self.given += 1
        log_event(
            "order_given",
            endpoint=order.endpoint_id,
            order=order.kind.value,
            epoch=lease.epoch,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.OBEYED:
            # What was read before the order is no reason to give it again.
            self.endpoints.facts.pop(order.endpoint_id, None)

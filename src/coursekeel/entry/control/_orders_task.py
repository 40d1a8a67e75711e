"""The task that sends endpoints the orders of the configuration, with group leases."""

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

# An expired lease is noticed within a third of its length.
_CHECKS_PER_LEASE = 3


@define(eq=False)
class OrdersTask:
    """Acquires the group leases it can get and sends the orders that are due.

    Endpoints that don't check epochs get an order only while the lease outlasts the
    slowest order. A holder that is paused inside the write can still finish it after
    its lease expired; the next round reads the endpoint's status and corrects it.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    timers: Timers
    instance_id: str
    configuration: ConfigurationTask
    endpoints: EndpointsTask
    leases: dict[str, GroupLease] = field(factory=dict)
    orders_sent: int = 0
    _pacer: LoadPacer = field(factory=lambda: LoadPacer(6))
    _lapse_watch: LapseWatch = field(init=False)
    _loop: Periodic = field(init=False)

    def __attrs_post_init__(self) -> None:
        interval_ms = self.timers.lease_ms / _CHECKS_PER_LEASE
        self._lapse_watch = LapseWatch(self._terms, interval_ms)
        self._loop = Periodic(self.reactor, "orders", interval_ms, self._round)

    @property
    def _terms(self) -> LeaseTerms:
        return LeaseTerms(self.timers.lease_ms, self.timers.order_ms)

    def start(self) -> None:
        """Start acquiring leases and sending orders."""
        self._loop.start()

    async def stop(self) -> None:
        """Stop, and release the leases."""
        self._loop.stop()
        for lease in self.leases.values():
            if lease.state != "free":
                await self.platform.transact(lease.release())

    async def _round(self) -> None:
        if not self.configuration.ready:
            return
        groups = {each.group for each in self.configuration.intent.endpoints}
        for group in sorted(groups):
            await self._acquire_or_renew(group)
        await self._send_due_orders()

    async def _acquire_or_renew(self, group: str) -> None:
        key = f"leases/group/{group}"
        lease = self.leases.get(group)
        if lease is None:
            lease = GroupLease(key, self.instance_id, self._terms)
            self.leases[group] = lease
        request_ms = self.clock.now_ms()
        if lease.state == "held":
            lease.apply_outcome(await self.platform.transact(lease.renew(request_ms)))
            return
        rows = await self.platform.read([key])
        if isinstance(rows, Unavailable):
            return
        row = rows.rows.get(key)
        if row is not None:
            self._lapse_watch.record_version(key, row.version, self.clock.now_ms())
        free = row is None or row.value["free"] or self._lapse_watch.is_lapsed(key)
        if not free:
            return
        request_ms = self.clock.now_ms()
        lease.apply_outcome(
            await self.platform.transact(lease.acquire(row, request_ms))
        )
        if lease.state == "held":
            log_event("group_lease_taken", group=group, epoch=lease.epoch)

    async def _send_due_orders(self) -> None:
        current = self.configuration.current
        self._pacer.loads_per_minute = current.intent.loads_per_minute
        for order in orders_due(current, self.endpoints.facts):
            lease = self.leases.get(order.group)
            if lease is not None and self._may_order(lease, order):
                await self._send_order(order, lease)

    def _may_order(self, lease: GroupLease, order: Order) -> bool:
        """Say whether the lease allows the order now; called directly before the write.

        An endpoint that checks epochs refuses late orders itself; for one that doesn't,
        the lease must outlast the slowest order.
        """
        needed_ms = 0 if order.checks_epochs else self.timers.order_ms
        return lease.surely_held(self.clock.now_ms(), needed_ms)

    async def _send_order(self, order: Order, lease: GroupLease) -> None:
        engine = self.endpoints.engine(order.endpoint_id)
        now_ms = self.clock.now_ms()
        if engine is None or not self._pacer.may_send(order, now_ms):
            return
        outcome = await engine.give(
            order, lease.epoch, lambda: self._may_order(lease, order)
        )
        self.orders_sent += 1
        log_event(
            "order_given",
            endpoint=order.endpoint_id,
            order=order.kind.value,
            epoch=lease.epoch,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.OBEYED:
            # Drop the status read before the order, or it would be sent again.
            self.endpoints.facts.pop(order.endpoint_id, None)

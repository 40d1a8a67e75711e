"""Orders to endpoints, given under a lease and corrected until they stand.

Orders are absolute and idempotent ("serve exactly this"), so that one repeated or
overtaken does no harm that the next reading doesn't mend. The epoch of the lease goes
with each order; endpoints that check it refuse a former holder. For those that don't,
an order is sent only while the lease surely outlives it.
"""

from enum import Enum

from attrs import define, field, frozen

from coursekeel.intents import (
    Configuration,
    EndpointIntent,
    EndpointKind,
    ModelName,
)
from coursekeel.units import MS_PER_MINUTE

__all__ = ["EndpointFacts", "LoadPacer", "Order", "OrderKind", "orders_due"]


class OrderKind(Enum):
    """What an order asks for."""

    LOAD = "load"
    ROLE = "role"


@frozen
class Order:
    """One absolute order for one endpoint.

    ``checks_epochs`` says that the endpoint itself refuses a former holder's orders.
    """

    endpoint_id: str
    kind: OrderKind
    group: str
    checks_epochs: bool = False
    serves: ModelName | None = None
    role: str = ""


@frozen
class EndpointFacts:
    """What an endpoint says that it serves, as last read."""

    serves: tuple[ModelName, ...]
    role: str
    running: int


def orders_due(
    configuration: Configuration, facts: dict[str, EndpointFacts]
) -> list[Order]:
    """The orders that would bring the endpoints to the configuration.

    An endpoint that still runs requests is left alone: a load or a change of role
    would cut them, and new work no longer goes to it for a model it isn't to serve.
    """
    intent = configuration.intent
    names = {each.name: each.serves for each in intent.models}
    due: list[Order] = []
    for wanted in intent.endpoints:
        seen = facts.get(wanted.endpoint_id)
        if wanted.kind is not EndpointKind.ENGINE or seen is None or seen.running:
            continue
        missing = [
            names[each] for each in wanted.models if names[each] not in seen.serves
        ]
        due += [_order(wanted, OrderKind.LOAD, serves=each) for each in missing]
        if seen.role != wanted.role:
            due.append(_order(wanted, OrderKind.ROLE, role=wanted.role))
    return due


def _order(
    wanted: EndpointIntent,
    kind: OrderKind,
    serves: ModelName | None = None,
    role: str = "",
) -> Order:
    return Order(
        wanted.endpoint_id, kind, wanted.group, wanted.checks_epochs, serves, role
    )


@define
class LoadPacer:
    """Spaces loads so that the weight store's rate is kept; others pass freely."""

    loads_per_minute: int
    _sent_ms: list[float] = field(factory=list)

    def may_send(self, order: Order, now_ms: float) -> bool:
        """Take one load's place in the rate, if there is one."""
        if order.kind is not OrderKind.LOAD:
            return True
        self._sent_ms = [at for at in self._sent_ms if now_ms - at < MS_PER_MINUTE]
        if len(self._sent_ms) >= self.loads_per_minute:
            return False
        self._sent_ms.append(now_ms)
        return True

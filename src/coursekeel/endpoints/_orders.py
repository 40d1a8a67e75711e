"""Orders that bring endpoints to the configuration, sent under a group's lease.

Orders are absolute and idempotent, so that a repeated or reordered one is corrected
after the next status. Each carries the epoch of the lease; endpoints that check it
refuse a former holder's. To those that don't, an order is sent only while the lease
surely outlasts it.
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

__all__ = ["LoadPacer", "Order", "OrderKind", "ServedState", "orders_due"]


class OrderKind(Enum):
    """What an order changes: the loaded model, or the role."""

    LOAD = "load"
    ROLE = "role"


@frozen
class Order:
    """One absolute order for one endpoint.

    ``serves`` is the model of a load, ``role`` that of a change of role. If
    ``checks_epochs``, the endpoint itself refuses a former lease holder's orders.
    """

    endpoint_id: str
    kind: OrderKind
    group: str
    checks_epochs: bool = False
    serves: ModelName | None = None
    role: str = ""


@frozen
class ServedState:
    """What an endpoint serves and how many requests it has, by its latest status."""

    serves: tuple[ModelName, ...]
    role: str
    running: int


def orders_due(
    configuration: Configuration, facts: dict[str, ServedState]
) -> list[Order]:
    """The orders that bring the endpoints to the configuration.

    ``facts`` are by endpoint. An endpoint that still has requests gets no order: a load
    or a change of role would cut them, and it gets no new work for a model that it
    isn't to serve.
    """
    intent = configuration.intent
    models = {model.name: model.serves for model in intent.models}
    due: list[Order] = []
    for endpoint in intent.endpoints:
        current = facts.get(endpoint.endpoint_id)
        if (
            endpoint.kind is not EndpointKind.ENGINE
            or current is None
            or current.running
        ):
            continue
        missing = [
            models[name]
            for name in endpoint.models
            if models[name] not in current.serves
        ]
        due += [_order(endpoint, OrderKind.LOAD, serves=model) for model in missing]
        if current.role != endpoint.role:
            due.append(_order(endpoint, OrderKind.ROLE, role=endpoint.role))
    return due


def _order(
    endpoint: EndpointIntent,
    kind: OrderKind,
    serves: ModelName | None = None,
    role: str = "",
) -> Order:
    return Order(
        endpoint.endpoint_id, kind, endpoint.group, endpoint.checks_epochs, serves, role
    )


@define
class LoadPacer:
    """Limits the rate of loads, which read the weight store; other orders pass."""

    loads_per_minute: int
    _sent_ms: list[float] = field(factory=list)

    def may_send(self, order: Order, now_ms: float) -> bool:
        """Whether the order may be sent now; a load that may is counted as sent."""
        if order.kind is not OrderKind.LOAD:
            return True
        self._sent_ms = [ms for ms in self._sent_ms if now_ms - ms < MS_PER_MINUTE]
        if len(self._sent_ms) >= self.loads_per_minute:
            return False
        self._sent_ms.append(now_ms)
        return True

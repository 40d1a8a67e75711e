"""Endpoints: evidence, silence, orders, and the adapters that speak to them."""

from coursekeel.endpoints._adapter import (
    EndpointStatus,
    EngineAdapter,
    EngineStream,
    GenerationOrder,
    OrderOutcome,
    StreamListener,
    Unreachable,
)
from coursekeel.endpoints._evidence import EvidenceBook, LeavingMark
from coursekeel.endpoints._orders import EndpointFacts, LoadPacer, Order, orders_due
from coursekeel.endpoints._pulse import FleetPulse, PulseSettings

__all__ = [
    "EndpointFacts",
    "EndpointStatus",
    "EngineAdapter",
    "EngineStream",
    "EvidenceBook",
    "FleetPulse",
    "GenerationOrder",
    "LeavingMark",
    "LoadPacer",
    "Order",
    "OrderOutcome",
    "PulseSettings",
    "StreamListener",
    "Unreachable",
    "orders_due",
]

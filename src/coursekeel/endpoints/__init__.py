"""Endpoints: evidence for new work, silence detection, orders, and adapters."""

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
from coursekeel.endpoints._orders import LoadPacer, Order, ServedState, orders_due
from coursekeel.endpoints._silence import SilenceSettings, SilenceWatch

__all__ = [
    "EndpointStatus",
    "EngineAdapter",
    "EngineStream",
    "EvidenceBook",
    "GenerationOrder",
    "LeavingMark",
    "LoadPacer",
    "Order",
    "OrderOutcome",
    "ServedState",
    "SilenceSettings",
    "SilenceWatch",
    "StreamListener",
    "Unreachable",
    "orders_due",
]

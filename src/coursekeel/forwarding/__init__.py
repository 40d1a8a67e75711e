"""Forwarding of HTTP requests to pools of endpoints: cores without I/O or clocks."""

from coursekeel.forwarding._directory import EndpointDirectory
from coursekeel.forwarding._events import EventLedger, event_number, split_events
from coursekeel.forwarding._freshness import (
    ConfigurationAge,
    EndpointListAge,
    Freshness,
    StoreClock,
    confirmed_time_ms,
)
from coursekeel.forwarding._missing import MissingEndpoints, RecoveryTimes
from coursekeel.forwarding._model import (
    EndpointRecord,
    ForwardingConfiguration,
    Pool,
    PoolShare,
    RequestLimits,
    Route,
    RouteKind,
    RouteTable,
    Team,
    key_digest,
)
from coursekeel.forwarding._moment import StorePosition
from coursekeel.forwarding._read_order import ReadOrder, ReadVerdict

__all__ = [
    "ConfigurationAge",
    "EndpointDirectory",
    "EndpointListAge",
    "EndpointRecord",
    "EventLedger",
    "ForwardingConfiguration",
    "Freshness",
    "MissingEndpoints",
    "Pool",
    "PoolShare",
    "ReadOrder",
    "ReadVerdict",
    "RecoveryTimes",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RouteTable",
    "StoreClock",
    "StorePosition",
    "Team",
    "confirmed_time_ms",
    "event_number",
    "key_digest",
    "split_events",
]

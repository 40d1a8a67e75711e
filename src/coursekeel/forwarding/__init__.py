"""Forwarding of HTTP requests to pools of endpoints: cores without I/O or clocks."""

from coursekeel.forwarding._belief import Belief, StoreClock, proof_moment
from coursekeel.forwarding._directory import EndpointDirectory
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
)
from coursekeel.forwarding._pieces import EventLedger, event_number, split_events

__all__ = [
    "Belief",
    "EndpointDirectory",
    "EndpointRecord",
    "EventLedger",
    "ForwardingConfiguration",
    "Pool",
    "PoolShare",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RouteTable",
    "StoreClock",
    "Team",
    "event_number",
    "proof_moment",
    "split_events",
]

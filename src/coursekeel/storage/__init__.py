"""The platform's table, object store and instance list: interface and client."""

from coursekeel.storage._batcher import Batcher
from coursekeel.storage._http import HttpPlatform, StoreCounters
from coursekeel.storage._interface import (
    Committed,
    Conflict,
    Fetched,
    InstanceList,
    ListedInstance,
    Platform,
    Row,
    Rows,
    Transaction,
    TransactOutcome,
    Unavailable,
    Unsure,
)

__all__ = [
    "Batcher",
    "Committed",
    "Conflict",
    "Fetched",
    "HttpPlatform",
    "InstanceList",
    "ListedInstance",
    "Platform",
    "Row",
    "Rows",
    "StoreCounters",
    "TransactOutcome",
    "Transaction",
    "Unavailable",
    "Unsure",
]

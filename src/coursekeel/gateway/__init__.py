"""The role that forwards HTTP requests to pools of endpoints of a site."""

from coursekeel.gateway._adapters import (
    CallerDialect,
    CallerHeaders,
    EndpointDialect,
    EndpointReport,
    HeaderPairs,
    HistoryGone,
    Reading,
    Removed,
    RunState,
    Send,
    Source,
    SourceFailed,
    Table,
    UnreadableEntry,
    UnreadableReport,
    Versioned,
)
from coursekeel.gateway._gateway import Gateway

__all__ = [
    "CallerDialect",
    "CallerHeaders",
    "EndpointDialect",
    "EndpointReport",
    "Gateway",
    "HeaderPairs",
    "HistoryGone",
    "Reading",
    "Removed",
    "RunState",
    "Send",
    "Source",
    "SourceFailed",
    "Table",
    "UnreadableEntry",
    "UnreadableReport",
    "Versioned",
]

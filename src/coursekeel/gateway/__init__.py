"""The role that forwards HTTP requests to pools of endpoints of a site."""

from coursekeel.gateway._adapters import (
    CallerDialect,
    CallerHeaders,
    EndpointCall,
    EndpointDialect,
    EndpointReport,
    HeaderPairs,
    HeadVerdict,
    HistoryGone,
    OutboundRequest,
    Reading,
    Removed,
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
    "EndpointCall",
    "EndpointDialect",
    "EndpointReport",
    "Gateway",
    "HeadVerdict",
    "HeaderPairs",
    "HistoryGone",
    "OutboundRequest",
    "Reading",
    "Removed",
    "Source",
    "SourceFailed",
    "Table",
    "UnreadableEntry",
    "UnreadableReport",
    "Versioned",
]

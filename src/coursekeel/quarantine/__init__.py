"""Requests that crash the endpoints that run them: barring, records and gossip."""

from coursekeel.quarantine._gossip import QuarantineGossip, QuarantineOutgoing
from coursekeel.quarantine._messages import (
    MARK,
    KeptSuspect,
    QuarantineKind,
    QuarantineMessage,
    ToldRecord,
    UnreadableQuarantine,
    decode_kept,
    decode_quarantine,
    decode_told,
    encode_kept,
    encode_quarantine,
    encode_told,
    record_of,
    told_of,
)
from coursekeel.quarantine._quarantine import (
    Barred,
    Quarantine,
    QuarantineEvent,
    Trial,
)
from coursekeel.quarantine._record import Sign, Strike, SuspectRecord, merge_records

__all__ = [
    "MARK",
    "Barred",
    "KeptSuspect",
    "Quarantine",
    "QuarantineEvent",
    "QuarantineGossip",
    "QuarantineKind",
    "QuarantineMessage",
    "QuarantineOutgoing",
    "Sign",
    "Strike",
    "SuspectRecord",
    "ToldRecord",
    "Trial",
    "UnreadableQuarantine",
    "decode_kept",
    "decode_quarantine",
    "decode_told",
    "encode_kept",
    "encode_quarantine",
    "encode_told",
    "merge_records",
    "record_of",
    "told_of",
]

"""Requests that end the endpoints that run them: who knows, and which are barred."""

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
from coursekeel.quarantine._record import Sign, Strike, SuspectRecord, merged

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
    "merged",
    "record_of",
    "told_of",
]

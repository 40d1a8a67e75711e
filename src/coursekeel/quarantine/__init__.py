"""Requests that crash the endpoints that run them: barring, records and gossip."""

from coursekeel.quarantine._gossip import QuarantineGossip, QuarantineOutgoing
from coursekeel.quarantine._messages import (
    QUARANTINE_PREFIX,
    QuarantineKind,
    QuarantineMessage,
    SentRecord,
    StoredSuspect,
    UnreadableQuarantine,
    decode_quarantine,
    decode_sent_record,
    decode_stored,
    encode_quarantine,
    encode_sent_record,
    encode_stored,
    record_of,
    to_sent_record,
)
from coursekeel.quarantine._quarantine import (
    Barred,
    Quarantine,
    QuarantineEvent,
    Trial,
    cut_fingerprint,
)
from coursekeel.quarantine._record import Sign, Strike, SuspectRecord, merge_records

__all__ = [
    "QUARANTINE_PREFIX",
    "Barred",
    "Quarantine",
    "QuarantineEvent",
    "QuarantineGossip",
    "QuarantineKind",
    "QuarantineMessage",
    "QuarantineOutgoing",
    "SentRecord",
    "Sign",
    "StoredSuspect",
    "Strike",
    "SuspectRecord",
    "Trial",
    "UnreadableQuarantine",
    "cut_fingerprint",
    "decode_quarantine",
    "decode_sent_record",
    "decode_stored",
    "encode_quarantine",
    "encode_sent_record",
    "encode_stored",
    "merge_records",
    "record_of",
    "to_sent_record",
]

"""Calls to plain services; those that aren't repeatable run at most once."""

from coursekeel.calls._call import CallCore
from coursekeel.calls._claims import ClaimRow, ClaimState, claim_key, fingerprint_of
from coursekeel.calls._messages import (
    Begin,
    CallAction,
    CallEvent,
    CallPolicy,
    CallReply,
    ClaimAnswered,
    ReadBack,
    ReadBackAnswered,
    Record,
    Recorded,
    Reply,
    Send,
    SendEnded,
    SendOutcome,
    WriteClaim,
)
from coursekeel.calls._reply import ServiceReply

__all__ = [
    "Begin",
    "CallAction",
    "CallCore",
    "CallEvent",
    "CallPolicy",
    "CallReply",
    "ClaimAnswered",
    "ClaimRow",
    "ClaimState",
    "ReadBack",
    "ReadBackAnswered",
    "Record",
    "Recorded",
    "Reply",
    "Send",
    "SendEnded",
    "SendOutcome",
    "ServiceReply",
    "WriteClaim",
    "claim_key",
    "fingerprint_of",
]

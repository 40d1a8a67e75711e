"""Calls to plain services; those that aren't repeatable run at most once."""

from coursekeel.calls._call import CallCore
from coursekeel.calls._claims import ClaimRow, ClaimState, claim_key, fingerprint_of
from coursekeel.calls._messages import (
    CallAction,
    CallArrived,
    CallEvent,
    CallPolicy,
    CallReply,
    ClaimRead,
    ClaimWritten,
    OutcomeRecorded,
    ReadClaim,
    Record,
    SendCall,
    SendEnded,
    SendOutcome,
    SendReply,
    WriteClaim,
)
from coursekeel.calls._reply import ServiceReply

__all__ = [
    "CallAction",
    "CallArrived",
    "CallCore",
    "CallEvent",
    "CallPolicy",
    "CallReply",
    "ClaimRead",
    "ClaimRow",
    "ClaimState",
    "ClaimWritten",
    "OutcomeRecorded",
    "ReadClaim",
    "Record",
    "SendCall",
    "SendEnded",
    "SendOutcome",
    "SendReply",
    "ServiceReply",
    "WriteClaim",
    "claim_key",
    "fingerprint_of",
]

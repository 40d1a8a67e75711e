"""What entry and gateway share to check, record and store suspect requests."""

from coursekeel.suspects._fingerprint import request_fingerprint
from coursekeel.suspects._gate import AskedRequest, QuarantineGate, QuarantinePass
from coursekeel.suspects._keeper import SuspectKeeper
from coursekeel.suspects._lost_runs import LostRuns, Suspect, sign_of
from coursekeel.suspects._table import KeptRows, SuspectTable, TableFailed

__all__ = [
    "AskedRequest",
    "KeptRows",
    "LostRuns",
    "QuarantineGate",
    "QuarantinePass",
    "Suspect",
    "SuspectKeeper",
    "SuspectTable",
    "TableFailed",
    "request_fingerprint",
    "sign_of",
]

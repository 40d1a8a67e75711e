"""Suspect requests as a role meets them: who may be sent, who was lost with whom."""

from coursekeel.suspects._gate import AskedRequest, QuarantineGate, QuarantinePass
from coursekeel.suspects._lost_runs import LostRuns, Suspect, sign_of

__all__ = [
    "AskedRequest",
    "LostRuns",
    "QuarantineGate",
    "QuarantinePass",
    "Suspect",
    "sign_of",
]

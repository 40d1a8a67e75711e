"""What entry and gateway share to check, record and store suspect requests."""

from coursekeel.suspects._fingerprint import (
    is_part,
    part_fingerprints,
    request_fingerprint,
)
from coursekeel.suspects._gate import (
    FingerprintedRequest,
    QuarantineGate,
    QuarantinePass,
)
from coursekeel.suspects._held_start import HeldStart
from coursekeel.suspects._isolated_cuts import IsolatedCuts
from coursekeel.suspects._keeper import SuspectKeeper
from coursekeel.suspects._lost_runs import LostRuns, Suspect, sign_of
from coursekeel.suspects._pacing import PacingSettings, RunPacing, WantedRun
from coursekeel.suspects._sound_parts import SoundParts
from coursekeel.suspects._table import StoredRows, SuspectTable, TableFailed

__all__ = [
    "FingerprintedRequest",
    "HeldStart",
    "IsolatedCuts",
    "LostRuns",
    "PacingSettings",
    "QuarantineGate",
    "QuarantinePass",
    "RunPacing",
    "SoundParts",
    "StoredRows",
    "Suspect",
    "SuspectKeeper",
    "SuspectTable",
    "TableFailed",
    "WantedRun",
    "is_part",
    "part_fingerprints",
    "request_fingerprint",
    "sign_of",
]

"""Tells cut runs that their own request may have caused from those of bad endpoints.

A worker that crashes behind a front that lives cuts its runs, and the front answers
probes, so the crash can't be proved. Rule: a cut run counts against its request if the
endpoint cut no run of another request for a while before, and no run of another request
was just cut elsewhere. So an endpoint that resets runs, and a bad link of this
instance, count against nobody. An endpoint that another member saw cut this request is
no bad one.

The first cut of a request is kept here; with a second one, at another endpoint, both
are returned, to be recorded in the quarantine.

Owns this instance's recent cuts, which are bounded. Times are in ms. Does no I/O.
"""

from collections.abc import Collection

from attrs import define, field, frozen

from coursekeel.quarantine import Strike
from coursekeel.suspects._lost_runs import Suspect

__all__ = ["IsolatedCuts"]

_MAX_CUTS = 512
# An endpoint that resets a share of its runs has cut another one in this time.
_ENDPOINT_CLEAN_MS = 10_000.0
# Cuts at several endpoints within this time have a cause other than one request.
_ELSEWHERE_CLEAN_MS = 1_000.0
# Runs that end with a worker are cut within this time of each other.
_SAME_CAUSE_MS = 30.0
# How long a request's first cut is kept.
_FIRST_CUT_KEPT_MS = 60_000.0


@frozen
class _Cut:
    endpoint_id: str
    fingerprint: str
    at_ms: float


@define(eq=False)
class IsolatedCuts:
    """The recent cuts of this instance's runs, and the first one of each suspect."""

    _cuts: list[_Cut] = field(factory=list)
    _first: dict[str, Strike] = field(factory=dict)

    @property
    def has_suspects(self) -> bool:
        """Whether a request has a first cut that it may be cleared of."""
        return bool(self._first)

    def add(self, endpoint_id: str, fingerprint: str, now_ms: float) -> None:
        """Record that a run was cut; also of requests that are no suspects."""
        self._first = {
            each: strike
            for each, strike in self._first.items()
            if now_ms - strike.at_ms <= _FIRST_CUT_KEPT_MS
        }
        self._cuts = [
            cut for cut in self._cuts if now_ms - cut.at_ms <= _ENDPOINT_CLEAN_MS
        ][-_MAX_CUTS:]
        self._cuts.append(_Cut(endpoint_id, fingerprint, now_ms))

    def strikes_of(
        self, endpoint_id: str, suspect: Suspect, known_endpoints: Collection[str]
    ) -> list[Strike]:
        """The strikes to record for a cut: none, or with a second cut both.

        ``known_endpoints`` are those that cut the request at any member.
        """
        if not self._is_isolated(endpoint_id, suspect, known_endpoints):
            return []
        strike = Strike.of(endpoint_id, suspect.sign, suspect.lost_ms)
        first = self._first.pop(suspect.fingerprint, None)
        if first is not None and first.endpoint_id != strike.endpoint_id:
            return [first, strike]
        if known_endpoints:
            return [strike]
        self._first[suspect.fingerprint] = strike
        if len(self._first) > _MAX_CUTS:
            del self._first[next(iter(self._first))]
        return []

    def clear(self, fingerprint: str) -> None:
        """Forget the first cut of a request that was answered."""
        self._first.pop(fingerprint, None)

    def _is_isolated(
        self, endpoint_id: str, suspect: Suspect, known_endpoints: Collection[str]
    ) -> bool:
        own = {
            cut.endpoint_id
            for cut in self._cuts
            if cut.fingerprint == suspect.fingerprint
        }
        return not any(
            self._speaks_for_a_bad_endpoint(cut, endpoint_id, suspect.lost_ms)
            for cut in self._cuts
            if cut.fingerprint != suspect.fingerprint
            and (cut.endpoint_id == endpoint_id or cut.endpoint_id not in own)
            and cut.endpoint_id not in known_endpoints
        )

    @staticmethod
    def _speaks_for_a_bad_endpoint(cut: _Cut, endpoint_id: str, lost_ms: float) -> bool:
        age_ms = lost_ms - cut.at_ms
        if cut.endpoint_id == endpoint_id:
            return age_ms > _SAME_CAUSE_MS
        return age_ms <= _ELSEWHERE_CLEAN_MS

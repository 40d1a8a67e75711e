"""Detects whether an endpoint crashed while a request of this entry ran there.

Rule: a lost run alone doesn't count as a crash, since connections fail too. The
endpoint's status is probed once; it counts as crashed if it refuses the connection, or
if it is an engine that doesn't answer. A leaving endpoint stops on purpose and never
counts.

Relies on `LostRuns` for the runs that wait for a probe's result.
"""

from collections.abc import Callable

from attrs import define, field

from coursekeel.endpoints import EngineAdapter, EvidenceBook, Unreachable
from coursekeel.observe import log_event
from coursekeel.quarantine import Sign
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, spawn
from coursekeel.suspects import FingerprintedRequest, LostRuns, QuarantineGate, Suspect

__all__ = ["EndpointWatch"]


@define(eq=False)
class EndpointWatch:
    """Reports to the gate which requests ran at endpoints that crashed.

    An endpoint that restarted under its id counts as another one: ``evidence`` has the
    incarnation seen last, and whether the endpoint is leaving. ``adapter`` returns an
    endpoint's adapter by its id.
    """

    reactor: Reactor
    clock: Clock
    gate: QuarantineGate
    evidence: EvidenceBook
    adapter: Callable[[str], EngineAdapter | None]
    _lost_runs: LostRuns = field(factory=LostRuns)

    def run_lost(
        self,
        request: FingerprintedRequest,
        endpoint_id: str,
        sign: Sign | None,
        engine: bool,
    ) -> None:
        """Handle a run whose connection was lost.

        ``sign`` is None if it had streamed for too long to be the cause of a crash;
        that clears the request.
        ``engine`` is True for a run on an engine, which answers probes while it is
        busy; a plain service may delay them.
        """
        if sign is None:
            self.gate.report_success(request)
            return
        adapter = self.adapter(endpoint_id)
        if adapter is None or self.evidence.is_leaving(endpoint_id):
            return
        suspect = Suspect(request.fingerprint, sign, self.clock.now_ms())
        self.gate.probe_begun(suspect)
        if self._lost_runs.add(endpoint_id, suspect):
            probe = self._probe(endpoint_id, adapter, engine)
            spawn(probe, "ask_lost_endpoint", self.reactor)

    async def _probe(
        self, endpoint_id: str, adapter: EngineAdapter, engine: bool
    ) -> None:
        incarnation = self.evidence.incarnation(endpoint_id)
        status = await adapter.status(new_connection=True)
        suspects = self._lost_runs.pop(endpoint_id)
        if not isinstance(status, Unreachable) or not (status.refused or engine):
            self.gate.report_alive(endpoint_id, suspects)
            return
        fingerprints = ",".join(suspect.fingerprint for suspect in suspects)
        log_event("endpoint_ended", endpoint=endpoint_id, fingerprints=fingerprints)
        self.gate.report_crash(f"{endpoint_id}/{incarnation}", suspects)

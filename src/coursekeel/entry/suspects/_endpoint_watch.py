"""Did an endpoint end while an entry's request ran there?

Rule: a run that was lost is no proof: answers are lost on the way, and links fail. So
the endpoint is asked once for its status; only one that can't be reached has ended, or
an engine that doesn't answer. One that was leaving ends on its own.

Relies on `LostRuns` for the runs that wait for an endpoint's answer.
"""

from collections.abc import Callable

from attrs import define, field

from coursekeel.endpoints import EngineAdapter, EvidenceBook, Unreachable
from coursekeel.observe import log_event
from coursekeel.quarantine import Sign
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, spawn
from coursekeel.suspects import AskedRequest, LostRuns, QuarantineGate, Suspect

__all__ = ["EndpointWatch"]


@define(eq=False)
class EndpointWatch:
    """Tells the gate which requests endpoints had when they ended.

    An endpoint that came back under its name is another: ``evidence`` tells which
    incarnation was seen last, and whether it leaves.
    """

    reactor: Reactor
    clock: Clock
    gate: QuarantineGate
    evidence: EvidenceBook
    adapter: Callable[[str], EngineAdapter | None]
    _lost: LostRuns = field(factory=LostRuns)

    def run_lost(
        self, request: AskedRequest, endpoint_id: str, sign: Sign | None, engine: bool
    ) -> None:
        """A run's connection ended; ``sign`` is None if the run lasted.

        ``engine`` says that it ran on an engine, which answers questions while it is
        busy; a plain service may have them wait.
        """
        if sign is None:
            self.gate.proved_sound(request)
            return
        adapter = self.adapter(endpoint_id)
        if adapter is None or self.evidence.is_leaving(endpoint_id):
            return
        suspect = Suspect(request.fingerprint, sign, self.clock.now_ms())
        if self._lost.add(endpoint_id, suspect):
            asking = self._ask(endpoint_id, adapter, engine)
            spawn(asking, "ask_lost_endpoint", self.reactor)

    async def _ask(
        self, endpoint_id: str, adapter: EngineAdapter, engine: bool
    ) -> None:
        incarnation = self.evidence.incarnation(endpoint_id)
        status = await adapter.status(anew=True)
        suspects = self._lost.taken(endpoint_id)
        if not isinstance(status, Unreachable) or not (status.refused or engine):
            return
        fingerprints = ",".join(each.fingerprint for each in suspects)
        log_event("endpoint_ended", endpoint=endpoint_id, fingerprints=fingerprints)
        self.gate.struck(f"{endpoint_id}/{incarnation}", suspects)

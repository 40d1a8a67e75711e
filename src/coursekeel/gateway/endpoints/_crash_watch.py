"""Did an endpoint end while it had a request, and what was seen of the run there?

Rule: a run whose connection ended, or that fell silent, is no proof: answers are lost
on the way, and links fail. So the endpoint is asked once; only one that refuses to be
reached has ended, or, if it gives reports, one that doesn't answer. One that said that
it leaves ends on its own.

Owns the questions that are open, one an endpoint. Relies on `LostRuns` for the runs
that wait for each.
"""

from attrs import define, field

from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway._metrics import GatewayMetrics, LostRun
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.endpoints._endpoint_client import EndpointClient
from coursekeel.gateway.endpoints._endpoint_health import EndpointHealth
from coursekeel.gateway.endpoints._endpoint_probe import (
    EndpointProbe,
    ProbeFailure,
    ProbeResult,
    Silence,
)
from coursekeel.gateway.site._known_site import KnownSite
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock
from coursekeel.suspects import LostRuns, QuarantineGate, Suspect, sign_of

__all__ = ["CrashWatch"]


@define(eq=False)
class CrashWatch:
    """Tells the gate which requests endpoints had when they ended."""

    reactor: Reactor
    clock: Clock
    settings: LiveSettings
    site: KnownSite
    client: EndpointClient
    health: EndpointHealth
    gate: QuarantineGate
    metrics: GatewayMetrics
    _lost_runs: LostRuns = field(factory=LostRuns)
    _reporting_endpoints: set[str] = field(factory=set)

    def run_lost(self, call: AdmittedRequest, lost: LostRun) -> None:
        """A run's connection ended, or it was silent for too long."""
        sign = sign_of(lost.ran_ms, lost.gave_ms)
        if sign is None:
            self.gate.proved_sound(call)
            return
        record = self.site.directory.record(lost.endpoint_id)
        if record is None or record.leaving:
            return
        if call.route.kind.streams:
            self._reporting_endpoints.add(lost.endpoint_id)
        suspect = Suspect(call.fingerprint, sign, self.clock.now_ms())
        if self._lost_runs.add(lost.endpoint_id, suspect):
            self._probe(record)

    def _probe(self, endpoint: EndpointRecord) -> None:
        EndpointProbe(
            self.reactor,
            self.client,
            endpoint,
            self.client.dialect.report,
            self.settings.timers.report_ms,
            lambda result: self._probe_ended(endpoint.endpoint_id, result),
        ).start()

    def _probe_ended(self, endpoint_id: str, result: ProbeResult) -> None:
        suspects = self._lost_runs.taken(endpoint_id)
        gives_reports = endpoint_id in self._reporting_endpoints
        self._reporting_endpoints.discard(endpoint_id)
        if not isinstance(result, ProbeFailure) or not _confirms_crash(
            result, gives_reports
        ):
            return
        self.health.unreachable(endpoint_id, result.reason)
        self.metrics.endpoint_ended(endpoint_id, [x.fingerprint for x in suspects])
        self.gate.struck(endpoint_id, suspects)


def _confirms_crash(result: ProbeFailure, gives_reports: bool) -> bool:
    """A plain service may have a question wait for a place: that proves nothing."""
    if result.silence is Silence.TOO_LATE:
        return gives_reports
    return result.silence is Silence.NOT_REACHED

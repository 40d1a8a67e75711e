"""Find out whether an endpoint crashed while it ran a request.

Rule: a run whose connection closed, or that stalled, doesn't prove a crash, since
network links fail too. So the endpoint is probed: it has crashed if it can't be
reached, or if it gives reports and doesn't answer in time. If none of the runs'
connections was closed, the latter must hold for longer than a sound endpoint may be
silent, and the probe is repeated until then. Losses at an endpoint that is leaving, or
no longer listed, don't count.

Owns the open probes, one per endpoint. Relies on `LostRuns` for the runs that wait for
a probe.
"""

from attrs import define, evolve, field

from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway._metrics import GatewayMetrics, LostRun
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.endpoints._endpoint_client import EndpointClient
from coursekeel.gateway.endpoints._endpoint_health import EndpointHealth
from coursekeel.gateway.endpoints._endpoint_probe import (
    EndpointProbe,
    ProbeFailure,
    ProbeFailureKind,
    ProbeResult,
)
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock
from coursekeel.suspects import LostRuns, QuarantineGate, Suspect, sign_of
from coursekeel.units import MS_PER_SECOND

__all__ = ["CrashWatch"]

# Sound endpoints may fall silent for a second or so.
_SILENT_CRASH_MS = 2_000.0
_PROBE_INTERVAL_MS = 300.0


@define(eq=False)
class CrashWatch:
    """Reports to the quarantine gate which requests ran on endpoints that crashed."""

    reactor: Reactor
    clock: Clock
    settings: LiveSettings
    site: SiteState
    client: EndpointClient
    health: EndpointHealth
    gate: QuarantineGate
    metrics: GatewayMetrics
    _lost_runs: LostRuns = field(factory=LostRuns)
    _reporting_endpoints: set[str] = field(factory=set)

    def run_lost(self, call: AdmittedRequest, lost: LostRun) -> None:
        """Probe the endpoint of a run whose connection closed or that stalled.

        A run that sent events for long enough proves its request sound instead.
        """
        if lost.closed:
            self.gate.run_cut(call, lost.endpoint_id)
        sign = sign_of(lost.ran_ms, lost.streamed_ms)
        if sign is None:
            self.gate.report_success(call)
            return
        record = self.site.directory.record(lost.endpoint_id)
        if record is None or record.leaving:
            return
        if call.route.kind.streams:
            self._reporting_endpoints.add(lost.endpoint_id)
        now_ms = self.clock.now_ms()
        suspect = Suspect(call.fingerprint, sign, now_ms, lost.closed)
        if lost.closed:
            self.gate.probe_begun(suspect)
        must_probe = self._lost_runs.add(lost.endpoint_id, suspect)
        for part in call.part_fingerprints:
            suspected_part = Suspect(part, sign, now_ms, lost.closed)
            self._lost_runs.add(lost.endpoint_id, suspected_part)
        if must_probe:
            self._probe(record, now_ms)

    def _probe(self, endpoint: EndpointRecord, since_ms: float) -> None:
        EndpointProbe(
            self.reactor,
            self.client,
            endpoint,
            self.client.dialect.report,
            self.settings.timers.report_ms,
            lambda result: self._probe_ended(endpoint, since_ms, result),
        ).start()

    def _probe_ended(
        self, endpoint: EndpointRecord, since_ms: float, result: ProbeResult
    ) -> None:
        endpoint_id = endpoint.endpoint_id
        if self._may_be_silent(endpoint_id, since_ms, result):
            delay_s = _PROBE_INTERVAL_MS / MS_PER_SECOND
            self.reactor.callLater(delay_s, self._probe, endpoint, since_ms)
            return
        suspects = self._lost_runs.pop(endpoint_id)
        gives_reports = endpoint_id in self._reporting_endpoints
        self._reporting_endpoints.discard(endpoint_id)
        if not isinstance(result, ProbeFailure) or not _confirms_crash(
            result, gives_reports
        ):
            self._report_alive(endpoint_id, result, suspects)
            return
        self.health.unreachable(endpoint_id, result.reason)
        self.metrics.endpoint_ended(endpoint_id, [x.fingerprint for x in suspects])
        self.gate.report_crash(endpoint_id, suspects)

    def _may_be_silent(
        self, endpoint_id: str, since_ms: float, result: ProbeResult
    ) -> bool:
        """Return whether an endpoint that didn't answer may be sound all the same."""
        if not isinstance(result, ProbeFailure) or self._lost_runs.any_closed(
            endpoint_id
        ):
            return False
        timed_out = result.kind is ProbeFailureKind.TIMED_OUT
        silent_ms = self.clock.now_ms() - since_ms
        return timed_out and silent_ms < _SILENT_CRASH_MS

    def _report_alive(
        self, endpoint_id: str, result: ProbeResult, suspects: list[Suspect]
    ) -> None:
        """Report an endpoint that didn't crash; its cuts count if it answers probes."""
        if isinstance(result, ProbeFailure):
            suspects = [evolve(suspect, closed=False) for suspect in suspects]
        self.gate.report_alive(endpoint_id, suspects)


def _confirms_crash(result: ProbeFailure, gives_reports: bool) -> bool:
    """Return whether the probe proves a crash; a plain service may only be busy."""
    if result.kind is ProbeFailureKind.TIMED_OUT:
        return gives_reports
    return result.kind is ProbeFailureKind.NOT_REACHED

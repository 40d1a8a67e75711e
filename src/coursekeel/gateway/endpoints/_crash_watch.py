"""Did an endpoint end while it had a request, and what was seen of the run there?

Rule: a run whose connection ended, or that fell silent, is no proof: answers are lost
on the way, and links fail. So the endpoint is asked once; only one that refuses to be
reached has ended, or, if it gives reports, one that doesn't answer. One that said that
it leaves ends on its own. A run that had given its answer for longer than a moment
isn't what ended its endpoint.

Owns the questions that are open, one an endpoint, and the runs that wait for each.
"""

from attrs import define, field

from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway._metrics import GatewayMetrics, LostRun
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._quarantine_gate import QuarantineGate, Suspect
from coursekeel.gateway.endpoints._endpoint_client import EndpointClient
from coursekeel.gateway.endpoints._endpoint_health import EndpointHealth
from coursekeel.gateway.endpoints._endpoint_question import (
    EndpointQuestion,
    NoAnswer,
    QuestionEnd,
    Silence,
)
from coursekeel.gateway.site._known_site import KnownSite
from coursekeel.quarantine import Sign
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock

__all__ = ["CrashWatch"]

# A request that ends its endpoint does so when it begins to run: 54 to 121 ms after, in
# a recorded day. One that gave events for so much longer is another's victim.
_MOMENT_MS = 1_000.0


@define
class _Ended:
    """Runs that were lost with an endpoint, by fingerprint."""

    suspects: dict[str, Suspect] = field(factory=dict)
    gives_reports: bool = False


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
    _asked: dict[str, _Ended] = field(factory=dict)

    def run_lost(self, call: AdmittedRequest, lost: LostRun) -> None:
        """A run's connection ended, or it was silent for too long."""
        sign = _sign_of(lost)
        if sign is None:
            self.gate.proved_sound(call)
            return
        record = self.site.directory.record(lost.endpoint_id)
        if record is None or record.leaving:
            return
        is_asked = lost.endpoint_id in self._asked
        ended = self._asked.setdefault(lost.endpoint_id, _Ended())
        ended.gives_reports |= call.route.kind.streams
        suspect = Suspect(call.fingerprint, sign, self.clock.now_ms())
        ended.suspects.setdefault(call.fingerprint, suspect)
        if not is_asked:
            self._ask(record)

    def _ask(self, endpoint: EndpointRecord) -> None:
        EndpointQuestion(
            self.reactor,
            self.client,
            endpoint,
            self.client.dialect.report,
            self.settings.timers.report_ms,
            lambda end: self._answered(endpoint.endpoint_id, end),
        ).start()

    def _answered(self, endpoint_id: str, end: QuestionEnd) -> None:
        ended = self._asked.pop(endpoint_id)
        if not isinstance(end, NoAnswer) or not _proves_end(end, ended):
            return
        self.health.unreachable(endpoint_id, end.reason)
        suspects = list(ended.suspects.values())
        self.metrics.endpoint_ended(endpoint_id, [x.fingerprint for x in suspects])
        self.gate.struck(endpoint_id, suspects)


def _proves_end(end: NoAnswer, ended: _Ended) -> bool:
    """A plain service may have a question wait for a place: that proves nothing."""
    if end.silence is Silence.TOO_LATE:
        return ended.gives_reports
    return end.silence is Silence.NOT_REACHED


def _sign_of(lost: LostRun) -> Sign | None:
    """What was seen of a run; None if it can't be what ended its endpoint."""
    if lost.gave_ms is not None:
        return Sign.GAVE if lost.gave_ms <= _MOMENT_MS else None
    return Sign.UNSEEN if lost.ran_ms is None else Sign.BEGAN

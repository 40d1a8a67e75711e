"""Use an endpoint that fell silent again as soon as it answers.

Rule: an endpoint that gave no report in time is asked once more, by a request that
waits for as long as a sound endpoint may be silent. If it answers, and a second request
in time, its ejection is over, and the next one will be as short as a first. Otherwise
it stays ejected, as one that has failed or is slow.

While all endpoints of a pool are silent and one of them may answer, its requests may be
held. One that didn't answer within that time isn't waited for again.

Owns the requests that wait, one an endpoint, and which endpoints didn't answer.
"""

from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from attrs import define, field

from coursekeel.forwarding import EndpointRecord
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway.endpoints._endpoint_probe import (
    EndpointProbe,
    ProbeResponse,
    ProbeResult,
)
from coursekeel.observe import log_event

__all__ = ["SILENT_EJECTION_MS", "SilentEndpoints"]

# Sound endpoints may fall silent for a second or so.
_MAX_SILENCE_MS = 2_000.0

# How long an endpoint is ejected that gave no report, unless it answers: until after
# the watch has ended, so that no held request is sent there unasked.
SILENT_EJECTION_MS = _MAX_SILENCE_MS + 200.0


_OnAnswer = Callable[[EndpointRecord], None]


@define(eq=False)
class SilentEndpoints:
    """Waits for the answers of silent endpoints."""

    context: GatewayContext
    _since_ms: dict[str, float] = field(factory=dict)
    _unanswered: set[str] = field(factory=set)

    def silent(self, endpoint: EndpointRecord) -> None:
        """Wait for an endpoint that gave no report, unless that is done already."""
        context, endpoint_id = self.context, endpoint.endpoint_id
        listed = context.site.directory.record(endpoint_id) is not None
        if endpoint_id in self._since_ms or not listed:
            return
        self._since_ms[endpoint_id] = context.clock.now_ms()
        self._forget_unlisted()
        self._probe(endpoint, _MAX_SILENCE_MS, self._waited_for)

    def _probe(
        self, endpoint: EndpointRecord, timeout_ms: float, on_answer: _OnAnswer
    ) -> None:
        context = self.context
        EndpointProbe(
            context.reactor,
            context.endpoints,
            endpoint,
            context.endpoints.dialect.report,
            timeout_ms,
            partial(self._probe_ended, endpoint, on_answer),
        ).start()

    def _forget_unlisted(self) -> None:
        record = self.context.site.directory.record
        self._unanswered = {each for each in self._unanswered if record(each)}

    def answered(self, endpoint_id: str) -> None:
        """Record that an endpoint gave a report."""
        self._unanswered.discard(endpoint_id)

    def pool_answers_by_ms(self, pool: str) -> float | None:
        """Return until when a pool that has just fallen silent as a whole may answer.

        None if one of its endpoints may take work, or if none is waited for.
        """
        directory, now_ms = self.context.site.directory, self.context.clock.now_ms()
        endpoint_ids = [each.endpoint_id for each in directory.in_pool(pool)]
        if any(directory.may_take(each, now_ms) for each in endpoint_ids):
            return None
        since_ms = [
            self._since_ms[each]
            for each in endpoint_ids
            if each in self._since_ms and each not in self._unanswered
        ]
        return max(since_ms) + _MAX_SILENCE_MS if since_ms else None

    def _probe_ended(
        self, endpoint: EndpointRecord, on_answer: _OnAnswer, result: ProbeResult
    ) -> None:
        if isinstance(result, ProbeResponse) and result.status == HTTPStatus.OK:
            on_answer(endpoint)
        else:
            self._unanswered.add(endpoint.endpoint_id)
            del self._since_ms[endpoint.endpoint_id]

    def _waited_for(self, endpoint: EndpointRecord) -> None:
        """Ask an endpoint that has answered late whether it answers in time now."""
        timeout_ms = self.context.settings.timers.report_ms
        self._probe(endpoint, timeout_ms, self._answers_in_time)

    def _answers_in_time(self, endpoint: EndpointRecord) -> None:
        context, endpoint_id = self.context, endpoint.endpoint_id
        silent_ms = context.clock.now_ms() - self._since_ms.pop(endpoint_id)
        self.answered(endpoint_id)
        log_event("endpoint_answers", endpoint=endpoint_id, after_ms=round(silent_ms))
        context.site.directory.end_ejection(endpoint_id)
        context.routing.review()

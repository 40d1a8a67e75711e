"""Metrics and log events of one answer."""

from attrs import define

from coursekeel.answers import OpenAttempt, Way
from coursekeel.entry.answers._requests import GenerationRequest
from coursekeel.observe import Metrics, log_event
from coursekeel.units import MS_PER_SECOND

__all__ = ["AnswerMetrics"]

# Samples one in so many gaps between tokens: observing each would cost more than
# passing the tokens on.
_GAP_SAMPLE = 64


@define(eq=False)
class AnswerMetrics:
    """Records times to first token, resumptions, sampled gaps, and attempts.

    ``arrived_ms`` is the time at which the request arrived.
    """

    request: GenerationRequest
    label: str
    metrics: Metrics
    arrived_ms: float
    _last_token_ms: float = 0.0
    _resuming: bool = False
    _deliveries: int = 0

    def record_delivery(self, now_ms: float) -> None:
        """Record that tokens were added to the ledger."""
        if self._resuming or self._deliveries % _GAP_SAMPLE == 0:
            self._record_time(now_ms)
        self._deliveries += 1
        self._resuming = False
        self._last_token_ms = now_ms

    def note_resumption(self, held_tokens: int) -> None:
        """Mark the answer as resuming if it already has tokens."""
        self._resuming = self._resuming or held_tokens > 0

    def record_attempt(self, action: OpenAttempt) -> None:
        """Count and log an attempt."""
        labels = self._labels()
        self.metrics.attempts.inc({**labels, "way": action.way.value})
        self.note_resumption(action.from_position)
        if action.way is Way.PREFILL and action.attempt > 1:
            prefilled_tokens = self.request.prompt_tokens + action.from_position
            self.metrics.extra_tokens.add(
                {**labels, "kind": "prefilled_again"}, prefilled_tokens
            )
        log_event(
            "attempt_opened",
            request=self.label,
            attempt=action.attempt,
            endpoint=action.endpoint_id,
            way=action.way.value,
            position=action.from_position,
        )

    def _record_time(self, now_ms: float) -> None:
        labels = self._labels()
        since_s = (now_ms - self._last_token_ms) / MS_PER_SECOND
        if not self._deliveries:
            first_s = (now_ms - self.arrived_ms) / MS_PER_SECOND
            self.metrics.first_token_s.observe(labels, first_s)
        elif self._resuming:
            self.metrics.resume_s.observe(labels, since_s)
        else:
            self.metrics.token_gap_s.observe(labels, since_s)

    def _labels(self) -> dict[str, str]:
        return {"team": self.request.team.name, "class": self.request.policy.name}

"""Estimate of how fast a pool's endpoints read prompts (prefill).

Rule: the fastest recent first event sets the estimate, since other work at an endpoint
can only delay it. Slower samples raise the estimate slowly, so that a short overload
doesn't hide the cost of prefill.

A core without a clock.
"""

from attrs import define

__all__ = ["PrefillSpeed"]

# Before the first sample. Engines that were seen took 0.2 and 0.125 ms for a token.
_INITIAL_MS_PER_TOKEN = 0.15

# Weight of a slower sample in the moving average.
_SLOWER_SAMPLE_WEIGHT = 0.02

# With shorter prompts the network delay outweighs the prefill time.
_MIN_PROMPT_TOKENS = 500


@define
class PrefillSpeed:
    """``ms_per_token`` is the estimated prefill time of one prompt token."""

    ms_per_token: float = _INITIAL_MS_PER_TOKEN
    _has_sample: bool = False

    def began(self, prompt_tokens: int, first_event_ms: float) -> None:
        """Record the time to the first event of a run that read its whole prompt."""
        if prompt_tokens < _MIN_PROMPT_TOKENS or first_event_ms <= 0:
            return
        sample_ms = first_event_ms / prompt_tokens
        if not self._has_sample or sample_ms < self.ms_per_token:
            self.ms_per_token = sample_ms
            self._has_sample = True
            return
        self.ms_per_token += _SLOWER_SAMPLE_WEIGHT * (sample_ms - self.ms_per_token)

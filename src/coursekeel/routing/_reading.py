"""How fast a pool's endpoints read prompts, learned from own streams.

The fastest of late first events tells it: whatever else an endpoint does only makes one
come later. A slower truth is believed slowly, so that one crowded minute doesn't hide
what reading costs. A core without a clock.
"""

from attrs import define

__all__ = ["ReadingSpeed"]

# Before the first stream has begun. Engines that were seen read 5 and 8 tokens a ms,
# 0.2 and 0.125 each.
_UNTRIED_MS_PER_TOKEN = 0.15

# How much of the way to a slower reading each one moves the estimate. A fifth of the
# way after ten.
_SLOWER_SHARE = 0.02

# A shorter prompt tells more of the way there than of reading.
_LEAST_TOKENS = 500


@define
class ReadingSpeed:
    """``ms_per_token`` is what reading one token of a prompt takes."""

    ms_per_token: float = _UNTRIED_MS_PER_TOKEN
    _tried: bool = False

    def began(self, prompt_tokens: int, waited_ms: float) -> None:
        """A run that read its whole prompt gave its first event after so long."""
        if prompt_tokens < _LEAST_TOKENS or waited_ms <= 0:
            return
        seen = waited_ms / prompt_tokens
        if not self._tried or seen < self.ms_per_token:
            self.ms_per_token = seen
            self._tried = True
            return
        self.ms_per_token += _SLOWER_SHARE * (seen - self.ms_per_token)

"""How fast a queue moves."""

from attrs import define

__all__ = ["QueueRate"]

_RATE_SHARE = 0.05


@define
class QueueRate:
    """How fast a queue moves: averaged cost over averaged time.

    Averaging each grant's own rate instead lets one pair of grants in the same moment
    count for many; the estimate came out several times too high and nothing was
    refused before its deadline.
    """

    tokens: float = 0.0
    interval_ms: float = 0.0
    _pending: float = 0.0
    _at_ms: float | None = None

    @property
    def tokens_per_ms(self) -> float:
        """Tokens of granted requests a millisecond, 0 while nothing is known."""
        return self.tokens / self.interval_ms if self.interval_ms else 0.0

    def moved(self, tokens: float, now_ms: float) -> None:
        """A request of so many tokens left the queue by a grant."""
        since_ms = 0.0 if self._at_ms is None else now_ms - self._at_ms
        started = self._at_ms is not None
        self._at_ms = now_ms
        if not started:
            return
        self._pending += tokens
        if since_ms <= 0:
            return
        share = _RATE_SHARE if self.interval_ms else 1.0
        self.tokens += share * (self._pending - self.tokens)
        self.interval_ms += share * (since_ms - self.interval_ms)
        self._pending = 0.0

    def pause(self) -> None:
        """The queue is empty: what passes until it fills again is no waiting time."""
        self._at_ms = None
        self._pending = 0.0

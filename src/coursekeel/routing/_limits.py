"""Learn how many runs an endpoint takes, from what it refuses and how it slows."""

from attrs import define

__all__ = ["ConcurrencyLimit"]

_START = 64.0
_LEAST = 1.0
_MOST = 4096.0
_AFTER_REFUSAL = 0.8
_AFTER_SLOWNESS = 0.95


@define
class ConcurrencyLimit:
    """An additive-increase, multiplicative-decrease limit on one endpoint's runs.

    Entries don't negotiate shares: each learns its own from the same refusals.
    """

    limit: float = _START
    most: float = _MOST
    running: int = 0
    _held_until_ms: float = 0.0

    @property
    def free(self) -> bool:
        """Say whether one more run may be sent."""
        return self.running < int(self.limit)

    def reported(self, slots: int, queued: int, now_ms: float, hold_ms: float) -> None:
        """The endpoint said how many runs it serves at once, and how many wait there.

        Its slots bound the limit. Runs that wait inside the endpoint wait behind
        everyone's, out of reach of fairness and deadlines, so they count as slowness.
        """
        self.bound(slots)
        if queued and self.running:
            self._shrink(_AFTER_SLOWNESS, now_ms, hold_ms)

    def bound(self, slots: int) -> None:
        """The endpoint works on so many runs at once; an untried limit begins there."""
        fresh = self.most == _MOST
        self.most = float(max(slots, 1))
        self.limit = self.most if fresh else min(self.limit, self.most)

    def started(self) -> None:
        """A run was sent."""
        self.running += 1

    def ended(self) -> None:
        """A run ended, however it did."""
        self.running -= 1

    def succeeded(self) -> None:
        """A run gave its first token in good time."""
        if self.running >= self.limit / 2:
            self.limit = min(self.most, self.limit + 1 / max(self.limit, 1.0))

    def refused(self, now_ms: float, hold_ms: float) -> None:
        """The endpoint turned a run away; one burst of refusals counts once."""
        self._shrink(_AFTER_REFUSAL, now_ms, hold_ms)

    def _shrink(self, factor: float, now_ms: float, hold_ms: float) -> None:
        if now_ms < self._held_until_ms:
            return
        self._held_until_ms = now_ms + hold_ms
        self.limit = max(_LEAST, min(self.limit, self.running) * factor)

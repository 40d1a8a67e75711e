"""Learn how many runs an endpoint takes, from what it refuses and how it slows.

Rule: the limit falls by a factor when the endpoint refuses a run or keeps a queue, and
grows by one a limitful of successes; the endpoint's own slots bound it. Reason: runs
that wait inside an endpoint wait out of reach of fairness and deadlines.

Measured (docs/design/routing.md): a limit that starts at 64 whatever the endpoint says
had a goodput at 3x capacity of 4.2 requests/s, against 40.7 with its slots as the
bound. A core: each moment is given, in ms.
"""

from attrs import define

__all__ = ["ConcurrencyLimit"]

# Before an endpoint has said how many runs it works on at once.
_START = 64.0
# One run at least, or nothing would show that the endpoint takes work again.
_LEAST = 1.0
# Stands for "no bound known"; no endpoint has so many slots.
_MOST = 4096.0
# Multiplicative decrease: gentle for a queue, which a report shows late, and stronger
# for a refusal, which costs its caller a try.
_AFTER_REFUSAL = 0.8
_AFTER_QUEUE = 0.95  # see above


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
            self._shrink(_AFTER_QUEUE, now_ms, hold_ms)

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

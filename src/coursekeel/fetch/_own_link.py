"""Detects that a long response saturates this process's own network link.

Rule: no peer or stream is judged silent while the link is saturated, since its data is
queued behind that response.

Owns the time until which the link counts as saturated. Relies on `ResponseWatchdog` to
report each chunk.
"""

from attrs import define

from coursekeel.reactor import Reactor

__all__ = ["OwnLink"]

# Shorter responses take at most 26 ms at 5 Mbit/s.
_LONG_RESPONSE_BYTES = 16 * 1024
# How long the link counts as saturated after a chunk. One read of the socket returns up
# to 64 kB, which take 105 ms at 5 Mbit/s.
_HOLD_S = 0.15


@define(eq=False)
class OwnLink:
    """The network link that all connections of this process share."""

    reactor: Reactor
    _full_until_s: float = 0.0

    def chunk_received(self, received_bytes: int) -> None:
        """A chunk arrived; ``received_bytes`` is the response's total so far."""
        if received_bytes >= _LONG_RESPONSE_BYTES:
            self._full_until_s = self.reactor.seconds() + _HOLD_S

    @property
    def full(self) -> bool:
        """Return whether the link is saturated, so that silence proves nothing."""
        return bool(self.reactor.seconds() < self._full_until_s)

"""Detection that this instance is cut off from the platform and from all peers."""

from attrs import define

__all__ = ["Isolation"]


@define
class Isolation:
    """Isolated after ``limit_ms`` without a response from the platform or a peer.

    An isolated instance takes no new work. A reachable peer is enough: otherwise a
    partition between regions would stop every region without the platform.
    """

    limit_ms: float
    _reached_ms: float = float("-inf")

    def record_response(self, asked_ms: float) -> None:
        """Record that the platform or a peer responded to a request of ``asked_ms``."""
        self._reached_ms = max(self._reached_ms, asked_ms)

    def isolated(self, now_ms: float) -> bool:
        """Whether the last response is too old; a pause of this process counts."""
        return now_ms - self._reached_ms > self.limit_ms

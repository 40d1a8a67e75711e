"""Know when this instance is cut off from everybody."""

from attrs import define

__all__ = ["Isolation"]


@define
class Isolation:
    """An instance that reaches neither the platform nor a peer takes no new work.

    A group that still sees its peers serves on: a minority that stopped itself would
    refuse a whole region's callers whenever regions lose each other.
    """

    limit_ms: float
    _reached_ms: float = float("-inf")

    def reached(self, asked_ms: float) -> None:
        """The platform or a peer answered what was asked at ``asked_ms``."""
        self._reached_ms = max(self._reached_ms, asked_ms)

    def isolated(self, now_ms: float) -> bool:
        """Say whether nobody was reached for too long, a pause of ours included."""
        return now_ms - self._reached_ms > self.limit_ms

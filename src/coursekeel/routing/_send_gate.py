"""Which endpoints may be sent a request now, apart from their room and their health."""

from abc import ABC, abstractmethod
from collections.abc import Collection

__all__ = ["OpenGate", "SendGate"]


class SendGate(ABC):
    """Permits for the endpoints that limit the requests they take from all instances.

    ``limited`` contains the ids of those endpoints; the other methods are for them.
    """

    @property
    @abstractmethod
    def limited(self) -> Collection[str]:
        """The ids of the endpoints that need a permit for each request."""

    @abstractmethod
    def has_permit(self, endpoint_id: str, now_ms: float) -> bool:
        """Whether a permit is at hand; if not, one is asked for."""

    @abstractmethod
    def take(self, endpoint_id: str, now_ms: float) -> float | None:
        """Take the permit at hand; returns when it lapses."""

    @abstractmethod
    def is_due(self, endpoint_id: str, now_ms: float) -> bool:
        """Whether the endpoint should be tried: its limit may have ended."""

    @abstractmethod
    def turn_ms(self, endpoint_id: str, now_ms: float) -> float:
        """How long until a request may expect a permit; 0 while one may come now."""

    @abstractmethod
    def reviewed(self, now_ms: float) -> None:
        """The waiting requests took what they need; other permits may be returned."""


class OpenGate(SendGate):
    """No endpoint needs a permit."""

    @property
    def limited(self) -> Collection[str]:
        return ()

    def has_permit(self, endpoint_id: str, now_ms: float) -> bool:
        return True

    def take(self, endpoint_id: str, now_ms: float) -> float | None:
        return None

    def is_due(self, endpoint_id: str, now_ms: float) -> bool:
        return False

    def turn_ms(self, endpoint_id: str, now_ms: float) -> float:
        return 0.0

    def reviewed(self, now_ms: float) -> None:
        pass

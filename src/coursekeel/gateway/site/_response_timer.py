"""Estimates how late a response of the store may be before it counts as lost.

The estimate is that of TCP's retransmission timeout (RFC 6298): a mean of the delays so
far, four times their mean deviation more, and doubled after a loss until a response
comes. Owns the estimate of one table's queries.
"""

from attrs import define

__all__ = ["ResponseTimer"]

_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_DEVIATIONS = 4.0


@define
class ResponseTimer:
    """The delay after which a response counts as lost, ``least_ms`` to ``most_ms``."""

    least_ms: float
    most_ms: float
    _mean_ms: float | None = None
    _deviation_ms: float = 0.0
    _backoff: float = 1.0

    @property
    def limit_ms(self) -> float:
        """How late the next response may be."""
        usual_ms = (self._mean_ms or 0.0) + _DEVIATIONS * self._deviation_ms
        limit_ms = max(self.least_ms, usual_ms) * self._backoff
        return min(limit_ms, max(self.least_ms, self.most_ms))

    def responded(self, delay_ms: float) -> None:
        """Record that a response came so long after it was due."""
        self._backoff = 1.0
        delay_ms = min(delay_ms, self.most_ms)
        if self._mean_ms is None:
            self._mean_ms, self._deviation_ms = delay_ms, delay_ms / 2
            return
        deviation_ms = abs(delay_ms - self._mean_ms)
        self._deviation_ms += _DEVIATION_GAIN * (deviation_ms - self._deviation_ms)
        self._mean_ms += _MEAN_GAIN * (delay_ms - self._mean_ms)

    def lost(self) -> None:
        """Record that no response came in time."""
        self._backoff = min(2 * self._backoff, self.most_ms / self.least_ms)

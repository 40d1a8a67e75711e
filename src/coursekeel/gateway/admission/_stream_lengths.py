"""Estimates of the duration of streams, by route, from those that finished.

The estimate is an upper one, the mean plus twice the mean deviation, as it decides
whether a stream can finish before the instance stops. A core without a clock.
"""

from attrs import define, field

__all__ = ["StreamDurations"]

# Weight of the newest stream in the moving averages, which so span about 20 streams.
_NEWEST_WEIGHT = 0.1
# If durations are spread evenly around the mean, 9 of 10 streams are shorter than the
# estimate.
_DEVIATION_FACTOR = 2.0


@define
class _DurationEstimate:
    mean_ms: float
    deviation_ms: float


@define
class StreamDurations:
    """Duration estimates by route name."""

    _by_route: dict[str, _DurationEstimate] = field(factory=dict)

    def stream_finished(self, route: str, took_ms: float) -> None:
        """Update the route's estimate with a stream that ran from start to end."""
        estimate = self._by_route.get(route)
        if estimate is None:
            self._by_route[route] = _DurationEstimate(took_ms, took_ms / 4)
            return
        difference_ms = took_ms - estimate.mean_ms
        estimate.mean_ms += _NEWEST_WEIGHT * difference_ms
        estimate.deviation_ms += _NEWEST_WEIGHT * (
            abs(difference_ms) - estimate.deviation_ms
        )

    def upper_estimate_ms(self, route: str) -> float | None:
        """Return a long stream's duration in ms; None before the first has finished."""
        estimate = self._by_route.get(route)
        if estimate is None:
            return None
        return estimate.mean_ms + _DEVIATION_FACTOR * estimate.deviation_ms

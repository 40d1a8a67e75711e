"""How long streams take here, learned from those that ended whole.

The estimate is an upper one, the mean and twice the mean deviation, since it says
whether a stream can still end before a stop does. A core without a clock.
"""

from attrs import define, field

__all__ = ["StreamLengths"]

# How much the newest stream counts. Some twenty streams.
_NEWEST_WEIGHT = 0.1
# Nine in ten streams are shorter than the mean and so many mean deviations, if their
# lengths spread evenly around it.
_DEVIATION_FACTOR = 2.0


@define
class _DurationEstimate:
    mean_ms: float
    deviation_ms: float


@define
class StreamLengths:
    """Lengths by route."""

    _by_route: dict[str, _DurationEstimate] = field(factory=dict)

    def stream_finished(self, route: str, took_ms: float) -> None:
        """A stream that was asked for from its start ended whole."""
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
        """What a long one takes; None before the first has ended."""
        estimate = self._by_route.get(route)
        if estimate is None:
            return None
        return estimate.mean_ms + _DEVIATION_FACTOR * estimate.deviation_ms

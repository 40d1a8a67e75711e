"""How long streams take here, learned from those that ended whole.

The estimate is an upper one, the mean and twice the mean deviation, since it says
whether a stream can still end before a stop does. A core without a clock.
"""

from attrs import define, field

__all__ = ["StreamLengths"]

# How much the newest stream counts. Some twenty streams.
_NEWEST_SHARE = 0.1
# Nine in ten streams are shorter than the mean and so many mean deviations, if their
# lengths spread evenly around it.
_DEVIATIONS = 2.0


@define
class _Length:
    mean_ms: float
    deviation_ms: float


@define
class StreamLengths:
    """Lengths by route."""

    _by_route: dict[str, _Length] = field(factory=dict)

    def ended(self, route: str, took_ms: float) -> None:
        """A stream that was asked for from its start ended whole."""
        known = self._by_route.get(route)
        if known is None:
            self._by_route[route] = _Length(took_ms, took_ms / 4)
            return
        off_ms = took_ms - known.mean_ms
        known.mean_ms += _NEWEST_SHARE * off_ms
        known.deviation_ms += _NEWEST_SHARE * (abs(off_ms) - known.deviation_ms)

    def long_ms(self, route: str) -> float | None:
        """What a long one takes; None before the first has ended."""
        known = self._by_route.get(route)
        if known is None:
            return None
        return known.mean_ms + _DEVIATIONS * known.deviation_ms

"""How many permits a second the holder gives out for a brittle endpoint.

A brittle endpoint says how many requests it may turn away in a second before it falls
over, and not how many it takes. Rule: the rate begins at that number and doubles
each second until a request is turned away, then slowly. A request that is turned
away lowers it by a seventh and stops the permits for a moment; half as many as the
endpoint may turn away in a second, but not fewer than two, lower it further and stop
them until that second is over.

A permit is open until news of its request would have come. Each open one may be turned
away if the endpoint's room shrinks without a word, so that no more are open than it may
still turn away.

Owns each endpoint's rate and open permits. A core: the caller passes the time, in ms.
"""

from attrs import define, field

from coursekeel.limits._holders import VIEW_LAG_MS

__all__ = ["BRITTLE_SETTLING_MS", "BrittleRates"]

_FAST_GROWTH_PER_S = 1.0
_SLOW_GROWTH_PER_S = 0.05
_SHRINK = 0.85
_SHRINK_AT_STOP = 0.6
_LEAST_PER_S = 0.5
# News of requests that left together come within this time and count as one.
_PAUSE_MS = 100.0
# News of a request that is turned away comes within this time of its permit: three
# datagrams, a connection and an answer.
_OPEN_MS = 150.0
# So many turned away in a second don't stop the permits while more are allowed.
_LEAST_TO_STOP = 2.0
_SECOND_MS = 1_000.0
# A new holder doesn't know what was turned away under an earlier one's permits.
BRITTLE_SETTLING_MS = _SECOND_MS + _OPEN_MS + VIEW_LAG_MS


@define
class _Rate:
    per_s: float
    at_ms: float
    allowed: float = 1.0
    turned_away_ms: list[float] = field(factory=list)
    opened_ms: list[float] = field(factory=list)
    has_met_the_end: bool = False


@define(eq=False)
class BrittleRates:
    """The rates of the endpoints that this instance holds."""

    _rates: dict[str, _Rate] = field(factory=dict)

    def per_s(self, endpoint_id: str, allowed_per_s: float, now_ms: float) -> float:
        """Permits a second to give now, 0 while none may be given.

        ``allowed_per_s`` is how many requests the endpoint may turn away in a second.
        """
        rate = self._rates.get(endpoint_id)
        if rate is None:
            least = max(allowed_per_s, _LEAST_PER_S)
            rate = self._rates[endpoint_id] = _Rate(least, now_ms)
        rate.allowed = max(allowed_per_s, 1.0)
        self._grow(rate, now_ms)
        return 0.0 if _is_paused(rate, now_ms) else rate.per_s

    def given(self, endpoint_id: str, now_ms: float) -> None:
        """Record that a permit was given; it is open from now on."""
        rate = self._rates.get(endpoint_id)
        if rate is not None:
            rate.opened_ms.append(now_ms)

    def returned(self, endpoint_id: str) -> None:
        """Record that the holder got a permit back unused."""
        rate = self._rates.get(endpoint_id)
        if rate is not None:
            del rate.opened_ms[-1:]

    def turned_away(self, endpoint_id: str, now_ms: float) -> None:
        """Record that the endpoint turned a request away for want of room."""
        rate = self._rates.get(endpoint_id)
        if rate is None:
            return
        last_ms = rate.turned_away_ms[-1] if rate.turned_away_ms else -_PAUSE_MS
        if now_ms - last_ms >= _PAUSE_MS:
            rate.per_s *= _SHRINK
        rate.has_met_the_end, rate.at_ms = True, now_ms
        del rate.opened_ms[:1]
        was_stopped = _is_stopped(rate, now_ms)
        recent = [x for x in rate.turned_away_ms if now_ms - x < _SECOND_MS]
        rate.turned_away_ms = [*recent, now_ms]
        if _is_stopped(rate, now_ms) and not was_stopped:
            rate.per_s *= _SHRINK_AT_STOP
        rate.per_s = max(rate.per_s, _LEAST_PER_S)

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that isn't brittle any more, or is gone."""
        self._rates.pop(endpoint_id, None)

    def _grow(self, rate: _Rate, now_ms: float) -> None:
        growth = _SLOW_GROWTH_PER_S if rate.has_met_the_end else _FAST_GROWTH_PER_S
        seconds = min(max(now_ms - rate.at_ms, 0.0) / _SECOND_MS, 1.0)
        # More than this isn't given, for want of permits that may be open.
        most_per_s = rate.allowed * _SECOND_MS / _OPEN_MS
        rate.per_s = min(rate.per_s * (1 + growth * seconds), most_per_s)
        rate.at_ms = now_ms
        rate.opened_ms = [x for x in rate.opened_ms if now_ms - x < _OPEN_MS]


def _is_paused(rate: _Rate, now_ms: float) -> bool:
    if any(now_ms - each < _PAUSE_MS for each in rate.turned_away_ms):
        return True
    if _is_stopped(rate, now_ms):
        return True
    return _turned_away_lately(rate, now_ms) + len(rate.opened_ms) + 1 > rate.allowed


def _is_stopped(rate: _Rate, now_ms: float) -> bool:
    stops_at = max(rate.allowed / 2, min(rate.allowed, _LEAST_TO_STOP))
    return _turned_away_lately(rate, now_ms) >= stops_at


def _turned_away_lately(rate: _Rate, now_ms: float) -> int:
    return sum(now_ms - each < _SECOND_MS for each in rate.turned_away_ms)

"""Permits that this instance gives out as the holder of endpoints.

Rule: permits for an endpoint are spaced evenly; unused ones aren't saved. One that
comes back is given again unless another was given since, so that those that are used
stay as far apart as ever. An instance that gets none is told when to ask again, the
later the more of them ask, and when a request may expect its turn: instances that got
none earlier come first.

Owns the time of each endpoint's last permit and the recent askers. A core: the caller
passes the time, in ms.
"""

from attrs import define, field, frozen

from coursekeel.limits._rate import PERMIT_VALID_S, TRIAL_PER_S
from coursekeel.units import MS_PER_SECOND

__all__ = ["Issue", "PermitIssuer"]

# Askers that got no permit stay in line for this time.
_LINE_MS = 1_000.0
# So many askers may ask for each permit; with more, each waits longer.
_ASKERS_PER_PERMIT = 8
_MAX_WAIT_MS = 5_000.0
_MAX_TURN_MS = 10_000.0
_MAX_INTERVAL_MS = MS_PER_SECOND / TRIAL_PER_S
_PERMIT_VALID_MS = PERMIT_VALID_S * MS_PER_SECOND


@frozen
class Issue:
    """The holder's answer: ``given`` permits, or none and when to ask again.

    ``wait_ms`` is how long not to ask, ``turn_ms`` when a request sent now may expect
    its turn.
    """

    given: int
    wait_ms: float = 0.0
    turn_ms: float = 0.0


@define(eq=False)
class PermitIssuer:
    """Gives out permits; ``given`` counts them."""

    given: int = 0
    _last_ms: dict[str, float] = field(factory=dict)
    _before_last_ms: dict[str, float] = field(factory=dict)
    _last_for: dict[str, tuple[str, int]] = field(factory=dict)
    _refused: dict[str, dict[str, float]] = field(factory=dict)

    def issue(
        self,
        endpoint_id: str,
        asker: str,
        number: int,
        rate_per_s: float,
        now_ms: float,
    ) -> Issue:
        """Give ``asker`` one permit for its question if one is due at this rate."""
        interval_ms = MS_PER_SECOND / rate_per_s
        due_ms = self._last_ms.get(endpoint_id, float("-inf")) + interval_ms
        if now_ms >= due_ms:
            self.given += 1
            self._before_last_ms[endpoint_id] = self._last_ms.get(
                endpoint_id, float("-inf")
            )
            self._last_ms[endpoint_id] = now_ms
            self._last_for[endpoint_id] = asker, number
            self._refused.get(endpoint_id, {}).pop(asker, None)
            return Issue(1)
        # If each were told the last place, no request would wait for the next permit.
        line = self._line(endpoint_id, asker, now_ms)
        wait_ms = due_ms - now_ms
        surplus = max(len(line) - _ASKERS_PER_PERMIT, 0) / _ASKERS_PER_PERMIT
        return Issue(
            0,
            min(wait_ms + surplus * interval_ms, _MAX_WAIT_MS),
            min(wait_ms + line.index(asker) * interval_ms, _MAX_TURN_MS),
        )

    def returned_by(
        self, endpoint_id: str, asker: str, number: int, now_ms: float
    ) -> None:
        """Take back the permit for the asker's question, if it is the last given.

        After its time it would be due again in any case, and the asker may have started
        anew with its numbers.
        """
        is_last = self._last_for.get(endpoint_id) == (asker, number)
        if is_last and now_ms - self._last_ms[endpoint_id] < _PERMIT_VALID_MS:
            self.returned(endpoint_id)

    def returned(self, endpoint_id: str) -> None:
        """Let the next permit come as if the last one hadn't been given."""
        self._last_for.pop(endpoint_id, None)
        before_ms = self._before_last_ms.pop(endpoint_id, None)
        if before_ms is not None:
            self._last_ms[endpoint_id] = before_ms

    def _line(self, endpoint_id: str, asker: str, now_ms: float) -> list[str]:
        """The instances that got no permit lately, first come first; with this one."""
        refused = self._refused.setdefault(endpoint_id, {})
        for name, at_ms in list(refused.items()):
            if now_ms - at_ms > _LINE_MS:
                del refused[name]
        # An instance that asks again keeps its place.
        refused[asker] = now_ms
        return list(refused)

    def forget_old(self, now_ms: float) -> None:
        """Forget endpoints whose next permit would be due at any rate.

        Not when a limit ends or an endpoint is gone: this instance may be the last to
        know it, or the first, and the next permit must keep its distance.
        """
        for endpoint_id, last_ms in list(self._last_ms.items()):
            if now_ms - last_ms >= _MAX_INTERVAL_MS:
                del self._last_ms[endpoint_id]
                self._before_last_ms.pop(endpoint_id, None)
                self._last_for.pop(endpoint_id, None)
                self._refused.pop(endpoint_id, None)

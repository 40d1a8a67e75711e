"""Endpoints that the list lacks after an outage of the store, and how long each serves.

Registrations may lapse while the store is down, and live endpoints register again. So
an endpoint that is missing after an outage may go on taking work for a while. That time
is one in sum for each endpoint: it runs from the first list without it, and nothing
that follows starts it again. An endpoint that says itself that it serves, asked since
then, is used for a short time more after each such word. That ends when the store has
responded for as long as live endpoints need to register again.

A core: the caller passes the time, in ms.
"""

import math
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from coursekeel.forwarding._moment import StorePosition

__all__ = ["MissingEndpoints", "RecoveryTimes"]


@frozen
class RecoveryTimes:
    """Bounds on the use of missing endpoints.

    ``return_ms`` is the time after an outage in which live endpoints register again,
    ``missing_ms`` how long a missing one may take work, ``own_state_ms`` how long after
    it was asked, if it said that it serves.
    """

    return_ms: float = 2_000.0
    missing_ms: float = 1_500.0
    own_state_ms: float = 800.0


@frozen
class _Missing:
    """The position and time at which an endpoint was missing, and its last time of use.

    ``since_ms`` is when the first list without it was read.
    """

    position: StorePosition
    since_ms: float
    until_ms: float
    said_serving: bool = False


@define
class MissingEndpoints:
    """The missing endpoints by id; one that is listed again is discarded."""

    times: Callable[[], RecoveryTimes] = RecoveryTimes
    _recovery_until_ms: float = -math.inf
    _missing: dict[str, _Missing] = field(factory=dict)

    def begin_recovery(self, now_ms: float) -> None:
        """Note that an outage has ended, after which the list may lack endpoints."""
        self._recovery_until_ms = now_ms + self.times().return_ms

    def recovering(self, now_ms: float) -> bool:
        """Whether endpoints that the list drops now may have lapsed with the store."""
        return now_ms < self._recovery_until_ms

    def add(self, endpoint_id: str, position: StorePosition, now_ms: float) -> None:
        """Count an endpoint as missing as of ``position``; its time isn't extended."""
        known = self._missing.get(endpoint_id)
        if known is not None:
            self._missing[endpoint_id] = evolve(known, position=position)
            return
        until_ms = min(now_ms + self.times().missing_ms, self._recovery_until_ms)
        self._missing[endpoint_id] = _Missing(position, now_ms, until_ms)

    def record_serving(self, endpoint_id: str, asked_ms: float) -> bool:
        """Record that an endpoint which was asked at ``asked_ms`` says that it serves.

        It counts if it was asked after the list lacked it, and before its time was
        over. Returns whether this is the first word that counts.
        """
        missing = self._missing.get(endpoint_id)
        if missing is None or not missing.since_ms <= asked_ms < missing.until_ms:
            return False
        until_ms = max(missing.until_ms, asked_ms + self.times().own_state_ms)
        self._missing[endpoint_id] = evolve(
            missing, until_ms=until_ms, said_serving=True
        )
        return not missing.said_serving

    def discard(self, endpoint_id: str) -> None:
        """Forget an endpoint that is listed again, or gone."""
        self._missing.pop(endpoint_id, None)

    def __contains__(self, endpoint_id: str) -> bool:
        return endpoint_id in self._missing

    def ids(self) -> list[str]:
        """The ids of the missing endpoints."""
        return list(self._missing)

    def since_ms(self, endpoint_id: str) -> float | None:
        """When the first list without the endpoint was read; None if it is listed."""
        missing = self._missing.get(endpoint_id)
        return None if missing is None else missing.since_ms

    def until_ms(self, endpoint_id: str) -> float:
        """Until when a missing endpoint may take work; minus infinity for others."""
        missing = self._missing.get(endpoint_id)
        return -math.inf if missing is None else missing.until_ms

    def position(self, endpoint_id: str) -> StorePosition:
        """As of which position the endpoint is missing; the first one if it isn't."""
        missing = self._missing.get(endpoint_id)
        return StorePosition() if missing is None else missing.position

    def is_over(self, endpoint_id: str, now_ms: float) -> bool:
        """Whether an endpoint has been missing for too long to take work."""
        missing = self._missing.get(endpoint_id)
        return missing is not None and now_ms >= missing.until_ms

    def needs_word(self, endpoint_id: str, now_ms: float, within_ms: float) -> bool:
        """Whether a missing endpoint is to be asked whether it serves.

        It is if it hasn't said so yet, or if its time is over within ``within_ms``.
        """
        missing = self._missing.get(endpoint_id)
        if missing is None or now_ms >= missing.until_ms:
            return False
        return not missing.said_serving or now_ms + within_ms >= missing.until_ms

    def overdue(self, now_ms: float, confirmed_ms: float) -> list[str]:
        """The ids of the endpoints that have been missing for too long.

        They are all of them once the list is confirmed as of a time by which live
        endpoints have registered again.
        """
        if confirmed_ms >= self._recovery_until_ms:
            return self.ids()
        return [name for name in self._missing if self.is_over(name, now_ms)]

    def reset_positions(self) -> None:
        """Forget the positions: a restored store issues its versions again."""
        self._missing = {
            endpoint_id: evolve(missing, position=StorePosition())
            for endpoint_id, missing in self._missing.items()
        }

"""Runs that were lost with an endpoint, while it is asked whether it has ended.

Rule: a run that had given its answer for longer than a moment isn't what ended its
endpoint. Of the others it counts what was seen of them (`Sign`).

Owns the runs that wait for an endpoint's answer. A core: moments are given, in ms.
"""

from attrs import define, field, frozen

from coursekeel.quarantine import Sign

__all__ = ["LostRuns", "Suspect", "sign_of"]

# A request that ends its endpoint does so when it begins to run: 54 to 121 ms after, in
# a recorded day. One that gave of its answer for so much longer is another's victim.
_MOMENT_MS = 1_000.0


@frozen
class Suspect:
    """A request that an endpoint had when it ended, and when its run was lost."""

    fingerprint: str
    sign: Sign
    lost_ms: float


def sign_of(ran_ms: float | None, gave_ms: float | None) -> Sign | None:
    """What was seen of a lost run; None if it can't be what ended its endpoint.

    ``ran_ms`` is how long ago its answer's head came, ``gave_ms`` the first of its
    answer; None if none came.
    """
    if gave_ms is not None:
        return Sign.GAVE if gave_ms <= _MOMENT_MS else None
    return Sign.UNSEEN if ran_ms is None else Sign.BEGAN


@define(eq=False)
class LostRuns:
    """By endpoint, the requests that may have ended it."""

    _waiting: dict[str, dict[str, Suspect]] = field(factory=dict)

    def add(self, endpoint_id: str, suspect: Suspect) -> bool:
        """Note a lost run; say whether its endpoint is to be asked for it."""
        is_first = endpoint_id not in self._waiting
        waiting = self._waiting.setdefault(endpoint_id, {})
        waiting.setdefault(suspect.fingerprint, suspect)
        return is_first

    def taken(self, endpoint_id: str) -> list[Suspect]:
        """The endpoint has answered, or not: those that waited for that."""
        return list(self._waiting.pop(endpoint_id).values())

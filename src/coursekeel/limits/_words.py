"""What one answer of an endpoint says about the limit on its requests."""

import re
from collections.abc import Sequence

from attrs import frozen

__all__ = [
    "LimitWord",
    "NamedLimit",
    "NoLimitNamed",
    "UnreadableLimit",
    "decode_brittle",
    "decode_limit",
]

# An endpoint that may turn none away is sent requests so slowly that few are.
_LEAST_BRITTLE_PER_S = 0.5
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


@frozen
class NamedLimit:
    """The endpoint takes ``per_s`` requests a second from all instances together.

    One that is ``brittle`` names how many it may turn away in a second instead.
    """

    per_s: float
    brittle: bool = False


@frozen
class NoLimitNamed:
    """The answer is the endpoint's own and names no limit."""


@frozen
class UnreadableLimit:
    """The limit can't be read; ``fault`` says what was given and expected."""

    fault: str


LimitWord = NamedLimit | NoLimitNamed | UnreadableLimit


def decode_limit(values: Sequence[bytes]) -> LimitWord:
    """Decode the values that an answer gives for its limit, usually one or none."""
    if not values:
        return NoLimitNamed()
    per_s = float(values[0]) if _DECIMAL.fullmatch(values[0]) else 0.0
    if len(values) > 1 or per_s <= 0:
        return UnreadableLimit(
            f"limit: got {b', '.join(values)!r:.60}, expected one decimal number above "
            "0, of at most nine digits on either side of the point"
        )
    return NamedLimit(per_s)


def decode_brittle(values: Sequence[bytes]) -> LimitWord:
    """Decode how many requests an endpoint says that it may turn away in a second."""
    if not values:
        return NoLimitNamed()
    if len(values) > 1 or not _DECIMAL.fullmatch(values[0]):
        return UnreadableLimit(
            f"brittle: got {b', '.join(values)!r:.60}, expected one decimal number of "
            "at most nine digits on either side of the point"
        )
    return NamedLimit(max(float(values[0]), _LEAST_BRITTLE_PER_S), brittle=True)

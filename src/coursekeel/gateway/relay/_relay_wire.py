"""What two members say to each other about a relayed request, in HTTP headers.

The request is the caller's own, with its key, so that the member admits it as it would
from the caller: whoever asks for a relay can get no more than from the callers' port.
Added are the name of the group and how many servers the member may send it to. A reply
of the member itself, in place of an endpoint's, names its refusal.

Owns the names of these headers; endpoints and callers never see them.
"""

from attrs import frozen

from coursekeel.fetch import ExchangeHead
from coursekeel.gateway._adapters import HeaderPairs
from coursekeel.gateway.admission._refusals import GatewayRefusal
from coursekeel.numbers import parse_whole
from coursekeel.units import MS_PER_SECOND

__all__ = [
    "REFUSAL_HEADER",
    "RELAY_HEADER",
    "BadRelayTerms",
    "RelayTerms",
    "read_refusal",
    "read_terms",
    "terms_headers",
    "without_relay_headers",
]

RELAY_HEADER = b"coursekeel-relay"
REFUSAL_HEADER = b"coursekeel-refusal"
_TRIES_HEADER = b"coursekeel-relay-tries"
_NAMES = frozenset({RELAY_HEADER, REFUSAL_HEADER, _TRIES_HEADER})
_MAX_TRIES = 100
_MAX_RETRY_AFTER_S = 600.0


@frozen
class RelayTerms:
    """``group`` names the deployment; ``tries`` is how many servers may be tried."""

    group: str
    tries: int


@frozen
class BadRelayTerms:
    """Terms that can't be read; ``fault`` says what was got and expected."""

    fault: str


def terms_headers(terms: RelayTerms) -> list[tuple[bytes, bytes]]:
    """The headers that ask a member to serve a request."""
    return [
        (RELAY_HEADER, terms.group.encode()),
        (_TRIES_HEADER, str(terms.tries).encode()),
    ]


def read_terms(headers: HeaderPairs) -> RelayTerms | BadRelayTerms:
    """Read the terms of a relayed request; names of headers are lower case."""
    groups = [value for name, value in headers if name == RELAY_HEADER]
    tries = [value for name, value in headers if name == _TRIES_HEADER]
    if len(groups) != 1 or len(tries) != 1:
        return BadRelayTerms(
            f"got {len(groups)} groups and {len(tries)} numbers of tries, "
            "expected one of each"
        )
    number = parse_whole(tries[0], _MAX_TRIES)
    if not number:
        return BadRelayTerms(
            f"tries: got {tries[0][:20]!r}, expected a number from 1 to {_MAX_TRIES}"
        )
    return RelayTerms(groups[0].decode("latin-1"), number)


def without_relay_headers(headers: HeaderPairs) -> list[tuple[bytes, bytes]]:
    """The headers that are the caller's or the endpoint's own."""
    return [pair for pair in headers if pair[0].lower() not in _NAMES]


def read_refusal(head: ExchangeHead) -> GatewayRefusal | None:
    """The member's own refusal; None if an endpoint's answer has come."""
    code = head.get(REFUSAL_HEADER).decode("latin-1")
    if not code:
        return None
    retry_after_ms = _seconds(head.get(b"retry-after")) * MS_PER_SECOND
    return GatewayRefusal(head.status, code, retry_after_ms)


def _seconds(value: bytes) -> float:
    try:
        seconds = float(value or b"0")
    except ValueError:
        return 0.0
    return seconds if 0 <= seconds <= _MAX_RETRY_AFTER_S else 0.0

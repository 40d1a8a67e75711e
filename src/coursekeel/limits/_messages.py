"""Messages between members about limits: their encoding and decoding.

Owns the format of the datagrams: a one-letter prefix that other messages don't have,
then JSON of bounded size, whose fields are checked when it is decoded. Relies on
`coursekeel.strict` and orjson; does no I/O.
"""

import math
from typing import Any

import attrs
import orjson
from attrs import field, frozen

from coursekeel.group import MAX_MESSAGE_BYTES
from coursekeel.limits._book import LimitNews
from coursekeel.limits._issuer import Issue
from coursekeel.strict import faults_of, message_converter

__all__ = [
    "LIMIT_PREFIX",
    "LimitMessage",
    "PermitAnswer",
    "PermitQuestion",
    "PermitReturned",
    "TurnedAway",
    "UnreadableLimitMessage",
    "decode_limit_message",
    "encode_limit_message",
]

# No other message of the group begins with this letter.
LIMIT_PREFIX = b"L"
_MAX_FAULT_CHARACTERS = 200
_NOT_SENT = -1
# No holder lets an asker wait longer.
_MAX_WAIT_MS = 10_000.0


@frozen
class PermitQuestion:
    """An instance asks the holder for a permit; ``known`` members it knows of."""

    number: int
    news: LimitNews
    known: int


@frozen
class PermitAnswer:
    """The holder's answer to the question ``number``, and its own news."""

    number: int
    news: LimitNews
    issue: Issue


@frozen
class TurnedAway:
    """An instance tells the holder that a brittle endpoint turned a request away."""

    news: LimitNews


@frozen
class PermitReturned:
    """An instance returns a permit that it has no use for.

    ``number`` is that of its question.
    """

    news: LimitNews
    number: int = 0


LimitMessage = LimitNews | PermitQuestion | PermitAnswer | TurnedAway | PermitReturned


@frozen
class UnreadableLimitMessage:
    """A datagram that can't be decoded; ``fault`` names the field and the problem."""

    fault: str


@frozen
class _Form:
    """A datagram; ``per_s`` 0 stands for no limit.

    A question has ``known`` members, an answer the number of permits ``given``, other
    news neither.
    """

    group: str
    sender: str
    endpoint: str
    per_s: float = field(metadata={"key": "per_s"})
    age_ms: float = field(metadata={"key": "age_ms"})
    number: int = 0
    known: int = _NOT_SENT
    given: int = _NOT_SENT
    wait_ms: float = field(default=0.0, metadata={"key": "wait_ms"})
    turn_ms: float = field(default=0.0, metadata={"key": "turn_ms"})
    brittle: bool = False
    turned_away: bool = field(default=False, metadata={"key": "turned_away"})
    returned: bool = False


_ADDED_FIELDS = ("brittle", "turned_away", "returned")
_CONVERTER = message_converter(_Form)


def encode_limit_message(group: str, sender: str, message: LimitMessage) -> bytes:
    """Encode a message as a datagram."""
    news = message if isinstance(message, LimitNews) else message.news
    age_ms = round(news.age_ms, 1)
    per_s = news.per_s or 0.0
    form = _Form(group, sender, news.endpoint_id, per_s, age_ms, brittle=news.brittle)
    match message:
        case PermitQuestion():
            form = attrs.evolve(form, number=message.number, known=message.known)
        case PermitAnswer():
            form = attrs.evolve(
                form,
                number=message.number,
                given=message.issue.given,
                wait_ms=round(message.issue.wait_ms, 1),
                turn_ms=round(message.issue.turn_ms, 1),
            )
        case TurnedAway():
            form = attrs.evolve(form, turned_away=True)
        case PermitReturned():
            form = attrs.evolve(form, number=message.number, returned=True)
    # Members of an earlier version know the other fields only.
    fields = attrs.asdict(form)
    unused = [name for name in _ADDED_FIELDS if not fields[name]]
    for name in unused:
        del fields[name]
    return LIMIT_PREFIX + orjson.dumps(fields)


def decode_limit_message(
    data: bytes,
) -> tuple[str, str, LimitMessage] | UnreadableLimitMessage:
    """Decode a datagram of `LIMIT_PREFIX`: its group, its sender and its message."""
    if len(data) > MAX_MESSAGE_BYTES:
        return UnreadableLimitMessage(
            f"got {len(data)} bytes, expected at most {MAX_MESSAGE_BYTES}"
        )
    try:
        value: Any = orjson.loads(data.removeprefix(LIMIT_PREFIX))
        form = _CONVERTER.structure(value, _Form)
        return form.group, form.sender, _message_from_form(form)
    except Exception as failure:  # invalid data from a peer must not raise
        faults = "; ".join(faults_of(failure, whole="message"))
        return UnreadableLimitMessage(faults[:_MAX_FAULT_CHARACTERS])


def _message_from_form(form: _Form) -> LimitMessage:
    if form.per_s < 0 or not math.isfinite(form.per_s):
        raise ValueError(f"per_s: got {form.per_s!r}, expected a limit, or 0 for none")
    age_ms = max(form.age_ms, 0.0)
    news = LimitNews(form.endpoint, form.per_s or None, age_ms, form.brittle)
    if form.turned_away:
        return TurnedAway(news)
    if form.returned:
        return PermitReturned(news, form.number)
    if form.known != _NOT_SENT:
        return PermitQuestion(form.number, news, max(form.known, 1))
    if form.given != _NOT_SENT:
        wait_ms, turn_ms = _bounded(form.wait_ms), _bounded(form.turn_ms)
        issue = Issue(max(form.given, 0), wait_ms, turn_ms)
        return PermitAnswer(form.number, news, issue)
    return news


def _bounded(wait_ms: float) -> float:
    return min(max(wait_ms, 0.0), _MAX_WAIT_MS)

"""What members of a group tell each other of suspect requests, and how it is written.

Owns the datagrams' form: a letter that tells them from SWIM's, then JSON, bounded in
size, each field checked where it is decoded. Moments travel as ages, since clocks
differ. Relies on `coursekeel.strict` and orjson; knows nothing of sockets.
"""

from enum import Enum
from typing import TypeVar

import attrs
import orjson
from attrs import field, frozen

from coursekeel.group import MAX_MESSAGE_BYTES
from coursekeel.quarantine._record import MAX_NAME, Sign, Strike, SuspectRecord
from coursekeel.strict import faults_of, message_converter

__all__ = [
    "MARK",
    "KeptSuspect",
    "QuarantineKind",
    "QuarantineMessage",
    "UnreadableQuarantine",
    "decode_kept",
    "decode_quarantine",
    "decode_told",
    "encode_kept",
    "encode_quarantine",
    "encode_told",
    "record_of",
    "told_of",
]

# No JSON object begins with it.
MARK = b"Q"
# Enough of a fault for a log line.
_MAX_FAULT_CHARACTERS = 200


class QuarantineKind(Enum):
    """What a message is for.

    ``OFFER``: the sender knows something else; whoever wants it answers ``TAKE`` with
    the offer's token, which shows that it gets what is sent to it, and is sent ``NEWS``
    with its own token, which shows the same.
    """

    OFFER = "offer"
    TAKE = "take"
    NEWS = "news"


@frozen
class ToldStrike:
    """An endpoint that ended under a request, ``age_ms`` ago."""

    endpoint: str
    sign: Sign
    age_ms: float = field(metadata={"key": "age_ms"})


@frozen
class ToldRecord:
    """A record, with ages in the place of moments; None if it never changed."""

    fingerprint: str
    epoch: int
    trials: int
    strikes: tuple[ToldStrike, ...] = ()
    changed_age_ms: float | None = field(
        default=None, metadata={"key": "changed_age_ms"}
    )


@frozen
class QuarantineMessage:
    """One datagram. ``digest`` is of all that the sender knows.

    ``answer_token`` is the one that an answer must bring, as its ``token``.
    """

    group: str
    kind: QuarantineKind
    sender: str
    digest: str
    token: int = 0
    answer_token: int = field(default=0, metadata={"key": "answer_token"})
    records: tuple[ToldRecord, ...] = ()


@frozen
class UnreadableQuarantine:
    """A datagram that is no message; ``fault`` names the field and what was wrong."""

    fault: str


@frozen
class KeptSuspect:
    """A record as it is stored; ``stored_ms`` is the store's clock when it was."""

    record: ToldRecord
    stored_ms: float = field(metadata={"key": "stored_ms"})


_ReadT = TypeVar("_ReadT")
_CONVERTER = message_converter(ToldStrike, ToldRecord, QuarantineMessage, KeptSuspect)


def told_of(record: SuspectRecord, now_ms: float) -> ToldRecord:
    """A record as it is told now."""
    strikes = tuple(
        ToldStrike(each.endpoint_id, each.sign, _age_ms(each.at_ms, now_ms))
        for each in record.strikes
    )
    changed = record.epoch or record.trials
    age_ms = _age_ms(record.changed_ms, now_ms) if changed else None
    return ToldRecord(record.fingerprint, record.epoch, record.trials, strikes, age_ms)


def _age_ms(moment_ms: float, now_ms: float) -> float:
    return max(0.0, round(now_ms - moment_ms, 1))


def record_of(told: ToldRecord, now_ms: float) -> SuspectRecord:
    """A record that was told just now."""
    record = SuspectRecord(told.fingerprint, told.epoch, told.trials)
    if told.changed_age_ms is not None:
        changed_ms = now_ms - max(0.0, told.changed_age_ms)
        record = attrs.evolve(record, changed_ms=changed_ms)
    for each in told.strikes:
        at_ms = now_ms - max(0.0, each.age_ms)
        record = record.struck(Strike(each.endpoint, each.sign, at_ms))
    return record


def encode_kept(kept: KeptSuspect) -> bytes:
    """The stored form of a record."""
    return orjson.dumps(attrs.asdict(kept, value_serializer=_plain))


def decode_kept(data: bytes) -> KeptSuspect | UnreadableQuarantine:
    """Read a stored record."""
    kept = _read(data, KeptSuspect, whole="row")
    if isinstance(kept, UnreadableQuarantine):
        return kept
    return _checked(kept, (kept.record,))


def encode_told(told: ToldRecord) -> bytes:
    """A record alone, for members that are told over connections."""
    return orjson.dumps(attrs.asdict(told, value_serializer=_plain))


def decode_told(data: bytes) -> ToldRecord | UnreadableQuarantine:
    """Read a record that came alone."""
    told = _read(data, ToldRecord, whole="record")
    if isinstance(told, UnreadableQuarantine):
        return told
    return _checked(told, (told,))


def _read(data: bytes, kind: type[_ReadT], whole: str) -> _ReadT | UnreadableQuarantine:
    try:
        return _CONVERTER.structure(orjson.loads(data), kind)
    except Exception as failure:  # whatever a store or a peer holds is a value here
        faults = "; ".join(faults_of(failure, whole=whole))
        return UnreadableQuarantine(faults[:_MAX_FAULT_CHARACTERS])


def encode_quarantine(message: QuarantineMessage) -> bytes:
    """The datagram of a message."""
    return MARK + orjson.dumps(attrs.asdict(message, value_serializer=_plain))


def _plain(_owner: object, _field: object, value: object) -> object:
    return value.value if isinstance(value, Enum) else value


def decode_quarantine(data: bytes) -> QuarantineMessage | UnreadableQuarantine:
    """Read a datagram that begins with `MARK`."""
    if len(data) > MAX_MESSAGE_BYTES:
        return UnreadableQuarantine(
            f"got {len(data)} bytes, expected at most {MAX_MESSAGE_BYTES}"
        )
    message = _read(data.removeprefix(MARK), QuarantineMessage, whole="message")
    if isinstance(message, UnreadableQuarantine):
        return message
    return _checked(message, message.records)


def _checked(
    read: _ReadT, records: tuple[ToldRecord, ...]
) -> _ReadT | UnreadableQuarantine:
    """What was read, if each of its records can be used."""
    fault = next((f for f in map(_fault_of, records) if f), "")
    return UnreadableQuarantine(fault) if fault else read


def _fault_of(told: ToldRecord) -> str:
    names = [told.fingerprint, *(each.endpoint for each in told.strikes)]
    longest = max(map(len, names))
    if longest > MAX_NAME or not all(names):
        return f"records: got a name of {longest}, expected 1 to {MAX_NAME} characters"
    if min(told.epoch, told.trials) < 0:
        return f"records: got {told.epoch} and {told.trials}, expected none below 0"
    return ""

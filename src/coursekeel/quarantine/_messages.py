"""Messages and stored rows of suspect requests: their encoding and decoding.

Owns the format of the datagrams: a one-letter prefix that SWIM messages don't have,
then JSON of bounded size, whose fields are checked when it is decoded. Times are sent
as ages in ms, since clocks differ. Relies on `coursekeel.strict` and orjson; does no
I/O.
"""

from enum import Enum
from typing import TypeVar

import attrs
import orjson
from attrs import field, frozen

from coursekeel.group import MAX_MESSAGE_BYTES
from coursekeel.quarantine._record import (
    MAX_NAME_CHARACTERS,
    Sign,
    Strike,
    SuspectRecord,
)
from coursekeel.strict import faults_of, message_converter

__all__ = [
    "QUARANTINE_PREFIX",
    "QuarantineKind",
    "QuarantineMessage",
    "StoredSuspect",
    "UnreadableQuarantine",
    "decode_quarantine",
    "decode_sent_record",
    "decode_stored",
    "encode_quarantine",
    "encode_sent_record",
    "encode_stored",
    "record_of",
    "to_sent_record",
]

# SWIM messages are JSON objects, so none begins with this letter.
QUARANTINE_PREFIX = b"Q"
_MAX_FAULT_CHARACTERS = 200


class QuarantineKind(Enum):
    """The steps by which two members with different digests exchange records.

    ``OFFER``: the sender has other records. ``TAKE``: the answer, which asks for all of
    them. ``NEWS``: records, sent on request or because they changed. An answer returns
    the token of the message that it answers, which shows that its sender receives what
    is sent to its address.
    """

    OFFER = "offer"
    TAKE = "take"
    NEWS = "news"


@frozen
class SentStrike:
    """A `Strike` as it is sent; it is from ``age_ms`` ago."""

    endpoint: str
    sign: Sign
    age_ms: float = field(metadata={"key": "age_ms"})


@frozen
class SentRecord:
    """A `SuspectRecord` as it is sent, with ages instead of times.

    ``changed_age_ms`` is None while epoch and trials are 0.
    """

    fingerprint: str
    epoch: int
    trials: int
    strikes: tuple[SentStrike, ...] = ()
    changed_age_ms: float | None = field(
        default=None, metadata={"key": "changed_age_ms"}
    )


@frozen
class QuarantineMessage:
    """One datagram; ``digest`` is that of all of the sender's records.

    An answer returns this message's ``answer_token`` as its own ``token``.
    """

    group: str
    kind: QuarantineKind
    sender: str
    digest: str
    token: int = 0
    answer_token: int = field(default=0, metadata={"key": "answer_token"})
    records: tuple[SentRecord, ...] = ()


@frozen
class UnreadableQuarantine:
    """Data that can't be decoded; ``fault`` names the field and the problem."""

    fault: str


@frozen
class StoredSuspect:
    """A record as it is stored, at ``stored_ms`` by the store's clock."""

    record: SentRecord
    stored_ms: float = field(metadata={"key": "stored_ms"})


_DecodedT = TypeVar("_DecodedT")
_CONVERTER = message_converter(SentStrike, SentRecord, QuarantineMessage, StoredSuspect)


def to_sent_record(record: SuspectRecord, now_ms: float) -> SentRecord:
    """Convert a record to the form in which it is sent or stored now."""
    strikes = tuple(
        SentStrike(strike.endpoint_id, strike.sign, _age_ms(strike.at_ms, now_ms))
        for strike in record.strikes
    )
    changed = record.epoch or record.trials
    age_ms = _age_ms(record.changed_ms, now_ms) if changed else None
    return SentRecord(record.fingerprint, record.epoch, record.trials, strikes, age_ms)


def _age_ms(time_ms: float, now_ms: float) -> float:
    return max(0.0, round(now_ms - time_ms, 1))


def record_of(sent: SentRecord, now_ms: float) -> SuspectRecord:
    """Convert a record that was received now from the form in which it was sent."""
    record = SuspectRecord(sent.fingerprint, sent.epoch, sent.trials)
    if sent.changed_age_ms is not None:
        changed_ms = now_ms - max(0.0, sent.changed_age_ms)
        record = attrs.evolve(record, changed_ms=changed_ms)
    for strike in sent.strikes:
        at_ms = now_ms - max(0.0, strike.age_ms)
        record = record.with_strike(Strike(strike.endpoint, strike.sign, at_ms))
    return record


def encode_stored(kept: StoredSuspect) -> bytes:
    """Encode a record for the store."""
    return orjson.dumps(attrs.asdict(kept, value_serializer=_plain))


def decode_stored(data: bytes) -> StoredSuspect | UnreadableQuarantine:
    """Decode a stored record."""
    kept = _decode(data, StoredSuspect, whole="row")
    if isinstance(kept, UnreadableQuarantine):
        return kept
    return _validated(kept, (kept.record,))


def encode_sent_record(sent: SentRecord) -> bytes:
    """Encode a single record, for members that are connected by gRPC."""
    return orjson.dumps(attrs.asdict(sent, value_serializer=_plain))


def decode_sent_record(data: bytes) -> SentRecord | UnreadableQuarantine:
    """Decode a single record."""
    sent = _decode(data, SentRecord, whole="record")
    if isinstance(sent, UnreadableQuarantine):
        return sent
    return _validated(sent, (sent,))


def _decode(
    data: bytes, kind: type[_DecodedT], whole: str
) -> _DecodedT | UnreadableQuarantine:
    try:
        return _CONVERTER.structure(orjson.loads(data), kind)
    except Exception as failure:  # invalid data from the store or a peer must not raise
        faults = "; ".join(faults_of(failure, whole=whole))
        return UnreadableQuarantine(faults[:_MAX_FAULT_CHARACTERS])


def encode_quarantine(message: QuarantineMessage) -> bytes:
    """Encode a message as a datagram."""
    return QUARANTINE_PREFIX + orjson.dumps(
        attrs.asdict(message, value_serializer=_plain)
    )


def _plain(_owner: object, _field: object, value: object) -> object:
    return value.value if isinstance(value, Enum) else value


def decode_quarantine(data: bytes) -> QuarantineMessage | UnreadableQuarantine:
    """Decode a datagram that begins with `QUARANTINE_PREFIX`."""
    if len(data) > MAX_MESSAGE_BYTES:
        return UnreadableQuarantine(
            f"got {len(data)} bytes, expected at most {MAX_MESSAGE_BYTES}"
        )
    message = _decode(
        data.removeprefix(QUARANTINE_PREFIX), QuarantineMessage, whole="message"
    )
    if isinstance(message, UnreadableQuarantine):
        return message
    return _validated(message, message.records)


def _validated(
    decoded: _DecodedT, records: tuple[SentRecord, ...]
) -> _DecodedT | UnreadableQuarantine:
    """Return ``decoded`` if each of its records is valid."""
    fault = next((f for f in map(_record_fault, records) if f), "")
    return UnreadableQuarantine(fault) if fault else decoded


def _record_fault(record: SentRecord) -> str:
    """What is wrong with a received record; empty if it is valid."""
    names = [record.fingerprint, *(strike.endpoint for strike in record.strikes)]
    longest = max(map(len, names))
    if longest > MAX_NAME_CHARACTERS or not all(names):
        return (
            f"records: got a name of {longest}, expected 1 to "
            f"{MAX_NAME_CHARACTERS} characters"
        )
    if min(record.epoch, record.trials) < 0:
        return (
            f"records: got epoch {record.epoch} and {record.trials} trials, "
            "expected none below 0"
        )
    return ""

"""The datagrams that members of a group send each other, and their encoding.

Owns the format: JSON of bounded size, with each field checked when it is decoded.
Relies on `coursekeel.strict` and orjson; uses no sockets.
"""

from enum import Enum
from typing import Any

import attrs
import orjson
from attrs import field, frozen

from coursekeel.strict import faults_of, message_converter

__all__ = [
    "MAX_MESSAGE_BYTES",
    "MemberState",
    "MessageKind",
    "News",
    "ProofHint",
    "SwimMessage",
    "UnreadableMessage",
    "decode_message",
    "encode_message",
]

# Below the payload of one Ethernet frame, so that no datagram is fragmented.
MAX_MESSAGE_BYTES = 1_400

_MAX_FAULT_CHARACTERS = 200


class MemberState(Enum):
    """A member's state; of the same incarnation the one further down wins."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"
    LEFT = "left"


class MessageKind(Enum):
    """The kind of a message.

    ``PING`` requests an ``ACK``; ``PROBE`` requests that the receiver ping the target
    for the sender. ``JOIN`` requests the list of members, which comes in one or more
    ``WELCOME``; its target is a digest of the sender's members. A ``JOIN`` without a
    valid token gets an ``ECHO``, whose number is the token for the next one.
    """

    PING = "ping"
    ACK = "ack"
    PROBE = "probe"
    JOIN = "join"
    ECHO = "echo"
    WELCOME = "welcome"


@frozen
class News:
    """An update about one member. ``address`` is host and port."""

    address: str
    zone: str
    incarnation: int
    state: MemberState


@frozen
class ProofHint:
    """The member whose copy of a table has the latest confirmation by the store.

    ``stamp`` is that member's identifier of the confirmation, ``age_ms`` the age of the
    confirmation when the message was sent.
    """

    table: str
    address: str
    stamp: int
    age_ms: float = field(metadata={"key": "age_ms"})


@frozen
class SwimMessage:
    """One datagram.

    ``group`` names the deployment, so that messages of another one can be recognized.
    ``number`` matches a reply to its request, or is a token (`AddressTokens`).
    ``target`` is the member to ping, or a digest of members (see `MessageKind`).
    ``suspects`` is a digest of the requests that the sender suspects of crashing
    endpoints, empty if the sender gives none.
    """

    group: str
    kind: MessageKind
    sender: str
    zone: str
    incarnation: int
    number: int = 0
    target: str = ""
    news: tuple[News, ...] = ()
    hints: tuple[ProofHint, ...] = ()
    suspects: str = ""


@frozen
class UnreadableMessage:
    """A datagram that is no valid message; ``fault`` names the field and the error."""

    fault: str


_CONVERTER = message_converter(News, ProofHint, SwimMessage)


def encode_message(message: SwimMessage) -> bytes:
    """Encode a message as a datagram."""
    return orjson.dumps(attrs.asdict(message, value_serializer=_plain))


def decode_message(data: bytes) -> SwimMessage | UnreadableMessage:
    """Decode a datagram; an invalid one is returned as `UnreadableMessage`."""
    if len(data) > MAX_MESSAGE_BYTES:
        return UnreadableMessage(
            f"got {len(data)} bytes, expected at most {MAX_MESSAGE_BYTES}"
        )
    try:
        return _CONVERTER.structure(orjson.loads(data), SwimMessage)
    except Exception as failure:  # any input must give a value
        faults = "; ".join(faults_of(failure, whole="message"))
        return UnreadableMessage(faults[:_MAX_FAULT_CHARACTERS])


def _plain(_owner: Any, _field: Any, value: Any) -> Any:
    return value.value if isinstance(value, Enum) else value

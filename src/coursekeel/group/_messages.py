"""What members of a group tell each other in datagrams, and how it is written.

Owns the messages' form: JSON, bounded in size, each field checked where it is decoded.
Relies on `coursekeel.strict` and orjson; knows nothing of sockets.
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

# Below the payload of one Ethernet frame, so that no datagram is split.
MAX_MESSAGE_BYTES = 1_400

# Enough of a fault for a log line.
_MAX_FAULT_CHARACTERS = 200


class MemberState(Enum):
    """What is said of a member; of the same incarnation the later of these counts."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"
    LEFT = "left"


class MessageKind(Enum):
    """What a message asks or answers.

    ``PROBE`` asks a member to ping the target in the sender's place; ``JOIN`` asks for
    everybody, whom one or more ``WELCOME`` name; its target is a digest of whom the
    sender knows. The first ``JOIN`` gets an ``ECHO``, whose number the next one must
    bring.
    """

    PING = "ping"
    ACK = "ack"
    PROBE = "probe"
    JOIN = "join"
    ECHO = "echo"
    WELCOME = "welcome"


@frozen
class News:
    """What is said of one member. ``address`` is host and port."""

    address: str
    zone: str
    incarnation: int
    state: MemberState


@frozen
class ProofHint:
    """Whose proof of a table is the freshest that the sender has heard of.

    ``stamp`` is the prover's own name for that proof.
    """

    table: str
    address: str
    stamp: int
    age_ms: float = field(metadata={"key": "age_ms"})


@frozen
class SwimMessage:
    """One datagram. ``number`` ties an answer to its question; ``target`` is a probe's.

    ``suspects`` is a digest of the requests that the sender suspects of ending
    endpoints; empty from one that doesn't say.

    ``group`` names the deployment, so that a stray member of another one is told apart.
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
    """A datagram that is no message; ``fault`` names the field and what was wrong."""

    fault: str


_CONVERTER = message_converter(News, ProofHint, SwimMessage)


def encode_message(message: SwimMessage) -> bytes:
    """The datagram of a message."""
    return orjson.dumps(attrs.asdict(message, value_serializer=_plain))


def decode_message(data: bytes) -> SwimMessage | UnreadableMessage:
    """Read a datagram."""
    if len(data) > MAX_MESSAGE_BYTES:
        return UnreadableMessage(
            f"got {len(data)} bytes, expected at most {MAX_MESSAGE_BYTES}"
        )
    try:
        return _CONVERTER.structure(orjson.loads(data), SwimMessage)
    except Exception as failure:  # whatever a stranger sends is a value here
        faults = "; ".join(faults_of(failure, whole="message"))
        return UnreadableMessage(faults[:_MAX_FAULT_CHARACTERS])


def _plain(_owner: Any, _field: Any, value: Any) -> Any:
    return value.value if isinstance(value, Enum) else value

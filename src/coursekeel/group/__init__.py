"""The group of instances: membership by SWIM, over datagrams."""

from coursekeel.group._members import MemberEvent, MemberEventKind
from coursekeel.group._messages import (
    MAX_MESSAGE_BYTES,
    MemberState,
    MessageKind,
    News,
    ProofHint,
    SwimMessage,
    UnreadableMessage,
    decode_message,
    encode_message,
)
from coursekeel.group._swim import Outgoing, Swim, SwimTimers
from coursekeel.group._tokens import AddressTokens

__all__ = [
    "MAX_MESSAGE_BYTES",
    "AddressTokens",
    "MemberEvent",
    "MemberEventKind",
    "MemberState",
    "MessageKind",
    "News",
    "Outgoing",
    "ProofHint",
    "Swim",
    "SwimMessage",
    "SwimTimers",
    "UnreadableMessage",
    "decode_message",
    "encode_message",
]

"""Limits that endpoints name on the requests that they take from all instances."""

from coursekeel.limits._book import LimitBook, LimitEvent, LimitEventKind, LimitNews
from coursekeel.limits._words import (
    LimitWord,
    NamedLimit,
    NoLimitNamed,
    UnreadableLimit,
    decode_limit,
)

__all__ = [
    "LimitBook",
    "LimitEvent",
    "LimitEventKind",
    "LimitNews",
    "LimitWord",
    "NamedLimit",
    "NoLimitNamed",
    "UnreadableLimit",
    "decode_limit",
]

"""Limits that endpoints name on the requests that they take from all instances."""

from coursekeel.limits._book import LimitBook, LimitEvent, LimitEventKind, LimitNews
from coursekeel.limits._brittle import BrittleRates
from coursekeel.limits._brittle_pools import BrittlePools
from coursekeel.limits._holders import SETTLING_MS, Holders
from coursekeel.limits._issuer import Issue, PermitIssuer
from coursekeel.limits._messages import (
    LIMIT_PREFIX,
    LimitMessage,
    PermitAnswer,
    PermitQuestion,
    PermitReturned,
    TurnedAway,
    UnreadableLimitMessage,
    decode_limit_message,
    encode_limit_message,
)
from coursekeel.limits._rate import (
    ALLOWED_EXTRA,
    ALLOWED_FACTOR,
    PERMIT_VALID_S,
    TRIAL_PER_S,
    WINDOW_S,
    holder_rate_per_s,
)
from coursekeel.limits._send_limits import SendLimits
from coursekeel.limits._stock import PermitStock
from coursekeel.limits._words import (
    LimitWord,
    NamedLimit,
    NoLimitNamed,
    UnreadableLimit,
    decode_brittle,
    decode_limit,
)

__all__ = [
    "ALLOWED_EXTRA",
    "ALLOWED_FACTOR",
    "LIMIT_PREFIX",
    "PERMIT_VALID_S",
    "SETTLING_MS",
    "TRIAL_PER_S",
    "WINDOW_S",
    "BrittlePools",
    "BrittleRates",
    "Holders",
    "Issue",
    "LimitBook",
    "LimitEvent",
    "LimitEventKind",
    "LimitMessage",
    "LimitNews",
    "LimitWord",
    "NamedLimit",
    "NoLimitNamed",
    "PermitAnswer",
    "PermitIssuer",
    "PermitQuestion",
    "PermitReturned",
    "PermitStock",
    "SendLimits",
    "TurnedAway",
    "UnreadableLimit",
    "UnreadableLimitMessage",
    "decode_brittle",
    "decode_limit",
    "decode_limit_message",
    "encode_limit_message",
    "holder_rate_per_s",
]

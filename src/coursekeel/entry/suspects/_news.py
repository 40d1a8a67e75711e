"""What entries tell each other of suspect requests, to and from the wire.

Owns nothing. A peer's word is checked where it is decoded: what can't be read is told
to the log and left out.
"""

import logging
from collections.abc import Iterable

from coursekeel.observe import log_event
from coursekeel.peers import peer_pb2
from coursekeel.quarantine import (
    SuspectRecord,
    UnreadableQuarantine,
    decode_told,
    encode_told,
    record_of,
    told_of,
)

__all__ = ["news_of", "records_of"]


def news_of(
    records: Iterable[SuspectRecord], now_ms: float, wants_all: bool = False
) -> peer_pb2.SuspectNews:
    """The message that tells of these records now."""
    told = [encode_told(told_of(each, now_ms)) for each in records]
    return peer_pb2.SuspectNews(records=told, wants_all=wants_all)


def records_of(news: peer_pb2.SuspectNews, now_ms: float) -> list[SuspectRecord]:
    """What a message that came now tells."""
    found = []
    for each in news.records:
        told = decode_told(each)
        if isinstance(told, UnreadableQuarantine):
            log_event("suspect_unreadable", logging.WARNING, fault=told.fault)
        else:
            found.append(record_of(told, now_ms))
    return found

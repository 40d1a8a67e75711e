"""Spreads the records of suspect requests among the members of a group.

Rule: a member sends its own updates to all others at once, and each member that learns
something new from one forwards it to a few others at random, so that a lost datagram is
made up for. Each SWIM message carries a digest of its sender's records. A member that
receives a different digest offers its records, and sends all of them if the other asks
for them with the offer's token (`AddressTokens`). A member that was partitioned, paused
or restarted is therefore in sync after a ping or two.

Owns the times at which all records were sent to each member. All times are in ms.
Does no I/O: messages are returned to the caller, which sends them.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from random import Random

from attrs import define, evolve, field, frozen

from coursekeel.group import MAX_MESSAGE_BYTES, AddressTokens
from coursekeel.quarantine._messages import (
    QuarantineKind,
    QuarantineMessage,
    SentRecord,
    encode_quarantine,
    record_of,
    to_sent_record,
)
from coursekeel.quarantine._quarantine import Quarantine
from coursekeel.quarantine._record import SuspectRecord

__all__ = ["QuarantineGossip", "QuarantineOutgoing"]

# Members to which news is forwarded. With three, news that half of all members have
# misses any other one with a probability of e^-1.5, and after the next round e^-3.
_FORWARD_FANOUT = 3
# Several pings from one member may arrive before it has answered the first offer.
_MIN_FULL_SEND_INTERVAL_MS = 300.0
_MAX_RECORDS_PER_DATAGRAM = 12


@frozen
class QuarantineOutgoing:
    """A message to be sent to an address."""

    address: str
    message: QuarantineMessage


@define(eq=False)
class QuarantineGossip:
    """One member's gossip of suspect requests.

    ``own`` is its address; ``others`` returns the addresses of all other members that
    may serve, those that are leaving included: they still send requests.
    """

    own: str
    group: str
    quarantine: Quarantine
    random: Random
    others: Callable[[], list[str]]
    _tokens: AddressTokens = field(init=False)
    _full_send_ms: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        secret = self.random.randbytes(AddressTokens.SECRET_BYTES)
        self._tokens = AddressTokens(secret)

    def learned(
        self, records: list[SuspectRecord], now_ms: float
    ) -> list[QuarantineOutgoing]:
        """Send records that this member itself changed to all others."""
        sent_records = [to_sent_record(record, now_ms) for record in records]
        return list(self._send(self.others(), sent_records))

    def receive_digest(self, sender: str, digest: str) -> list[QuarantineOutgoing]:
        """Offer the records to a sender whose digest differs and isn't empty."""
        if not digest or digest == self.quarantine.digest:
            return []
        offer = self._message(
            QuarantineKind.OFFER, answer_token=self._tokens.of(sender)
        )
        return [QuarantineOutgoing(sender, offer)]

    def received(
        self, message: QuarantineMessage, now_ms: float
    ) -> list[QuarantineOutgoing]:
        """Handle a message of this group; ``message.sender`` may be forged."""
        match message.kind:
            case QuarantineKind.OFFER if message.digest != self.quarantine.digest:
                return [self._request_records(message)]
            case QuarantineKind.TAKE if self._has_own_token(message):
                return self._send_all(message, now_ms)
            case QuarantineKind.NEWS if self._is_trusted(message):
                return self._merge_news(message, now_ms)
            case _:
                return []

    def _has_own_token(self, message: QuarantineMessage) -> bool:
        """Say whether the sender received a message at the address that it gives."""
        return message.token == self._tokens.of(message.sender)

    def _is_trusted(self, message: QuarantineMessage) -> bool:
        """News of unknown senders is ignored, unless it answers this member's request.

        After a partition the sender may not be a member again for some more pings.
        """
        return self._has_own_token(message) or message.sender in self.others()

    def _request_records(self, offer: QuarantineMessage) -> QuarantineOutgoing:
        own_token = self._tokens.of(offer.sender)
        request = self._message(QuarantineKind.TAKE, offer.answer_token, own_token)
        return QuarantineOutgoing(offer.sender, request)

    def _send_all(
        self, request: QuarantineMessage, now_ms: float
    ) -> list[QuarantineOutgoing]:
        receiver = request.sender
        if (
            now_ms - self._full_send_ms.get(receiver, -math.inf)
            < _MIN_FULL_SEND_INTERVAL_MS
        ):
            return []
        current = {*self.others(), receiver}
        self._full_send_ms = {
            address: sent_ms
            for address, sent_ms in self._full_send_ms.items()
            if address in current
        }
        self._full_send_ms[receiver] = now_ms
        records = [
            to_sent_record(record, now_ms) for record in self.quarantine.known(now_ms)
        ]
        return list(self._send([receiver], records, request.answer_token))

    def _merge_news(
        self, message: QuarantineMessage, now_ms: float
    ) -> list[QuarantineOutgoing]:
        """Merge the records, and forward those that changed something here."""
        merge = self.quarantine.merge
        changed = [
            record
            for record in message.records
            if merge(record_of(record, now_ms), now_ms)
        ]
        others = [address for address in self.others() if address != message.sender]
        receivers = self.random.sample(others, min(_FORWARD_FANOUT, len(others)))
        return list(self._send(receivers, changed))

    def _send(
        self, addresses: Iterable[str], records: list[SentRecord], token: int = 0
    ) -> Iterator[QuarantineOutgoing]:
        messages = list(self._news_messages(records, token))
        for address in addresses:
            for message in messages:
                yield QuarantineOutgoing(address, message)

    def _news_messages(
        self, records: list[SentRecord], token: int
    ) -> Iterator[QuarantineMessage]:
        """Put as many records into each datagram as fit, and at least one."""
        news = self._message(QuarantineKind.NEWS, token)
        start = 0
        while start < len(records):
            batch = records[start : start + _MAX_RECORDS_PER_DATAGRAM]
            while len(batch) > 1 and _size_bytes(news, batch) > MAX_MESSAGE_BYTES:
                batch = batch[:-1]
            yield evolve(news, records=tuple(batch))
            start += len(batch)

    def _message(
        self, kind: QuarantineKind, token: int = 0, answer_token: int = 0
    ) -> QuarantineMessage:
        digest = self.quarantine.digest
        return QuarantineMessage(
            self.group, kind, self.own, digest, token, answer_token
        )


def _size_bytes(news: QuarantineMessage, records: list[SentRecord]) -> int:
    return len(encode_quarantine(evolve(news, records=tuple(records))))

"""How members tell each other of suspect requests, and by when all know.

Rule: what a member learns by itself it tells all others at once, and each that learns
something passes it on to a few by lot, so that a lost datagram costs nothing. Every
message of SWIM's carries a digest; whoever hears another one than its own offers what
it knows to the sender, and sends it once the sender asks (`AddressTokens`). So one that
was cut off, frozen or has just begun has everything a ping or two after it is back.

Owns when each member was sent everything. A core: each moment is given, in ms, and
messages are values.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from random import Random

from attrs import define, evolve, field, frozen

from coursekeel.group import MAX_MESSAGE_BYTES, AddressTokens
from coursekeel.quarantine._messages import (
    QuarantineKind,
    QuarantineMessage,
    ToldRecord,
    encode_quarantine,
    record_of,
    told_of,
)
from coursekeel.quarantine._quarantine import Quarantine
from coursekeel.quarantine._record import SuspectRecord

__all__ = ["QuarantineGossip", "QuarantineOutgoing"]

# Whom each that learns something tells. With three of n, word that reached half of all
# members misses one of the others with odds of e^-1.5, and the next round e^-3.
_FANOUT = 3
# A member is sent everything at most once in so long: two that hear of each other by
# several pings at once need it once.
_SENT_LATELY_MS = 300.0
# No datagram bears more records than this: one with one endpoint has 110 bytes.
_MOST_RECORDS = 12


@frozen
class QuarantineOutgoing:
    """A message and where it goes."""

    address: str
    message: QuarantineMessage


@define(eq=False)
class QuarantineGossip:
    """One member's words; ``others`` gives the addresses of those that may serve.

    One that stops serves on for some seconds, so it must be heard and told as before.
    """

    own: str
    group: str
    quarantine: Quarantine
    random: Random
    others: Callable[[], list[str]]
    _tokens: AddressTokens = field(init=False)
    _sent_ms: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        secret = self.random.randbytes(AddressTokens.SECRET_BYTES)
        self._tokens = AddressTokens(secret)

    def learned(
        self, records: list[SuspectRecord], now_ms: float
    ) -> list[QuarantineOutgoing]:
        """This member learned something by itself: all others are told at once."""
        told = [told_of(each, now_ms) for each in records]
        return list(self._tell(self.others(), told))

    def heard_digest(self, sender: str, digest: str) -> list[QuarantineOutgoing]:
        """A member's message told what it knows; an empty digest tells nothing."""
        if not digest or digest == self.quarantine.digest:
            return []
        offer = self._message(
            QuarantineKind.OFFER, answer_token=self._tokens.of(sender)
        )
        return [QuarantineOutgoing(sender, offer)]

    def received(
        self, message: QuarantineMessage, now_ms: float
    ) -> list[QuarantineOutgoing]:
        """Take a message of this group from the address that it names."""
        match message.kind:
            case QuarantineKind.OFFER if message.digest != self.quarantine.digest:
                return [self._take(message)]
            case QuarantineKind.TAKE if self._is_answer(message):
                return self._everything(message, now_ms)
            case QuarantineKind.NEWS if self._is_believed(message):
                return self._news(message, now_ms)
            case _:
                return []

    def _is_answer(self, message: QuarantineMessage) -> bool:
        """Say whether the sender gets what is sent to the address that it names."""
        return message.token == self._tokens.of(message.sender)

    def _is_believed(self, message: QuarantineMessage) -> bool:
        """A stranger's word counts for nothing.

        After a cut a member that was lost is asked before it counts as one again, which
        takes some pings more.
        """
        return self._is_answer(message) or message.sender in self.others()

    def _take(self, offer: QuarantineMessage) -> QuarantineOutgoing:
        own_token = self._tokens.of(offer.sender)
        take = self._message(QuarantineKind.TAKE, offer.answer_token, own_token)
        return QuarantineOutgoing(offer.sender, take)

    def _everything(
        self, take: QuarantineMessage, now_ms: float
    ) -> list[QuarantineOutgoing]:
        asker = take.sender
        if now_ms - self._sent_ms.get(asker, -math.inf) < _SENT_LATELY_MS:
            return []
        there = {*self.others(), asker}
        self._sent_ms = {a: at for a, at in self._sent_ms.items() if a in there}
        self._sent_ms[asker] = now_ms
        told = [told_of(each, now_ms) for each in self.quarantine.known(now_ms)]
        return list(self._tell([asker], told, take.answer_token))

    def _news(
        self, message: QuarantineMessage, now_ms: float
    ) -> list[QuarantineOutgoing]:
        merge = self.quarantine.merge
        told = [
            each for each in message.records if merge(record_of(each, now_ms), now_ms)
        ]
        others = [each for each in self.others() if each != message.sender]
        some = self.random.sample(others, min(_FANOUT, len(others)))
        return list(self._tell(some, told))

    def _tell(
        self, addresses: Iterable[str], told: list[ToldRecord], token: int = 0
    ) -> Iterator[QuarantineOutgoing]:
        messages = list(self._messages(told, token))
        for address in addresses:
            for message in messages:
                yield QuarantineOutgoing(address, message)

    def _messages(
        self, told: list[ToldRecord], token: int
    ) -> Iterator[QuarantineMessage]:
        """As many records to a datagram as it bears, and at least one."""
        news = self._message(QuarantineKind.NEWS, token)
        at = 0
        while at < len(told):
            some = told[at : at + _MOST_RECORDS]
            while len(some) > 1 and _bytes_of(news, some) > MAX_MESSAGE_BYTES:
                some = some[:-1]
            yield evolve(news, records=tuple(some))
            at += len(some)

    def _message(
        self, kind: QuarantineKind, token: int = 0, answer_token: int = 0
    ) -> QuarantineMessage:
        digest = self.quarantine.digest
        return QuarantineMessage(
            self.group, kind, self.own, digest, token, answer_token
        )


def _bytes_of(news: QuarantineMessage, records: list[ToldRecord]) -> int:
    return len(encode_quarantine(evolve(news, records=tuple(records))))

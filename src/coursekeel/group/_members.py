"""The members that are known, and the news of them that is passed on.

Rule: what is said of a member counts by its incarnation, which only the member itself
raises, and of the same incarnation the worse word counts. Each change is told a bounded
number of times, so that what a member sends doesn't grow with the group.

Owns the members, the news still to be told and the events for the log. A core: each
moment is given, in ms.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from enum import Enum

import xxhash
from attrs import define, field, frozen

from coursekeel.group._messages import MemberState, News

__all__ = ["NEWS_A_MESSAGE", "MemberEvent", "MemberEventKind", "Members"]

# News in one message: with the longest addresses and zones it stays below
# `MAX_MESSAGE_BYTES`.
NEWS_A_MESSAGE = 8
# How often each word is told, in logarithms of the group's size (SWIM's lambda).
_TOLD_FACTOR = 3
# A stranger can't make a member hold more than this; docs/CAPACITY.md plans for 380.
_MAX_MEMBERS = 1_000
_MAX_PORT = 65_535  # RFC 9293

_RANKS = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.GONE: 2,
    MemberState.LEFT: 3,
}


class MemberEventKind(Enum):
    """What became of a member, as this one sees it."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    RETURNED = "returned"
    LOST = "lost"
    LEFT = "left"


@frozen
class MemberEvent:
    """Something for the log."""

    kind: MemberEventKind
    address: str


_EVENTS = {
    MemberState.ALIVE: MemberEventKind.RETURNED,
    MemberState.SUSPECT: MemberEventKind.SUSPECTED,
    MemberState.GONE: MemberEventKind.LOST,
    MemberState.LEFT: MemberEventKind.LEFT,
}


@define
class _Member:
    zone: str
    incarnation: int
    state: MemberState
    since_ms: float

    @property
    def counts(self) -> bool:
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


@define(eq=False)
class Members:
    """All others that are known; this member itself isn't among them.

    ``joined`` is called with the address of one that wasn't known before, and ``lost``
    with one that is gone or has left.
    """

    joined: Callable[[str], None]
    lost: Callable[[str], None]
    events: list[MemberEvent] = field(factory=list)
    _members: dict[str, _Member] = field(factory=dict)
    _to_tell: dict[str, int] = field(factory=dict)

    def __contains__(self, address: str) -> bool:
        return address in self._members

    def alive(self, zone: str | None = None) -> list[str]:
        """The addresses of those that nothing speaks against."""
        return [
            address
            for address, each in self._members.items()
            if each.state is MemberState.ALIVE and zone in (None, each.zone)
        ]

    def counted(self) -> list[str]:
        """The addresses of those that are there, suspects included."""
        return [address for address, each in self._members.items() if each.counts]

    def serving(self) -> list[str]:
        """The addresses of those that may serve: who left may for some seconds more."""
        left = MemberState.LEFT
        members = self._members.items()
        return [a for a, each in members if each.counts or each.state is left]

    def gone(self) -> list[str]:
        """The addresses of those that were lost without a word."""
        gone = MemberState.GONE
        return [a for a, each in self._members.items() if each.state is gone]

    def counts(self, address: str) -> bool:
        """Say whether the member is there, suspect or not."""
        member = self._members.get(address)
        return member is not None and member.counts

    @property
    def known(self) -> int:
        """How many there are or were lately; those that left told so themselves."""
        left = MemberState.LEFT
        return sum(each.state is not left for each in self._members.values())

    def zones(self) -> set[str]:
        """The availability zones of those that are there."""
        return {each.zone for each in self._members.values() if each.counts}

    # What is said of members.

    def take(self, news: News, now_ms: float) -> bool:
        """Take a word on a member; False if something newer is known."""
        known = self._members.get(news.address)
        if known is None:
            self._take_unknown(news, now_ms)
            return True
        newer = (news.incarnation, _RANKS[news.state])
        older = (known.incarnation, _RANKS[known.state])
        if newer <= older:
            return newer == older
        known.zone, known.incarnation = news.zone, news.incarnation
        self._change(news.address, known, news.state, now_ms)
        return True

    def _take_unknown(self, news: News, now_ms: float) -> None:
        if news.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            return
        if len(self._members) >= _MAX_MEMBERS or not _is_address(news.address):
            return
        member = _Member(news.zone, news.incarnation, news.state, now_ms)
        self._members[news.address] = member
        self.joined(news.address)
        self._spread(news.address)
        self.events.append(MemberEvent(MemberEventKind.JOINED, news.address))

    def suspect(self, address: str, now_ms: float) -> None:
        """The member didn't answer, not even through others."""
        member = self._members.get(address)
        if member is not None and member.state is MemberState.ALIVE:
            self._change(address, member, MemberState.SUSPECT, now_ms)

    def judge_suspects(
        self, now_ms: float, suspicion_ms: float, forgotten_ms: float
    ) -> None:
        """Suspects that don't contradict in time are gone, and forgotten later."""
        for address, member in list(self._members.items()):
            since_ms = now_ms - member.since_ms
            if member.state is MemberState.SUSPECT:
                if since_ms >= suspicion_ms:
                    self._change(address, member, MemberState.GONE, now_ms)
            elif not member.counts and since_ms >= forgotten_ms:
                del self._members[address]

    def _change(
        self, address: str, member: _Member, state: MemberState, now_ms: float
    ) -> None:
        before, member.state, member.since_ms = member.state, state, now_ms
        self._spread(address)
        if state is not MemberState.ALIVE or before is not MemberState.ALIVE:
            self.events.append(MemberEvent(_EVENTS[state], address))
        if state in (MemberState.GONE, MemberState.LEFT):
            self.lost(address)

    # What is told of them.

    def _spread(self, address: str) -> None:
        size = len(self._members) + 1
        self._to_tell[address] = _TOLD_FACTOR * math.ceil(math.log2(size + 1))

    def tell_again(self, address: str) -> None:
        """Someone says of itself what was contradicted: it must hear of that."""
        self._to_tell[address] = max(self._to_tell.get(address, 0), 1)

    def latest(self, first: str) -> tuple[News, ...]:
        """The news told least often so far; what concerns ``first`` before all."""
        wanted = sorted(
            self._to_tell, key=lambda each: (each != first, -self._to_tell[each])
        )[:NEWS_A_MESSAGE]
        for address in wanted:
            self._to_tell[address] -= 1
            if self._to_tell[address] <= 0:
                del self._to_tell[address]
        return tuple(self._news_of(wanted))

    def digest(self, own: str, incarnation: int) -> str:
        """The same at all that know the same members by the same incarnations."""
        known = [f"{own}/{incarnation}"]
        known += [f"{a}/{m.incarnation}" for a, m in self._members.items() if m.counts]
        return xxhash.xxh64_hexdigest(",".join(sorted(known)).encode())

    def everybody(self, asker: str) -> list[News]:
        """All that are there, and what is said of the asker itself."""
        there = (a for a, each in self._members.items() if each.counts or a == asker)
        return list(self._news_of(there))

    def _news_of(self, addresses: Iterable[str]) -> Iterator[News]:
        for address in addresses:
            member = self._members.get(address)
            if member is not None:
                yield News(address, member.zone, member.incarnation, member.state)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and int(port) <= _MAX_PORT

"""The state of the other members, and the updates about them that are still to be sent.

Rule: an update with a higher incarnation wins, and only the member itself raises its
incarnation. Of the same incarnation the worse state wins. Each update is sent a number
of times that grows with the logarithm of the group's size, so that messages stay small.

Owns the members, the updates to be sent and the events for the log. A core: the caller
passes each time, in ms.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from enum import Enum

import xxhash
from attrs import define, field, frozen

from coursekeel.addresses import parse_address
from coursekeel.group._messages import MemberState, News

__all__ = ["MAX_UPDATES_PER_MESSAGE", "MemberEvent", "MemberEventKind", "Members"]

# With the longest addresses and zones a message of these stays below
# `MAX_MESSAGE_BYTES`.
MAX_UPDATES_PER_MESSAGE = 8
# Sends of each update, per logarithm of the group's size (SWIM's lambda).
_RETRANSMIT_FACTOR = 3
# Limits the memory that updates of an unknown sender can use; docs/CAPACITY.md plans
# for 380 members.
_MAX_MEMBERS = 1_000

_STATE_RANKS = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.GONE: 2,
    MemberState.LEFT: 3,
}


class MemberEventKind(Enum):
    """How a member's state changed in this member's view."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    RETURNED = "returned"
    LOST = "lost"
    LEFT = "left"


@frozen
class MemberEvent:
    """A change of a member's state, for the log."""

    kind: MemberEventKind
    address: str


_EVENT_KINDS = {
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
    """The other members by address; this member itself is not among them.

    ``joined`` is called with the address of each new member, and ``lost`` with that of
    each member that is gone or has left. A member is present while it is alive or
    suspect.
    """

    joined: Callable[[str], None]
    lost: Callable[[str], None]
    events: list[MemberEvent] = field(factory=list)
    _members: dict[str, _Member] = field(factory=dict)
    _sends_left: dict[str, int] = field(factory=dict)

    def __contains__(self, address: str) -> bool:
        return address in self._members

    def alive(self, zone: str | None = None) -> list[str]:
        """The addresses of members that are not suspected, of one zone or of all."""
        return [
            address
            for address, member in self._members.items()
            if member.state is MemberState.ALIVE and zone in (None, member.zone)
        ]

    def present(self) -> list[str]:
        """The addresses of the present members, suspects included."""
        return [a for a, member in self._members.items() if member.counts]

    def serving(self) -> list[str]:
        """The addresses of members that may serve: one that left drains for seconds."""
        left = MemberState.LEFT
        members = self._members.items()
        return [a for a, member in members if member.counts or member.state is left]

    def gone(self) -> list[str]:
        """The addresses of members that were lost without leaving."""
        gone = MemberState.GONE
        return [a for a, member in self._members.items() if member.state is gone]

    def is_present(self, address: str) -> bool:
        """Whether the member is alive or suspect."""
        member = self._members.get(address)
        return member is not None and member.counts

    @property
    def known_count(self) -> int:
        """The number of members that are present or were lost, without those that left.

        Lost members count until they are forgotten.
        """
        left = MemberState.LEFT
        return sum(member.state is not left for member in self._members.values())

    def zones(self) -> set[str]:
        """The availability zones of the present members."""
        return {member.zone for member in self._members.values() if member.counts}

    # Updates that were received.

    def apply(self, update: News, now_ms: float) -> bool:
        """Apply an update about a member; False if a newer one was applied before."""
        member = self._members.get(update.address)
        if member is None:
            self._add(update, now_ms)
            return True
        received = (update.incarnation, _STATE_RANKS[update.state])
        current = (member.incarnation, _STATE_RANKS[member.state])
        if received <= current:
            return received == current
        member.zone, member.incarnation = update.zone, update.incarnation
        self._change(update.address, member, update.state, now_ms)
        return True

    def _add(self, update: News, now_ms: float) -> None:
        if update.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            return
        if len(self._members) >= _MAX_MEMBERS or not parse_address(update.address):
            return
        member = _Member(update.zone, update.incarnation, update.state, now_ms)
        self._members[update.address] = member
        self.joined(update.address)
        self._queue_update(update.address)
        self.events.append(MemberEvent(MemberEventKind.JOINED, update.address))

    def suspect(self, address: str, now_ms: float) -> None:
        """Suspect a member that acknowledged neither a direct nor an indirect ping."""
        member = self._members.get(address)
        if member is not None and member.state is MemberState.ALIVE:
            self._change(address, member, MemberState.SUSPECT, now_ms)

    def expire(
        self, now_ms: float, suspicion_timeout_ms: float, forget_after_ms: float
    ) -> None:
        """Mark suspects as gone after their timeout, and later forget absent members.

        Members that left are forgotten too.
        """
        for address, member in list(self._members.items()):
            in_state_ms = now_ms - member.since_ms
            if member.state is MemberState.SUSPECT:
                if in_state_ms >= suspicion_timeout_ms:
                    self._change(address, member, MemberState.GONE, now_ms)
            elif not member.counts and in_state_ms >= forget_after_ms:
                del self._members[address]

    def _change(
        self, address: str, member: _Member, state: MemberState, now_ms: float
    ) -> None:
        before, member.state, member.since_ms = member.state, state, now_ms
        self._queue_update(address)
        if state is not MemberState.ALIVE or before is not MemberState.ALIVE:
            self.events.append(MemberEvent(_EVENT_KINDS[state], address))
        if state in (MemberState.GONE, MemberState.LEFT):
            self.lost(address)

    # Updates to be sent.

    def _queue_update(self, address: str) -> None:
        size = len(self._members) + 1
        self._sends_left[address] = _RETRANSMIT_FACTOR * math.ceil(math.log2(size + 1))

    def resend_update(self, address: str) -> None:
        """Send the update about a member at least once more.

        A member that sent an outdated state of itself must receive the current one.
        """
        self._sends_left[address] = max(self._sends_left.get(address, 0), 1)

    def next_updates(self, first: str) -> tuple[News, ...]:
        """The updates for the next message: about ``first``, then the least sent."""
        addresses = sorted(
            self._sends_left, key=lambda a: (a != first, -self._sends_left[a])
        )[:MAX_UPDATES_PER_MESSAGE]
        for address in addresses:
            self._sends_left[address] -= 1
            if self._sends_left[address] <= 0:
                del self._sends_left[address]
        return tuple(self._updates(addresses))

    def digest(self, own: str, incarnation: int) -> str:
        """A hash of the present members and their incarnations, this member included.

        ``own`` is this member's address.
        """
        present = [f"{own}/{incarnation}"]
        present += [
            f"{a}/{m.incarnation}" for a, m in self._members.items() if m.counts
        ]
        return xxhash.xxh64_hexdigest(",".join(sorted(present)).encode())

    def all_updates(self, requester: str) -> list[News]:
        """Updates about all present members, and about the requester in any state."""
        addresses = (a for a, m in self._members.items() if m.counts or a == requester)
        return list(self._updates(addresses))

    def _updates(self, addresses: Iterable[str]) -> Iterator[News]:
        for address in addresses:
            member = self._members.get(address)
            if member is not None:
                yield News(address, member.zone, member.incarnation, member.state)

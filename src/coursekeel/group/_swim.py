"""Group membership by SWIM: failure detection by pings, which also carry updates.

Rule: each member pings one other per period, in a random order that reaches all. A
member that doesn't acknowledge is pinged through others, then suspected, and gone
unless it refutes the suspicion in time (Das, Gupta, Motivala 2002). A joining member
contacts the seeds. Each member contacts missing seeds and lost members from time to
time, so that the halves of a split group merge again. A request for the list of members
needs a token, since a forged one would multiply traffic to its alleged sender
(`AddressTokens`). After a pause of this process no pings are judged.

Owns this member's incarnation and the schedule of its messages. Relies on `Members` for
the other members, `Pings` for outstanding pings and `Confirmations` for confirmations
of tables. A core: the caller passes each time, in ms of this process's clock, and sends
the messages.
"""

import math
from collections.abc import Callable
from random import Random

import xxhash
from attrs import define, field, frozen

from coursekeel.group._members import MAX_UPDATES_PER_MESSAGE, MemberEvent, Members
from coursekeel.group._messages import (
    MemberState,
    MessageKind,
    News,
    SwimMessage,
)
from coursekeel.group._pings import Ping, Pings
from coursekeel.group._proofs import Confirmations
from coursekeel.group._tokens import AddressTokens

__all__ = ["Outgoing", "Swim", "SwimTimers"]

# Members that are requested to ping one that didn't acknowledge (SWIM's k).
_INDIRECT_PROBES = 2
# Share of a period after which a ping times out: before the next one is sent.
_PING_TIMEOUT_SHARE = 0.9


@frozen
class SwimTimers:
    """Intervals and timeouts of the protocol.

    ``period_ms`` between two pings; ``ack_timeout_ms`` until indirect probes are
    requested; ``suspicion_timeout_ms`` until a suspect is gone; ``contact_interval_ms``
    between two messages to a missing seed or lost member; ``forget_after_ms`` until an
    absent member is forgotten. The list of members is requested again after
    ``first_sync_ms``, then after twice as long each time up to ``max_sync_ms``: when
    all start at once, a seed's first list is short.
    """

    period_ms: float = 1_000.0
    ack_timeout_ms: float = 300.0
    suspicion_timeout_ms: float = 3_000.0
    contact_interval_ms: float = 2_000.0
    first_sync_ms: float = 400.0
    max_sync_ms: float = 60_000.0
    forget_after_ms: float = 60_000.0


@frozen
class Outgoing:
    """A message to be sent, and the address (host and port) of its receiver."""

    address: str
    message: SwimMessage


@define(eq=False)
class Swim:
    """One member's view of the group.

    The caller sends the messages that a method returns at once. ``own`` is this
    member's address, ``seeds`` the addresses that it contacts first.
    ``suspects_digest`` returns the digest of suspected requests
    (`coursekeel.quarantine`) that each message carries.
    """

    own: str
    zone: str
    group: str
    seeds: tuple[str, ...]
    random: Random
    timers: SwimTimers = field(factory=SwimTimers)
    suspects_digest: Callable[[], str] = str
    incarnation: int = 0
    _members: Members = field(init=False)
    _pings: Pings = field(init=False)
    _confirmations: Confirmations = field(factory=Confirmations)
    _last_tick_ms: float = -math.inf
    _next_ping_ms: float = -math.inf
    _next_contact_ms: float = -math.inf
    _next_sync_ms: float = math.inf
    _sync_interval_ms: float = 0.0
    _last_received_ms: float = -math.inf
    _left: bool = False
    _tokens: AddressTokens = field(init=False)

    def __attrs_post_init__(self) -> None:
        secret = self.random.randbytes(AddressTokens.SECRET_BYTES)
        self._tokens = AddressTokens(secret)
        self._pings = Pings(self.random)
        self._members = Members(self._pings.add_target, self._confirmations.forget)

    # The view that callers read.

    @property
    def events(self) -> list[MemberEvent]:
        """Changes of members for the log; the caller that logs them clears the list."""
        return self._members.events

    def alive(self, zone: str | None = None) -> list[str]:
        """The sorted addresses of members not suspected, this member included."""
        addresses = self._members.alive(zone)
        if not self._left and zone in (None, self.zone):
            addresses.append(self.own)
        return sorted(addresses)

    def others(self) -> list[str]:
        """The addresses of the other present members, suspects included."""
        return self._members.present()

    def serving(self) -> list[str]:
        """The addresses of other members that may serve, those that leave included."""
        return self._members.serving()

    def leaving(self) -> list[str]:
        """The addresses of members that said that they leave, and serve for a while."""
        present = set(self._members.present())
        return [each for each in self._members.serving() if each not in present]

    @property
    def known(self) -> int:
        """The number of members that are present or were lost, this member included.

        Lost members count until they are forgotten, so that each half of a split group
        still counts both. Members that left don't count.
        """
        return 1 + self._members.known_count

    def zones(self) -> list[str]:
        """The sorted availability zones that have present members."""
        own = set() if self._left else {self.zone}
        return sorted(own | self._members.zones())

    def store_reader(self, zone: str) -> str:
        """The address of the member that queries the store for a zone; empty if none.

        Members with the same view agree, by hashing instead of an election. With
        different views two members may query, which costs only their queries.
        """
        addresses = self.alive(zone)
        return max(addresses, key=_weight, default="")

    def members_for(self, name: str, count: int = 1) -> list[str]:
        """The addresses of ``count`` members that do the task ``name``, by hashing.

        Members with the same view agree.
        """
        addresses = self.alive()
        return sorted(addresses, key=lambda a: -_weight(f"{name}/{a}"))[:count]

    def reaches_majority(self, now_ms: float) -> bool:
        """Whether this member received a message lately and reaches most members."""
        if now_ms - self._last_received_ms > 2 * self.timers.period_ms:
            return False
        return 2 * len(self.alive()) > self.known

    def record_confirmation(self, table: str, moment_ms: float) -> None:
        """Record that the store confirmed this member's copy of a table.

        ``moment_ms`` is the time of the confirmation; -inf is ignored.
        """
        if math.isfinite(moment_ms):
            self._confirmations.record(table, self.own, int(moment_ms), moment_ms)

    def latest_confirmation(self, table: str) -> tuple[str, float]:
        """The member with the latest confirmation of a table, and about when it was."""
        return self._confirmations.latest_confirmation(table)

    # Timers.

    def tick(self, now_ms: float) -> list[Outgoing]:
        """Do what is due; called several times per period."""
        if self._left:
            return []
        paused = now_ms - self._last_tick_ms > self.timers.period_ms
        self._last_tick_ms = now_ms
        if paused:
            self._pings.clear()
        sent = self._check_pings(now_ms)
        self._members.expire(
            now_ms, self.timers.suspicion_timeout_ms, self.timers.forget_after_ms
        )
        if now_ms >= self._next_ping_ms:
            self._next_ping_ms = now_ms + self.timers.period_ms
            sent += self._ping_next(now_ms)
        if now_ms >= self._next_contact_ms:
            sent += self._contact_missing(now_ms)
        if now_ms >= self._next_sync_ms:
            sent += self._sync_members(now_ms)
        return sent

    def _check_pings(self, now_ms: float) -> list[Outgoing]:
        sent: list[Outgoing] = []
        for number, ping in self._pings.pending():
            waited_ms = now_ms - ping.sent_ms
            if waited_ms >= _PING_TIMEOUT_SHARE * self.timers.period_ms:
                self._pings.discard(number)
                if not ping.requester:
                    self._members.suspect(ping.target, now_ms)
            elif waited_ms >= self.timers.ack_timeout_ms and not (
                ping.indirect or ping.requester
            ):
                ping.indirect = True
                sent += self._request_probes(number, ping.target)
        return sent

    def _request_probes(self, number: int, target: str) -> list[Outgoing]:
        others = [a for a in self.alive() if a not in (self.own, target)]
        helpers = self.random.sample(others, min(_INDIRECT_PROBES, len(others)))
        return [self._outgoing(a, MessageKind.PROBE, number, target) for a in helpers]

    def _ping_next(self, now_ms: float) -> list[Outgoing]:
        target = self._pings.next_target(self._members.present())
        return [self._ping(Ping(target, now_ms))] if target else []

    def _ping(self, ping: Ping) -> Outgoing:
        return self._outgoing(ping.target, MessageKind.PING, self._pings.add(ping))

    def _contact_missing(self, now_ms: float) -> list[Outgoing]:
        """Contact all seeds while alone, else a random missing seed or lost member."""
        alone = not self._members.present()
        wait_ms = self.timers.period_ms if alone else self.timers.contact_interval_ms
        self._next_contact_ms = now_ms + wait_ms * self._jitter()
        seeds = [a for a in self.seeds if a != self.own]
        if alone:
            return [self._request_members(a) for a in seeds]
        missing = [a for a in seeds if a not in self._members]
        choices = self._members.gone() + missing
        if not choices:
            return []
        return [self._request_members(self.random.choice(choices))]

    def _sync_members(self, now_ms: float) -> list[Outgoing]:
        """Request the member list from a seed, later from any member, less and less."""
        others = [a for a in self.alive() if a != self.own]
        early = self._sync_interval_ms < self.timers.suspicion_timeout_ms
        seeds = [a for a in others if a in self.seeds] if early else []
        doubled_ms = 2 * self._sync_interval_ms or self.timers.first_sync_ms
        self._sync_interval_ms = min(doubled_ms, self.timers.max_sync_ms)
        self._next_sync_ms = now_ms + self._sync_interval_ms * self._jitter()
        if not others:
            return []
        return [self._request_members(self.random.choice(seeds or others))]

    def _request_members(
        self, address: str, token: int = AddressTokens.NONE
    ) -> Outgoing:
        return self._outgoing(address, MessageKind.JOIN, token, self._digest())

    def _digest(self) -> str:
        return self._members.digest(self.own, self.incarnation)

    def _jitter(self) -> float:
        """A random factor of a wait, so that members don't all send at once."""
        return 0.75 + self.random.random() / 2

    # Messages.

    def received(self, message: SwimMessage, now_ms: float) -> list[Outgoing]:
        """Process a message and return the replies.

        The caller has dropped messages of other groups.
        """
        if message.sender == self.own or self._left:
            return []
        if message.kind is MessageKind.ECHO:
            return [self._request_members(message.sender, message.number)]
        self._last_received_ms = now_ms
        if math.isinf(self._next_sync_ms):
            self._next_sync_ms = now_ms + self.timers.first_sync_ms / 2
        sender = message.sender
        update = News(sender, message.zone, message.incarnation, MemberState.ALIVE)
        outdated = not self._apply(update, now_ms)
        for received in message.news:
            self._apply(received, now_ms)
        for hint in message.hints:
            if hint.address in self._members:
                confirmed_ms = now_ms - max(hint.age_ms, 0.0)
                self._confirmations.record(
                    hint.table, hint.address, hint.stamp, confirmed_ms
                )
        if outdated:
            # The sender refutes the update by raising its incarnation.
            self._members.resend_update(sender)
        return self._reply(message, now_ms)

    def _apply(self, update: News, now_ms: float) -> bool:
        if update.address != self.own:
            return self._members.apply(update, now_ms)
        self._refute(update)
        return True

    def _refute(self, update: News) -> None:
        """Raise the incarnation above an update of an earlier process or a failure."""
        earlier = update.incarnation > self.incarnation
        failed = update.state is not MemberState.ALIVE
        if earlier or (failed and update.incarnation == self.incarnation):
            self.incarnation = update.incarnation + 1

    def _reply(self, message: SwimMessage, now_ms: float) -> list[Outgoing]:
        sender, number = message.sender, message.number
        match message.kind:
            case MessageKind.PING:
                return [self._outgoing(sender, MessageKind.ACK, number, first=sender)]
            case MessageKind.ACK:
                return self._relay_ack(number, sender)
            case MessageKind.PROBE:
                if message.target not in self._members:
                    return []
                ping = Ping(
                    message.target, now_ms, requester=sender, requester_number=number
                )
                return [self._ping(ping)]
            case MessageKind.JOIN if number == self._tokens.of(sender):
                return self._welcome(sender, message.target)
            case MessageKind.JOIN:
                return [self._token_reply(sender)]
            case MessageKind.WELCOME | MessageKind.ECHO:
                return []

    def _relay_ack(self, number: int, sender: str) -> list[Outgoing]:
        ping = self._pings.acknowledge(number, sender)
        if ping is None or not ping.requester:
            return []
        return [self._outgoing(ping.requester, MessageKind.ACK, ping.requester_number)]

    def _token_reply(self, requester: str) -> Outgoing:
        """An ``ECHO`` with the token alone, no longer than the request."""
        token = self._tokens.of(requester)
        message = SwimMessage(
            self.group, MessageKind.ECHO, self.own, "", self.incarnation, token
        )
        return Outgoing(requester, message)

    def _welcome(self, requester: str, digest: str) -> list[Outgoing]:
        """The list of members, in as many messages as it takes.

        The list is empty if ``digest`` shows that the requester has the same members.
        """
        same = digest == self._digest()
        updates = [] if same else self._members.all_updates(requester)
        chunks = [
            tuple(updates[at : at + MAX_UPDATES_PER_MESSAGE])
            for at in range(0, len(updates), MAX_UPDATES_PER_MESSAGE)
        ]
        return [
            Outgoing(requester, self._message(MessageKind.WELCOME, news=chunk))
            for chunk in chunks or [()]
        ]

    def leave(self) -> list[Outgoing]:
        """Notify some members that this one leaves; it sends nothing afterwards."""
        update = News(self.own, self.zone, self.incarnation, MemberState.LEFT)
        others = [a for a in self.alive() if a != self.own]
        receivers = self.random.sample(others, min(2 * _INDIRECT_PROBES, len(others)))
        message = self._message(MessageKind.WELCOME, news=(update,))
        self._left = True
        return [Outgoing(a, message) for a in receivers]

    def _outgoing(
        self,
        address: str,
        kind: MessageKind,
        number: int = 0,
        target: str = "",
        first: str = "",
    ) -> Outgoing:
        news = self._members.next_updates(first)
        return Outgoing(address, self._message(kind, number, target, news))

    def _message(
        self,
        kind: MessageKind,
        number: int = 0,
        target: str = "",
        news: tuple[News, ...] = (),
    ) -> SwimMessage:
        return SwimMessage(
            self.group,
            kind,
            self.own,
            self.zone,
            self.incarnation,
            number,
            target,
            news,
            self._confirmations.hints(self._last_tick_ms),
            self.suspects_digest(),
        )


def _weight(address: str) -> int:
    return xxhash.xxh64_intdigest(address.encode())

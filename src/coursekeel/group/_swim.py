"""Who is in the group: members ping each other, and news travels with the pings.

Rule: each member pings one other a period, in an order by lot that reaches all. One
that doesn't answer is pinged through others, then suspected, and gone if it doesn't
contradict in time. The ideas are SWIM's (Das, Gupta, Motivala 2002). A member that
joins asks the seeds; each member asks a seed or a lost member now and then, so that
halves find each other again. Who asks for everybody must show first that it gets what
is sent to it, or a stranger could make members send a hundred times as much to whomever
it names as the asker (`AddressTokens`).

A process that was paused judges nobody by the answers that it slept through.

Owns this member's incarnation and when it says what. Relies on `Members` for the
others, on `Pings` for the questions under way and on `Proofs` for whose proof of a
table is the freshest. A core: each moment is given, in ms of this process's clock, and
messages are values.
"""

import math
from collections.abc import Callable
from random import Random

import xxhash
from attrs import define, field, frozen

from coursekeel.group._members import NEWS_A_MESSAGE, MemberEvent, Members
from coursekeel.group._messages import (
    MemberState,
    MessageKind,
    News,
    SwimMessage,
)
from coursekeel.group._pings import Ping, Pings
from coursekeel.group._proofs import Proofs
from coursekeel.group._tokens import AddressTokens

__all__ = ["Outgoing", "Swim", "SwimTerms"]

# Members that ping a silent one in the place of whoever got no answer (SWIM's k).
_HELPERS = 2
# A ping that got no answer for so much of a period came to nothing, before the next one
# is sent.
_ANSWER_SHARE = 0.9


@frozen
class SwimTerms:
    """Bounds of time.

    ``period_ms`` between two pings; ``answer_ms`` until others are asked to help;
    ``suspicion_ms`` until a suspect is gone; ``meeting_ms`` between two words to a seed
    that isn't known or to a lost member; ``forgotten_ms`` until a lost one is
    forgotten. Everybody is asked for again after ``first_census_ms``, then after twice
    as long each time up to ``last_census_ms``: when all start at once, the first that a
    seed names are few.
    """

    period_ms: float = 1_000.0
    answer_ms: float = 300.0
    suspicion_ms: float = 3_000.0
    meeting_ms: float = 2_000.0
    first_census_ms: float = 400.0
    last_census_ms: float = 60_000.0
    forgotten_ms: float = 60_000.0


@frozen
class Outgoing:
    """A message and where it goes."""

    address: str
    message: SwimMessage


@define(eq=False)
class Swim:
    """One member's view; every method that gives messages wants them sent at once.

    ``suspects_digest`` gives what each message says of the requests that this member
    suspects (`coursekeel.quarantine`).
    """

    own: str
    zone: str
    group: str
    seeds: tuple[str, ...]
    random: Random
    terms: SwimTerms = field(factory=SwimTerms)
    suspects_digest: Callable[[], str] = str
    incarnation: int = 0
    _members: Members = field(init=False)
    _pings: Pings = field(init=False)
    _proofs: Proofs = field(factory=Proofs)
    _ticked_ms: float = -math.inf
    _next_ping_ms: float = -math.inf
    _next_meeting_ms: float = -math.inf
    _next_census_ms: float = math.inf
    _census_ms: float = 0.0
    _heard_ms: float = -math.inf
    _left: bool = False
    _tokens: AddressTokens = field(init=False)

    def __attrs_post_init__(self) -> None:
        secret = self.random.randbytes(AddressTokens.SECRET_BYTES)
        self._tokens = AddressTokens(secret)
        self._pings = Pings(self.random)
        self._members = Members(self._pings.joined, self._proofs.forget)

    # What others ask of the view.

    @property
    def events(self) -> list[MemberEvent]:
        """What became of members, for the log; whoever writes it empties the list."""
        return self._members.events

    def alive(self, zone: str | None = None) -> list[str]:
        """The addresses of members that nothing speaks against, this one included."""
        found = self._members.alive(zone)
        if not self._left and zone in (None, self.zone):
            found.append(self.own)
        return sorted(found)

    def others(self) -> list[str]:
        """The addresses of the others that are there, suspects included."""
        return self._members.counted()

    def serving(self) -> list[str]:
        """The addresses of the others that may serve, those that stop included."""
        return self._members.serving()

    @property
    def known(self) -> int:
        """How many members there are or were lately; a split group counts both halves.

        Those that left are out: they told so themselves.
        """
        return 1 + self._members.known

    def zones(self) -> list[str]:
        """The availability zones that have members."""
        own = set() if self._left else {self.zone}
        return sorted(own | self._members.zones())

    def holder(self, zone: str) -> str:
        """Who asks the store for a zone: all that see the same members agree.

        By hashing, so that nobody is elected. Two that differ both ask, which is waste
        and nothing else.
        """
        live = self.alive(zone)
        return max(live, key=_weight, default="")

    def chosen(self, name: str, count: int = 1) -> list[str]:
        """Who does what ``name`` says: all that see the same members agree."""
        live = self.alive()
        return sorted(live, key=lambda each: -_weight(f"{name}/{each}"))[:count]

    def in_touch(self, now_ms: float) -> bool:
        """Say whether most of the members that are known can be reached from here."""
        if now_ms - self._heard_ms > 2 * self.terms.period_ms:
            return False
        return 2 * len(self.alive()) > self.known

    def proved(self, table: str, moment_ms: float) -> None:
        """This member has a proof of a table as of a moment."""
        if math.isfinite(moment_ms):
            self._proofs.heard(table, self.own, int(moment_ms), moment_ms)

    def freshest(self, table: str) -> tuple[str, float]:
        """The member with the freshest proof heard of, and its moment, about."""
        return self._proofs.freshest(table)

    # Time.

    def tick(self, now_ms: float) -> list[Outgoing]:
        """Do what is due; called several times a period."""
        if self._left:
            return []
        paused = now_ms - self._ticked_ms > self.terms.period_ms
        self._ticked_ms = now_ms
        if paused:
            self._pings.clear()
        sent = self._judge_pings(now_ms)
        self._members.judge_suspects(
            now_ms, self.terms.suspicion_ms, self.terms.forgotten_ms
        )
        if now_ms >= self._next_ping_ms:
            self._next_ping_ms = now_ms + self.terms.period_ms
            sent += self._ping_next(now_ms)
        if now_ms >= self._next_meeting_ms:
            sent += self._meet(now_ms)
        if now_ms >= self._next_census_ms:
            sent += self._ask_for_all(now_ms)
        return sent

    def _judge_pings(self, now_ms: float) -> list[Outgoing]:
        sent: list[Outgoing] = []
        for number, ping in self._pings.under_way():
            waited_ms = now_ms - ping.sent_ms
            if waited_ms >= _ANSWER_SHARE * self.terms.period_ms:
                self._pings.end(number)
                if not ping.asker:
                    self._members.suspect(ping.target, now_ms)
            elif waited_ms >= self.terms.answer_ms and not (ping.helped or ping.asker):
                ping.helped = True
                sent += self._ask_helpers(number, ping.target)
        return sent

    def _ask_helpers(self, number: int, target: str) -> list[Outgoing]:
        others = [each for each in self.alive() if each not in (self.own, target)]
        helpers = self.random.sample(others, min(_HELPERS, len(others)))
        return [self._say(each, MessageKind.PROBE, number, target) for each in helpers]

    def _ping_next(self, now_ms: float) -> list[Outgoing]:
        target = self._pings.next_target(self._members.counted())
        return [self._ping(Ping(target, now_ms))] if target else []

    def _ping(self, ping: Ping) -> Outgoing:
        return self._say(ping.target, MessageKind.PING, self._pings.begin(ping))

    def _meet(self, now_ms: float) -> list[Outgoing]:
        """Ask the seeds while alone, else one seed or lost member by lot."""
        alone = not self._members.counted()
        wait_ms = self.terms.period_ms if alone else self.terms.meeting_ms
        self._next_meeting_ms = now_ms + wait_ms * self._spread()
        seeds = [each for each in self.seeds if each != self.own]
        if alone:
            return [self._ask_everybody(each) for each in seeds]
        missing = [each for each in seeds if each not in self._members]
        choices = self._members.gone() + missing
        if not choices:
            return []
        return [self._ask_everybody(self.random.choice(choices))]

    def _ask_for_all(self, now_ms: float) -> list[Outgoing]:
        """Ask a seed for everybody, later any member, less and less often."""
        others = [each for each in self.alive() if each != self.own]
        early = self._census_ms < self.terms.suspicion_ms
        asked = [each for each in others if each in self.seeds] if early else []
        longer_ms = 2 * self._census_ms or self.terms.first_census_ms
        self._census_ms = min(longer_ms, self.terms.last_census_ms)
        self._next_census_ms = now_ms + self._census_ms * self._spread()
        if not others:
            return []
        return [self._ask_everybody(self.random.choice(asked or others))]

    def _ask_everybody(self, address: str, token: int = AddressTokens.NONE) -> Outgoing:
        return self._say(address, MessageKind.JOIN, token, self._digest())

    def _digest(self) -> str:
        return self._members.digest(self.own, self.incarnation)

    def _spread(self) -> float:
        """A wait's factor by lot, so that members don't all speak at once."""
        return 0.75 + self.random.random() / 2

    # Messages.

    def received(self, message: SwimMessage, now_ms: float) -> list[Outgoing]:
        """Take a message of this group; one of another group must not come here."""
        if message.sender == self.own or self._left:
            return []
        if message.kind is MessageKind.ECHO:
            return [self._ask_everybody(message.sender, message.number)]
        self._heard_ms = now_ms
        if math.isinf(self._next_census_ms):
            self._next_census_ms = now_ms + self.terms.first_census_ms / 2
        sender = message.sender
        word = News(sender, message.zone, message.incarnation, MemberState.ALIVE)
        contradicted = not self._take(word, now_ms)
        for each in message.news:
            self._take(each, now_ms)
        for hint in message.hints:
            if hint.address in self._members:
                moment_ms = now_ms - max(hint.age_ms, 0.0)
                self._proofs.heard(hint.table, hint.address, hint.stamp, moment_ms)
        if contradicted:
            # It hears what is said of it, and raises its incarnation.
            self._members.tell_again(sender)
        return self._reply(message, now_ms)

    def _take(self, news: News, now_ms: float) -> bool:
        if news.address != self.own:
            return self._members.take(news, now_ms)
        self._take_of_own(news)
        return True

    def _take_of_own(self, news: News) -> None:
        """What is said of an earlier life, or of a death, is contradicted."""
        earlier = news.incarnation > self.incarnation
        died = news.state is not MemberState.ALIVE
        if earlier or (died and news.incarnation == self.incarnation):
            self.incarnation = news.incarnation + 1

    def _reply(self, message: SwimMessage, now_ms: float) -> list[Outgoing]:
        sender, number = message.sender, message.number
        match message.kind:
            case MessageKind.PING:
                return [self._say(sender, MessageKind.ACK, number, first=sender)]
            case MessageKind.ACK:
                return self._answered(number, sender)
            case MessageKind.PROBE:
                if message.target not in self._members:
                    return []
                ping = Ping(message.target, now_ms, asker=sender, asker_number=number)
                return [self._ping(ping)]
            case MessageKind.JOIN if number == self._tokens.of(sender):
                return self._welcome(sender, message.target)
            case MessageKind.JOIN:
                return [self._echo(sender)]
            case MessageKind.WELCOME | MessageKind.ECHO:
                return []

    def _answered(self, number: int, sender: str) -> list[Outgoing]:
        ping = self._pings.answered(number, sender)
        if ping is None or not ping.asker:
            return []
        return [self._say(ping.asker, MessageKind.ACK, ping.asker_number)]

    def _echo(self, asker: str) -> Outgoing:
        """No longer than the question: nothing in it but the token."""
        token = self._tokens.of(asker)
        message = SwimMessage(
            self.group, MessageKind.ECHO, self.own, "", self.incarnation, token
        )
        return Outgoing(asker, message)

    def _welcome(self, joining: str, digest: str) -> list[Outgoing]:
        """Name everybody, in as many messages as it takes; nobody if all are known.

        Most that ask again know everybody, and 195 members are 25 datagrams: in the
        first minute of 195 that start at once each sends 173 kB in place of 315 kB
        (`bench.membership`'s group).
        """
        same = digest == self._digest()
        told = [] if same else self._members.everybody(joining)
        chunks = [
            tuple(told[at : at + NEWS_A_MESSAGE])
            for at in range(0, len(told), NEWS_A_MESSAGE)
        ]
        return [
            Outgoing(joining, self._message(MessageKind.WELCOME, news=each))
            for each in chunks or [()]
        ]

    def leave(self) -> list[Outgoing]:
        """Tell some that this member stops; nothing more is said after it."""
        word = News(self.own, self.zone, self.incarnation, MemberState.LEFT)
        others = [each for each in self.alive() if each != self.own]
        told = self.random.sample(others, min(2 * _HELPERS, len(others)))
        farewell = self._message(MessageKind.WELCOME, news=(word,))
        self._left = True
        return [Outgoing(each, farewell) for each in told]

    def _say(
        self,
        address: str,
        kind: MessageKind,
        number: int = 0,
        target: str = "",
        first: str = "",
    ) -> Outgoing:
        news = self._members.latest(first)
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
            self._proofs.hints(self._ticked_ms),
            self.suspects_digest(),
        )


def _weight(address: str) -> int:
    return xxhash.xxh64_intdigest(address.encode())

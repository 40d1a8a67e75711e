"""Members that tell each other of suspect requests, on one clock, without sockets.

Datagrams take a moment and may be lost; members are cut off from each other, freeze
(the kernel keeps nothing for them, the worst that may be), and start anew.
"""

from random import Random

from attrs import define, field

from coursekeel.group import Swim, decode_message, encode_message
from coursekeel.quarantine import (
    MARK,
    Quarantine,
    QuarantineGossip,
    Sign,
    decode_quarantine,
    encode_quarantine,
)

TICK_MS = 150
STEP_MS = 10
ZONES = ("a", "b", "c")


@define(eq=False)
class Member:
    """One instance's view; ``first_tick_ms`` differs, so that none tick together."""

    address: str
    swim: Swim
    quarantine: Quarantine
    gossip: QuarantineGossip
    first_tick_ms: int


@define(eq=False)
class QuarantineWorld:
    size: int
    seed: int = 1
    loss: float = 0.0
    way_ms: tuple[float, float] = (1.0, 15.0)
    now_ms: float = 0.0
    parts: list[set[str]] = field(factory=list)
    frozen: set[str] = field(factory=set)
    members: dict[str, Member] = field(factory=dict)
    sent_bytes: int = 0
    largest: int = 0
    random: Random = field(init=False)
    _way: list[tuple[float, str, str, bytes]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        for number in range(self.size):
            self.start(number)

    def address(self, number: int) -> str:
        return f"10.0.{number // 250}.{number % 250}:7215"

    def start(self, number: int) -> Member:
        """A process starts, or starts again and knows nothing of its earlier life."""
        own = self.address(number)
        random = Random(self.random.random())
        quarantine = Quarantine()
        seeds = tuple(self.address(each) for each in range(3))
        swim = Swim(
            own,
            ZONES[number % len(ZONES)],
            "g",
            seeds,
            random,
            suspects_digest=lambda: quarantine.digest,
        )
        gossip = QuarantineGossip(own, "g", quarantine, random, swim.serving)
        first_ms = int(self.now_ms) + self.random.randrange(0, TICK_MS, STEP_MS)
        member = Member(own, swim, quarantine, gossip, first_ms)
        self.members[own] = member
        return member

    def stop(self, number: int) -> None:
        del self.members[self.address(number)]

    def member(self, number: int) -> Member:
        return self.members[self.address(number)]

    def run(self, for_ms: float) -> None:
        for _ in range(int(for_ms / STEP_MS)):
            self.now_ms += STEP_MS
            self._deliver()
            for member in list(self.members.values()):
                if member.address not in self.frozen:
                    self._tick(member)

    def _tick(self, member: Member) -> None:
        since_ms = int(self.now_ms) - member.first_tick_ms
        if since_ms >= 0 and since_ms % TICK_MS == 0:
            for each in member.swim.tick(self.now_ms):
                self._send(member, each.address, encode_message(each.message))

    def _send(self, sender: Member, address: str, data: bytes) -> None:
        self.sent_bytes += len(data)
        self.largest = max(self.largest, len(data))
        parted = any((sender.address in x) != (address in x) for x in self.parts)
        if parted or self.random.random() < self.loss:
            return
        at_ms = self.now_ms + self.random.uniform(*self.way_ms)
        self._way.append((at_ms, sender.address, address, data))

    def _deliver(self) -> None:
        due = [each for each in self._way if each[0] <= self.now_ms]
        self._way = [each for each in self._way if each[0] > self.now_ms]
        for _, sender, address, data in due:
            member = self.members.get(address)
            if member is not None and address not in self.frozen:
                self._receive(member, sender, data)

    def _receive(self, member: Member, sender: str, data: bytes) -> None:
        gossip = member.gossip
        if data.startswith(MARK):
            told = gossip.received(decode_quarantine(data), self.now_ms)
        else:
            message = decode_message(data)
            for each in member.swim.received(message, self.now_ms):
                self._send(member, each.address, encode_message(each.message))
            told = gossip.heard_digest(sender, message.suspects)
        self._tell(member, told)

    def _tell(self, member: Member, told) -> None:
        for each in told:
            self._send(member, each.address, encode_quarantine(each.message))

    # What members learn.

    def strike(self, number: int, fingerprint: str, endpoint: str) -> None:
        member = self.member(number)
        record = member.quarantine.strike(
            fingerprint, endpoint, Sign.BEGAN, self.now_ms
        )
        if record is not None:
            self._tell(member, member.gossip.learned([record], self.now_ms))

    def bar(self, fingerprint: str, by: int = 0) -> None:
        """Three endpoints end under a request, a while apart."""
        for number in range(3):
            self.strike(by, fingerprint, f"i-{fingerprint}-{number}")
            self.run(100)

    def prove_sound(self, number: int, fingerprint: str) -> None:
        member = self.member(number)
        record = member.quarantine.proved_sound(fingerprint, self.now_ms)
        if record is not None:
            self._tell(member, member.gossip.learned([record], self.now_ms))

    def unaware(self, fingerprint: str) -> set[str]:
        """Who would let a request run."""
        return {
            each.address
            for each in self.members.values()
            if each.quarantine.verdict(fingerprint, self.now_ms) is None
        }

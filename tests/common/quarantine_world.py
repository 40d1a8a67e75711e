"""A simulated group of members that gossip about suspect requests, without sockets.

Datagrams are delayed and may be lost. Members may be partitioned, frozen (datagrams to
them are then lost) and restarted.
"""

from random import Random

from attrs import define, field

from coursekeel.group import Swim, decode_message, encode_message
from coursekeel.quarantine import (
    QUARANTINE_PREFIX,
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
    """One member; ``first_tick_ms`` is random, so that members don't tick together."""

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
    latency_range_ms: tuple[float, float] = (1.0, 15.0)
    now_ms: float = 0.0
    partitions: list[set[str]] = field(factory=list)
    frozen: set[str] = field(factory=set)
    members: dict[str, Member] = field(factory=dict)
    sent_bytes: int = 0
    largest_datagram_bytes: int = 0
    random: Random = field(init=False)
    _in_flight: list[tuple[float, str, str, bytes]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        for number in range(self.size):
            self.start(number)

    def address(self, number: int) -> str:
        return f"10.0.{number // 250}.{number % 250}:7215"

    def start(self, number: int) -> Member:
        """Start a member, without records if it was there before."""
        own = self.address(number)
        random = Random(self.random.random())
        quarantine = Quarantine()
        seeds = tuple(self.address(seed_number) for seed_number in range(3))
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

    def run(self, duration_ms: float) -> None:
        for _ in range(int(duration_ms / STEP_MS)):
            self.now_ms += STEP_MS
            self._deliver()
            for member in list(self.members.values()):
                if member.address not in self.frozen:
                    self._tick(member)

    def _tick(self, member: Member) -> None:
        since_ms = int(self.now_ms) - member.first_tick_ms
        if since_ms >= 0 and since_ms % TICK_MS == 0:
            for outgoing in member.swim.tick(self.now_ms):
                self._send(member, outgoing.address, encode_message(outgoing.message))

    def _send(self, sender: Member, address: str, data: bytes) -> None:
        self.sent_bytes += len(data)
        self.largest_datagram_bytes = max(self.largest_datagram_bytes, len(data))
        is_cut = any(
            (sender.address in part) != (address in part) for part in self.partitions
        )
        if is_cut or self.random.random() < self.loss:
            return
        at_ms = self.now_ms + self.random.uniform(*self.latency_range_ms)
        self._in_flight.append((at_ms, sender.address, address, data))

    def _deliver(self) -> None:
        due = [x for x in self._in_flight if x[0] <= self.now_ms]
        self._in_flight = [x for x in self._in_flight if x[0] > self.now_ms]
        for _, sender, address, data in due:
            member = self.members.get(address)
            if member is not None and address not in self.frozen:
                self._receive(member, sender, data)

    def _receive(self, member: Member, sender: str, data: bytes) -> None:
        gossip = member.gossip
        if data.startswith(QUARANTINE_PREFIX):
            outgoing = gossip.received(decode_quarantine(data), self.now_ms)
        else:
            message = decode_message(data)
            for reply in member.swim.received(message, self.now_ms):
                self._send(member, reply.address, encode_message(reply.message))
            outgoing = gossip.receive_digest(sender, message.suspects)
        self._send_all(member, outgoing)

    def _send_all(self, member: Member, outgoing) -> None:
        for out in outgoing:
            self._send(member, out.address, encode_quarantine(out.message))

    # Changes of records.

    def strike(self, number: int, fingerprint: str, endpoint: str) -> None:
        member = self.member(number)
        record = member.quarantine.add_strike(
            fingerprint, endpoint, Sign.BEGAN, self.now_ms
        )
        if record is not None:
            self._send_all(member, member.gossip.learned([record], self.now_ms))

    def bar(self, fingerprint: str, by: int = 0) -> None:
        """Record three strikes for a request at one member, 100 ms apart."""
        for number in range(3):
            self.strike(by, fingerprint, f"i-{fingerprint}-{number}")
            self.run(100)

    def prove_sound(self, number: int, fingerprint: str) -> None:
        member = self.member(number)
        record = member.quarantine.clear(fingerprint, self.now_ms)
        if record is not None:
            self._send_all(member, member.gossip.learned([record], self.now_ms))

    def members_without_verdict(self, fingerprint: str) -> set[str]:
        """The addresses of members that would send a request."""
        return {
            member.address
            for member in self.members.values()
            if member.quarantine.verdict(fingerprint, self.now_ms) is None
        }

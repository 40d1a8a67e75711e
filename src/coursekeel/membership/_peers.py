"""Greetings, by which entries exchange their state.

Rule: an entry sends its own state only, to a few random peers each round, so that its
traffic depends on the fan-out and not on the number of entries.
"""

from random import Random

from attrs import define, field, frozen

from coursekeel.endpoints import LeavingMark

__all__ = ["Greeting", "PeerBook"]


@frozen
class Greeting:
    """One entry's state, as it sends it.

    ``suspects_digest`` is equal at entries with the same suspect records. ``address``
    is where the sender serves its peers; empty if it doesn't say.
    """

    instance_id: str
    incarnation: str
    seen_revision: int
    applied_revision: int
    leaving: bool
    marks: tuple[LeavingMark, ...] = ()
    suspects_digest: str = ""
    address: str = ""


@define
class _Peer:
    address: str = ""
    greeting: Greeting | None = None
    refused: bool = False


@define
class PeerBook:
    """The other entries: their addresses, last greetings, and which to greet next.

    Owns these; the caller sends the greetings, to ``fan_out`` peers a round.
    """

    instance_id: str
    random: Random
    fan_out: int = 2
    _peers: dict[str, _Peer] = field(factory=dict)

    def set_listed(self, addresses: dict[str, str]) -> None:
        """Apply the platform's list of addresses by id; others are removed."""
        others = {k: v for k, v in addresses.items() if k != self.instance_id}
        kept = {k: peer for k, peer in self._peers.items() if k in others}
        for instance_id, address in others.items():
            peer = kept.setdefault(instance_id, _Peer())
            peer.address = address
        self._peers = kept

    def add_peer(self, instance_id: str, address: str) -> None:
        """Add a peer, or set its address, from the store's rows."""
        if instance_id != self.instance_id:
            self._peers.setdefault(instance_id, _Peer()).address = address

    def record_greeting(self, greeting: Greeting) -> None:
        """Store a received greeting, and the sender's address if none is known.

        One of the same incarnation with an older configuration is ignored.
        """
        peer = self._peers.setdefault(greeting.instance_id, _Peer())
        peer.address = peer.address or greeting.address
        last = peer.greeting
        same_process = last is not None and last.incarnation == greeting.incarnation
        if same_process and last and greeting.applied_revision < last.applied_revision:
            return
        peer.greeting = greeting
        peer.refused = False

    def record_refused_connection(self, instance_id: str) -> None:
        """Record that the peer's address refused a connection: it doesn't run."""
        peer = self._peers.get(instance_id)
        if peer is not None:
            peer.refused = True
            peer.greeting = None

    def peers_to_greet(self) -> list[str]:
        """The peers to greet in this round, chosen at random."""
        reachable = [name for name, peer in self._peers.items() if peer.address]
        return self.random.sample(reachable, min(self.fan_out, len(reachable)))

    def address(self, instance_id: str) -> str:
        """The peer's address; empty if it is unknown."""
        peer = self._peers.get(instance_id)
        return peer.address if peer else ""

    def is_refusing(self, instance_id: str) -> bool:
        """Whether the peer's address refused a connection since its last greeting."""
        peer = self._peers.get(instance_id)
        return peer is not None and peer.refused

    def greeting(self, instance_id: str) -> Greeting | None:
        """The peer's last greeting; None if there is none."""
        peer = self._peers.get(instance_id)
        return peer.greeting if peer else None

    @property
    def without_address(self) -> list[str]:
        """The ids of peers that can't be reached, since their address is unknown."""
        return sorted(name for name, peer in self._peers.items() if not peer.address)

    @property
    def names(self) -> list[str]:
        """The ids of all peers."""
        return sorted(self._peers)

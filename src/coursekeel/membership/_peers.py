"""What entries tell each other, within a byte budget that doesn't grow with them.

An entry tells its own state and no one else's, to a few peers chosen at random, so
the bytes a node spends depend on the fan-out and not on the number of nodes.
"""

from random import Random

from attrs import define, field, frozen

from coursekeel.endpoints import LeavingMark

__all__ = ["Greeting", "PeerBook"]


@frozen
class Greeting:
    """One entry's own state, as it tells it.

    ``suspects_digest`` is the same at all that know the same of suspect requests.
    """

    instance_id: str
    incarnation: str
    seen_revision: int
    applied_revision: int
    leaving: bool
    marks: tuple[LeavingMark, ...] = ()
    suspects_digest: str = ""


@define
class _Peer:
    address: str = ""
    greeting: Greeting | None = None
    refused: bool = False


@define
class PeerBook:
    """The other entries: who is listed, what they said, and whom to tell next."""

    instance_id: str
    random: Random
    fan_out: int = 2
    _peers: dict[str, _Peer] = field(factory=dict)

    def listed(self, addresses: dict[str, str]) -> None:
        """Take the platform's list; those it drops are out."""
        wanted = {k: v for k, v in addresses.items() if k != self.instance_id}
        kept = {k: peer for k, peer in self._peers.items() if k in wanted}
        for instance_id, address in wanted.items():
            peer = kept.setdefault(instance_id, _Peer())
            peer.address = address
        self._peers = kept

    def learned(self, instance_id: str, address: str) -> None:
        """The table names a peer that the list may not name yet."""
        if instance_id != self.instance_id:
            self._peers.setdefault(instance_id, _Peer()).address = address

    def heard(self, greeting: Greeting) -> None:
        """Take a peer's word; its word of an older configuration changes nothing."""
        peer = self._peers.setdefault(greeting.instance_id, _Peer())
        known = peer.greeting
        same_life = known is not None and known.incarnation == greeting.incarnation
        if same_life and known and greeting.applied_revision < known.applied_revision:
            return
        peer.greeting = greeting
        peer.refused = False

    def refused(self, instance_id: str) -> None:
        """The peer's address refused the connection: it serves nobody now."""
        peer = self._peers.get(instance_id)
        if peer is not None:
            peer.refused = True
            peer.greeting = None

    def to_tell(self) -> list[str]:
        """The peers to greet this time."""
        known = [name for name, peer in self._peers.items() if peer.address]
        return self.random.sample(known, min(self.fan_out, len(known)))

    def address(self, instance_id: str) -> str:
        """Where a peer is reached; empty if it isn't known."""
        peer = self._peers.get(instance_id)
        return peer.address if peer else ""

    def is_refusing(self, instance_id: str) -> bool:
        """Say whether the peer's address last refused a connection."""
        peer = self._peers.get(instance_id)
        return peer is not None and peer.refused

    def greeting(self, instance_id: str) -> Greeting | None:
        """The peer's last word."""
        peer = self._peers.get(instance_id)
        return peer.greeting if peer else None

    @property
    def names(self) -> list[str]:
        """Every peer that is known."""
        return sorted(self._peers)

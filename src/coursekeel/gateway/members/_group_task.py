"""The task that owns this instance's datagrams to the members of its group.

Owns the UDP socket and the tick. Relies on `Swim`, a core, for what is said and whom to
believe. Nothing that comes here changes a configuration or stops an instance: it says
who is there and whom to ask. A datagram counts only from the address that it names as
its sender, so that nobody speaks in another's place.
"""

import logging
from collections.abc import Callable
from typing import Any

from attrs import define, field
from twisted.internet.protocol import DatagramProtocol

from coursekeel.canary import (
    CANARY_MARK,
    RolloutMessage,
    UnreadableRollout,
    decode_rollout,
)
from coursekeel.group import (
    Outgoing,
    Swim,
    SwimMessage,
    UnreadableMessage,
    decode_message,
    encode_message,
)
from coursekeel.observe import log_event
from coursekeel.quarantine import (
    MARK,
    QuarantineEvent,
    QuarantineGossip,
    QuarantineMessage,
    QuarantineOutgoing,
    SuspectRecord,
    UnreadableQuarantine,
    decode_quarantine,
    encode_quarantine,
)
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic

__all__ = ["GroupTask"]

# How often the core looks at its deadlines: a part of the 300 ms in which a member
# answers.
_TICK_MS = 150.0
# One line at the most in so long for datagrams that are refused: a stranger must not
# fill the log.
_REFUSALS_TOLD_MS = 1_000.0

_Message = SwimMessage | UnreadableMessage | QuarantineMessage | UnreadableQuarantine


@define(eq=False)
class GroupTask(DatagramProtocol):
    """Sends and receives what `Swim` and `QuarantineGossip` say.

    ``proven_ms`` gives the moments of this instance's own proofs, by table;
    ``bar_changed`` is told of each request that is barred, or no longer, and
    ``rollout_told`` of what members say of roll-outs.
    """

    reactor: Reactor
    clock: Clock
    swim: Swim
    gossip: QuarantineGossip
    proven_ms: Callable[[], dict[str, float]]
    bar_changed: Callable[[QuarantineEvent], None]
    rollout_told: Callable[[RolloutMessage], None]
    _ticks: Periodic = field(init=False)
    _refused: int = 0
    _refusals_told_ms: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        self._ticks = Periodic(self.reactor, "group", _TICK_MS, self._tick)

    def start(self) -> None:
        """Open the socket and join."""
        host, port = _host_and_port(self.swim.own)
        self.reactor.listenUDP(port, self, interface=host)
        self._ticks.start()

    def stop(self) -> None:
        """Say goodbye."""
        self._ticks.stop()
        self._send(self.swim.leave())

    async def _tick(self) -> None:
        for table, moment_ms in self.proven_ms().items():
            self.swim.proved(table, moment_ms)
        now_ms = self.clock.now_ms()
        self._send(self.swim.tick(now_ms))
        self.gossip.quarantine.forget(now_ms)
        self._log_events()

    def tell_suspects(self, records: list[SuspectRecord]) -> None:
        """Tell all others what this instance learned of suspect requests."""
        if self.transport is not None:
            self._tell(self.gossip.learned(records, self.clock.now_ms()))
        self._log_events()

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram that somebody else wrote."""
        if self.transport is not None:
            self._write(address, data)

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        if data.startswith(CANARY_MARK):
            self._take_rollout(data, addr)
            return
        marked = data.startswith(MARK)
        message = decode_quarantine(data) if marked else decode_message(data)
        fault = self._fault_of(message, addr)
        if fault:
            self._refuse(fault, addr)
            return
        now_ms = self.clock.now_ms()
        if isinstance(message, SwimMessage):
            self._send(self.swim.received(message, now_ms))
            self._tell(self.gossip.heard_digest(message.sender, message.suspects))
        elif isinstance(message, QuarantineMessage):
            self._tell(self.gossip.received(message, now_ms))
        self._log_events()

    def _take_rollout(self, data: bytes, addr: Any) -> None:
        read = decode_rollout(data)
        if isinstance(read, UnreadableRollout):
            self._refuse(read.fault, addr)
            return
        group, message = read
        fault = self._stranger(group, message.sender, addr)
        if fault:
            self._refuse(fault, addr)
        else:
            self.rollout_told(message)

    def _fault_of(self, message: _Message, addr: Any) -> str:
        if isinstance(message, UnreadableMessage | UnreadableQuarantine):
            return message.fault
        return self._stranger(message.group, message.sender, addr)

    def _stranger(self, group: str, sender: str, addr: Any) -> str:
        """Why a message isn't from who it names; empty if it is."""
        if group != self.swim.group:
            return f"group: got {group!r:.60}, expected {self.swim.group!r:.60}"
        if sender != f"{addr[0]}:{addr[1]}":
            return f"sender: got {sender!r:.60}, expected the datagram's own"
        return ""

    def _refuse(self, fault: str, addr: Any) -> None:
        self._refused += 1
        now_ms = self.clock.now_ms()
        if now_ms - self._refusals_told_ms < _REFUSALS_TOLD_MS:
            return
        self._refusals_told_ms = now_ms
        log_event(
            "datagram_refused",
            logging.WARNING,
            sender=f"{addr[0]}:{addr[1]}",
            fault=fault,
            so_far=self._refused,
        )

    def _send(self, messages: list[Outgoing]) -> None:
        for each in messages:
            self._write(each.address, encode_message(each.message))

    def _tell(self, messages: list[QuarantineOutgoing]) -> None:
        for each in messages:
            self._write(each.address, encode_quarantine(each.message))

    def _write(self, address: str, data: bytes) -> None:
        transport: Any = self.transport
        try:
            transport.write(data, _host_and_port(address))
        except (OSError, ValueError) as failure:
            log_event("datagram_unsent", to=address, error=failure)

    def _log_events(self) -> None:
        quarantine = self.gossip.quarantine
        for bar in quarantine.events:
            self.bar_changed(bar)
            endpoints = ",".join(bar.endpoint_ids)
            if bar.barred:
                log_event(
                    "request_barred",
                    logging.WARNING,
                    fingerprint=bar.fingerprint,
                    endpoints=endpoints,
                )
            else:
                log_event("request_cleared", fingerprint=bar.fingerprint)
        quarantine.events.clear()
        for each in self.swim.events:
            log_event(
                f"member_{each.kind.value}",
                member=each.address,
                alive=len(self.swim.alive()),
            )
        self.swim.events.clear()


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)

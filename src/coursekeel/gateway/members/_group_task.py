"""The task that owns this instance's datagrams to the members of its group.

Owns the UDP socket and the tick. Relies on `Swim`, which does no I/O, for the messages
and the state of members. A datagram never changes a configuration or stops an instance:
it reports which members exist and which to query. It is accepted only from the address
that it names as its sender, so that a member can't be impersonated.
"""

import logging
from collections.abc import Callable
from typing import Any

from attrs import define, field
from twisted.internet.protocol import DatagramProtocol

from coursekeel.canary import (
    ROLLOUT_PREFIX,
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
from coursekeel.limits import (
    LIMIT_PREFIX,
    LimitMessage,
    UnreadableLimitMessage,
    decode_limit_message,
)
from coursekeel.observe import log_event
from coursekeel.quarantine import (
    QUARANTINE_PREFIX,
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

# How often deadlines are checked: half of the 300 ms in which a member must answer.
_TICK_MS = 150.0
# Minimum interval between log lines on refused datagrams: an unknown sender must not
# fill the log.
_REFUSAL_LOG_INTERVAL_MS = 1_000.0

_Message = SwimMessage | UnreadableMessage | QuarantineMessage | UnreadableQuarantine


@define(eq=False)
class GroupTask(DatagramProtocol):
    """Sends and receives the messages of `Swim` and `QuarantineGossip`.

    ``confirmed_times_ms`` returns the local time of this instance's last confirmation
    of each table. ``bar_changed`` is called when a request is barred or cleared, and
    ``rollout_received`` with each roll-out message of a member. ``limit_received`` gets
    each message on limits, with its sender, and ``suspects_received`` the fingerprints
    of the records of each message on suspects.
    """

    reactor: Reactor
    clock: Clock
    swim: Swim
    gossip: QuarantineGossip
    confirmed_times_ms: Callable[[], dict[str, float]]
    bar_changed: Callable[[QuarantineEvent], None]
    rollout_received: Callable[[RolloutMessage], None]
    limit_received: Callable[[str, LimitMessage], None]
    suspects_received: Callable[[list[str]], None]
    _ticks: Periodic = field(init=False)
    _refused_count: int = 0
    _refusal_logged_ms: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        self._ticks = Periodic(self.reactor, "group", _TICK_MS, self._tick)

    def start(self) -> None:
        """Open the socket and join the group."""
        host, port = _host_and_port(self.swim.own)
        self.reactor.listenUDP(port, self, interface=host)
        self._ticks.start()

    def stop(self) -> None:
        """Announce that this instance leaves the group; the socket stays open."""
        self._ticks.stop()
        self._send(self.swim.leave())

    async def _tick(self) -> None:
        for table, confirmed_ms in self.confirmed_times_ms().items():
            self.swim.record_confirmation(table, confirmed_ms)
        now_ms = self.clock.now_ms()
        self._send(self.swim.tick(now_ms))
        self.gossip.quarantine.forget(now_ms)
        self._log_events()

    def send_suspects(self, records: list[SuspectRecord]) -> None:
        """Send this instance's records of suspect requests to all members."""
        if self.transport is not None:
            self._send_quarantine(self.gossip.learned(records, self.clock.now_ms()))
        self._log_events()

    def send(self, address: str, data: bytes) -> None:
        """Send an already encoded datagram to the member at ``address``."""
        if self.transport is not None:
            self._write(address, data)

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        if data.startswith(ROLLOUT_PREFIX):
            self._receive_rollout(data, addr)
            return
        if data.startswith(LIMIT_PREFIX):
            self._receive_limit(data, addr)
            return
        marked = data.startswith(QUARANTINE_PREFIX)
        message = decode_quarantine(data) if marked else decode_message(data)
        fault = self._fault_of(message, addr)
        if fault:
            self._refuse(fault, addr)
            return
        now_ms = self.clock.now_ms()
        if isinstance(message, SwimMessage):
            self._send(self.swim.received(message, now_ms))
            self._send_quarantine(
                self.gossip.receive_digest(message.sender, message.suspects)
            )
        elif isinstance(message, QuarantineMessage):
            self._send_quarantine(self.gossip.received(message, now_ms))
            self.suspects_received([each.fingerprint for each in message.records])
        self._log_events()

    def _receive_rollout(self, data: bytes, addr: Any) -> None:
        decoded = decode_rollout(data)
        if isinstance(decoded, UnreadableRollout):
            self._refuse(decoded.fault, addr)
            return
        group, message = decoded
        fault = self._sender_fault(group, message.sender, addr)
        if fault:
            self._refuse(fault, addr)
        else:
            self.rollout_received(message)

    def _receive_limit(self, data: bytes, addr: Any) -> None:
        decoded = decode_limit_message(data)
        if isinstance(decoded, UnreadableLimitMessage):
            self._refuse(decoded.fault, addr)
            return
        group, sender, message = decoded
        fault = self._sender_fault(group, sender, addr)
        if fault:
            self._refuse(fault, addr)
        else:
            self.limit_received(sender, message)

    def _fault_of(self, message: _Message, addr: Any) -> str:
        if isinstance(message, UnreadableMessage | UnreadableQuarantine):
            return message.fault
        return self._sender_fault(message.group, message.sender, addr)

    def _sender_fault(self, group: str, sender: str, addr: Any) -> str:
        """Why a message isn't from its group and sender; empty if it is."""
        if group != self.swim.group:
            return f"group: got {group!r:.60}, expected {self.swim.group!r:.60}"
        if sender != f"{addr[0]}:{addr[1]}":
            return f"sender: got {sender!r:.60}, expected the datagram's own"
        return ""

    def _refuse(self, fault: str, addr: Any) -> None:
        self._refused_count += 1
        now_ms = self.clock.now_ms()
        if now_ms - self._refusal_logged_ms < _REFUSAL_LOG_INTERVAL_MS:
            return
        self._refusal_logged_ms = now_ms
        log_event(
            "datagram_refused",
            logging.WARNING,
            sender=f"{addr[0]}:{addr[1]}",
            fault=fault,
            so_far=self._refused_count,
        )

    def _send(self, messages: list[Outgoing]) -> None:
        for outgoing in messages:
            self._write(outgoing.address, encode_message(outgoing.message))

    def _send_quarantine(self, messages: list[QuarantineOutgoing]) -> None:
        for outgoing in messages:
            self._write(outgoing.address, encode_quarantine(outgoing.message))

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
        for event in self.swim.events:
            log_event(
                f"member_{event.kind.value}",
                member=event.address,
                alive=len(self.swim.alive()),
            )
        self.swim.events.clear()


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)

"""The task that keeps the suspect records of all entries in agreement.

Rule: an entry sends each new record to all others at once. Each greeting carries a
digest of the sender's records; an entry that receives a digest other than its own
exchanges all records with the sender. So an entry that was paused, cut off or just
started is up to date after one or two greetings: docs/design/quarantine.md has the
bound.

Owns the quarantine of this entry. Relies on `PeersTask` to reach the others, and on
`SuspectKeeper` to store the records.
"""

import logging
import math
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, field
from twisted.internet.defer import DeferredList

from coursekeel.entry.suspects._news import decode_news, encode_news
from coursekeel.entry.suspects._store import EntrySuspects
from coursekeel.observe import log_event
from coursekeel.peers import peer_pb2
from coursekeel.quarantine import Quarantine, SuspectRecord
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic, spawn
from coursekeel.storage import Platform
from coursekeel.suspects import (
    PacingSettings,
    QuarantineGate,
    RunPacing,
    SuspectKeeper,
)

__all__ = ["SuspectsTask"]

# How often expired records are removed.
_EXPIRY_INTERVAL_MS = 60_000.0
# Minimum interval between requests for all of one peer's records: one request serves
# the digests of several greetings that arrive together.
_MIN_REQUEST_INTERVAL_MS = 300.0
# A refused probe and a reply of a peer take some ms; an endpoint or a peer that doesn't
# respond holds the request for this long.
_PACING_SETTINGS = PacingSettings(probe_ms=250.0, news_ms=250.0)


@define(eq=False)
class SuspectsTask:
    """Exchanges suspect records with other entries; ``gate`` checks requests by them.

    ``others`` returns the peers' instance ids. ``tell`` sends one of them a message and
    returns its reply, None if there is none.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    store_ms: float
    others: Callable[[], list[str]]
    tell: Callable[[str, peer_pb2.SuspectNews], Any]
    instance_id: str = ""
    quarantine: Quarantine = field(factory=Quarantine)
    _pacing: RunPacing = field(init=False)
    gate: QuarantineGate = field(init=False)
    _keeper: SuspectKeeper = field(init=False)
    _expiry_loop: Periodic = field(init=False)
    _requested_ms: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._keeper = SuspectKeeper(
            self.reactor,
            self.clock,
            EntrySuspects(self.platform, self.clock),
            self.quarantine,
            self.store_ms,
        )
        self._pacing = RunPacing(
            self.quarantine, self.instance_id, self.others, _PACING_SETTINGS
        )
        self.gate = QuarantineGate(
            self.clock,
            self.quarantine,
            self._send_to_peers,
            self._keeper.touched,
            self._pacing,
        )
        self._expiry_loop = Periodic(
            self.reactor, "forget_suspects", _EXPIRY_INTERVAL_MS, self._remove_expired
        )

    def start(self) -> None:
        """Read the stored records and start removing expired ones."""
        self._keeper.start()
        self._expiry_loop.start()

    def stop(self) -> None:
        """Stop reading and writing the store."""
        self._keeper.stop()
        self._expiry_loop.stop()

    # Exchange with peers.

    def _send_to_peers(self, records: list[SuspectRecord]) -> None:
        """Send records that changed here to all other entries at once."""
        self._publish_changes()
        news = encode_news(records, self.clock.now_ms())
        deliveries = [
            spawn(self._send_news(peer, news), "tell_suspects", self.reactor)
            for peer in self.others()
        ]
        fingerprints = [record.fingerprint for record in records]
        delivered = DeferredList(deliveries)
        delivered.addCallback(lambda _: self._delivered(fingerprints))

    def _delivered(self, fingerprints: list[str]) -> None:
        """Let requests run again whose records have reached all other entries."""
        for fingerprint in fingerprints:
            self._pacing.settled(fingerprint)

    async def _send_news(self, instance_id: str, news: peer_pb2.SuspectNews) -> None:
        reply = await self.tell(instance_id, news)
        if reply is not None:
            self._merge(reply)

    def receive_digest(self, instance_id: str, digest: str) -> None:
        """Exchange all records with a peer whose digest differs and isn't empty."""
        if not digest or digest == self.quarantine.digest:
            return
        now_ms = self.clock.now_ms()
        if (
            now_ms - self._requested_ms.get(instance_id, -math.inf)
            < _MIN_REQUEST_INTERVAL_MS
        ):
            return
        peers = {*self.others(), instance_id}
        self._requested_ms = {
            k: at for k, at in self._requested_ms.items() if k in peers
        }
        self._requested_ms[instance_id] = now_ms
        news = encode_news(self.quarantine.known(now_ms), now_ms, wants_all=True)
        spawn(self._send_news(instance_id, news), "ask_suspects", self.reactor)

    def receive(self, news: peer_pb2.SuspectNews) -> peer_pb2.SuspectNews:
        """Merge a peer's records; reply with all records if the peer asks for them."""
        self._merge(news)
        now_ms = self.clock.now_ms()
        records: Iterable[SuspectRecord] = ()
        if news.wants_all:
            records = self.quarantine.known(now_ms)
        return encode_news(records, now_ms)

    def _merge(self, news: peer_pb2.SuspectNews) -> None:
        now_ms = self.clock.now_ms()
        for record in decode_news(news, now_ms):
            self.quarantine.merge(record, now_ms)
        self._publish_changes()

    # Expiry and stored copy.

    async def _remove_expired(self) -> None:
        self.quarantine.forget(self.clock.now_ms())
        self._publish_changes()

    def _publish_changes(self) -> None:
        for change in self.quarantine.events:
            self._keeper.changed(change)
            log_event(
                "request_barred" if change.barred else "request_cleared",
                logging.WARNING if change.barred else logging.INFO,
                fingerprint=change.fingerprint,
                endpoints=",".join(change.endpoint_ids),
            )
        self.quarantine.events.clear()

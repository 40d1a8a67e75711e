"""The task that knows which requests end endpoints, and sees to it that all entries do.

Rule: what this entry learns it tells every other at once. Each greeting carries a
digest of what its sender knows; who hears another one than its own asks for everything
and gives everything. So one that was paused, cut off or has just begun knows all a
greeting or two after it is back: the bound is a sum in docs/design/quarantine.md.

Owns the quarantine of this entry. Relies on `PeersTask` to reach the others, and on
`SuspectKeeper` for what outlasts them all.
"""

import logging
import math
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, field

from coursekeel.entry.suspects._news import news_of, records_of
from coursekeel.entry.suspects._store import EntrySuspects
from coursekeel.observe import log_event
from coursekeel.peers import peer_pb2
from coursekeel.quarantine import Quarantine, SuspectRecord
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic, spawn
from coursekeel.storage import Platform
from coursekeel.suspects import QuarantineGate, SuspectKeeper

__all__ = ["SuspectsTask"]

# How often what is too old is forgotten. It is kept for a day.
_FORGET_MS = 60_000.0
# A peer is asked for everything at most once in so long: the digests of some greetings
# under way at once are all answered by one.
_ASKED_LATELY_MS = 300.0


@define(eq=False)
class SuspectsTask:
    """Tells and hears of suspect requests; ``gate`` is what requests ask.

    ``others`` gives the peers' names, ``tell`` sends one of them a message.
    """

    reactor: Reactor
    clock: Clock
    platform: Platform
    store_ms: float
    others: Callable[[], list[str]]
    tell: Callable[[str, peer_pb2.SuspectNews], Any]
    quarantine: Quarantine = field(factory=Quarantine)
    gate: QuarantineGate = field(init=False)
    _keeper: SuspectKeeper = field(init=False)
    _forget: Periodic = field(init=False)
    _asked_ms: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._keeper = SuspectKeeper(
            self.reactor,
            self.clock,
            EntrySuspects(self.platform, self.clock),
            self.quarantine,
            self.store_ms,
        )
        self.gate = QuarantineGate(
            self.clock, self.quarantine, self._learned, self._keeper.touched
        )
        self._forget = Periodic(
            self.reactor, "forget_suspects", _FORGET_MS, self._forget_old
        )

    def start(self) -> None:
        """Read what was known before this entry began."""
        self._keeper.start()
        self._forget.start()

    def stop(self) -> None:
        """Call the store no more."""
        self._keeper.stop()
        self._forget.stop()

    # Telling.

    def _learned(self, records: list[SuspectRecord]) -> None:
        """This entry learned something by itself: all others are told at once."""
        self._note_changes()
        news = news_of(records, self.clock.now_ms())
        for each in self.others():
            spawn(self._tell(each, news), "tell_suspects", self.reactor)

    async def _tell(self, instance_id: str, news: peer_pb2.SuspectNews) -> None:
        reply = await self.tell(instance_id, news)
        if reply is not None:
            self._merge(reply)

    def heard_digest(self, instance_id: str, digest: str) -> None:
        """A greeting told what its sender knows; an empty digest tells nothing."""
        if not digest or digest == self.quarantine.digest:
            return
        now_ms = self.clock.now_ms()
        if now_ms - self._asked_ms.get(instance_id, -math.inf) < _ASKED_LATELY_MS:
            return
        there = {*self.others(), instance_id}
        self._asked_ms = {k: at for k, at in self._asked_ms.items() if k in there}
        self._asked_ms[instance_id] = now_ms
        news = news_of(self.quarantine.known(now_ms), now_ms, wants_all=True)
        spawn(self._tell(instance_id, news), "ask_suspects", self.reactor)

    def told(self, news: peer_pb2.SuspectNews) -> peer_pb2.SuspectNews:
        """A peer tells what it knows; the reply is what it wants to know."""
        self._merge(news)
        now_ms = self.clock.now_ms()
        wanted: Iterable[SuspectRecord] = ()
        if news.wants_all:
            wanted = self.quarantine.known(now_ms)
        return news_of(wanted, now_ms)

    def _merge(self, news: peer_pb2.SuspectNews) -> None:
        now_ms = self.clock.now_ms()
        for each in records_of(news, now_ms):
            self.quarantine.merge(each, now_ms)
        self._note_changes()

    # Bookkeeping.

    async def _forget_old(self) -> None:
        self.quarantine.forget(self.clock.now_ms())
        self._note_changes()

    def _note_changes(self) -> None:
        for each in self.quarantine.events:
            self._keeper.changed(each)
            log_event(
                "request_barred" if each.barred else "request_cleared",
                logging.WARNING if each.barred else logging.INFO,
                fingerprint=each.fingerprint,
                endpoints=",".join(each.endpoint_ids),
            )
        self.quarantine.events.clear()

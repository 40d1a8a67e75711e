"""Drives `SendLimits`: answers of endpoints and messages of members in, permits out.

Owns the tick that observes the group, the copies' runs that wait for a permit, and the
log lines on limits. Relies on `SendLimits`, a core, for every decision, and on the
site's dialect to read what an answer says.
"""

import logging
from collections.abc import Callable

from attrs import define, field

from coursekeel.fetch import ExchangeHead
from coursekeel.forwarding import EndpointDirectory
from coursekeel.gateway._adapters import EndpointDialect, HeadVerdict
from coursekeel.group import Swim
from coursekeel.limits import (
    BrittlePools,
    Holders,
    LimitMessage,
    LimitWord,
    NamedLimit,
    PermitAnswer,
    SendLimits,
    UnreadableLimit,
    encode_limit_message,
)
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, Periodic, RoutingTask
from coursekeel.units import MS_PER_SECOND

__all__ = ["LimitsTask"]

_SendDatagram = Callable[[str, bytes], None]

# How often the group is observed: as often as its own deadlines are checked.
_TICK_MS = 150.0
# Every answer of an endpoint may carry the same unreadable limit.
_UNREADABLE_LOG_INTERVAL_MS = 1_000.0
# Interval at which a copy's run that waits for a permit looks for one.
_PERMIT_CHECK_MS = 10.0
# A send to a copy takes its permit when its connection stands.
_PERMIT_KEPT_MS = 300.0
# Stands for this instance where it has no address for peers.
_NO_PEER_ADDRESS = "local"


@define(eq=False)
class LimitsTask:
    """One instance's part in keeping endpoints' limits; ``send`` sends a datagram."""

    reactor: Reactor
    clock: Clock
    dialect: EndpointDialect
    swim: Swim
    directory: EndpointDirectory
    routing: RoutingTask
    send: _SendDatagram
    limits: SendLimits = field(init=False)
    requests_held: int = 0
    _brittle_pools: BrittlePools = field(init=False)
    _ticks: Periodic = field(init=False)
    _unreadable_logged_ms: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        expects_members = any(seed != self.swim.own for seed in self.swim.seeds)
        holders = Holders(self.swim.own or _NO_PEER_ADDRESS, expects_members)
        self.limits = SendLimits(holders, self._send)
        self._brittle_pools = BrittlePools(self.limits.book)
        self._ticks = Periodic(self.reactor, "limits", _TICK_MS, self._tick)

    def start(self) -> None:
        """Start to observe the group."""
        self._ticks.start()

    def stop(self) -> None:
        """Stop observing the group."""
        self._ticks.stop()

    async def _tick(self) -> None:
        now_ms, swim = self.clock.now_ms(), self.swim
        if swim.own:
            self.limits.holders.observe(
                swim.alive(), swim.others(), swim.leaving(), now_ms
            )
        else:
            self.limits.holders.observe([_NO_PEER_ADDRESS], [], [], now_ms)
        self.limits.forget_old(now_ms)
        for endpoint_id in list(self.limits.limited):
            if self.directory.record(endpoint_id) is None:
                self.limits.forget(endpoint_id)
        self.endpoints_changed()

    def endpoints_changed(self) -> None:
        """Take new endpoints of brittle pools for brittle, before routing uses them."""
        self._brittle_pools.observe(self.directory.pools(), self.clock.now_ms())
        self._log_events()

    def _send(self, member: str, message: LimitMessage) -> None:
        self.send(member, encode_limit_message(self.swim.group, self.swim.own, message))

    # What is known of limits.

    def per_s(self, endpoint_id: str) -> float | None:
        """The limit that an endpoint names, in requests a second; None without."""
        return self.limits.book.per_s(endpoint_id)

    def may_send(self, endpoint_id: str, permit_lapses_ms: float | None) -> bool:
        """Whether a request may leave for the endpoint now."""
        now_ms = self.clock.now_ms()
        return self.limits.may_send(endpoint_id, permit_lapses_ms, now_ms)

    def when_permitted(
        self, endpoint_id: str, within_ms: float, start: Callable[[], None]
    ) -> None:
        """Call ``start`` once a permit for the endpoint is at hand.

        Also if the endpoint needs none, or if none came ``within_ms``.
        """
        now_ms = self.clock.now_ms()
        needed = self.per_s(endpoint_id) is not None
        if needed:
            self.limits.keep(endpoint_id, now_ms + within_ms + _PERMIT_KEPT_MS)
        if needed and within_ms > 0 and not self.limits.has_permit(endpoint_id, now_ms):
            self.reactor.callLater(
                _PERMIT_CHECK_MS / MS_PER_SECOND,
                self.when_permitted,
                endpoint_id,
                within_ms - _PERMIT_CHECK_MS,
                start,
            )
            return
        start()

    # What endpoints and members say.

    def answered(
        self, endpoint_id: str, request_id: str, head: ExchangeHead, sent_ms: float
    ) -> None:
        """Apply the head of an answer to a request that was sent at ``sent_ms``.

        Only a head that is the endpoint's own can end a limit.
        """
        verdict = self.dialect.judge(head, request_id)
        if verdict is HeadVerdict.OTHER_INSTANCE:
            return
        word = self.dialect.limit_named(head)
        if verdict is not HeadVerdict.FOREIGN or isinstance(word, NamedLimit):
            self._apply(endpoint_id, word, sent_ms)
        if verdict is HeadVerdict.NOT_RUN:
            self.limits.turned_away(endpoint_id, self.clock.now_ms())

    def probe_answered(
        self, endpoint_id: str, head: ExchangeHead, sent_ms: float
    ) -> None:
        """Apply the head of an answer to a probe, which can name a limit only."""
        word = self.dialect.limit_named(head)
        if isinstance(word, NamedLimit):
            self._apply(endpoint_id, word, sent_ms)

    def _apply(self, endpoint_id: str, word: LimitWord, sent_ms: float) -> None:
        now_ms = self.clock.now_ms()
        self.limits.answered(endpoint_id, word, sent_ms, now_ms, self.swim.serving)
        if isinstance(word, UnreadableLimit):
            self._log_unreadable(endpoint_id, word)
        self._log_events()

    def received(self, sender: str, message: LimitMessage) -> None:
        """Handle a member's message."""
        self.limits.received(sender, message, self.clock.now_ms())
        self._log_events()
        if isinstance(message, PermitAnswer):
            self.routing.review()

    # The log.

    def log_held(
        self, request_id: str, endpoint_ids: list[str], outcome: str, wait_ms: float
    ) -> None:
        """Log a request that limits held back, and what became of it."""
        self.requests_held += 1
        limited = [each for each in endpoint_ids if self.per_s(each) is not None]
        holders = self.limits.holders
        log_event(
            "request_held",
            request=request_id,
            endpoints=",".join(limited),
            per_s=",".join(str(self.per_s(each)) for each in limited),
            holders=",".join(holders.holder(each) for each in limited),
            reached=round(holders.share(self.clock.now_ms()), 2),
            outcome=outcome,
            wait_ms=round(wait_ms),
        )

    def _log_events(self) -> None:
        for event in self.limits.book.events:
            log_event(
                f"limit_{event.kind.value}",
                endpoint=event.endpoint_id,
                per_s=event.per_s,
                brittle=self.limits.book.is_brittle(event.endpoint_id),
                source=event.source,
                holder=self.limits.holders.holder(event.endpoint_id),
            )
        self.limits.book.events.clear()

    def _log_unreadable(self, endpoint_id: str, word: UnreadableLimit) -> None:
        now_ms = self.clock.now_ms()
        if now_ms - self._unreadable_logged_ms < _UNREADABLE_LOG_INTERVAL_MS:
            return
        self._unreadable_logged_ms = now_ms
        log_event(
            "limit_unreadable",
            logging.WARNING,
            endpoint=endpoint_id,
            fault=word.fault,
            so_far=self.limits.book.unreadable,
        )

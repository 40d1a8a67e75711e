"""One send of a request to a member, which serves it in this instance's place.

Rule: the member sends the request to one endpoint, so that a try through a member is
one try like any other, and the sender's `CallCore` stays the only one that repeats. A
member that refuses has not run it; one that loses it may have. A member that is only
suspected is waited on; one that the group has given up has lost the request.

Owns the exchange, its time limit and the watch over the member. Reports the outcome to
its owner once.
"""

from attrs import define, field

from coursekeel.calls import SendOutcome, ServiceReply
from coursekeel.fetch import Ending, Exchange, ExchangeHead, ExchangeSink
from coursekeel.gateway._adapters import HeadVerdict
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._refusals import GatewayRefusal
from coursekeel.gateway.relay._member_watch import MemberWatch
from coursekeel.gateway.relay._relay_client import (
    MemberSearch,
    may_be_served_elsewhere,
    says_not_run,
)
from coursekeel.gateway.relay._relay_wire import read_refusal
from coursekeel.gateway.whole._collected_body import BodyReader, CollectedBody
from coursekeel.gateway.whole._whole_try import Try, TryLimit, TryOwner

__all__ = ["RelayedTry"]

# A member sends a whole answer to one endpoint for each try.
_TRIES = 1


@define(eq=False)
class RelayedTry(Try, ExchangeSink, BodyReader):
    """One send to one member; ``search`` learns how it ended."""

    owner: TryOwner
    context: GatewayContext
    call: AdmittedRequest
    search: MemberSearch
    member: str
    may_have_arrived: bool = True
    _limit: TryLimit = field(init=False)
    _watch: MemberWatch = field(init=False)
    _last_data_ms: float = field(init=False)
    _exchange: Exchange | None = None
    _head: ExchangeHead | None = None
    _body: CollectedBody = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._body = CollectedBody(self.context.bodies)
        self._limit = TryLimit(
            self.context.reactor, self.owner.may_replace_try, self._give_up
        )
        self._watch = MemberWatch(
            self.context.reactor,
            self.context.relays,
            self.member,
            self._member_suspected,
        )
        self._last_data_ms = self.context.clock.now_ms()

    def open(self, limit_ms: float | None) -> None:
        """Send the request; after ``limit_ms`` without an answer it may be replaced."""
        if limit_ms is not None:
            self._limit.start(limit_ms)
        self._watch.start()
        relays = self.context.relays
        self._exchange = relays.send(self.call, self.member, _TRIES, self)

    def may_send(self) -> bool:
        return self.owner.may_still_relay()

    def head_arrived(self, head: ExchangeHead) -> None:
        self._head = head
        self._last_data_ms = self.context.clock.now_ms()

    def data_arrived(self, data: bytes) -> None:
        self._last_data_ms = self.context.clock.now_ms()
        self._body.add(data, self)

    def ended(self, ending: Ending, reason: str) -> None:
        self._stop_timers()
        if ending in (Ending.NOT_SENT, Ending.WITHHELD):
            self._not_served(reason)
            return
        refusal = None if self._head is None else read_refusal(self._head)
        if refusal is not None and says_not_run(refusal):
            self._refused(refusal)
            return
        self.search.served(self.member)
        reply = self._reply(ending) if refusal is None else None
        self._body.drop()
        if reply is None:
            self._log(SendOutcome.MAYBE_SENT.value)
            self.search.lost(self.member)
            self.owner.try_ended(SendOutcome.MAYBE_SENT)
        else:
            self.owner.try_ended(reply)

    def _refused(self, refusal: GatewayRefusal) -> None:
        if may_be_served_elsewhere(refusal):
            self._not_served(refusal.code)
            return
        self.may_have_arrived = False
        self._log(refusal.code)
        self.search.served(self.member)
        self.owner.relay_refused(refusal)

    def _not_served(self, reason: str) -> None:
        self.may_have_arrived = False
        self._log(reason)
        self.search.passed_over(self.member)
        self.owner.member_passed_over(self.member)

    def _reply(self, ending: Ending) -> ServiceReply | None:
        """The endpoint's answer; None if it isn't one, or not complete."""
        dialect, head = self.context.endpoints.dialect, self._head
        if head is None or ending is not Ending.WHOLE:
            return None
        if dialect.judge(head, self.call.caller.request_id) is not HeadVerdict.RAN:
            return None
        headers = tuple(dialect.answer_headers(head))
        return ServiceReply(head.status, "", self._body.take(), headers)

    def abandon(self) -> None:
        """Abort without an outcome; the member stops when the connection closes."""
        self._stop_timers()
        self._body.drop()
        if self._exchange is not None:
            self._exchange.abort()

    def body_given_up(self, size_bytes: int) -> None:
        """End the try for this instance's memory, not as the member's failure."""
        self.abandon()
        self.context.metrics.body_given_up(self.call, self.member, size_bytes)
        self._log(SendOutcome.MAYBE_SENT.value)
        self.owner.try_ended(SendOutcome.MAYBE_SENT)

    def _stop_timers(self) -> None:
        self._limit.stop()
        self._watch.stop()

    def _member_suspected(self, suspected_ms: float) -> None:
        """End the try with its member; one that may be repeated, if it can be now."""
        if not self._watch.has_ended(self._last_data_ms):
            return
        if not self.call.route.kind.idempotent or self.owner.may_replace_try():
            self._give_up()

    def _give_up(self) -> None:
        """End the try, whose answer may still be made."""
        self.abandon()
        self._log(SendOutcome.MAYBE_SENT.value)
        self.search.lost(self.member)
        self.owner.try_ended(SendOutcome.MAYBE_SENT)

    def _log(self, outcome: str) -> None:
        self.context.metrics.try_ended(self.call, self.member, outcome)

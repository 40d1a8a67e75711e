"""One run of a stream that a member serves in this instance's place.

Rule: the member finds an endpoint, watches the run and resumes it, so a silent member
is taken for a waiting one for as long as the group finds it serving. Its events are
counted here like an endpoint's; a run that ends with the member goes on elsewhere after
the last event that has come.

A run that may not be repeated is waited on while its member is only suspected: it may
still be at work. It is lost once the group has given the member up and no event has
come for a while.

Owns the exchange, the watch over the member, and the bytes of the incomplete last
event.
"""

from attrs import define

from coursekeel.answers import Loss
from coursekeel.fetch import ExchangeHead
from coursekeel.gateway._adapters import HeadVerdict
from coursekeel.gateway.admission._refusals import GatewayRefusal
from coursekeel.gateway.relay._member_watch import MemberWatch
from coursekeel.gateway.relay._relay_client import (
    MemberSearch,
    may_be_served_elsewhere,
    says_not_run,
)
from coursekeel.gateway.relay._relay_wire import read_refusal
from coursekeel.gateway.streams._stream_attempt import StreamAttempt

__all__ = ["RelayedAttempt"]

# The log value of a run whose member is suspected or gone.
_MEMBER_LOST = "member_lost"


@define(eq=False)
class RelayedAttempt(StreamAttempt):
    """One run at one member, whose address is ``endpoint_id``."""

    _search: MemberSearch | None = None
    _tries: int = 0
    _member_watch: MemberWatch | None = None

    @property
    def is_relayed(self) -> bool:
        return True

    @property
    def search(self) -> MemberSearch:
        """The search that found the member."""
        assert self._search is not None
        return self._search

    def relay(self, search: MemberSearch, tries: int, resume_after: int | None) -> None:
        """Send the request; the member may send it to ``tries`` endpoints."""
        self._search, self._tries = search, tries
        task = self.task
        self._exchange = task.context.relays.send(
            task.call, self.endpoint_id, tries, self, resume_after
        )
        self._member_watch = MemberWatch(
            task.context.reactor,
            task.context.relays,
            self.endpoint_id,
            self._member_suspected,
        )
        self._member_watch.start()

    def _member_suspected(self, overdue_ms: float) -> None:
        task = self.task
        self.search.lost(self.endpoint_id)
        if not task.core.may_run_again and self._has_ended_with_member:
            self.lose(_MEMBER_LOST)
        else:
            task.run_overdue(self.number, _MEMBER_LOST, overdue_ms)

    @property
    def _has_ended_with_member(self) -> bool:
        assert self._member_watch is not None
        last_ms = self.task.core.attempts[self.number].last_received_ms
        return self._member_watch.has_ended(last_ms)

    def may_send(self) -> bool:
        return self.task.may_still_relay()

    def _verdict(self, head: ExchangeHead) -> HeadVerdict:
        if read_refusal(head) is not None:
            return HeadVerdict.FOREIGN
        return StreamAttempt._verdict(self, head)

    def _first_event_received(self) -> None:
        self._first_event_ms = self.task.context.clock.now_ms()
        self.search.served(self.endpoint_id)

    def _not_reached(self, reason: str) -> None:
        self.search.passed_over(self.endpoint_id)

    def _not_sent(self) -> None:
        self.task.relay_not_run(self._tries)

    def _non_stream_response(self, head: ExchangeHead, whole: bool) -> None:
        refusal = read_refusal(head)
        if refusal is None or not says_not_run(refusal):
            StreamAttempt._non_stream_response(self, head, whole)
        elif may_be_served_elsewhere(refusal):
            self._not_reached(refusal.code)
            self._not_sent()
            self._end(Loss.NOT_SENT)
        else:
            self._refused(refusal)

    def _refused(self, refusal: GatewayRefusal) -> None:
        """End the stream with a refusal that holds at every instance."""
        self.search.served(self.endpoint_id)
        self._not_sent()
        self.task.relay_refused(refusal)
        self._end(Loss.NOT_SENT)

    def report_lost(self, why: str) -> None:
        self.search.lost(self.endpoint_id)
        self.task.relay_lost(self.loss_record(why))

    def _record_version_outcome(self, failed: bool) -> None:
        """Leave it to the member, which knows the endpoint."""

    def _release(self, failed: bool) -> None:
        if self._member_watch is not None:
            self._member_watch.stop()

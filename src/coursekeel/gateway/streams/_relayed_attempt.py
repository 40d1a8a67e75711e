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

from typing import Any

from attrs import define

from coursekeel.answers import Loss
from coursekeel.fetch import ExchangeHead
from coursekeel.gateway._adapters import HeadVerdict
from coursekeel.gateway.admission._refusals import GatewayRefusal
from coursekeel.gateway.relay._relay_client import (
    MemberSearch,
    may_be_served_elsewhere,
    says_not_run,
)
from coursekeel.gateway.relay._relay_wire import read_refusal
from coursekeel.gateway.streams._stream_attempt import StreamAttempt
from coursekeel.units import MS_PER_SECOND

__all__ = ["RelayedAttempt"]

# How often the group's view of the member is looked at.
_WATCH_INTERVAL_MS = 250.0

# The log value of a run whose member is suspected or gone.
_MEMBER_LOST = "member_lost"

# A member that sent data this recently serves, whatever the group finds.
_RECENT_DATA_MS = 2_000.0


@define(eq=False)
class RelayedAttempt(StreamAttempt):
    """One run at one member, whose address is ``endpoint_id``."""

    _search: MemberSearch | None = None
    _tries: int = 0
    _watch_timer: Any = None
    _member_lost_ms: float | None = None

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
        self._watch_member()

    def _watch_member(self) -> None:
        reactor = self.task.context.reactor
        self._watch_timer = reactor.callLater(
            _WATCH_INTERVAL_MS / MS_PER_SECOND, self._check_member
        )

    def _check_member(self) -> None:
        self._watch_member()
        if self.task.context.relays.is_serving(self.endpoint_id):
            self._member_lost_ms = None
            return
        self.search.lost(self.endpoint_id)
        now_ms = self.task.context.clock.now_ms()
        if self._member_lost_ms is None:
            self._member_lost_ms = now_ms
        if not self.task.core.may_run_again and self._has_ended_with_member(now_ms):
            self.lose(_MEMBER_LOST)
            return
        overdue_ms = now_ms - self._member_lost_ms
        self.task.run_overdue(self.number, _MEMBER_LOST, overdue_ms)

    def _has_ended_with_member(self, now_ms: float) -> bool:
        """Whether the member is gone, not just suspected, and sends nothing."""
        last_ms = self.task.core.attempts[self.number].last_received_ms
        is_silent = now_ms - last_ms >= _RECENT_DATA_MS
        return is_silent and self.task.context.relays.is_gone(self.endpoint_id)

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
        if self._watch_timer is not None:
            self._watch_timer.cancel()
            self._watch_timer = None

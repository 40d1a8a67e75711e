"""One send of a request to one endpoint, which reads the complete answer.

Owns the exchange and its time limit. Reports the outcome to its owner once.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from attrs import define, field

from coursekeel.calls import SendOutcome, ServiceReply
from coursekeel.fetch import Ending, Exchange, ExchangeHead, ExchangeSink
from coursekeel.gateway._adapters import HeadVerdict, OutboundRequest
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway._metrics import LostRun
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._refusals import GatewayRefusal
from coursekeel.gateway.whole._collected_body import BodyReader, CollectedBody
from coursekeel.reactor import Reactor
from coursekeel.units import MS_PER_SECOND

__all__ = ["Try", "TryLimit", "TryOwner", "WholeTry"]

# How often a try that is past its limit looks for a retry.
_RETRY_CHECK_MS = 250.0


class TryOwner(ABC):
    """The task that a try belongs to."""

    @abstractmethod
    def may_still_send(self, endpoint_id: str) -> bool:
        """Return whether the request may be sent to the endpoint now."""

    @abstractmethod
    def may_still_relay(self) -> bool:
        """Return whether the request may be sent to a member now."""

    @abstractmethod
    def may_replace_try(self) -> bool:
        """Return whether the request may be sent again; if so, a retry is reserved."""

    @abstractmethod
    def try_ended(self, outcome: ServiceReply | SendOutcome) -> None:
        """Handle the outcome of the try: a reply, or why there is none."""

    @abstractmethod
    def member_passed_over(self, member: str) -> None:
        """Handle a member that didn't serve the request, which hasn't run."""

    @abstractmethod
    def relay_refused(self, refusal: GatewayRefusal) -> None:
        """Handle a member's refusal that holds at every instance."""


class Try(ABC):
    """A send that is open.

    ``may_have_arrived`` is False once it is certain that no endpoint got the request.
    """

    may_have_arrived: bool

    @abstractmethod
    def abandon(self) -> None:
        """Abort without an outcome: the caller left, or the deadline has passed."""


@define(eq=False)
class TryLimit:
    """The time limit of a try that another can follow.

    At the limit ``on_reached`` is called once a retry is reserved; until then the try
    goes on, since its answer may still come.
    """

    reactor: Reactor
    may_replace: Callable[[], bool]
    on_reached: Callable[[], None]
    _timer: Any = None

    def start(self, limit_ms: float) -> None:
        """Start, or go on, with ``limit_ms`` from now."""
        delay_s = limit_ms / MS_PER_SECOND
        self._timer = self.reactor.callLater(delay_s, self._reached)

    def stop(self) -> None:
        """Stop: the try has ended; its callbacks, which refer to it, are let go of."""
        self.may_replace, self.on_reached = _never, _do_nothing
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _reached(self) -> None:
        self._timer = None
        if self.may_replace():
            self.on_reached()
        else:
            self.start(_RETRY_CHECK_MS)


def _never() -> bool:
    return False


def _do_nothing() -> None:
    """The limit of a try that has ended."""


@define(eq=False)
class WholeTry(Try, ExchangeSink, BodyReader):
    """One send to one endpoint; it releases its slot in routing when it ends."""

    owner: TryOwner
    context: GatewayContext
    call: AdmittedRequest
    endpoint_id: str
    may_have_arrived: bool = True
    _started_ms: float = field(init=False)
    _limit: TryLimit = field(init=False)
    _exchange: Exchange | None = None
    _head: ExchangeHead | None = None
    _body: CollectedBody = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._started_ms = self.context.clock.now_ms()
        self._body = CollectedBody(self.context.bodies)
        self._limit = TryLimit(
            self.context.reactor, self.owner.may_replace_try, self._limit_reached
        )

    def open(
        self,
        outbound: OutboundRequest,
        limit_ms: float | None,
        permit_lapses_ms: float | None,
    ) -> None:
        """Send the request; after ``limit_ms`` without an answer it may be replaced.

        ``permit_lapses_ms`` is the time until which the permit for it may be used.
        """
        context = self.context
        if limit_ms is not None:
            self._limit.start(limit_ms)
        self._exchange = context.endpoints.send(
            self.call, outbound, self, permit_lapses_ms
        )

    def may_send(self) -> bool:
        return self.owner.may_still_send(self.endpoint_id)

    def head_arrived(self, head: ExchangeHead) -> None:
        self._head = head

    def data_arrived(self, data: bytes) -> None:
        self._body.add(data, self)

    def ended(self, ending: Ending, reason: str) -> None:
        self._limit.stop()
        outcome = self._outcome(ending, reason)
        self._body.drop()
        limited = self.context.endpoints.limits.per_s(self.endpoint_id) is not None
        shed = outcome is SendOutcome.TURNED_AWAY
        failed = not isinstance(outcome, ServiceReply) or outcome.failed
        if shed and limited:
            # An endpoint that sheds load as it announced isn't failing.
            failed = False
        self._log(outcome)
        self._record_version_outcome(outcome)
        if ending in (Ending.CUT, Ending.NO_ANSWER):
            self._report_run_lost(reason)
        if not failed:
            router = self.context.routing.router
            router.record_success(self.endpoint_id, self.call.route.name)
        self._release(failed)
        if shed and not limited:
            now_ms = self.context.clock.now_ms()
            self.context.routing.router.record_refusal(self.endpoint_id, now_ms)
        self.owner.try_ended(outcome)

    def abandon(self) -> None:
        """Abort without an outcome: the caller left, or the deadline has passed."""
        self._limit.stop()
        self._body.drop()
        if self._exchange is not None:
            self._exchange.abort()
        self._release(failed=False)

    def body_given_up(self, size_bytes: int) -> None:
        """End the try for this instance's memory, not as the endpoint's failure."""
        self.abandon()
        self.context.metrics.body_given_up(self.call, self.endpoint_id, size_bytes)
        self._log(SendOutcome.MAYBE_SENT)
        self.owner.try_ended(SendOutcome.MAYBE_SENT)

    def _outcome(self, ending: Ending, reason: str) -> ServiceReply | SendOutcome:
        """Return the reply or the outcome; in doubt, that the request may have run."""
        context = self.context
        if ending is Ending.WITHHELD:
            self.may_have_arrived = False
            return SendOutcome.NOT_SENT
        if ending is Ending.NOT_SENT:
            context.health.unreachable(self.endpoint_id, reason)
            self.may_have_arrived = False
            return SendOutcome.NOT_SENT
        if self._head is None:
            return SendOutcome.MAYBE_SENT
        dialect = context.endpoints.dialect
        match dialect.judge(self._head, self.call.caller.request_id):
            case HeadVerdict.OTHER_INSTANCE:
                context.health.replaced(self.endpoint_id)
                return SendOutcome.NOT_SENT
            case HeadVerdict.NOT_RUN:
                return SendOutcome.TURNED_AWAY
            case HeadVerdict.RAN if ending is Ending.WHOLE:
                return self._reply(self._head)
            case _:
                return SendOutcome.MAYBE_SENT

    def _reply(self, head: ExchangeHead) -> ServiceReply:
        headers = tuple(self.context.endpoints.dialect.answer_headers(head))
        return ServiceReply(head.status, "", self._body.take(), headers)

    def _log(self, outcome: ServiceReply | SendOutcome) -> None:
        if isinstance(outcome, SendOutcome):
            result = outcome.value
        elif outcome.failed:
            result = f"status_{outcome.status}"
        else:
            return
        self.context.metrics.try_ended(self.call, self.endpoint_id, result)

    def _record_version_outcome(self, outcome: ServiceReply | SendOutcome) -> None:
        """Report the outcome to the rollouts; a rejected request doesn't count."""
        versions = self.context.versions
        if isinstance(outcome, ServiceReply):
            took_ms = self.context.clock.now_ms() - self._started_ms
            versions.ended(self.call, self.endpoint_id, outcome.failed, took_ms)
        elif outcome is SendOutcome.MAYBE_SENT:
            versions.lost(self.call, self.endpoint_id)

    def _report_run_lost(self, reason: str) -> None:
        ran_ms = None
        if self._head is not None:
            ran_ms = self.context.clock.now_ms() - self._started_ms
        lost = LostRun(self.endpoint_id, reason, ran_ms, closed=True)
        self.context.crashes.run_lost(self.call, lost)

    def _limit_reached(self) -> None:
        assert self._exchange is not None
        self._limit.stop()
        self._exchange.abort()
        self._body.drop()
        self._release(failed=True)
        self._log(SendOutcome.MAYBE_SENT)
        self.context.versions.ended(self.call, self.endpoint_id, True, 0.0)
        self.owner.try_ended(SendOutcome.MAYBE_SENT)

    def _release(self, failed: bool) -> None:
        run_ms = self.context.clock.now_ms() - self._started_ms
        self.context.routing.release(self.endpoint_id, run_ms, failed)

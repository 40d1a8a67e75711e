"""One call to a plain service: a deterministic core without clock or sockets.

Rule: a call that isn't repeatable runs at most once. If it carries the caller's key, it
is sent only after a claim row was inserted for the key. The reply claims only what is
guaranteed: `not_run` needs a refusal recorded in the table, or a call without a key,
which no other process can have sent.
"""

from attrs import define, field

from coursekeel.answers import RunState
from coursekeel.calls._claims import ClaimRow, ClaimState
from coursekeel.calls._messages import (
    CallAction,
    CallArrived,
    CallEvent,
    CallPolicy,
    CallReply,
    ClaimRead,
    ClaimWritten,
    OutcomeRecorded,
    ReadClaim,
    Record,
    SendCall,
    SendEnded,
    SendOutcome,
    SendReply,
    WriteClaim,
)
from coursekeel.calls._reply import ServiceReply
from coursekeel.charts import Machine, load_chart
from coursekeel.storage import (
    Committed,
    Conflict,
    Row,
    Rows,
    TransactOutcome,
    Unavailable,
    Unsure,
)

__all__ = ["CallCore"]


@define(eq=False)
class CallCore:
    """Handles the events of one call.

    ``claim`` is the row to insert before sending, None if none is needed. ``keyed``
    says that the request carries the caller's key, so that another entry may have run
    it. ``may_have_run`` is true once a send may have reached an endpoint.
    """

    policy: CallPolicy
    claim: ClaimRow | None
    keyed: bool
    _machine: Machine = field(factory=lambda: load_chart("call").machine())
    _claim_version: int = 0
    _tries: int = 0
    _unreached_tries: int = 0
    _last_failure: ServiceReply | None = None
    may_have_run: bool = False
    _reply: CallReply | None = None

    @property
    def settled(self) -> bool:
        """Whether the call is in its final state."""
        return self._machine.state == "settled"

    def handle(self, event: CallEvent) -> list[CallAction]:
        """Handle one event and return the actions for the shell, in order."""
        match event:
            case CallArrived():
                return self._begin()
            case ClaimWritten():
                return self._handle_claim_answered(event.outcome)
            case ClaimRead():
                return self._handle_read_back(event.outcome)
            case SendEnded():
                return self._handle_send_ended(event.outcome)
            case OutcomeRecorded():
                return self._handle_recorded(event.outcome)

    def _begin(self) -> list[CallAction]:
        if self.claim is None:
            self._machine.feed("no_claim_needed")
            return self._send()
        self._machine.feed("claim_needed")
        return [WriteClaim(self.claim)]

    def _handle_claim_answered(self, outcome: TransactOutcome) -> list[CallAction]:
        claim = self._own_claim()
        match outcome:
            case Committed():
                self._claim_version = outcome.versions[claim.key]
                self._machine.feed("claim_won")
                return self._send()
            case Conflict():
                self._machine.feed("claim_lost")
                return [
                    SendReply(self._reply_of_first_call(outcome.rows.get(claim.key)))
                ]
            case Unsure():
                self._machine.feed("claim_unsure")
                return [ReadClaim(claim.key)]
            case Unavailable():
                self._machine.feed("claim_unavailable")
                return [SendReply(self._unknown_reply("store_unavailable"))]

    def _handle_read_back(self, outcome: Rows | Unavailable) -> list[CallAction]:
        claim = self._own_claim()
        if isinstance(outcome, Unavailable):
            self._machine.feed("claim_unavailable")
            return [SendReply(self._unknown_reply("store_unavailable"))]
        row = outcome.rows.get(claim.key)
        if row is None:
            # The claim's write may still take effect. Sending without the claim could
            # run the call twice.
            self._machine.feed("claim_unsure")
            return [SendReply(self._unknown_reply("claim_unsure"))]
        if row.value["attempt_id"] == claim.attempt_id:
            self._claim_version = row.version
            self._machine.feed("claim_won")
            return self._send()
        self._machine.feed("claim_lost")
        return [SendReply(self._reply_of_first_call(row))]

    def _send(self) -> list[CallAction]:
        return [SendCall()]

    def _handle_send_ended(
        self, outcome: ServiceReply | SendOutcome
    ) -> list[CallAction]:
        if outcome is SendOutcome.NOT_SENT:
            self._unreached_tries += 1
        else:
            self._tries += 1
        if isinstance(outcome, ServiceReply) and outcome.failed:
            self._last_failure = outcome
        if self._may_try_again(outcome):
            return self._send()
        if self._last_failure is not None and not isinstance(outcome, ServiceReply):
            # A failure reply of the service is more specific than a later lost try.
            outcome = self._last_failure
        return self._finish(outcome)

    def _finish(self, outcome: ServiceReply | SendOutcome) -> list[CallAction]:
        """Settle the call with the outcome of its last try."""
        match outcome:
            case ServiceReply():
                self._machine.feed("answered")
                return self._settle(CallReply(RunState.RAN, reply=outcome))
            case SendOutcome.MAYBE_SENT:
                self._machine.feed("maybe_sent")
                return self._settle(self._unknown_reply("answer_lost"))
            case _ if self.may_have_run:
                self._machine.feed("maybe_sent")
                return self._settle(self._unknown_reply("answer_lost"))
            case _:
                self._machine.feed("not_sent")
                return self._settle(
                    CallReply(
                        RunState.NOT_RUN,
                        "no_endpoint",
                        retry_after_ms=self.policy.retry_after_ms,
                    )
                )

    def _may_try_again(self, outcome: ServiceReply | SendOutcome) -> bool:
        """Whether another send is allowed; also updates `may_have_run`."""
        if outcome is SendOutcome.MAYBE_SENT:
            self.may_have_run = True
        if self._tries >= self.policy.tries:
            return False
        match outcome:
            case SendOutcome.NOT_SENT:
                return self._unreached_tries < self.policy.unreached_tries
            case SendOutcome.TURNED_AWAY:
                return True
            case SendOutcome.MAYBE_SENT:
                return self.policy.repeatable
            case ServiceReply():
                return self.policy.repeatable and outcome.failed
            case _:
                return False

    def _settle(self, reply: CallReply) -> list[CallAction]:
        """Reply to the caller and record the outcome of a claimed call.

        A result is sent at once, even if the table can't be written now. A refusal is
        recorded first, because it is guaranteed only once the table holds it.
        """
        self._last_failure = None
        if self.claim is None:
            self._machine.feed("recorded")
            return [SendReply(self._reply_without_claim(reply))]
        self._reply = reply
        record = Record(self.claim.settled(reply.run, reply.reply), self._claim_version)
        if reply.run is RunState.NOT_RUN:
            return [record]
        return [SendReply(reply), record]

    def _reply_without_claim(self, reply: CallReply) -> CallReply:
        """Report a keyed call's refusal as unknown: another entry may have run it."""
        if reply.run is RunState.NOT_RUN and self.keyed:
            return self._unknown_reply(reply.code)
        return reply

    def _handle_recorded(self, outcome: TransactOutcome) -> list[CallAction]:
        """Send a refusal if it was recorded, otherwise report an unknown outcome."""
        reply = self._reply
        self._machine.feed("recorded")
        if reply is None or reply.run is not RunState.NOT_RUN:
            return []
        if isinstance(outcome, Committed):
            return [SendReply(reply)]
        return [SendReply(self._unknown_reply("store_unavailable"))]

    def _reply_of_first_call(self, row: Row | None) -> CallReply:
        """The reply to a call whose key was claimed first by the call in ``row``."""
        if row is None:
            return self._unknown_reply("claim_unsure")
        first = ClaimRow.from_row(row.key, row.value)
        if first.fingerprint != self._own_claim().fingerprint:
            return CallReply(RunState.UNKNOWN, "key_reused")
        match first.state:
            case ClaimState.DONE:
                reply = ServiceReply(first.status, first.content_type, first.body)
                return CallReply(RunState.RAN, reply=reply, repeated=True)
            case ClaimState.REFUSED:
                return CallReply(RunState.NOT_RUN, "refused_before", repeated=True)
            case ClaimState.UNKNOWN:
                return CallReply(RunState.UNKNOWN, "answer_lost", repeated=True)
            case ClaimState.RUNNING:
                return self._unknown_reply("in_progress")

    def _unknown_reply(self, code: str) -> CallReply:
        return CallReply(
            RunState.UNKNOWN, code, retry_after_ms=self.policy.retry_after_ms
        )

    def _own_claim(self) -> ClaimRow:
        assert self.claim is not None
        return self.claim

"""One call to a plain service: a deterministic core that sends it at most once.

A call that may not be repeated and carries the caller's key is sent only under a claim
in the table. Whatever is said of a call's fate is what can be proved: `not_run` needs
a refusal that stands in the table, or an id that only this entry ever knew.
"""

from attrs import define, field

from coursekeel.answers import RunState
from coursekeel.calls._claims import ClaimRow, ClaimState
from coursekeel.calls._messages import (
    Begin,
    CallAction,
    CallEvent,
    CallPolicy,
    CallReply,
    ClaimAnswered,
    ReadBack,
    ReadBackAnswered,
    Record,
    Recorded,
    Reply,
    Send,
    SendEnded,
    SendOutcome,
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
    """Decides one call. ``claim`` is the row to insert, None where none is needed."""

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
        """Say whether the call is done with."""
        return self._machine.state == "settled"

    def handle(self, event: CallEvent) -> list[CallAction]:
        """Take one event and say what is to be done."""
        match event:
            case Begin():
                return self._begin()
            case ClaimAnswered():
                return self._handle_claim_answered(event.outcome)
            case ReadBackAnswered():
                return self._handle_read_back(event.outcome)
            case SendEnded():
                return self._handle_send_ended(event.outcome)
            case Recorded():
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
                return [Reply(self._reply_of_first_call(outcome.rows.get(claim.key)))]
            case Unsure():
                self._machine.feed("claim_unsure")
                return [ReadBack(claim.key)]
            case Unavailable():
                self._machine.feed("claim_unavailable")
                return [Reply(self._unknown_reply("store_unavailable"))]

    def _handle_read_back(self, outcome: Rows | Unavailable) -> list[CallAction]:
        claim = self._own_claim()
        if isinstance(outcome, Unavailable):
            self._machine.feed("claim_unavailable")
            return [Reply(self._unknown_reply("store_unavailable"))]
        row = outcome.rows.get(claim.key)
        if row is None:
            # The claim may still be on its way into the table, and a send without it
            # could meet a second one.
            self._machine.feed("claim_unsure")
            return [Reply(self._unknown_reply("claim_unsure"))]
        if row.value["attempt_id"] == claim.attempt_id:
            self._claim_version = row.version
            self._machine.feed("claim_won")
            return self._send()
        self._machine.feed("claim_lost")
        return [Reply(self._reply_of_first_call(row))]

    def _send(self) -> list[CallAction]:
        return [Send()]

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
            # A failure that the service gave says more than the loss of a later try.
            outcome = self._last_failure
        return self._finish(outcome)

    def _finish(self, outcome: ServiceReply | SendOutcome) -> list[CallAction]:
        """No further try: the call's fate is what the last one proves."""
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
        """A claimed call's fate is recorded before a refusal is given out.

        A result is given out at once: the caller has a right to it even if the table
        can't take it now. A refusal becomes true only by standing in the table.
        """
        self._reply = reply
        if self.claim is None:
            self._machine.feed("recorded")
            return [Reply(self._reply_without_claim(reply))]
        record = Record(self.claim.settled(reply.run, reply.reply), self._claim_version)
        if reply.run is RunState.NOT_RUN:
            return [record]
        return [Reply(reply), record]

    def _reply_without_claim(self, reply: CallReply) -> CallReply:
        """With a caller's key, another entry may have run what this one didn't."""
        if reply.run is RunState.NOT_RUN and self.keyed:
            return self._unknown_reply(reply.code)
        return reply

    def _handle_recorded(self, outcome: TransactOutcome) -> list[CallAction]:
        """A refusal that doesn't stand in the table isn't given out."""
        reply = self._reply
        self._machine.feed("recorded")
        if reply is None or reply.run is not RunState.NOT_RUN:
            return []
        if isinstance(outcome, Committed):
            return [Reply(reply)]
        return [Reply(self._unknown_reply("store_unavailable"))]

    def _reply_of_first_call(self, row: Row | None) -> CallReply:
        """What the first call with this key came to."""
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

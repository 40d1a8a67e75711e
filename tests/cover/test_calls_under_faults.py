"""A call that isn't repeatable runs at most once; a refused call has not run."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from coursekeel.answers import RunState
from coursekeel.calls import (
    CallArrived,
    CallCore,
    CallPolicy,
    ClaimRead,
    ClaimRow,
    ClaimWritten,
    OutcomeRecorded,
    ReadClaim,
    Record,
    SendCall,
    SendEnded,
    SendOutcome,
    SendReply,
    ServiceReply,
    WriteClaim,
)
from coursekeel.storage import Transaction
from tests.common.examples import schedules, until_failure
from tests.common.fake_platform import OUTCOMES, FakePlatform
from tests.common.naive import NaiveCall

KEY = "calls/ikeja/booking/slot-42"
SENDS = st.sampled_from(["answered", "answer_lost", "not_sent", "cut_before"])


class CallMachine(RuleBasedStateMachine):
    """Entries that receive the same keyed call, a table, and a service."""

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.ran = 0
        self.sending = []
        self.replies = []
        self.calls = 0

    # Handling of the cores' actions.

    @precondition(lambda self: self.calls < 5)
    @rule()
    def call_arrives(self):
        self.calls += 1
        claim = ClaimRow(KEY, f"attempt-{self.calls}", f"entry-{self.calls}", "f")
        core = CallCore(CallPolicy(repeatable=False), claim, keyed=True)
        self.carry_out(core, core.handle(CallArrived()))

    def carry_out(self, core, actions):
        for action in actions:
            self.carry_out_one(core, action)

    def carry_out_one(self, core, action):
        match action:
            case WriteClaim():
                write = Transaction({KEY: 0}, {KEY: action.row.to_row()})
                self.request("transact", write, core, ClaimWritten)
            case ReadClaim():
                self.request("read", [action.key], core, ClaimRead)
            case Record():
                row = {KEY: action.row.to_row()}
                write = Transaction({KEY: action.version}, row)
                self.request("transact", write, core, OutcomeRecorded)
            case SendCall():
                self.sending.append(core)
            case SendReply():
                self.replies.append(action.reply)

    def request(self, kind, argument, core, event):
        reply = self.platform._ask(kind, argument)
        reply.addCallback(
            lambda outcome: self.carry_out(core, core.handle(event(outcome)))
        )

    # Steps of the schedule.

    @precondition(lambda self: self.platform.waiting)
    @rule(index=st.integers(0, 9), how=st.sampled_from(OUTCOMES))
    def store_responds(self, index, how):
        self.platform.step(index, how)

    @rule()
    def apply_late_write(self):
        self.platform.apply_delayed_write()

    @precondition(lambda self: self.sending)
    @rule(index=st.integers(0, 9), how=SENDS)
    def end_send(self, index, how):
        core = self.sending.pop(index % len(self.sending))
        outcome = self.send(how)
        self.carry_out(core, core.handle(SendEnded(outcome)))

    def send(self, how):
        if how in ("answered", "answer_lost"):
            self.ran += 1
        if how == "answered":
            return ServiceReply(200, "text/plain", b"booked")
        return SendOutcome.NOT_SENT if how == "not_sent" else SendOutcome.MAYBE_SENT

    @precondition(lambda self: self.platform.waiting)
    @rule(index=st.integers(0, 9))
    def entry_crashes(self, index):
        """Drop an operation's reply; its effect may still happen."""
        waiting = self.platform.waiting
        operation = waiting.pop(index % len(waiting))
        if operation.kind == "transact":
            self.platform.late.append(operation.argument)

    def teardown(self):
        self.check()

    def check(self):
        assert self.ran <= 1, f"ran {self.ran} times"
        for reply in self.replies:
            if reply.run is RunState.NOT_RUN:
                assert self.ran == 0, "a call that ran was reported as not run"
            if reply.run is RunState.RAN:
                assert self.ran == 1, "a call that did not run was reported as run"

    def run_until_settled(self):
        while self.platform.late:
            self.platform.apply_delayed_write()
        for _ in range(50):
            self.platform.drain()
            while self.sending:
                self.end_send(0, "answered")


class NaiveCallMachine(CallMachine):
    def carry_out_one(self, core, action):
        if isinstance(action, WriteClaim):
            self.sending.append(NaiveCall())

    def carry_out(self, core, actions):
        if not isinstance(core, NaiveCall):
            super().carry_out(core, actions)

    @precondition(lambda self: self.sending)
    @rule(index=st.integers(0, 9), how=SENDS)
    def end_send(self, index, how):
        call = self.sending[index % len(self.sending)]
        outcome = self.send(how)
        if not call.record_outcome(isinstance(outcome, ServiceReply)):
            self.sending.remove(call)
            self.replies.append(_NaiveReply(call.reply))


class _NaiveReply:
    def __init__(self, run):
        self.run = run


class SettlingCallMachine(CallMachine):
    def teardown(self):
        self.run_until_settled()
        self.check()


def test_a_keyed_call_runs_at_most_once_and_reports_are_true():
    run_state_machine_as_test(SettlingCallMachine, settings=schedules(400))


def test_the_naive_version_runs_a_call_twice():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveCallMachine, settings=until_failure())


def start_call(keyed=True, repeatable=False, claimed=True):
    claim = ClaimRow(KEY, "attempt-1", "entry-1", "f") if claimed else None
    core = CallCore(CallPolicy(repeatable), claim, keyed)
    return core, core.handle(CallArrived())


def test_a_call_without_a_key_is_sent_at_once():
    _, actions = start_call(claimed=False, keyed=False)
    assert actions == [SendCall()]


def test_an_unkeyed_call_that_was_not_sent_is_reported_as_not_run():
    core, _ = start_call(claimed=False, keyed=False)
    for _ in range(3):
        actions = core.handle(SendEnded(SendOutcome.NOT_SENT))
    assert actions[0].reply.run is RunState.NOT_RUN


def test_a_call_that_is_not_repeatable_is_not_sent_after_a_lost_reply():
    core, _ = start_call(claimed=False, keyed=False)
    (action,) = core.handle(SendEnded(SendOutcome.MAYBE_SENT))
    assert action.reply.run is RunState.UNKNOWN


def test_a_repeatable_call_is_sent_again_after_a_lost_reply():
    core, _ = start_call(claimed=False, keyed=False, repeatable=True)
    assert core.handle(SendEnded(SendOutcome.MAYBE_SENT)) == [SendCall()]

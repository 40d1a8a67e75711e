"""A request that may not be repeated runs once, by whatever way it might run again."""

from collections.abc import Callable
from random import Random
from unittest.mock import Mock

import pytest
from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.answers import (
    AnswerCore,
    AnswerPolicy,
    AttemptEnded,
    CopyPlaced,
    EndpointGranted,
    EndpointStalled,
    ExpectedModel,
    HeadArrived,
    Loss,
    NoEndpointFree,
    Started,
    StreamHead,
    Tick,
    TokensArrived,
)
from coursekeel.fetch import Ending, Exchange, ExchangeHead, ExchangeSink
from coursekeel.forwarding import EventLedger, RouteKind
from coursekeel.gateway._adapters import HeadVerdict
from coursekeel.gateway.relay._relay_client import RelayClient
from coursekeel.gateway.streams._stream_task import StreamTask
from coursekeel.reach import RelayMembers
from coursekeel.routing import POOL_UNREACHED_CODE, Refuse
from tests.common.examples import schedules
from tests.cover.test_stream_placement import (
    StreamHarness,
    refuse,
    send_first_event,
)

KINDS = (RouteKind.STREAM, RouteKind.RESUMABLE)
MEMBER, OTHER_MEMBER = "127.0.0.2:7200", "127.0.0.3:7200"


@define(eq=False)
class ScriptedRelays(RelayClient):
    """Records what is relayed; ``sinks`` has a sink for each, ``tries`` its tries."""

    suspected: bool = False
    gone: bool = False
    sinks: list[ExchangeSink] = field(factory=list)
    tries: list[int] = field(factory=list)
    exchange: Exchange = field(factory=Mock)

    def is_serving(self, member):
        return not (self.suspected or self.gone)

    def is_gone(self, member):
        return self.gone

    def others_alive(self):
        return [MEMBER, OTHER_MEMBER]

    def send(self, call, member, tries, sink, resume_after=None):
        self.sinks.append(sink)
        self.tries.append(tries)
        return self.exchange


class RelayHarness(StreamHarness):
    """A gateway that reaches no endpoint, and two members that do."""

    def __init__(self) -> None:
        super().__init__()
        self.relays = ScriptedRelays(
            self.reactor,
            self.clock,
            self.context.settings,
            Mock(),
            Mock(leaving=list),
            RelayMembers(Random(1)),
        )
        self.context.relays = self.relays

    def relay(self, kind: RouteKind, begun: bool) -> StreamTask:
        self.reports.request_reports = lambda endpoint_ids, on_done: None
        task = self.start(kind=kind)
        task._placement_decided(Refuse(0, POOL_UNREACHED_CODE, 100))
        if begun:
            send_first_event(self, self.relays.sinks[0])
            self.reply.head_sent = True
        return task

    def search_again(self, task: StreamTask) -> None:
        """Let a search for a successor end at a member, if there is one."""
        if task.core.is_searching:
            task._placement_decided(Refuse(0, POOL_UNREACHED_CODE, 100))


@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize("kind", KINDS)
def test_a_run_whose_member_is_suspected_goes_on_elsewhere_only_if_it_may_be_repeated(
    kind, begun
):
    """It ran twice, and its caller got an answer joined from both (review/4)."""
    harness = RelayHarness()
    task = harness.relay(kind, begun)
    harness.relays.suspected = True
    for _ in range(12):
        harness.reactor.advance(0.25)
        harness.search_again(task)
    assert (len(harness.relays.sinks) > 1) is (kind is RouteKind.RESUMABLE)
    assert not harness.reply.cut.called
    assert not harness.reply.refuse.called


def test_a_run_that_may_not_be_repeated_ends_once_its_member_is_gone():
    """Its caller isn't kept waiting to the deadline."""
    harness = RelayHarness()
    harness.relay(RouteKind.STREAM, begun=True)
    harness.relays.gone = True
    harness.reactor.advance(3.0)
    assert harness.reply.cut.called
    assert harness.relays.exchange.abort.called
    assert len(harness.relays.sinks) == 1


def test_a_run_before_its_first_event_whose_member_is_gone_is_told_as_maybe_run():
    harness = RelayHarness()
    harness.relay(RouteKind.STREAM, begun=False)
    harness.relays.gone = True
    harness.reactor.advance(3.0)
    (refusal,) = harness.reply.refuse.call_args.args
    assert (refusal.status, refusal.code) == (502, "answer_lost")


def test_a_member_that_is_gone_for_the_group_but_sends_events_keeps_its_run():
    """Datagrams may be lost where connections live."""
    harness = RelayHarness()
    harness.relay(RouteKind.STREAM, begun=True)
    harness.relays.gone = True
    for number in range(2, 10):
        harness.reactor.advance(1.0)
        harness.relays.sinks[0].data_arrived(f"id: {number}\ndata: x\n\n".encode())
    assert not harness.reply.cut.called


def test_a_member_that_wakes_after_a_suspicion_completes_the_answer():
    harness = RelayHarness()
    harness.relay(RouteKind.STREAM, begun=True)
    harness.relays.suspected = True
    for _ in range(14):
        harness.reactor.advance(0.25)
    harness.relays.suspected = False
    harness.relays.sinks[0].data_arrived(b"id: 2\ndata: x\n\n")
    harness.relays.sinks[0].ended(Ending.WHOLE, "")
    assert harness.reply.finish.called
    assert len(harness.relays.sinks) == 1


@pytest.mark.parametrize(("kind", "tries"), [(KINDS[0], 1), (KINDS[1], 3)])
def test_a_member_is_given_one_try_of_a_request_that_may_run_once(kind, tries):
    """Its configuration may have another kind of route already."""
    harness = RelayHarness()
    harness.relay(kind, begun=False)
    assert harness.relays.tries == [tries]


def cut(harness: StreamHarness, task: StreamTask) -> None:
    harness.client.sinks[0].ended(Ending.CUT, "reset")


def no_answer(harness: StreamHarness, task: StreamTask) -> None:
    harness.client.sinks[0].ended(Ending.NO_ANSWER, "no_response")


def foreign_head(harness: StreamHarness, task: StreamTask) -> None:
    harness.client.dialect.judge = lambda head, request_id: HeadVerdict.FOREIGN
    harness.client.sinks[0].head_arrived(ExchangeHead(200, []))
    harness.client.sinks[0].ended(Ending.WHOLE, "")


def event_without_number(harness: StreamHarness, task: StreamTask) -> None:
    send_first_event(harness, harness.client.sinks[0])
    harness.client.sinks[0].data_arrived(b"data: x\n\n")


def event_left_out(harness: StreamHarness, task: StreamTask) -> None:
    send_first_event(harness, harness.client.sinks[0])
    harness.client.sinks[0].data_arrived(b"id: 3\ndata: x\n\n")


def torn_event(harness: StreamHarness, task: StreamTask) -> None:
    send_first_event(harness, harness.client.sinks[0])
    harness.client.sinks[0].data_arrived(b"id: 2\nda")
    harness.client.sinks[0].ended(Ending.WHOLE, "")


def stalled_endpoint(harness: StreamHarness, task: StreamTask) -> None:
    send_first_event(harness, harness.client.sinks[0])
    task.handle_event(EndpointStalled(harness.client.sent[0].endpoint.endpoint_id))


def stalled_run(harness: StreamHarness, task: StreamTask) -> None:
    send_first_event(harness, harness.client.sinks[0])
    harness.silent |= {harness.client.sent[0].endpoint.endpoint_id}
    harness.reactor.pump([0.05] * 80)


def overdue(reason: str, begun: bool) -> Callable[[StreamHarness, StreamTask], None]:
    def play(harness: StreamHarness, task: StreamTask) -> None:
        if begun:
            send_first_event(harness, harness.client.sinks[0])
            harness.reply.head_sent = True
        for overdue_ms in (100.0, 1_900.0, 2_100.0, 9_000.0):
            task.run_overdue(1, reason, overdue_ms)

    return play


def not_listed(harness: StreamHarness, task: StreamTask) -> None:
    task.run_not_listed(1)


WAYS = {
    "cut": cut,
    "no_answer": no_answer,
    "foreign_head": foreign_head,
    "event_without_number": event_without_number,
    "event_left_out": event_left_out,
    "torn_event": torn_event,
    "stalled_endpoint": stalled_endpoint,
    "stalled_run": stalled_run,
    "not_listed": not_listed,
} | {
    f"{reason}_{'begun' if begun else 'unbegun'}": overdue(reason, begun)
    for reason in ("member_lost", "no_report", "not_listed", "not_running")
    for begun in (False, True)
}


@pytest.mark.parametrize("copies", [False, True])
@pytest.mark.parametrize("way", WAYS)
def test_no_way_to_a_second_run_is_open_to_a_stream_that_may_run_once(way, copies):
    """The same ways lead on for a stream that may be resumed."""
    runs = {}
    for kind in KINDS:
        harness = StreamHarness()
        task = harness.start(copies=copies, kind=kind)
        WAYS[way](harness, task)
        harness.reactor.advance(0.2)
        runs[kind] = len(harness.client.sent)
    assert runs[RouteKind.STREAM] == 1
    assert runs[RouteKind.RESUMABLE] > 1


def test_a_stream_that_may_run_once_goes_elsewhere_after_a_refusal():
    """A refused send was no run."""
    harness = StreamHarness()
    harness.start(kind=RouteKind.STREAM)
    refuse(harness, harness.client.sinks[0])
    assert len(harness.client.sent) == 2


def test_a_lost_stream_that_may_run_once_is_not_told_to_be_barred():
    """Its caller was told that the request ends endpoint after endpoint."""
    harness = StreamHarness()
    harness.start(kind=RouteKind.STREAM)
    cut(harness, Mock())
    (refusal,) = harness.reply.refuse.call_args.args
    assert (refusal.status, refusal.code) == (502, "answer_lost")


# What may come to a core, as (name, number): the number picks an attempt or endpoint.
NAMES = "granted head wrong_head tokens gap stalled tick lost refused unsent copy full"
EVENTS = st.lists(
    st.tuples(st.sampled_from(NAMES.split()), st.integers(0, 3)), max_size=25
)


def core_event(core: AnswerCore, name: str, number: int):
    """Make an event; None if it speaks of an attempt that was never opened."""
    endpoint = f"e{number}"
    match name:
        case "granted":
            return EndpointGranted(endpoint)
        case "stalled":
            return EndpointStalled(endpoint)
        case "tick":
            return Tick()
        case "full":
            return NoEndpointFree(100)
    attempt = core.attempts.get(number)
    if attempt is None:
        return None
    position, label = attempt.from_position, attempt.label
    match name:
        case "head" | "wrong_head":
            head_label = label if name == "head" else "other"
            head = StreamHead(label, head_label, "m", "", "", "", position)
            return HeadArrived(number, head)
        case "tokens" | "gap":
            following = core.ledger.next_position + (1 if name == "tokens" else 2)
            return TokensArrived(number, label, following - 1, [following], [b"x"])
        case "copy":
            return CopyPlaced(number, endpoint)
        case "lost":
            return AttemptEnded(number, Loss.CUT)
        case "refused":
            return AttemptEnded(number, Loss.REFUSED)
        case _:
            return AttemptEnded(number, Loss.NOT_SENT)


@schedules(in_ci=500)
@given(EVENTS, st.booleans(), st.sampled_from([0.0, 250.0]))
def test_a_core_opens_no_attempt_while_one_may_have_run(events, races, handover_ms):
    """Reading a run again is no second run, and is left out here."""
    policy = AnswerPolicy(
        races=races, handover_ms=handover_ms, reread_tries=0, max_runs=1
    )
    core = AnswerCore("r", ExpectedModel("m", "", ""), policy, EventLedger(0))
    now_ms = 0.0
    core.handle(Started(), now_ms)
    for name, number in events:
        now_ms += 700.0
        event = core_event(core, name, number)
        if event is not None:
            core.handle(event, now_ms)
        assert core.runs <= 1

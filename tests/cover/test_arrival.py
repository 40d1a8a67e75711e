"""What is waited for while an answer comes: no silence, but any length."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock as FakeReactor

from coursekeel.fetch import OwnLink
from coursekeel.fetch._arrival import AnswerArrival, Transfer

TIMEOUT_MS = 600.0
TRANSFER = Transfer(pause_ms=1_000, most_ms=20_000, most_bytes=1_000_000)
# Less than the limit by what separates two ticks of a clock.
TICK_MS = 1.0


class Call:
    """A call whose answer comes as the test says."""

    def __init__(self, transfer: Transfer | None = TRANSFER) -> None:
        self.reactor = FakeReactor()
        self.failures: list[type] = []
        answer: Deferred[None] = Deferred()
        answer.addErrback(lambda failure: self.failures.append(failure.type))
        self.arrival = AnswerArrival(self.reactor, TIMEOUT_MS, transfer)
        self.arrival.watch(answer)

    def wait(self, for_ms: float) -> None:
        self.reactor.advance(for_ms / 1000)

    def begin(self) -> None:
        self.arrival.begun()

    def piece(self, size_bytes: int = 1) -> None:
        self.arrival.came(size_bytes)

    @property
    def given_up(self) -> str:
        assert bool(self.arrival.given_up) == (self.failures == [CancelledError])
        return self.arrival.given_up


def test_an_answer_that_keeps_coming_is_awaited_far_beyond_the_timeout():
    call = Call()
    call.wait(TIMEOUT_MS - TICK_MS)
    call.begin()
    for _ in range(19):
        call.wait(TRANSFER.pause_ms - TICK_MS)
        call.piece()
    assert not call.given_up


def test_one_that_does_not_begin_is_given_up():
    call = Call()
    call.wait(TIMEOUT_MS + TICK_MS)
    assert call.given_up == "no answer within 600 ms"


@pytest.mark.parametrize("pieces", [0, 3])
def test_one_that_falls_silent_is_given_up(pieces):
    call = Call()
    call.begin()
    for _ in range(pieces):
        call.wait(500)
        call.piece()
    call.wait(TRANSFER.pause_ms - TICK_MS)
    assert not call.given_up
    call.wait(2 * TICK_MS)
    assert call.given_up == "silent for 1000 ms"


def test_one_that_trickles_without_end_is_given_up():
    call = Call()
    call.begin()
    for _ in range(40):
        call.wait(TRANSFER.most_ms / 40 - TICK_MS)
        call.piece()
    assert not call.given_up
    call.wait(40 * TICK_MS + TICK_MS)
    assert call.given_up == "not whole within 20000 ms"


def test_one_that_is_too_large_is_given_up():
    call = Call()
    call.begin()
    call.piece(TRANSFER.most_bytes)
    assert not call.given_up
    call.piece()
    assert call.given_up == "more than 1000000 bytes"


@pytest.mark.parametrize("begun", [False, True])
def test_without_a_transfer_the_whole_is_bounded(begun):
    call = Call(transfer=None)
    if begun:
        call.begin()
        call.piece()
    call.wait(TIMEOUT_MS - TICK_MS)
    assert not call.given_up
    call.wait(2 * TICK_MS)
    assert call.given_up == "no answer within 600 ms"


def test_nothing_is_given_up_once_it_is_over():
    call = Call()
    call.begin()
    call.arrival.over()
    call.wait(100_000)
    assert not call.given_up
    assert not call.reactor.getDelayedCalls()


@given(st.lists(st.floats(0, 3_000), max_size=30), st.floats(0, 1_200))
def test_it_is_given_up_exactly_if_a_limit_is_passed(pauses_ms, head_ms):
    call = Call()
    call.wait(head_ms)
    if head_ms < TIMEOUT_MS:
        call.begin()
    for pause_ms in pauses_ms:
        call.wait(pause_ms)
        call.piece()
    late = head_ms >= TIMEOUT_MS or max(pauses_ms, default=0) >= TRANSFER.pause_ms
    left_ms = TRANSFER.most_ms - sum(pauses_ms)
    if late or left_ms < -TICK_MS:
        assert call.given_up
    elif left_ms > TICK_MS:
        assert not call.given_up


def test_a_link_is_full_while_a_long_answer_comes_and_a_moment_after():
    reactor = FakeReactor()
    link = OwnLink(reactor)
    arrival = AnswerArrival(reactor, TIMEOUT_MS, TRANSFER, link)
    arrival.watch(Deferred().addErrback(lambda _: None))
    arrival.begun()
    arrival.came(16_383)
    assert not link.full
    arrival.came(1)
    assert link.full
    reactor.advance(0.149)
    assert link.full
    reactor.advance(0.002)
    assert not link.full


def test_a_link_that_was_full_is_not_while_the_answer_stalls():
    reactor = FakeReactor()
    link = OwnLink(reactor)
    link.came(1_000_000)
    reactor.advance(0.2)
    assert not link.full

"""Timeouts of HTTP responses: pauses are limited, long responses are not cut."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock as FakeReactor

from coursekeel.fetch import OwnLink
from coursekeel.fetch._arrival import ResponseWatchdog, Transfer

TIMEOUT_MS = 600.0
TRANSFER = Transfer(pause_ms=1_000, max_ms=20_000, most_bytes=1_000_000)
TICK_MS = 1.0


class FakeRequest:
    """A request whose response arrives under the control of the test."""

    def __init__(self, transfer: Transfer | None = TRANSFER) -> None:
        self.reactor = FakeReactor()
        self.failures: list[type] = []
        response: Deferred[None] = Deferred()
        response.addErrback(lambda failure: self.failures.append(failure.type))
        self.watchdog = ResponseWatchdog(self.reactor, TIMEOUT_MS, transfer)
        self.watchdog.watch(response)

    def wait(self, for_ms: float) -> None:
        self.reactor.advance(for_ms / 1000)

    def receive_head(self) -> None:
        self.watchdog.head_received()

    def receive_chunk(self, size_bytes: int = 1) -> None:
        self.watchdog.chunk_received(size_bytes)

    @property
    def cancel_reason(self) -> str:
        assert bool(self.watchdog.cancel_reason) == (self.failures == [CancelledError])
        return self.watchdog.cancel_reason


def test_a_response_that_keeps_arriving_is_awaited_far_beyond_the_timeout():
    request = FakeRequest()
    request.wait(TIMEOUT_MS - TICK_MS)
    request.receive_head()
    for _ in range(19):
        request.wait(TRANSFER.pause_ms - TICK_MS)
        request.receive_chunk()
    assert not request.cancel_reason


def test_a_response_that_does_not_start_is_cancelled():
    request = FakeRequest()
    request.wait(TIMEOUT_MS + TICK_MS)
    assert request.cancel_reason == "no answer within 600 ms"


@pytest.mark.parametrize("pieces", [0, 3])
def test_a_response_that_stalls_is_cancelled(pieces):
    request = FakeRequest()
    request.receive_head()
    for _ in range(pieces):
        request.wait(500)
        request.receive_chunk()
    request.wait(TRANSFER.pause_ms - TICK_MS)
    assert not request.cancel_reason
    request.wait(2 * TICK_MS)
    assert request.cancel_reason == "silent for 1000 ms"


def test_a_response_that_trickles_without_end_is_cancelled():
    request = FakeRequest()
    request.receive_head()
    for _ in range(40):
        request.wait(TRANSFER.max_ms / 40 - TICK_MS)
        request.receive_chunk()
    assert not request.cancel_reason
    request.wait(40 * TICK_MS + TICK_MS)
    assert request.cancel_reason == "not whole within 20000 ms"


def test_a_response_that_is_too_large_is_cancelled():
    request = FakeRequest()
    request.receive_head()
    request.receive_chunk(TRANSFER.most_bytes)
    assert not request.cancel_reason
    request.receive_chunk()
    assert request.cancel_reason == "more than 1000000 bytes"


@pytest.mark.parametrize("begun", [False, True])
def test_without_a_transfer_the_whole_response_must_arrive_in_time(begun):
    request = FakeRequest(transfer=None)
    if begun:
        request.receive_head()
        request.receive_chunk()
    request.wait(TIMEOUT_MS - TICK_MS)
    assert not request.cancel_reason
    request.wait(2 * TICK_MS)
    assert request.cancel_reason == "no answer within 600 ms"


def test_a_stopped_watchdog_cancels_nothing():
    request = FakeRequest()
    request.receive_head()
    request.watchdog.stop()
    request.wait(100_000)
    assert not request.cancel_reason
    assert not request.reactor.getDelayedCalls()


@given(st.lists(st.floats(0, 3_000), max_size=30), st.floats(0, 1_200))
def test_a_response_is_cancelled_exactly_if_a_limit_is_exceeded(pauses_ms, head_ms):
    request = FakeRequest()
    request.wait(head_ms)
    if head_ms < TIMEOUT_MS:
        request.receive_head()
    for pause_ms in pauses_ms:
        request.wait(pause_ms)
        request.receive_chunk()
    late = head_ms >= TIMEOUT_MS or max(pauses_ms, default=0) >= TRANSFER.pause_ms
    left_ms = TRANSFER.max_ms - sum(pauses_ms)
    if late or left_ms < -TICK_MS:
        assert request.cancel_reason
    elif left_ms > TICK_MS:
        assert not request.cancel_reason


def test_a_link_is_full_during_a_long_response_and_shortly_after():
    reactor = FakeReactor()
    link = OwnLink(reactor)
    watchdog = ResponseWatchdog(reactor, TIMEOUT_MS, TRANSFER, link)
    watchdog.watch(Deferred().addErrback(lambda _: None))
    watchdog.head_received()
    watchdog.chunk_received(16_383)
    assert not link.full
    watchdog.chunk_received(1)
    assert link.full
    reactor.advance(0.149)
    assert link.full
    reactor.advance(0.002)
    assert not link.full


def test_a_link_is_not_full_while_a_long_response_stalls():
    reactor = FakeReactor()
    link = OwnLink(reactor)
    link.chunk_received(1_000_000)
    reactor.advance(0.2)
    assert not link.full

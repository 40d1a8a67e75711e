"""An endpoint that fell silent is used again once it answers in time."""

from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock

from coursekeel.fetch import Ending, ExchangeHead
from coursekeel.forwarding import EndpointDirectory, EndpointRecord
from coursekeel.gateway.endpoints._silent_endpoints import (
    SILENT_EJECTION_MS,
    SilentEndpoints,
)
from tests.common.moments import position_at

ENDPOINT = EndpointRecord("e1", "engines", "127.0.0.1", 1, "zone-1", 8)


class SilentEndpoint:
    """A listed, ejected endpoint; the test answers what it is asked."""

    def __init__(self) -> None:
        self.reactor, self.sinks = Clock(), []
        context = Mock(reactor=self.reactor)
        context.clock.now_ms = lambda: 1000 * self.reactor.seconds()
        context.settings.timers.report_ms = 150.0
        context.endpoints.link.full = False
        context.endpoints.send_probe = lambda endpoint, call, sink, *_: (
            self.sinks.append(sink) or Mock()
        )
        self.directory = context.site.directory = EndpointDirectory()
        self.directory.put(ENDPOINT, position_at(1))
        self.directory.eject("e1", 0.0, SILENT_EJECTION_MS)
        self.watch = SilentEndpoints(context)
        self.watch.silent(ENDPOINT)

    def answer(self) -> None:
        sink = self.sinks.pop()
        sink.head_arrived(ExchangeHead(200, []))
        sink.ended(Ending.WHOLE, "")

    @property
    def is_used(self) -> bool:
        return self.directory.may_take("e1", 1000 * self.reactor.seconds())


@pytest.fixture
def endpoint():
    return SilentEndpoint()


def test_an_endpoint_that_answers_again_is_used_at_once(endpoint):
    endpoint.reactor.advance(1.2)
    endpoint.answer()
    endpoint.answer()
    assert endpoint.is_used


def test_an_endpoint_whose_reports_are_always_late_stays_ejected(endpoint):
    endpoint.reactor.advance(0.2)
    endpoint.answer()
    endpoint.reactor.advance(0.2)
    assert not endpoint.is_used
    assert endpoint.watch.pool_answers_by_ms("engines") is None


def test_an_endpoint_is_waited_for_once_at_a_time_and_for_two_seconds(endpoint):
    endpoint.watch.silent(ENDPOINT)
    assert len(endpoint.sinks) == 1
    assert endpoint.watch.pool_answers_by_ms("engines") == 2_000
    endpoint.reactor.advance(2.1)
    assert not endpoint.is_used
    assert endpoint.watch.pool_answers_by_ms("engines") is None


def test_requests_are_not_held_for_an_endpoint_that_did_not_answer_before(endpoint):
    endpoint.reactor.advance(2.1)
    endpoint.watch.silent(ENDPOINT)
    assert len(endpoint.sinks) == 2
    assert endpoint.watch.pool_answers_by_ms("engines") is None
    endpoint.watch.answered("e1")
    assert endpoint.watch.pool_answers_by_ms("engines") == 4_100

"""A stalled run is lost soon, unless its pool's endpoints were found to be busy."""

from unittest.mock import Mock

from coursekeel.gateway._adapters import EndpointReport
from coursekeel.gateway.endpoints._lived_silences import StallHistory
from coursekeel.gateway.streams._silence_doubt import StallCheck

LISTED = EndpointReport(3, 0, runs=frozenset({"r1"}))
NOT_LISTED = EndpointReport(3, 0, runs=frozenset({"r2"}))


class StalledStream:
    """One stream whose runs stall; the test answers the report requests."""

    def __init__(self, silences: StallHistory | None = None) -> None:
        self.now_ms = 0.0
        self.report_requests: list = []
        self.lost_at: list[str] = []
        self.may_repeat = True
        self.silences = silences or StallHistory()
        reports = Mock(
            request_report=lambda endpoint_id, on_report: self.report_requests.append(
                (endpoint_id, on_report)
            )
        )
        self.check = StallCheck(
            Mock(now_ms=lambda: self.now_ms),
            reports,
            self.silences,
            "p",
            "r1",
            self.lost_at.append,
            lambda: self.may_repeat,
        )

    def stall(self, position: int = 7) -> bool:
        self.now_ms += 280
        return self.check.runs_lost(["e1"], position)

    def answer_request(self, report: EndpointReport | None) -> None:
        _, on_report = self.report_requests.pop()
        on_report(report)


def busy_stream() -> StalledStream:
    silences = StallHistory()
    silences.record_alive("p", 0.0)
    return StalledStream(silences)


def test_a_stall_is_a_loss_without_a_recent_live_endpoint():
    stream = StalledStream()
    assert stream.stall()
    assert stream.report_requests == []


def test_a_live_endpoint_after_a_loss_is_remembered():
    stream = StalledStream()
    stream.check.run_abandoned("e1")
    stream.answer_request(None)
    assert stream.stall(), "no live endpoint was found, so that the stall is a loss"
    stream.check.run_abandoned("e1")
    stream.answer_request(NOT_LISTED)
    assert not stream.stall()
    stream.now_ms += 30_000
    assert stream.stall(), "the report has expired"


def test_a_run_listed_by_a_busy_endpoint_gets_more_time():
    stream = busy_stream()
    for _ in range(3):
        assert not stream.stall()
        stream.answer_request(LISTED)
    assert stream.lost_at == []
    assert stream.stall(), "the limit of stalls is reached"


def test_an_event_resets_the_stall_count():
    stream = busy_stream()
    for position in range(20):
        assert not stream.stall(position)
        stream.answer_request(LISTED)


def test_a_run_that_no_report_lists_is_lost():
    for report in (None, NOT_LISTED):
        stream = busy_stream()
        assert not stream.stall()
        stream.answer_request(report)
        assert stream.lost_at == ["e1"]


def test_a_report_after_the_next_event_is_ignored():
    stream = busy_stream()
    assert not stream.stall(position=7)
    assert not stream.stall(position=8)
    _, on_report = stream.report_requests[0]
    on_report(None)
    assert stream.lost_at == []


def test_a_listed_run_is_kept_while_no_retry_is_left():
    stream = busy_stream()
    stream.may_repeat = False
    for _ in range(20):
        assert not stream.stall()
        stream.answer_request(LISTED)
    assert stream.lost_at == []

"""A stalled run is replaced for what its endpoint reports, not for its silence."""

from unittest.mock import Mock

import pytest

from coursekeel.gateway._adapters import EndpointReport
from coursekeel.gateway.endpoints._load_reports import NoReport, ReportResult
from coursekeel.gateway.streams._silence_doubt import StallCheck

POSITION = 7


def listed(events_made: int | None = POSITION) -> EndpointReport:
    return EndpointReport(3, 0, runs={"r1": events_made})


NOT_LISTED = EndpointReport(3, 0, runs={"r2": POSITION})


class StalledStream:
    """One stream whose run stalls; the test answers the report requests."""

    def __init__(self) -> None:
        self.now_ms = 5_000.0
        self.first_event_ms = 0.0
        self.position = POSITION
        self.report_requests: list = []
        self.overdue: list[tuple[str, str]] = []
        self.overdue_ms = 0.0
        reports = Mock(
            request_shared_report=lambda endpoint_id, on_report, _on_late: (
                self.report_requests.append((endpoint_id, on_report))
            )
        )
        self.check = StallCheck(
            Mock(now_ms=lambda: self.now_ms),
            reports,
            "r1",
            lambda: self.position,
            self.add_overdue,
            Mock(),
        )

    def add_overdue(self, endpoint_id: str, reason: str, overdue_ms: float) -> None:
        self.overdue.append((endpoint_id, reason))
        self.overdue_ms = overdue_ms

    def stall(self, position: int = POSITION) -> None:
        self.now_ms += 280
        self.position = position
        self.check.run_stalled("e1", self.first_event_ms)

    def answer_request(self, result: ReportResult) -> None:
        _, on_report = self.report_requests.pop()
        on_report(result)


def test_a_first_stall_is_no_loss_before_the_endpoint_was_asked():
    stream = StalledStream()
    stream.stall()
    assert stream.overdue == []
    assert [endpoint for endpoint, _ in stream.report_requests] == ["e1"]


def test_a_run_that_its_endpoint_lists_is_waited_on_without_limit():
    stream = StalledStream()
    for _ in range(50):
        stream.stall()
        stream.answer_request(listed())
    assert stream.overdue == []


def test_a_run_of_a_silent_endpoint_is_overdue():
    stream = StalledStream()
    stream.stall()
    stream.answer_request(NoReport.SILENT)
    assert stream.overdue == [("e1", "no_report")]


def test_a_run_that_the_report_does_not_list_is_overdue():
    stream = StalledStream()
    stream.stall()
    stream.answer_request(NOT_LISTED)
    assert stream.overdue == [("e1", "not_listed")]


@pytest.mark.parametrize(
    ("pending", "reason"), [(0, "not_listed"), (1, "preempted"), (None, "not_listed")]
)
def test_an_unlisted_run_may_be_queued_again_if_the_report_counts_pending_ones(
    pending, reason
):
    stream = StalledStream()
    stream.stall()
    stream.answer_request(EndpointReport(3, 1, None, pending, {"r2": POSITION}))
    assert stream.overdue == [("e1", reason)]


def test_a_run_too_young_for_an_old_report_is_waited_on():
    stream = StalledStream()
    stream.first_event_ms = stream.now_ms - 100
    stream.stall()
    stream.answer_request(NOT_LISTED)
    assert stream.overdue == []


def test_a_run_whose_events_do_not_arrive_is_overdue():
    """Its connection may have fallen silent for good while new ones work."""
    stream = StalledStream()
    stream.stall()
    stream.answer_request(listed(events_made=POSITION + 1))
    assert stream.overdue == [("e1", "events_missing")]


def test_a_resumed_run_that_counts_from_its_own_start_is_overdue_once_it_grows():
    stream = StalledStream()
    stream.stall()
    stream.answer_request(listed(events_made=2))
    assert stream.overdue == []
    stream.stall()
    stream.answer_request(listed(events_made=3))
    assert stream.overdue == [("e1", "events_missing")]


@pytest.mark.parametrize("result", [NoReport.TURNED_AWAY, listed(events_made=None)])
def test_without_proof_a_run_is_overdue_at_the_fourth_stall(result):
    stream = StalledStream()
    for _ in range(3):
        stream.stall()
        stream.answer_request(result)
    assert stream.overdue == []
    stream.stall()
    stream.answer_request(result)
    assert stream.overdue == [("e1", "silent")]


def test_an_event_resets_the_stall_count():
    stream = StalledStream()
    for position in range(20):
        stream.stall(position)
        stream.answer_request(NoReport.TURNED_AWAY)
    assert stream.overdue == []


def test_a_report_after_the_next_event_is_ignored():
    stream = StalledStream()
    for result in (NoReport.SILENT, listed(POSITION + 1)):
        stream.stall()
        stream.position += 1
        stream.answer_request(result)
    assert stream.overdue == []


def test_the_time_overdue_counts_from_the_first_report_since_one_for_the_run():
    stream = StalledStream()
    for result in (NoReport.SILENT, listed(), NoReport.SILENT):
        stream.stall()
        stream.answer_request(result)
    assert stream.overdue_ms == 0.0
    stream.stall()
    stream.answer_request(NoReport.SILENT)
    assert stream.overdue_ms == 280.0

"""A run that fell silent is given up soon, unless its engines are seen to be busy."""

from unittest.mock import Mock

from coursekeel.gateway._adapters import EndpointReport
from coursekeel.gateway.endpoints._lived_silences import LivedSilences
from coursekeel.gateway.streams._silence_doubt import StallCheck

NAMED = EndpointReport(3, 0, runs=frozenset({"r1"}))
OTHERS = EndpointReport(3, 0, runs=frozenset({"r2"}))


class Doubted:
    """One stream; the test answers what its endpoints are asked."""

    def __init__(self, seen: LivedSilences | None = None) -> None:
        self.now_ms = 0.0
        self.asked: list = []
        self.gone: list[str] = []
        self.repeats = True
        self.seen = seen or LivedSilences()
        reports = Mock(
            request_report=lambda each, told: self.asked.append((each, told))
        )
        self.doubt = StallCheck(
            Mock(now_ms=lambda: self.now_ms),
            reports,
            self.seen,
            "p",
            "r1",
            self.gone.append,
            lambda: self.repeats,
        )

    def silent(self, position: int = 7) -> bool:
        self.now_ms += 280
        return self.doubt.runs_lost(["e1"], position)

    def answer(self, report: EndpointReport | None) -> None:
        _, told = self.asked.pop()
        told(report)


def busy() -> Doubted:
    seen = LivedSilences()
    seen.record_alive("p", 0.0)
    return Doubted(seen)


def test_silence_counts_where_no_endpoint_was_seen_to_live_through_it():
    stream = Doubted()
    assert stream.silent()
    assert stream.asked == []


def test_after_a_loss_the_endpoint_is_asked_and_a_live_one_is_remembered():
    stream = Doubted()
    stream.doubt.run_abandoned("e1")
    stream.answer(None)
    assert stream.silent(), "it is gone: others are given up as soon"
    stream.doubt.run_abandoned("e1")
    stream.answer(OTHERS)
    assert not stream.silent()
    stream.now_ms += 30_000
    assert stream.silent(), "forgotten"


def test_a_run_that_a_busy_endpoint_names_is_waited_for():
    stream = busy()
    for _ in range(3):
        assert not stream.silent()
        stream.answer(NAMED)
    assert stream.gone == []
    assert stream.silent(), "for no longer than a caller bears"


def test_an_event_begins_the_count_anew():
    stream = busy()
    for position in range(20):
        assert not stream.silent(position)
        stream.answer(NAMED)


def test_an_endpoint_that_gives_no_report_or_does_not_name_the_run_is_given_up():
    for report in (None, OTHERS):
        stream = busy()
        assert not stream.silent()
        stream.answer(report)
        assert stream.gone == ["e1"]


def test_a_report_that_comes_after_the_next_event_says_nothing():
    stream = busy()
    assert not stream.silent(position=7)
    assert not stream.silent(position=8)
    _, told = stream.asked[0]
    told(None)
    assert stream.gone == []


def test_without_a_repeat_a_run_that_is_named_is_never_given_up():
    stream = busy()
    stream.repeats = False
    for _ in range(20):
        assert not stream.silent()
        stream.answer(NAMED)
    assert stream.gone == []

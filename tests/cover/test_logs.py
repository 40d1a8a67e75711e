"""Log output is bounded, never blocks, and can be parsed back."""

import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.explain import explain, parse_line
from coursekeel.observe import LogQueue, log_event
from coursekeel.observe import _logs as logs

LOW, HIGH = 20, 40


@given(st.lists(st.tuples(st.sampled_from([LOW, HIGH]), st.integers(1, 40))))
def test_a_queue_keeps_its_limit_and_drops_the_lowest_level_first(lines):
    queue = LogQueue(100)
    for level, length in lines:
        queue.add(level, b"%d" % (level // 10) * length)
    queued = []
    while not queue.empty:
        queued.append(queue.pop())
    assert sum(map(len, queued)) <= 100
    assert len(queued) + queue.pop_dropped_count() == len(lines)
    high = [b"4" * length for level, length in lines if level == HIGH]
    if sum(map(len, high)) <= 100:
        assert [line for line in queued if line[:1] == b"4"] == high


def test_lines_leave_in_the_order_of_arrival():
    queue = LogQueue(100)
    for level, line in ((LOW, b"a"), (HIGH, b"b"), (LOW, b"c")):
        queue.add(level, line)
    assert [queue.pop(), queue.pop(), queue.pop()] == [b"a", b"b", b"c"]


@pytest.fixture
def pipe(monkeypatch):
    """Logging to a pipe whose reader reads only in `read_all`."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    before = list(logs._LOGGER.handlers)
    # Referenced until the end: a file without references would be closed.
    output = os.fdopen(writer, "w")
    monkeypatch.setattr(logs.sys, "stdout", output)
    logs.set_up_logging("i1", max_waiting_bytes=4_000)
    yield reader
    logs._LOGGER.handlers[:] = before
    output.close()
    os.close(reader)


def read_all(pipe: int) -> bytes:
    read = b""
    while True:
        try:
            read += os.read(pipe, 1 << 16)
        except BlockingIOError:
            return read
        logs.flush_logs()


def test_a_stalled_reader_does_not_block_logging(pipe):
    """Guards against: logging blocks in `write` when the pipe is full."""
    for number in range(5_000):
        log_event("filler", number=number, text="x" * 60)
    read = read_all(pipe)
    numbers = [
        int(line.get("number"))
        for line in map(parse_line, read.decode().splitlines())
        if line is not None and line.event == "filler"
    ]
    assert numbers == sorted(numbers)
    assert numbers[-1] == 4_999
    dropped = [parse_line(text) for text in read.decode().splitlines()][-1]
    assert int(dropped.get("lines")) == 5_000 - len(numbers)


def test_a_closed_reader_does_not_block_logging(pipe, monkeypatch):
    def closed(*_):
        raise BrokenPipeError

    monkeypatch.setattr(logs.os, "write", closed)
    log_event("unheard")


@given(st.dictionaries(st.sampled_from("abc"), st.text(max_size=12), min_size=1))
def test_logged_fields_can_be_parsed_back(fields):
    record = " ".join(f"{key}={logs._text(value)}" for key, value in fields.items())
    line = parse_line(f"12.5 host time=t event=e {record}")
    if any("\r" in v or "\n" in v or "\\" in v for v in fields.values()):
        return  # escape sequences are not decoded
    assert {key: line.get(key) for key in fields} == fields


def lines(*events: str) -> list[str]:
    return [
        f"time=2026-01-01T00:00:{number:02d}.000Z level=INFO instance=i1 {event}"
        for number, event in enumerate(events)
    ]


def test_a_refusal_for_old_cached_state_names_the_store_failure():
    explanation = explain(
        "r1",
        lines(
            "event=store_lost table=configuration reason=Timeout belief_age_ms=900",
            "event=request_refused request=r1 outcome=belief_old status=503 "
            "belief_age_ms=4100",
        ),
    )
    assert "4100 ms old" in explanation.cause and "Timeout" in explanation.cause


def test_the_refusal_of_a_barred_request_names_the_lost_endpoints():
    explanation = explain(
        "r1",
        lines(
            "event=request_refused request=r1 outcome=request_stops_engines status=503 "
            "fingerprint=f barred_ms=90000",
        ),
    )
    assert "three endpoints ended under it" in explanation.cause


def test_a_lost_answer_names_the_endpoint_that_took_the_request():
    explanation = explain(
        "r1",
        lines(
            "event=endpoint_chosen request=r1 endpoint=s3",
            "event=try_ended request=r1 endpoint=s3 outcome=maybe_sent",
            "event=request_ended request=r1 outcome=answer_lost status=502 sends=1",
            "event=request_ended request=r2 outcome=answered status=200 sends=1",
        ),
    )
    assert len(explanation.lines) == 3
    assert "may have run" in explanation.cause and "s3: maybe_sent" in explanation.cause


def test_a_request_during_a_rollout_names_the_versions_tried():
    explanation = explain(
        "r1",
        lines(
            "event=endpoint_chosen request=r1 endpoint=e1 version=v2",
            "event=try_ended request=r1 endpoint=e1 outcome=status_500",
            "event=endpoint_chosen request=r1 endpoint=e2 version=v1",
            "event=request_ended request=r1 outcome=answered status=200 sends=2",
        ),
    )
    assert "during a roll-out, to version v2 then v1" in explanation.cause


def test_a_request_of_a_killed_instance_has_no_outcome():
    explanation = explain("r1", lines("event=endpoint_chosen request=r1 endpoint=s3"))
    assert "stopped before it gave a final word" in explanation.cause


@pytest.mark.parametrize(
    "previous_event, expected",
    [
        ("event=gateway_stopped open_requests=1", "end of its grace"),
        ("event=gateway_drained open_requests=1", "caller left"),
        ("event=gateway_stopped instance=g2", "caller left"),
    ],
)
def test_a_stream_closed_by_its_stopping_instance_is_not_blamed_on_the_caller(
    previous_event, expected
):
    explanation = explain(
        "r1",
        lines(
            "event=endpoint_chosen request=r1 endpoint=s3",
            previous_event,
            "event=request_ended request=r1 outcome=caller_left status=0 took_ms=900",
        ),
    )
    assert expected in explanation.cause


def test_an_instance_that_restarted_does_not_count_as_stopped():
    explanation = explain(
        "r1",
        lines(
            "event=gateway_stopped",
            "event=gateway_started",
            "event=request_ended request=r1 outcome=caller_left status=0 took_ms=900",
        ),
    )
    assert "caller left" in explanation.cause


def test_lines_of_several_instances_are_sorted_by_time():
    first, second = lines("event=a request=r1", "event=request_ended request=r1")
    explanation = explain("r1", [second, first])
    assert [line.event for line in explanation.lines] == ["a", "request_ended"]


def test_a_request_without_log_lines_never_reached_an_instance():
    assert "never reached" in explain("r9", ["noise", "time=1 event=x"]).cause


def test_a_line_that_is_logged_while_another_is_written_comes_whole_after_it(
    pipe, monkeypatch
):
    write, written = os.write, []

    def write_a_part_and_log(descriptor: int, line: bytes) -> int:
        written.append(line)
        if len(written) == 1:
            log_event("nested")
        return write(descriptor, line[:7])

    monkeypatch.setattr(logs.os, "write", write_a_part_and_log)
    log_event("outer")
    lines = [parse_line(each) for each in read_all(pipe).decode().splitlines()]
    assert [each and each.event for each in lines] == ["outer", "nested"]

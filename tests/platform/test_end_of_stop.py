"""Requests that are open at the end of a stop's grace get a status, not a closed
connection."""

import signal
import threading
import time
from collections.abc import Iterator
from http.client import HTTPException

import pytest
from attrs import define, field

from standins.site import wait_until
from tests.platform.site import (
    Answer,
    GatewaySite,
    configuration,
    events,
    read,
    running_gateway,
)

GRACE_S = 1.0
# Callers may send requests to an instance for this long after its stop has begun.
LATE_S = 3.0
# Longer than any test: what is sent with it is open until its gateway stops.
LONG_MS = 15_000
NO_ANSWER = Answer(0, {}, b"", False)


def configured(site: GatewaySite) -> None:
    """Set timeouts, and waits in queues, that are longer than any test."""
    site.version += 1
    config = configuration(site.version)
    for each in config["routes"]:
        each |= {"timeout-ms": LONG_MS, "target-latency-ms": LONG_MS}
    site.put([("op", "config", config)])
    wait_until(
        lambda: f"configuration_applied version={site.version}" in site.log(),
        "the routes are known",
    )


@pytest.fixture(scope="module")
def shared_site() -> Iterator[GatewaySite]:
    with running_gateway(servers=4, engines=3) as site:
        configured(site)
        yield site


@define
class StoppedGateway:
    """A gateway that is told to stop, and the answers of its callers."""

    site: GatewaySite
    name: str
    port: int = field(init=False)
    answers: dict[str, Answer] = field(factory=dict)
    _callers: list[threading.Thread] = field(factory=list)

    def start(self, wait: bool = True, grace_s: float = GRACE_S) -> None:
        self.port = self.site.start_gateway(self.name, wait, grace_s=grace_s)[0]

    def ask(self, path: str, body: bytes = b"") -> str:
        """Send a request, and read its answer while the test goes on."""
        connection, request_id = self.site.open(
            path, body, port=self.port, deadline_ms=str(LONG_MS)
        )

        def read_answer() -> None:
            try:
                self.answers[request_id] = read(connection)
            except (HTTPException, OSError):
                self.answers[request_id] = NO_ANSWER

        self._callers.append(threading.Thread(target=read_answer, daemon=True))
        self._callers[-1].start()
        return request_id

    def runs(self, request_id: str) -> None:
        wait_until(lambda: self.site.ran(request_id), "it runs", 5)

    def stop(self) -> None:
        """Tell the gateway to stop, and wait for its end and that of its callers."""
        self.site.processes[-1].send_signal(signal.SIGTERM)
        self.wait_until_stopped()

    def wait_until_stopped(self) -> None:
        assert self.site.processes[-1].wait(10) == 0
        for caller in self._callers:
            caller.join(5)


@pytest.fixture
def gateway(shared_site) -> Iterator[StoppedGateway]:
    shared_site.forget()
    yield StoppedGateway(shared_site, f"g{len(shared_site.processes)}")
    shared_site.store(bytes_per_s=0)
    shared_site.forget()


@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
def test_a_request_that_runs_at_the_end_of_a_stop_is_not_dropped(gateway, path):
    gateway.site.faults("s3", delay_ms=LONG_MS)
    gateway.start()
    request_id = gateway.ask(path, b"b")
    gateway.runs(request_id)
    gateway.stop()
    assert gateway.answers[request_id].status == 502


def test_a_stream_without_an_event_at_the_end_of_a_stop_is_not_dropped(gateway):
    for name in ("s0", "s1", "s2"):
        gateway.site.faults(name, first_gap_ms=LONG_MS)
    gateway.start()
    request_id = gateway.ask("/stream/5")
    gateway.runs(request_id)
    gateway.stop()
    assert gateway.answers[request_id].status in (502, 504)


def test_a_stream_that_has_begun_is_cut_at_the_end_of_a_stop(gateway):
    for name in ("s0", "s1", "s2"):
        gateway.site.faults(name, dark_at=3)
    gateway.start()
    request_id = gateway.ask("/stream/8")
    gateway.runs(request_id)
    gateway.stop()
    answer = gateway.answers[request_id]
    assert (answer.status, answer.body, answer.whole) == (200, events(2), False)


@pytest.mark.parametrize("faults", [{"dark_at": 3}, {"first_gap_ms": LONG_MS}])
def test_the_log_tells_the_end_of_a_stop_from_a_deadline(gateway, faults):
    """Both were logged as a timeout."""
    for name in ("s0", "s1", "s2"):
        gateway.site.faults(name, **faults)
    gateway.start()
    request_id = gateway.ask("/stream/8")
    gateway.runs(request_id)
    gateway.stop()
    lines = gateway.site.log(gateway.name).splitlines()
    (end,) = [line for line in lines if "event=request_ended" in line]
    assert f"request={request_id} " in end and "outcome=stopping" in end


def test_a_late_stream_of_a_stopping_gateway_is_not_begun_and_then_cut(gateway):
    """Short streams before it made a preempted one seem to end in time."""
    gateway.start(grace_s=6.0)
    for _ in range(3):
        gateway.site.ask("/stream/5", port=gateway.port)
    open_before = gateway.ask("/stream/200")
    gateway.runs(open_before)
    time.sleep(0.2)
    for name in ("s0", "s1", "s2"):
        gateway.site.faults(name, preempt_at=3, preempts=9, preempted_ms=LONG_MS)
    gateway.site.processes[-1].send_signal(signal.SIGTERM)
    time.sleep(LATE_S)
    late = gateway.ask("/stream/8")
    gateway.wait_until_stopped()
    assert gateway.answers[late].status == 503
    assert gateway.site.ran(late) == []
    assert gateway.answers[open_before].body == events(200)


def test_requests_in_a_queue_at_the_end_of_a_stop_are_refused_as_not_run(gateway):
    gateway.site.faults("s3", delay_ms=LONG_MS)
    gateway.start()
    sent = [gateway.ask("/once/x", b"b") for _ in range(40)]
    gateway.stop()
    not_run = [gateway.answers[each] for each in sent if not gateway.site.ran(each)]
    assert len(not_run) > 8
    assert {each.status for each in not_run} == {503}
    assert all("retry-after" in each.headers for each in not_run)


def test_a_request_held_for_the_first_reads_is_refused_at_the_end_of_a_stop(gateway):
    gateway.site.store(bytes_per_s=50)
    gateway.start(wait=False)
    request_id = gateway.ask("/again/x")
    gateway.stop()
    assert gateway.answers[request_id].status == 503
    assert gateway.site.ran(request_id) == []


def stop_by_two_signals(gateway) -> None:
    gateway.site.processes[-1].send_signal(signal.SIGTERM)
    wait_until(
        lambda: "event=gateway_stopping" in gateway.site.log(gateway.name), "it stops"
    )
    gateway.stop()


def test_a_second_signal_does_not_end_a_stop_early(gateway):
    """The process exited at once, and dropped all open requests."""
    gateway.site.faults("s3", delay_ms=400)
    gateway.start()
    request_id = gateway.ask("/once/x", b"b")
    gateway.runs(request_id)
    stop_by_two_signals(gateway)
    assert gateway.answers[request_id].status == 200


def test_a_second_signal_ends_nothing_that_is_open(gateway):
    gateway.start()
    request_id = gateway.ask("/stream/20")
    gateway.runs(request_id)
    stop_by_two_signals(gateway)
    answer = gateway.answers[request_id]
    assert (answer.status, answer.body, answer.whole) == (200, events(20), True)

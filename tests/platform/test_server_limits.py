"""Servers that name a limit on the requests that they take from all instances."""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count

import pytest

from tests.platform.site import read, running_gateway
from tests.platform.test_group import GroupSite

# `contact-ms` of the sites: from then on the limit counts.
CONTACT_S = 3.0
# Requests of an instance count from this time after it passed on the limit.
TOLD_S = 0.5
WINDOW_S = 4.0
LIMIT_PER_S = 2.1
WHOLE, STREAM = "/again/limited", "/stream/2"
SERVERS = {WHOLE: ("s3", "s4", "s5"), STREAM: ("s0", "s1", "s2")}


def allowed_arrivals(per_s: float) -> float:
    """How many requests a server may get in a window, by the users' rule."""
    return 1.5 * per_s * WINDOW_S + 5


def most_arrivals(times_s: list[float], named_s: float) -> int:
    """The most requests in any window that ends once the limit counts.

    No instance can have passed on the limit `TOLD_S` before a request that arrived
    earlier than that after the naming, so none of those counts.
    """
    times = sorted(each for each in times_s if each >= named_s + TOLD_S)
    ends = [end for end in times if end >= named_s + CONTACT_S]
    return max(
        (sum(end - WINDOW_S < each <= end for each in times) for end in ends), default=0
    )


@pytest.fixture(scope="module")
def group():
    with running_gateway() as site:
        yield GroupSite(site)


class Callers:
    """Callers that send requests at a fixed rate to members in turn.

    ``statuses`` are those of the answers, 0 where there was none; ``refusals`` have the
    seconds that a refusal took and its `Retry-After`.
    """

    def __init__(self, group: GroupSite, path: str, members: tuple[int, ...]) -> None:
        self.group, self.path, self.members = group, path, members
        self.statuses: list[int] = []
        self.refusals: list[tuple[float, float]] = []

    @contextmanager
    def sending(self, per_s: float) -> Iterator[None]:
        stop = threading.Event()
        numbers = count()
        threads = int(per_s)

        def send_all() -> None:
            while not stop.wait(threads / per_s):
                self._send(self.members[next(numbers) % len(self.members)])

        running = [threading.Thread(target=send_all) for _ in range(threads)]
        for number, thread in enumerate(running):
            thread.start()
            time.sleep(1 / per_s if number < threads - 1 else 0)
        try:
            yield
        finally:
            stop.set()
            for thread in running:
                thread.join()

    def _send(self, member: int) -> None:
        started_s = time.monotonic()
        port = self.group.ports[f"m{member}"][0]
        try:
            connection, _ = self.group.site.open(self.path, b"x", port=port)
            answer = read(connection)
        except OSError:
            self.statuses.append(0)
            return
        self.statuses.append(answer.status)
        if answer.status == 503:
            retry_after_s = float(answer.headers.get("retry-after", 0))
            self.refusals.append((time.monotonic() - started_s, retry_after_s))


def play(
    group: GroupSite,
    path: str,
    naming: tuple[str, ...],
    then: Callable[[float], None],
    callers: Callers | None = None,
) -> Callers:
    """Send 30 requests a second while the servers ``naming`` name a limit.

    ``then`` gets the time at which they began.
    """
    group.site.forget()
    callers = callers or Callers(group, path, (1, 2, 3))
    with callers.sending(per_s=30.0):
        time.sleep(1.0)
        for name in naming:
            group.site.faults(name, names_limit=LIMIT_PER_S)
        named_s = time.monotonic()
        time.sleep(CONTACT_S + 2 * WINDOW_S)
        then(named_s)
    group.site.forget()
    return callers


def arrivals(group: GroupSite, name: str) -> list[float]:
    state = group.site.control.get("/servers")[name]
    return [each["at_s"] for each in state["arrived"]]


@pytest.mark.parametrize("path", [WHOLE, STREAM])
@pytest.mark.parametrize("limited", [1, 3])
def test_servers_get_no_more_requests_than_they_name(group, path, limited):
    """The limit is one number for all three instances."""
    naming = SERVERS[path][:limited]
    most: dict[str, int] = {}

    def measure(named_s: float) -> None:
        most.update(
            {name: most_arrivals(arrivals(group, name), named_s) for name in naming}
        )

    play(group, path, naming, measure)
    assert max(most.values()) <= allowed_arrivals(LIMIT_PER_S), most


@pytest.mark.parametrize("path", [WHOLE, STREAM])
def test_a_limited_pool_is_used_and_what_it_cannot_take_is_told_when_to_return(
    group, path
):
    """All servers of the pool name it, and callers ask for five times as much."""
    used: dict[str, float] = {}

    def measure(named_s: float) -> None:
        from_s = named_s + CONTACT_S
        for name in SERVERS[path]:
            count_s = sum(each >= from_s for each in arrivals(group, name))
            used[name] = count_s / (2 * WINDOW_S)

    callers = play(group, path, SERVERS[path], measure)
    assert min(used.values()) > LIMIT_PER_S / 2, used
    assert set(callers.statuses) == {200, 503}
    assert all(retry_after_s > 0 for _, retry_after_s in callers.refusals)


def test_servers_are_used_again_once_they_name_no_limit(group):
    served_later: list[int] = []

    def end_limits(_: float) -> None:
        for name in SERVERS[WHOLE]:
            group.site.faults(name)
        time.sleep(3.0)
        served_before = len(callers.statuses)
        time.sleep(2.0)
        served_later.extend(callers.statuses[served_before:])

    callers = Callers(group, WHOLE, (1, 2, 3))
    play(group, WHOLE, SERVERS[WHOLE], end_limits, callers)
    assert len(served_later) > 30
    assert set(served_later) == {200}


@pytest.mark.parametrize(
    "values", [["abc"], ["-1"], ["0"], ["1e999"], ["2.1", "2.1"], ["9" * 4_000]]
)
def test_a_limit_that_cannot_be_read_changes_nothing_and_is_logged(group, values):
    group.site.forget()
    for name in SERVERS[WHOLE]:
        group.site.faults(name, names_limit=values)
    before = group.metric(1, "coursekeel_limits_unreadable")
    limited = group.metric(1, "coursekeel_limited_endpoints")
    assert [group.ask(1, WHOLE) for _ in range(20)] == [200] * 20
    group.site.forget()
    assert group.metric(1, "coursekeel_limits_unreadable") == before + 20
    assert group.metric(1, "coursekeel_limited_endpoints") == limited
    lines = [x for x in group.site.log("m1").splitlines() if "limit_unreadable" in x]
    assert lines and max(map(len, lines)) < 500

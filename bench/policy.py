"""The routing core alone, on a bounded list of arrivals, beside round robin.

What loopback can't show on one machine: overload, floods and stale reports. Endpoints
are counters with slots and a first-come queue; nothing here models a network.
"""

import heapq
import itertools
from collections.abc import Callable
from random import Random

from attrs import define, field

from bench._tools import percentiles
from coursekeel.routing import Grant, LoadReport, PlacementRequest, Refuse, Router

ENDPOINTS = 6
SLOTS = 8
TOKEN_MS = 20.0
PREFILL_MS = 60.0
REPORT_MS = 500.0
DEADLINE_MS = 4_000.0
SECONDS = 60
MEAN_TOKENS = 60
CAPACITY_A_S = ENDPOINTS * SLOTS / ((PREFILL_MS + MEAN_TOKENS * TOKEN_MS) / 1000)


@define
class Job:
    number: int
    team: str
    arrived_ms: float
    tokens: int
    first_ms: float = float("inf")
    refused_ms: float = float("inf")


@define
class Endpoint:
    name: str
    running: int = 0
    waiting: list = field(factory=list)


class Bench:
    """Arrivals, endpoints and a clock; ``router`` None means round robin."""

    def __init__(self, jobs: list[Job], seed: int, routed: bool) -> None:
        self.endpoints = {f"e{n}": Endpoint(f"e{n}") for n in range(ENDPOINTS)}
        self.turn = itertools.cycle(self.endpoints)
        self.events: list = []
        self.order = itertools.count()
        self.now_ms = 0.0
        self.jobs = {job.number: job for job in jobs}
        self.router = None
        if routed:
            self.router = Router("z", Random(seed), lambda *_: True)
            names = list(self.endpoints)
            self.router.endpoints.configure({"m": names}, dict.fromkeys(names, "z"))
            self.at(0.0, self.report)
        for job in jobs:
            self.at(job.arrived_ms, lambda j=job: self.arrive(j))

    def at(self, when_ms: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when_ms, next(self.order), what))

    def run(self) -> None:
        while self.events:
            self.now_ms, _, what = heapq.heappop(self.events)
            what()

    def arrive(self, job: Job) -> None:
        if self.router is None:
            self.send(job, next(self.turn))
            return
        request = PlacementRequest(
            job.team,
            "c",
            1,
            "m",
            job.tokens,
            self.now_ms + DEADLINE_MS,
            number=job.number,
            prompt_tokens=100,
        )
        self.decide(self.router.place(request, self.now_ms))

    def decide(self, decisions) -> None:
        for each in decisions:
            match each:
                case Grant():
                    self.send(self.jobs[each.number], each.endpoint_id)
                case Refuse():
                    self.jobs[each.number].refused_ms = self.now_ms

    def send(self, job: Job, name: str) -> None:
        endpoint = self.endpoints[name]
        if endpoint.running < SLOTS:
            self.begin(job, endpoint)
        else:
            endpoint.waiting.append(job)

    def begin(self, job: Job, endpoint: Endpoint) -> None:
        endpoint.running += 1
        job.first_ms = self.now_ms + PREFILL_MS
        took_ms = PREFILL_MS + job.tokens * TOKEN_MS
        self.at(job.first_ms, lambda: self.first(endpoint))
        self.at(self.now_ms + took_ms, lambda: self.end(endpoint, took_ms))

    def first(self, endpoint: Endpoint) -> None:
        if self.router is not None:
            self.router.record_success(endpoint.name, "c")

    def end(self, endpoint: Endpoint, took_ms: float) -> None:
        endpoint.running -= 1
        if endpoint.waiting:
            self.begin(endpoint.waiting.pop(0), endpoint)
        if self.router is not None:
            self.decide(self.router.release(endpoint.name, took_ms, self.now_ms))

    def report(self) -> None:
        """The load as it was when asked for, told as late as the next report."""
        for each in self.endpoints.values():
            report = LoadReport(
                each.name, each.running, len(each.waiting), SLOTS, self.now_ms
            )
            self.decide(self.router.apply_report(report, self.now_ms))
        if self.now_ms < SECONDS * 1000 * 2:
            self.at(self.now_ms + REPORT_MS, self.report)


def arrivals(load: float, seed: int, flood: float = 0.0) -> list[Job]:
    """Poisson arrivals at ``load`` of the capacity; a flooding team adds ``flood``."""
    random = Random(seed)
    jobs = []
    for team, share in (("small", load), ("large", flood)):
        rate = CAPACITY_A_S * share / 1000
        at_ms = 0.0
        while rate and at_ms < SECONDS * 1000:
            at_ms += random.expovariate(rate)
            tokens = random.randint(MEAN_TOKENS // 2, MEAN_TOKENS * 3 // 2)
            jobs.append(Job(len(jobs), team, at_ms, tokens))
    return sorted(jobs, key=lambda job: job.arrived_ms)


def goodput(jobs: list[Job]) -> float:
    """Requests a second whose first token came in their time."""
    good = [j for j in jobs if j.first_ms - j.arrived_ms <= DEADLINE_MS]
    return len(good) / SECONDS


def _waits(jobs: list[Job], team: str = "") -> dict:
    served = [j for j in jobs if j.first_ms != float("inf")]
    mine = [j for j in served if not team or j.team == team]
    return percentiles([j.first_ms - j.arrived_ms for j in mine])


def run(jobs: list[Job], routed: bool, seed: int) -> list[Job]:
    bench = Bench(jobs, seed, routed)
    bench.run()
    return jobs


def measure(seed: int = 1) -> list[dict]:
    rows = []
    for load in (0.8, 1.0, 1.5, 3.0):
        for routed in (True, False):
            jobs = run(arrivals(load, seed), routed, seed)
            refused = [j for j in jobs if j.refused_ms != float("inf")]
            rows.append(
                {
                    "case": f"{load}x capacity",
                    "way": "router" if routed else "naive",
                    "goodput_a_s": goodput(jobs),
                    "first_token_ms": _waits(jobs),
                    "refused": len(refused),
                    "refused_after_ms": percentiles(
                        [j.refused_ms - j.arrived_ms for j in refused]
                    ),
                }
            )
    for routed in (True, False):
        jobs = run(arrivals(0.1, seed, flood=2.0), routed, seed)
        rows.append(
            {
                "case": "small team while a large one floods with 2x capacity",
                "way": "router" if routed else "naive",
                "first_token_ms": _waits(jobs, "small"),
                "refused_small": sum(
                    j.team == "small" and j.refused_ms != float("inf") for j in jobs
                ),
            }
        )
    return rows


if __name__ == "__main__":
    print(f"capacity {CAPACITY_A_S:.1f} requests/s, seed 1")
    for row in measure():
        print(row)

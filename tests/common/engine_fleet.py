"""Simulation of many instances that place streams on a fleet of engines.

Each instance has its own `Router`, and queries a few engines for their load as
`StreamPlacement` does; these reports, `REPORT_AGE_MS` old, are all it learns of the
other instances' runs. An engine prefills one prompt at a time, which slows its other
runs down.
"""

from random import Random

from attrs import define, evolve, field

from coursekeel.routing import Grant, LoadReport, PlacementRequest, Router

POOL = "engines"
ZONES = 5
REPORT_AGE_MS = 200.0
STEP_MS = 10.0


@define(eq=False)
class Run:
    """One stream at an engine: times in ms, prompt tokens and events still to come."""

    arrived_ms: float
    instance: int
    prefill_tokens: float
    events: float = 140.0
    first_ms: float | None = None
    ended_ms: float | None = None


@define(eq=False)
class Engine:
    """Prefills 8 tokens per ms; an event takes 33 ms, and longer during a prefill."""

    name: str
    slots: int = 8
    runs: list[Run] = field(factory=list)
    reports: list[tuple[float, int, int]] = field(factory=list)

    def step(self, now_ms: float) -> list[Run]:
        """Work for `STEP_MS` until ``now_ms``; returns the runs that finished."""
        in_prefill = next((run for run in self.runs if run.prefill_tokens > 0), None)
        if in_prefill is not None:
            in_prefill.prefill_tokens -= 8 * STEP_MS
        speed = 0.17 if in_prefill is not None else 1.0
        for run in self.runs:
            if run.prefill_tokens <= 0:
                if run.first_ms is None:
                    run.first_ms = now_ms
                run.events -= speed * STEP_MS / 33
        finished = [run for run in self.runs if run.events <= 0]
        for run in finished:
            run.ended_ms = now_ms
            self.runs.remove(run)
        prefilling = sum(run.prefill_tokens > 0 for run in self.runs)
        self.reports.append((now_ms, len(self.runs), prefilling))
        return finished

    def report(self, now_ms: float) -> LoadReport:
        """The load report as of `REPORT_AGE_MS` ago."""
        due = [report for report in self.reports if report[0] <= now_ms - REPORT_AGE_MS]
        _, running, prefilling = due[-1] if due else (0.0, 0, 0)
        queued = max(0, running - self.slots)
        return LoadReport(
            self.name, running - queued, queued, self.slots, now_ms, prefilling, 80_000
        )


class Fleet:
    """Instances and engines; an instance queries ``queried`` engines per stream."""

    def __init__(self, instances: int, engines: int, queried: int, seed: int) -> None:
        self.random = Random(seed)
        self.now_ms = 0.0
        self.queried = queried
        self.engines = {f"e{n}": Engine(f"e{n}") for n in range(engines)}
        zones = {name: f"z{n % ZONES}" for n, name in enumerate(self.engines)}
        self.routers = [self._router(n, zones) for n in range(instances)]
        self.runs: list[Run] = []
        self.refused = 0
        self._numbers = 0

    def _router(self, number: int, zones: dict[str, str]) -> Router:
        random = Random(self.random.random())
        router = Router(f"z{number % ZONES}", random, lambda _name, _now_ms: True)
        slots = {name: engine.slots for name, engine in self.engines.items()}
        router.endpoints.configure({POOL: list(self.engines)}, zones, slots)
        return router

    def simulate(self, per_s: float, for_ms: float, prompt_tokens: int = 8_200) -> None:
        """Simulate ``for_ms`` of random arrivals, ``per_s`` on average."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            if self.random.random() < per_s * STEP_MS / 1000:
                self._arrive(prompt_tokens)
            for name, engine in self.engines.items():
                for run in engine.step(self.now_ms):
                    took_ms = self.now_ms - run.arrived_ms
                    router = self.routers[run.instance]
                    router.release(name, took_ms, self.now_ms)

    def _arrive(self, prompt_tokens: int) -> None:
        number = self.random.randrange(len(self.routers))
        router = self.routers[number]
        self._numbers += 1
        request = PlacementRequest(
            team=f"t{self._numbers % 40}",
            request_class="stream",
            rank=1,
            pool=POOL,
            cost=float(prompt_tokens + 980),
            deadline_ms=self.now_ms + 1_100,
            prompt_tokens=prompt_tokens,
            prompt_key=f"p{self._numbers}",
            number=self._numbers,
        )
        names = router.endpoints.choose_to_query(request, self.now_ms, self.queried)
        for name in names:
            router.apply_report(self.engines[name].report(self.now_ms), self.now_ms)
        request = evolve(request, queried=frozenset(names))
        for decision in router.place(request, self.now_ms):
            if isinstance(decision, Grant):
                run = Run(self.now_ms, number, float(prompt_tokens))
                self.engines[decision.endpoint_id].runs.append(run)
                self.runs.append(run)
            else:
                self.refused += 1

    def first_ms(self, share: float) -> float:
        """The quantile at ``share`` of the time to the first event."""
        waits = sorted(
            run.first_ms - run.arrived_ms
            for run in self.runs
            if run.first_ms is not None
        )
        return waits[min(len(waits) - 1, int(share * len(waits)))]

    def took_ms(self) -> float:
        """The mean time from the arrival of a stream to its end."""
        took = [r.ended_ms - r.arrived_ms for r in self.runs if r.ended_ms is not None]
        return sum(took) / len(took)

"""A fleet of engines under load, on one clock: many instances place streams on them.

Each instance has a `Router` of its own, asks a few engines for their load as
`StreamPlacement` does, and knows nothing of what the others sent but by those reports,
which are some hundred ms old. An engine reads one prompt after the other; beside a
prompt the runs there stand nearly still.
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
    """One stream at an engine; times in ms, tokens still to be read, events to come."""

    asked_ms: float
    instance: int
    unread_tokens: float
    events: float = 140.0
    first_ms: float | None = None
    ended_ms: float | None = None


@define(eq=False)
class Engine:
    """Reads 8 tokens a ms; an event takes 33 ms, and longer beside others."""

    name: str
    slots: int = 8
    runs: list[Run] = field(factory=list)
    reports: list[tuple[float, int, int]] = field(factory=list)

    def step(self, now_ms: float) -> list[Run]:
        """Work for a step; gives the runs that ended."""
        reading = next((each for each in self.runs if each.unread_tokens > 0), None)
        if reading is not None:
            reading.unread_tokens -= 8 * STEP_MS
        slow = 0.17 if reading is not None else 1.0
        for each in self.runs:
            if each.unread_tokens <= 0:
                if each.first_ms is None:
                    each.first_ms = now_ms
                each.events -= slow * STEP_MS / 33
        ended = [each for each in self.runs if each.events <= 0]
        for each in ended:
            each.ended_ms = now_ms
            self.runs.remove(each)
        unread = sum(each.unread_tokens > 0 for each in self.runs)
        self.reports.append((now_ms, len(self.runs), unread))
        return ended

    def report(self, now_ms: float) -> LoadReport:
        """What it says of itself, as it was a moment before."""
        seen = [each for each in self.reports if each[0] <= now_ms - REPORT_AGE_MS]
        _, running, unread = seen[-1] if seen else (0.0, 0, 0)
        queued = max(0, running - self.slots)
        return LoadReport(
            self.name, running - queued, queued, self.slots, now_ms, unread, 80_000
        )


class Fleet:
    """Instances and engines; ``asked`` engines are asked for each stream."""

    def __init__(self, instances: int, engines: int, asked: int, seed: int) -> None:
        self.random = Random(seed)
        self.now_ms = 0.0
        self.asked = asked
        self.engines = {f"e{n}": Engine(f"e{n}") for n in range(engines)}
        zones = {name: f"z{n % ZONES}" for n, name in enumerate(self.engines)}
        self.routers = [self._router(n, zones) for n in range(instances)]
        self.runs: list[Run] = []
        self.refused = 0
        self._numbers = 0

    def _router(self, number: int, zones: dict[str, str]) -> Router:
        random = Random(self.random.random())
        router = Router(f"z{number % ZONES}", random, lambda _name, _now_ms: True)
        slots = {name: each.slots for name, each in self.engines.items()}
        router.endpoints.configure({POOL: list(self.engines)}, zones, slots)
        return router

    def play(self, per_s: float, for_ms: float, prompt_tokens: int = 8_200) -> None:
        """Streams come by lot at instances by lot."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            if self.random.random() < per_s * STEP_MS / 1000:
                self._arrive(prompt_tokens)
            for name, engine in self.engines.items():
                for run in engine.step(self.now_ms):
                    took_ms = self.now_ms - run.asked_ms
                    router = self.routers[run.instance]
                    router.released(name, took_ms, self.now_ms)

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
        names = router.endpoints.to_ask(request, self.now_ms, self.asked)
        for name in names:
            router.reported(self.engines[name].report(self.now_ms), self.now_ms)
        request = evolve(request, asked=frozenset(names))
        for decision in router.place(request, self.now_ms):
            if isinstance(decision, Grant):
                run = Run(self.now_ms, number, float(prompt_tokens))
                self.engines[decision.endpoint_id].runs.append(run)
                self.runs.append(run)
            else:
                self.refused += 1

    def first_ms(self, share: float) -> float:
        """So long, at the most, the given share of the streams waited to begin."""
        waits = sorted(
            each.first_ms - each.asked_ms
            for each in self.runs
            if each.first_ms is not None
        )
        return waits[min(len(waits) - 1, int(share * len(waits)))]

    def took_ms(self) -> float:
        """How long streams take in the mean."""
        took = [e.ended_ms - e.asked_ms for e in self.runs if e.ended_ms is not None]
        return sum(took) / len(took)

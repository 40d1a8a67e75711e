"""Recovery at size, through the cores alone: a zone of endpoints dies under streams.

Streams, endpoints, silences, copies and budgets on a simulated clock, by a seed: what
`make bench` can't show with processes. Half of the dead endpoints reset connections,
half fall silent. An endpoint reads prompts one after the other, and goes on from a copy
at once; nothing here models a network. The naive way waits for a second and runs the
request anew elsewhere, skipping what was sent.
"""

import heapq
import itertools
from collections.abc import Callable
from random import Random

from attrs import define, field

from bench._tools import percentiles
from coursekeel.answers import (
    Action,
    AnswerCore,
    AnswerPolicy,
    AttemptEnded,
    CancelAttempt,
    CopyPlaced,
    Deliver,
    EndpointGranted,
    EndpointStalled,
    Event,
    ExpectedModel,
    HeadArrived,
    Loss,
    OpenAttempt,
    RequestEndpoint,
    Started,
    StreamHead,
    TokensArrived,
    Way,
)
from coursekeel.forwarding import EventLedger
from coursekeel.routing import Grant, PlacementRequest, Router

ZONES = ("a", "b", "c")
PROMPT_TOKENS = 8_000
READ_TOKENS_A_MS = 8.0
COPY_MS = 15.0
REFUSED_MS = 2.0
SILENCE_MS = 280.0
NAIVE_PATIENCE_MS = 1_000.0
SIZES = ((12, 24), (90, 450), (360, 3_600))


@define(eq=False)
class World:
    """The clock, the endpoints, and what became of the streams."""

    random: Random
    endpoints: int
    shuns: bool
    now_ms: float = 0.0
    dead_zone: str = "a"
    waits_ms: list[float] = field(factory=list)
    read_again: int = 0
    known_dead: set[str] = field(factory=set)
    _due: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: "itertools.count[int]" = field(factory=itertools.count)
    _free_ms: dict[str, float] = field(factory=dict)
    _seeking: "dict[int, Stream]" = field(factory=dict)
    router: Router = field(init=False)
    zone_of: dict[str, str] = field(init=False)

    def __attrs_post_init__(self) -> None:
        names = [f"e{number}" for number in range(self.endpoints)]
        self.zone_of = {name: ZONES[i % 3] for i, name in enumerate(names)}
        self.router = Router(
            "b", self.random, lambda name, _: name not in self.known_dead
        )
        self.router.endpoints.configure({"m": names}, self.zone_of)

    def later(self, wait_ms: float, work: Callable[[], None]) -> None:
        entry = (self.now_ms + wait_ms, next(self._numbers), work)
        heapq.heappush(self._due, entry)

    def run(self) -> None:
        while self._due:
            self.now_ms, _, work = heapq.heappop(self._due)
            work()

    def alive(self, name: str) -> bool:
        return self.zone_of[name] != self.dead_zone

    def found_dead(self, name: str) -> None:
        self.known_dead.add(name)
        if self.shuns:
            self.router.endpoints.lost("m", name, self.now_ms)

    def read_prompt(self, name: str, tokens: int) -> float:
        """When an endpoint will have read a prompt; it reads one at a time."""
        self.read_again += tokens
        starts_ms = max(self.now_ms, self._free_ms.get(name, 0.0))
        self._free_ms[name] = starts_ms + tokens / READ_TOKENS_A_MS
        return self._free_ms[name] - self.now_ms

    def seek(self, stream: "Stream", action: RequestEndpoint) -> None:
        number = next(self._numbers)
        self._seeking[number] = stream
        request = PlacementRequest(
            "t",
            "c",
            0,
            "m",
            PROMPT_TOKENS,
            1e12,
            number=number,
            prompt_tokens=PROMPT_TOKENS,
            excluded=action.excluded,
        )
        self.decide(self.router.place(request, self.now_ms))

    def decide(self, decisions: list) -> None:
        for each in decisions:
            stream = self._seeking.pop(each.number)
            if isinstance(each, Grant):
                stream.handle_event(EndpointGranted(each.endpoint_id))


@define(eq=False)
class Stream:
    """One answer under way when the zone dies."""

    world: World
    number: int
    core: AnswerCore = field(init=False)

    def __attrs_post_init__(self) -> None:
        policy = AnswerPolicy(
            patience_ms=10**9,
            first_token_ms=1e12,
            silence_ms=1e12,
            races=False,
            deaths_before_stop=9,
            reread_tries=0,
        )
        expected = ExpectedModel("m", "", "")
        ledger = EventLedger()
        self.core = AnswerCore(f"r{self.number}", expected, policy, ledger)

    def begin(self, endpoint: str, copy: str) -> None:
        """It has a run with events at ``endpoint``, and maybe a copy elsewhere."""
        self.core.handle(Started(), 0.0)
        self.core.handle(EndpointGranted(endpoint), 0.0)
        if copy:
            self.core.handle(CopyPlaced(1, copy), 0.0)
        self._extend(1)
        silent = self.world.random.random() < 0.5
        wait_ms = SILENCE_MS if silent else 1.0
        self.world.later(wait_ms, lambda: self._lose(endpoint, silent))

    def _lose(self, endpoint: str, silent: bool) -> None:
        self.world.found_dead(endpoint)
        event: Event = (
            EndpointStalled(endpoint) if silent else AttemptEnded(1, Loss.CUT)
        )
        self.handle_event(event)

    def handle_event(self, event: Event) -> None:
        for action in self.core.handle(event, self.world.now_ms):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        match action:
            case RequestEndpoint():
                self.world.seek(self, action)
            case OpenAttempt():
                self._open(action)
            case Deliver():
                self.world.waits_ms.append(self.world.now_ms)
            case CancelAttempt():
                pass

    def _open(self, action: OpenAttempt) -> None:
        world = self.world
        if not world.alive(action.endpoint_id):
            world.later(REFUSED_MS, lambda: self._unreached(action))
        elif action.way is Way.COPY:
            world.later(COPY_MS, lambda: self._extend(action.attempt))
        else:
            wait_ms = world.read_prompt(action.endpoint_id, PROMPT_TOKENS)
            world.later(wait_ms, lambda: self._extend(action.attempt))

    def _unreached(self, action: OpenAttempt) -> None:
        self.world.found_dead(action.endpoint_id)
        self.handle_event(AttemptEnded(action.attempt, Loss.NOT_SENT))

    def _extend(self, number: int) -> None:
        attempt = self.core.attempts[number]
        if not attempt.live:
            return
        label, position = attempt.label, self.core.ledger.next_position
        if not attempt.streaming:
            head = StreamHead(label, label, "m", "", "", "", position)
            self.core.handle(HeadArrived(number, head), self.world.now_ms)
        event = TokensArrived(number, label, position, [position + 1], [b""])
        if self.world.now_ms:
            self.handle_event(event)
        else:
            self.core.handle(event, 0.0)


def cored(endpoints: int, streams: int, copies: bool, shuns: bool, seed: int) -> dict:
    world = World(Random(seed), endpoints, shuns)
    names = list(world.zone_of)
    for number in range(streams):
        endpoint = names[number % endpoints]
        if world.alive(endpoint):
            continue
        others = [each for each in names if world.zone_of[each] != world.dead_zone]
        copy = world.random.choice(others) if copies else ""
        Stream(world, number).begin(endpoint, copy)
    world.run()
    return _row(endpoints, streams, "copies" if copies else "no copies", world)


def naive(endpoints: int, streams: int, seed: int) -> dict:
    world = World(Random(seed), endpoints, shuns=False)
    living = [name for name in world.zone_of if world.alive(name)]
    for number in range(streams):
        if world.alive(f"e{number % endpoints}"):
            continue
        name = world.random.choice(living)
        world.now_ms = NAIVE_PATIENCE_MS
        wait_ms = world.read_prompt(name, PROMPT_TOKENS)
        world.waits_ms.append(NAIVE_PATIENCE_MS + wait_ms)
    return _row(endpoints, streams, "naive", world)


def _row(endpoints: int, streams: int, way: str, world: World) -> dict:
    return {
        "endpoints": endpoints,
        "streams": streams,
        "way": way,
        "lost": len(world.waits_ms),
        "resume_ms": percentiles(world.waits_ms),
        "read_again_tokens": world.read_again,
    }


def measure(seed: int = 1) -> list[dict]:
    rows = []
    for endpoints, streams in SIZES:
        rows.append(cored(endpoints, streams, copies=True, shuns=True, seed=seed))
        rows.append(cored(endpoints, streams, copies=False, shuns=True, seed=seed))
        rows.append(naive(endpoints, streams, seed))
    return rows


if __name__ == "__main__":
    for row in measure():
        print(row)

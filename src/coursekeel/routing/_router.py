"""Decide which request goes to which endpoint, which waits, and which is refused."""

import math
from collections.abc import Callable, Iterable
from random import Random

from attrs import define, evolve, field

from coursekeel.routing._budget import RetryBudget
from coursekeel.routing._candidates import EndpointLoad, pick, preference
from coursekeel.routing._messages import Decision, Grant, LoadReport, Refuse, Seek
from coursekeel.routing._queue import FairQueue
from coursekeel.routing._rate import QueueRate
from coursekeel.routing._trouble import ZoneTrouble

__all__ = ["Router", "RouterSettings"]

_JITTER = 0.25
_HOPEFUL_SHARE = 0.8


@define(frozen=True)
class RouterSettings:
    """Bounds on what waits, and on how refusals are told to come back."""

    queue_limit: int = 1_000
    retry_after_least_ms: int = 500
    retry_after_most_ms: int = 60_000
    refusal_hold_ms: float = 1_000
    avoid_ms: float = 1_000
    continuing_at_once: int = 64


@define(eq=False)
class Router:
    """One entry's routing: a core without clock or sockets.

    ``may_take`` says whether an endpoint may take new work now; evidence and
    configuration stand behind it.
    """

    zone: str
    random: Random
    may_take: Callable[[str, float], bool]
    settings: RouterSettings = field(factory=RouterSettings)
    _loads: dict[str, EndpointLoad] = field(factory=dict)
    _serving: dict[str, list[str]] = field(factory=dict)
    _queues: dict[tuple[int, str, str], FairQueue] = field(factory=dict)
    _continuing: dict[int, tuple[Seek, float]] = field(factory=dict)
    _budgets: dict[str, RetryBudget] = field(factory=dict)
    _shares: dict[str, float] = field(factory=dict)
    _rates: dict[str, QueueRate] = field(factory=dict)
    _trouble: dict[str, ZoneTrouble] = field(factory=dict)
    refused: int = 0

    def configure(
        self,
        serving: dict[str, list[str]],
        zones: dict[str, str],
        slots: dict[str, int] | None = None,
    ) -> None:
        """Take the endpoints that serve each model; loads known already are kept.

        ``slots`` bounds the runs at endpoints that say how many they work on at once.
        """
        self._serving = serving
        names = {name for each in serving.values() for name in each}
        self._loads = {
            name: self._loads.get(name) or EndpointLoad(name) for name in names
        }
        for name, load in self._loads.items():
            load.zone = zones.get(name, "")
            if slots and slots.get(name):
                load.limit.bound(slots[name])

    def set_retry_shares(self, shares: dict[str, float]) -> None:
        """Set how many retries a class earns by one success."""
        self._shares = shares
        self._budgets = {
            name: budget
            for name, budget in self._budgets.items()
            if shares.get(name) == budget.share
        }

    def adopt(self, endpoint_id: str) -> None:
        """A run goes to an endpoint that routing didn't choose, such as a copy's."""
        load = self._loads.get(endpoint_id)
        if load is not None:
            load.sent("")

    def to_ask(self, seek: Seek, now_ms: float, count: int) -> list[str]:
        """Endpoints whose load is worth asking for before this request is placed.

        The prompt's own endpoint and some at random, the first of them in another
        availability zone, since a copy of the run will be kept there.
        """
        usable = self._wanted(seek, self._candidates(seek.model, now_ms), now_ms)
        if len(usable) <= count:
            return [load.endpoint_id for load in usable]
        own = max(
            usable, key=lambda each: preference(seek.prompt_key, each.endpoint_id)
        )
        others = [load for load in usable if load is not own]
        self.random.shuffle(others)
        others.sort(key=lambda load: load.zone == own.zone)
        far, rest = others[:1], others[1:]
        self.random.shuffle(rest)
        return [load.endpoint_id for load in [own, *far, *rest[: count - 2]]]

    def place_for_copy(self, seek: Seek, endpoint_id: str, now_ms: float) -> str:
        """The endpoint to keep a copy of a run; empty if there is none.

        It lies in another availability zone if one has room, because endpoints of one
        zone die together.
        """
        load = self._loads.get(endpoint_id)
        candidates = self._candidates(seek.model, now_ms)
        others = [each for each in candidates if each.endpoint_id != endpoint_id]
        usable = self._wanted(seek, others, now_ms)
        far = [each for each in usable if load is None or each.zone != load.zone]
        places = far or usable
        if not places:
            return ""
        asked = [each for each in places if each.endpoint_id in seek.candidates]
        best = pick(asked or places, evolve(seek, prompt_key=""), "", self.random)
        return best.endpoint_id

    def load(self, endpoint_id: str) -> EndpointLoad | None:
        """What is known of an endpoint's load."""
        return self._loads.get(endpoint_id)

    def running(self) -> dict[str, int]:
        """How many runs of this entry each endpoint has."""
        return {name: load.limit.running for name, load in self._loads.items()}

    @property
    def waiting(self) -> int:
        """How many requests wait for an endpoint."""
        return len(self._continuing) + sum(q.waiting for q in self._queues.values())

    def seek(self, seek: Seek, now_ms: float) -> list[Decision]:
        """Take a request; it is granted, refused, or waits for a later decision."""
        if seek.continuing:
            self._continuing[seek.ticket] = (seek, now_ms)
            return self.review(now_ms)
        queue = self._queue_of(seek)
        refusal = self._refusal(seek, queue, now_ms)
        if refusal is not None:
            return [refusal]
        queue.add(seek)
        return self.review(now_ms)

    def withdraw(self, ticket: int) -> None:
        """The request no longer needs an endpoint."""
        if self._continuing.pop(ticket, None) is not None:
            return
        for queue in self._queues.values():
            if queue.remove(ticket) is not None:
                return

    def reported(self, report: LoadReport, now_ms: float) -> list[Decision]:
        """Take an endpoint's load report."""
        load = self._loads.get(report.endpoint_id)
        if load is not None:
            load.reported(report)
        return self.review(now_ms)

    def gave_first_token(self, endpoint_id: str, request_class: str) -> None:
        """A run gave its first token.

        How long that took says nothing here: when this process is short of time every
        endpoint looks slow, and limits that fell for it turned callers away.
        """
        load = self._loads.get(endpoint_id)
        if load is not None:
            load.limit.succeeded()
        self._budget(request_class).succeeded()

    def turned_away(self, endpoint_id: str, now_ms: float) -> None:
        """The endpoint refused a run for lack of room."""
        load = self._loads.get(endpoint_id)
        if load is not None:
            load.limit.refused(now_ms, self.settings.refusal_hold_ms)

    def released(
        self, endpoint_id: str, run_ms: float, now_ms: float, failed: bool = False
    ) -> list[Decision]:
        """A granted place is free again; ``failed`` if the endpoint failed the run."""
        load = self._loads.get(endpoint_id)
        if load is not None:
            load.ended(run_ms, failed)
        return self.review(now_ms)

    def returned(
        self, endpoint_id: str, prompt_tokens: int, now_ms: float
    ) -> list[Decision]:
        """A granted place wasn't used: it is free again, and tells nothing of runs."""
        load = self._loads.get(endpoint_id)
        if load is not None:
            load.returned(prompt_tokens)
        return self.review(now_ms)

    def review(self, now_ms: float) -> list[Decision]:
        """Grant what can be granted and refuse what has waited too long."""
        decisions: list[Decision] = [
            *self._expire(now_ms),
            *self._grant_continuing(now_ms),
        ]
        for key in sorted(self._queues):
            decisions += self._grant_queue(self._queues[key], now_ms)
        self._queues = {key: q for key, q in self._queues.items() if q.waiting}
        return decisions

    # Continuing requests: longest progress first, paced by the class's budget.

    def _grant_continuing(self, now_ms: float) -> list[Decision]:
        waiting = sorted(
            self._continuing.values(), key=lambda pair: -pair[0].held_tokens
        )
        decisions: list[Decision] = []
        for seek, since_ms in waiting[: self.settings.continuing_at_once]:
            decisions += self._grant_one_continuing(seek, since_ms, now_ms)
        return decisions

    def _grant_one_continuing(
        self, seek: Seek, since_ms: float, now_ms: float
    ) -> list[Decision]:
        avoid_over = now_ms - since_ms >= self.settings.avoid_ms
        load = self._choose(seek, now_ms, avoid_over)
        if load is None:
            return []
        if not self._budget(seek.request_class).take(now_ms):
            return []
        del self._continuing[seek.ticket]
        return [self._grant(seek, load)]

    # New requests.

    def _grant_queue(self, queue: FairQueue, now_ms: float) -> list[Decision]:
        decisions: list[Decision] = []
        while (seek := queue.head()) is not None:
            load = self._choose(seek, now_ms, avoid_over=True)
            if load is None:
                break
            queue.pop(seek)
            self._note_rate(seek, queue, now_ms)
            decisions.append(self._grant(seek, load))
        return decisions

    def _grant(self, seek: Seek, load: EndpointLoad) -> Grant:
        load.sent(seek.prompt_key, seek.prompt_tokens)
        return Grant(seek.ticket, load.endpoint_id)

    def _choose(
        self, seek: Seek, now_ms: float, avoid_over: bool
    ) -> EndpointLoad | None:
        """The best endpoint with room; one to be avoided only if no other is left."""
        free = [
            load for load in self._candidates(seek.model, now_ms) if load.limit.free
        ]
        wanted = self._wanted(seek, free, now_ms)
        if not wanted and avoid_over:
            wanted = free
        return pick(wanted, seek, self.zone, self.random) if wanted else None

    def _wanted(
        self, seek: Seek, loads: Iterable[EndpointLoad], now_ms: float
    ) -> list[EndpointLoad]:
        """Those that the request may go to, without failing zones if it can be."""
        allowed = [each for each in loads if each.endpoint_id not in seek.excluded]
        trouble = self._trouble_of(seek.model)
        calm = [
            each
            for each in allowed
            if each.zone not in seek.shunned_zones
            and not trouble.shunned(each.zone, now_ms)
        ]
        return calm or allowed

    def lost(self, model: str, endpoint_id: str, now_ms: float) -> None:
        """An endpoint was found dead, or lost a run; its zone may be failing."""
        load = self._loads.get(endpoint_id)
        if load is not None:
            self._trouble_of(model).lost(load.zone, endpoint_id, now_ms)

    def _trouble_of(self, model: str) -> ZoneTrouble:
        return self._trouble.setdefault(model, ZoneTrouble())

    def _candidates(self, model: str, now_ms: float) -> Iterable[EndpointLoad]:
        names = self._serving.get(model, [])
        return (self._loads[name] for name in names if self.may_take(name, now_ms))

    # Refusals.

    def _refusal(self, seek: Seek, queue: FairQueue, now_ms: float) -> Refuse | None:
        if not self._serving.get(seek.model):
            return self._refuse(seek, "no_endpoint", self.settings.retry_after_most_ms)
        if queue.waiting >= self.settings.queue_limit:
            return self._refuse(seek, "queue_full", self._wait_ms(seek, queue))
        wait_ms = self._wait_ms(seek, queue)
        if wait_ms > _HOPEFUL_SHARE * (seek.deadline_ms - now_ms):
            return self._refuse(seek, "too_late", wait_ms)
        return None

    def _wait_ms(self, seek: Seek, queue: FairQueue) -> float:
        """How long this request would wait, judged by how fast its queue has moved."""
        rate = self._rates.get(seek.model)
        if not queue.waiting or rate is None or not rate.tokens_per_ms:
            return 0.0
        return queue.ahead_of(seek.team) / rate.tokens_per_ms

    def _note_rate(self, seek: Seek, queue: FairQueue, now_ms: float) -> None:
        """Learn the tokens a millisecond that grants move, while there is a queue.

        Grants without a queue tell how much was asked for, not how much is possible;
        learning from them made the first burst after a quiet hour look hopeless.
        """
        if not queue.waiting:
            if seek.model in self._rates:
                self._rates[seek.model].pause()
            return
        self._rates.setdefault(seek.model, QueueRate()).moved(seek.cost_tokens, now_ms)

    def _refuse(self, seek: Seek, code: str, wait_ms: float) -> Refuse:
        self.refused += 1
        return Refuse(seek.ticket, code, self.retry_after_ms(wait_ms))

    def retry_after_ms(self, wait_ms: float) -> int:
        """When to come back: the expected wait, spread so that not all come at once."""
        spread = 1 + _JITTER * self.random.random()
        least = max(wait_ms, self.settings.retry_after_least_ms)
        return math.ceil(min(least * spread, self.settings.retry_after_most_ms))

    def _expire(self, now_ms: float) -> list[Decision]:
        decisions: list[Decision] = []
        for queue in self._queues.values():
            for seek in queue.expired(now_ms):
                queue.remove(seek.ticket)
                wait_ms = self._wait_ms(seek, queue)
                decisions.append(self._refuse(seek, "too_late", wait_ms))
        return decisions

    def _queue_of(self, seek: Seek) -> FairQueue:
        key = (seek.rank, seek.request_class, seek.model)
        return self._queues.setdefault(key, FairQueue())

    def _budget(self, request_class: str) -> RetryBudget:
        budget = self._budgets.get(request_class)
        if budget is None:
            share = self._shares.get(request_class, 0.2)
            budget = self._budgets[request_class] = RetryBudget(share)
        return budget

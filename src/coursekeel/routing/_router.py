"""Decide which request goes to which endpoint, which waits, and which is refused.

Owns the requests that wait. Relies on `KnownEndpoints` for where a request may go, and
on `Forecast` for what is refused. A core: no sockets, and each moment is given, in ms.
"""

from collections.abc import Callable
from random import Random

from attrs import define, evolve, field, frozen

from coursekeel.routing._budget import RetryBudget
from coursekeel.routing._forecast import Forecast, RefusalTerms
from coursekeel.routing._known_endpoints import KnownEndpoints
from coursekeel.routing._load import EndpointLoad
from coursekeel.routing._messages import Decision, Grant, LoadReport, PlacementRequest
from coursekeel.routing._queue import FairQueue

__all__ = ["Router", "RouterSettings"]

# What a success earns of a retry in a class whose intent says nothing of it.
_USUAL_RETRY_SHARE = 0.2


@frozen
class RouterSettings:
    """Bounds on what waits, and on the `Retry-After` of refusals.

    ``refusal_hold_ms``: refusals of one endpoint within it shrink its limit once.
    ``avoid_ms``: a continuing request waits so long for an endpoint that it need not
    avoid. ``continuing_at_once``: so many of them are looked at in one review, since
    each costs a choice over the whole pool. The gateway's own stand in `Gateway`.
    """

    queue_limit: int = 1_000
    retry_after_least_ms: int = 500
    retry_after_most_ms: int = 60_000
    refusal_hold_ms: float = 1_000
    avoid_ms: float = 1_000
    continuing_at_once: int = 64


@frozen
class _Continuing:
    """A request that has tokens already, and when it came."""

    request: PlacementRequest
    since_ms: float


@define(eq=False)
class Router:
    """One instance's routing; ``may_take`` says whether an endpoint may take new work.

    Every method that gives decisions may decide on requests that came earlier.
    """

    zone: str
    random: Random
    may_take: Callable[[str, float], bool]
    settings: RouterSettings = field(factory=RouterSettings)
    endpoints: KnownEndpoints = field(init=False)
    _forecast: Forecast = field(init=False)
    _queues: dict[tuple[int, str, str], FairQueue] = field(factory=dict)
    _continuing: dict[int, _Continuing] = field(factory=dict)
    _budgets: dict[str, RetryBudget] = field(factory=dict)
    _retry_shares: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.endpoints = KnownEndpoints(self.zone, self.random, self.may_take)
        self._forecast = Forecast(
            self.random,
            RefusalTerms(
                settings.queue_limit,
                settings.retry_after_least_ms,
                settings.retry_after_most_ms,
            ),
        )

    @property
    def waiting(self) -> int:
        """How many requests wait for an endpoint."""
        return len(self._continuing) + sum(q.waiting for q in self._queues.values())

    @property
    def refused(self) -> int:
        """How many requests were refused so far."""
        return self._forecast.refused

    def load(self, endpoint_id: str) -> EndpointLoad | None:
        """What is known of an endpoint's load."""
        return self.endpoints.load(endpoint_id)

    def set_retry_shares(self, shares: dict[str, float]) -> None:
        """Set how many retries a class earns by one success."""
        self._retry_shares = shares
        self._budgets = {
            name: budget
            for name, budget in self._budgets.items()
            if shares.get(name) == budget.per_success
        }

    # Requests.

    def place(self, request: PlacementRequest, now_ms: float) -> list[Decision]:
        """Take a request; it is granted, refused, or waits for a later decision."""
        if request.continuing:
            self._continuing[request.number] = _Continuing(request, now_ms)
            return self.review(now_ms)
        queue = self._queue_of(request)
        served = self.endpoints.serves(request.pool)
        refusal = self._forecast.refusal(request, queue, served, now_ms)
        if refusal is not None:
            return [refusal]
        queue.add(request)
        return self.review(now_ms)

    def withdraw(self, number: int) -> None:
        """The request no longer needs an endpoint."""
        if self._continuing.pop(number, None) is not None:
            return
        for queue in self._queues.values():
            if queue.remove(number) is not None:
                return

    def move(self, pool: str, to: str) -> None:
        """What waits for a pool that is no more waits for another."""
        for key in [each for each in self._queues if each[2] == pool]:
            for request in self._queues.pop(key).requests():
                moved = evolve(request, pool=to)
                self._queue_of(moved).add(moved)

    def review(self, now_ms: float) -> list[Decision]:
        """Grant what can be granted and refuse what has waited too long."""
        decisions: list[Decision] = []
        for queue in self._queues.values():
            decisions += self._forecast.overdue(queue, now_ms)
        decisions += self._grant_continuing(now_ms)
        for key in sorted(self._queues):
            decisions += self._grant_queue(self._queues[key], now_ms)
        self._queues = {key: q for key, q in self._queues.items() if q.waiting}
        return decisions

    # What happened at endpoints.

    def reported(self, report: LoadReport, now_ms: float) -> list[Decision]:
        """Take an endpoint's load report."""
        load = self.load(report.endpoint_id)
        if load is not None:
            load.reported(report)
        return self.review(now_ms)

    def succeeded(self, endpoint_id: str, request_class: str) -> None:
        """A run gave its first token, or a call its whole answer.

        How long that took says nothing here: when this process is short of time every
        endpoint looks slow, and limits that fell for it turned callers away.
        """
        load = self.load(endpoint_id)
        if load is not None:
            load.limit.succeeded()
        self._budget(request_class).succeeded()

    def sent_to_copy(self, endpoint_id: str) -> None:
        """A run goes to the endpoint that keeps its copy, which wasn't granted here."""
        load = self.load(endpoint_id)
        if load is not None:
            load.sent("")

    def turned_away(self, endpoint_id: str, now_ms: float) -> None:
        """The endpoint refused a run for lack of room."""
        load = self.load(endpoint_id)
        if load is not None:
            load.limit.refused(now_ms, self.settings.refusal_hold_ms)

    def released(
        self, endpoint_id: str, run_ms: float, now_ms: float, failed: bool = False
    ) -> list[Decision]:
        """A granted place is free again; ``failed`` if the endpoint failed the run."""
        load = self.load(endpoint_id)
        if load is not None:
            load.ended(run_ms, failed)
        return self.review(now_ms)

    def returned(
        self, endpoint_id: str, prompt_tokens: int, now_ms: float
    ) -> list[Decision]:
        """A granted place wasn't used: it is free again, and tells nothing of runs."""
        load = self.load(endpoint_id)
        if load is not None:
            load.returned(prompt_tokens)
        return self.review(now_ms)

    # Continuing requests: longest progress first, paced by the class's budget.

    def _grant_continuing(self, now_ms: float) -> list[Decision]:
        waiting = sorted(
            self._continuing.values(), key=lambda each: -each.request.held_tokens
        )
        decisions: list[Decision] = []
        for each in waiting[: self.settings.continuing_at_once]:
            decisions += self._grant_one_continuing(each, now_ms)
        return decisions

    def _grant_one_continuing(self, each: _Continuing, now_ms: float) -> list[Decision]:
        request = each.request
        in_need = now_ms - each.since_ms >= self.settings.avoid_ms
        load = self.endpoints.choose(request, now_ms, in_need)
        if load is None:
            return []
        if not self._budget(request.request_class).take(now_ms):
            return []
        del self._continuing[request.number]
        return [self._grant(request, load)]

    # New requests: classes in order of rank, teams within a class fair.

    def _grant_queue(self, queue: FairQueue, now_ms: float) -> list[Decision]:
        decisions: list[Decision] = []
        while (request := queue.head()) is not None:
            load = self.endpoints.choose(request, now_ms, in_need=True)
            if load is None:
                break
            queue.pop(request)
            self._forecast.granted(request, queue, now_ms)
            decisions.append(self._grant(request, load))
        return decisions

    def _grant(self, request: PlacementRequest, load: EndpointLoad) -> Grant:
        load.sent(request.prompt_key, request.prompt_tokens)
        return Grant(request.number, load.endpoint_id)

    def _queue_of(self, request: PlacementRequest) -> FairQueue:
        key = (request.rank, request.request_class, request.pool)
        return self._queues.setdefault(key, FairQueue())

    def _budget(self, request_class: str) -> RetryBudget:
        budget = self._budgets.get(request_class)
        if budget is None:
            share = self._retry_shares.get(request_class, _USUAL_RETRY_SHARE)
            budget = self._budgets[request_class] = RetryBudget(share)
        return budget

"""Placement: which request goes to which endpoint, which waits, which is refused.

Owns the waiting requests. Relies on `EndpointSelector` for the choice of an endpoint,
and on `AdmissionControl` for refusals. A core: no sockets, and the caller passes the
time, in ms.
"""

from collections.abc import Callable
from random import Random

from attrs import define, evolve, field, frozen

from coursekeel.routing._budget import RetryBudget
from coursekeel.routing._endpoint_selector import EndpointSelector
from coursekeel.routing._forecast import AdmissionControl, RefusalLimits
from coursekeel.routing._load import EndpointLoad
from coursekeel.routing._messages import Decision, Grant, LoadReport, PlacementRequest
from coursekeel.routing._queue import FairQueue

__all__ = ["Router", "RouterSettings"]


def _never(_pool: str) -> bool:
    return False


# Part of a retry that a success earns in a class without a configured retry share.
_DEFAULT_RETRY_SHARE = 0.2


@frozen
class RouterSettings:
    """Bounds on waiting requests and on `Retry-After`.

    ``refusal_hold_ms``: minimum interval between shrinks of an endpoint's limit by
    refusals. ``avoid_ms``: how long a continuing request waits before it may go to an
    endpoint that it excludes. ``continuing_at_once``: how many continuing requests one
    review considers, since each is a choice over the whole pool.
    """

    queue_limit: int = 1_000
    retry_after_least_ms: int = 500
    retry_after_most_ms: int = 60_000
    refusal_hold_ms: float = 1_000
    avoid_ms: float = 1_000
    continuing_at_once: int = 64


@frozen
class _Continuing:
    """A continuing request, and the time at which it was added."""

    request: PlacementRequest
    added_ms: float


@define(eq=False)
class Router:
    """The router of one instance.

    ``may_take(endpoint_id, now_ms)`` returns whether an endpoint may take new work.
    ``is_unreached(pool)`` returns whether this instance can't connect to the pool's
    endpoints; new requests for it are refused at once, to go another way. Every method
    that returns decisions may decide on requests placed earlier.
    """

    zone: str
    random: Random
    may_take: Callable[[str, float], bool]
    settings: RouterSettings = field(factory=RouterSettings)
    is_unreached: Callable[[str], bool] = _never
    endpoints: EndpointSelector = field(init=False)
    _admission: AdmissionControl = field(init=False)
    _queues: dict[tuple[int, str, str], FairQueue] = field(factory=dict)
    _continuing: dict[int, _Continuing] = field(factory=dict)
    _budgets: dict[str, RetryBudget] = field(factory=dict)
    _retry_shares: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.endpoints = EndpointSelector(self.zone, self.random, self.may_take)
        self._admission = AdmissionControl(
            self.random,
            RefusalLimits(
                settings.queue_limit,
                settings.retry_after_least_ms,
                settings.retry_after_most_ms,
            ),
        )

    @property
    def waiting(self) -> int:
        """The number of requests that wait for an endpoint."""
        return len(self._continuing) + sum(q.waiting for q in self._queues.values())

    @property
    def refused(self) -> int:
        """The number of requests refused so far."""
        return self._admission.refused

    def load(self, endpoint_id: str) -> EndpointLoad | None:
        """The endpoint's load; None if it isn't configured."""
        return self.endpoints.load(endpoint_id)

    def set_retry_shares(self, shares: dict[str, float]) -> None:
        """Set the part of a retry that one success earns, by class.

        A budget is kept if ``shares`` has the same share for its class; others restart.
        """
        self._retry_shares = shares
        self._budgets = {
            name: budget
            for name, budget in self._budgets.items()
            if shares.get(name) == budget.earned_per_success
        }

    # Requests.

    def place(self, request: PlacementRequest, now_ms: float) -> list[Decision]:
        """Add a request; it is granted, refused, or waits for a later decision."""
        if request.continuing:
            self._continuing[request.number] = _Continuing(request, now_ms)
            return self.review(now_ms)
        if self.is_unreached(request.pool):
            return [self._admission.refuse_unreached(request)]
        queue = self._queue_of(request)
        served = self.endpoints.serves(request.pool)
        refusal = self._admission.check_new(request, queue, served, now_ms)
        if refusal is not None:
            return [refusal]
        queue.add(request)
        return self.review(now_ms)

    def withdraw(self, number: int) -> None:
        """Remove a waiting request; no effect if it isn't waiting."""
        if self._continuing.pop(number, None) is not None:
            return
        for queue in self._queues.values():
            if queue.remove(number) is not None:
                return

    def move_queued(self, pool: str, to: str) -> None:
        """Move the queued requests of a removed pool to another one."""
        for key in [queue_key for queue_key in self._queues if queue_key[2] == pool]:
            for request in self._queues.pop(key).requests():
                moved = evolve(request, pool=to)
                self._queue_of(moved).add(moved)

    def review(self, now_ms: float) -> list[Decision]:
        """Grant what fits now, and refuse the requests past their deadline."""
        decisions: list[Decision] = []
        for key, queue in self._queues.items():
            decisions += self._admission.refuse_expired(queue, now_ms)
            if self.is_unreached(key[2]):
                decisions += self._refuse_all(queue)
        decisions += self._grant_continuing(now_ms)
        for key in sorted(self._queues):
            queue = self._queues[key]
            decisions += self._grant_queue(queue, now_ms)
            if queue.waiting:
                turn_ms = self.endpoints.permit_turn_ms(key[2], now_ms)
                decisions += self._admission.refuse_limited(queue, turn_ms, now_ms)
        self._queues = {key: q for key, q in self._queues.items() if q.waiting}
        self.endpoints.gate.reviewed(now_ms)
        return decisions

    # Events at endpoints.

    def apply_report(self, report: LoadReport, now_ms: float) -> list[Decision]:
        """Apply an endpoint's load report."""
        load = self.load(report.endpoint_id)
        if load is not None:
            load.reported(report)
        return self.review(now_ms)

    def record_success(self, endpoint_id: str, request_class: str) -> None:
        """Record a run's first token, or a call's whole answer.

        The latency doesn't affect the limit: when this process is short of CPU, every
        endpoint looks slow.
        """
        load = self.load(endpoint_id)
        if load is not None:
            load.limit.succeeded()
        self._budget(request_class).succeeded()

    def count_run_at_copy(self, endpoint_id: str) -> None:
        """Count a run that goes to the endpoint with its copy, without a grant."""
        load = self.load(endpoint_id)
        if load is not None:
            load.sent("")

    def record_refusal(self, endpoint_id: str, now_ms: float) -> None:
        """Record that the endpoint refused a run for lack of room."""
        load = self.load(endpoint_id)
        if load is not None:
            load.limit.refused(now_ms, self.settings.refusal_hold_ms)

    def release(
        self, endpoint_id: str, run_ms: float, now_ms: float, failed: bool = False
    ) -> list[Decision]:
        """Free a granted place after a run; ``failed`` if the endpoint failed it."""
        load = self.load(endpoint_id)
        if load is not None:
            load.ended(run_ms, failed)
        return self.review(now_ms)

    def return_unused(
        self, endpoint_id: str, prompt_tokens: int, now_ms: float
    ) -> list[Decision]:
        """Free a granted place to which nothing was sent."""
        load = self.load(endpoint_id)
        if load is not None:
            load.return_unused(prompt_tokens)
        return self.review(now_ms)

    # Continuing requests: most tokens first, limited by the class's retry budget.

    def _grant_continuing(self, now_ms: float) -> list[Decision]:
        by_progress = sorted(
            self._continuing.values(), key=lambda waiting: -waiting.request.held_tokens
        )
        decisions: list[Decision] = []
        for waiting in by_progress[: self.settings.continuing_at_once]:
            decisions += self._grant_one_continuing(waiting, now_ms)
        return decisions

    def _grant_one_continuing(
        self, waiting: _Continuing, now_ms: float
    ) -> list[Decision]:
        request = waiting.request
        in_need = now_ms - waiting.added_ms >= self.settings.avoid_ms
        load = self.endpoints.choose(request, now_ms, in_need)
        if load is None:
            return []
        if not self._budget(request.request_class).take(now_ms):
            return []
        del self._continuing[request.number]
        return [self._grant(request, load, now_ms)]

    # New requests: classes in order of rank, fair among the teams of a class.

    def _grant_queue(self, queue: FairQueue, now_ms: float) -> list[Decision]:
        decisions: list[Decision] = []
        while (request := queue.head()) is not None:
            load = self.endpoints.choose(request, now_ms, in_need=True)
            if load is None:
                break
            queue.pop(request)
            self._admission.record_grant(request, queue, now_ms)
            decisions.append(self._grant(request, load, now_ms))
        return decisions

    def _grant(
        self, request: PlacementRequest, load: EndpointLoad, now_ms: float
    ) -> Grant:
        load.sent(request.prompt_key, request.prompt_tokens)
        gate, endpoint_id = self.endpoints.gate, load.endpoint_id
        permit_lapses_ms = (
            gate.take(endpoint_id, now_ms) if endpoint_id in gate.limited else None
        )
        return Grant(request.number, endpoint_id, permit_lapses_ms)

    def _refuse_all(self, queue: FairQueue) -> list[Decision]:
        """Refuse the requests for a pool that has become unreached."""
        refusals: list[Decision] = []
        for request in list(queue.requests()):
            queue.remove(request.number)
            refusals.append(self._admission.refuse_unreached(request))
        return refusals

    def _queue_of(self, request: PlacementRequest) -> FairQueue:
        key = (request.rank, request.request_class, request.pool)
        return self._queues.setdefault(key, FairQueue())

    def _budget(self, request_class: str) -> RetryBudget:
        budget = self._budgets.get(request_class)
        if budget is None:
            share = self._retry_shares.get(request_class, _DEFAULT_RETRY_SHARE)
            budget = self._budgets[request_class] = RetryBudget(share)
        return budget

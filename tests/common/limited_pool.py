"""Instances that send bursts of requests to a pool whose endpoints all name a limit."""

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterable
from itertools import count
from random import Random

from coursekeel.limits import (
    SETTLING_MS,
    Holders,
    LimitMessage,
    NamedLimit,
    PermitAnswer,
    SendLimits,
)
from coursekeel.routing import Decision, Grant, PlacementRequest, Router

STEP_MS = 1.0
REVIEW_MS = 50.0
OBSERVE_MS = 150.0
DATAGRAM_MS = 2.0
# A quarter of a target latency of one second, as the gateway lets requests wait.
QUEUE_MS = 250.0
POOL = "pool"


class LimitedPool:
    """``sent_ms`` are the times at which requests left, by endpoint."""

    def __init__(self, size: int, endpoints: int, per_s: float) -> None:
        self.now_ms = 0.0
        self.word = NamedLimit(per_s)
        self.names = [f"10.0.0.{number}:1" for number in range(size)]
        self.endpoints = [f"i-{number}" for number in range(endpoints)]
        self.sent_ms: dict[str, list[float]] = defaultdict(list)
        self.refused = 0
        self._numbers = count(1)
        self._datagrams: list[tuple[float, int, Callable[[], None]]] = []
        self.members = {name: self._member(name) for name in self.names}
        self.routers = {name: self._router(name) for name in self.names}
        self.run(SETTLING_MS + OBSERVE_MS)
        for member in self.members.values():
            for endpoint_id in self.endpoints:
                self._hear(member, endpoint_id)

    def _member(self, name: str) -> SendLimits:
        def send(to: str, message: LimitMessage) -> None:
            def arrive() -> None:
                self.members[to].received(name, message, self.now_ms)
                if isinstance(message, PermitAnswer):
                    self._review(to)

            entry = (self.now_ms + DATAGRAM_MS, next(self._numbers), arrive)
            heapq.heappush(self._datagrams, entry)

        return SendLimits(Holders(name, expects_members=True), send)

    def _router(self, name: str) -> Router:
        router = Router("zone", Random(1), lambda *_: True)
        router.endpoints.gate = self.members[name]
        router.endpoints.configure({POOL: self.endpoints}, {})
        return router

    def run(self, for_ms: float) -> None:
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            if self.now_ms % OBSERVE_MS == 0:
                self._observe()
            while self._datagrams and self._datagrams[0][0] <= self.now_ms:
                heapq.heappop(self._datagrams)[2]()
            if self.now_ms % REVIEW_MS == 0:
                for name in self.names:
                    self._review(name)

    def ask(self, name: str) -> None:
        """Let a caller's request arrive at an instance."""
        request = PlacementRequest(
            team="team",
            request_class="class",
            rank=0,
            pool=POOL,
            cost=1.0,
            deadline_ms=self.now_ms + QUEUE_MS,
            number=next(self._numbers),
        )
        self._apply(name, self.routers[name].place(request, self.now_ms))

    def _observe(self) -> None:
        for name, member in self.members.items():
            others = [each for each in self.names if each != name]
            member.holders.observe(self.names, others, [], self.now_ms)

    def _review(self, name: str) -> None:
        self._apply(name, self.routers[name].review(self.now_ms))

    def _apply(self, name: str, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            if not isinstance(decision, Grant):
                self.refused += 1
                continue
            endpoint_id = decision.endpoint_id
            self.sent_ms[endpoint_id].append(self.now_ms)
            self._hear(self.members[name], endpoint_id)
            self._apply(name, self.routers[name].release(endpoint_id, 1.0, self.now_ms))

    def _hear(self, member: SendLimits, endpoint_id: str) -> None:
        member.answered(endpoint_id, self.word, self.now_ms, self.now_ms, tuple)

"""A group of instances that keep one endpoint's limit, on a simulated network.

Every instance always has a request for the endpoint. Datagrams take a random time and
are sometimes lost, or come twice; each permit is used at a random moment before it
lapses, or goes back at once.
"""

import heapq
from collections.abc import Callable, Collection
from itertools import count
from random import Random

from coursekeel.limits import (
    ALLOWED_EXTRA,
    ALLOWED_FACTOR,
    WINDOW_S,
    Holders,
    LimitMessage,
    NamedLimit,
    SendLimits,
)

ENDPOINT = "e1"
_STEP_MS = 20.0
_OBSERVE_MS = 160.0
_MAX_DELAY_MS = 40.0
_LOSS = 0.02
_TWICE = 0.02

# The members that an instance takes for alive, and for present, at a time in ms.
View = Callable[[str, float], Collection[str]]


class LimitWorld:
    """``alive`` gives each member's view of the group, ``apart`` cuts links.

    ``sent_ms`` are the times at which requests left for the endpoint, ``returning`` is
    the share of the permits that go back.
    """

    def __init__(self, per_s: float, members: list[str], alive: View, seed: int):
        self.per_s, self.members, self.alive = per_s, members, alive
        self.random = Random(seed)
        self.now_ms = 0.0
        self.sent_ms: list[float] = []
        self.returning = 0.0
        self.returned = 0
        self.apart: Callable[[str, str, float], bool] = lambda a, b, now_ms: False
        self.joins_ms: dict[str, float] = {}
        self._datagrams: list[tuple[float, int, str, str, LimitMessage]] = []
        self._uses: list[tuple[float, int, str, float]] = []
        self._numbers = count()
        self.nodes = {member: self._node(member) for member in members}

    def _node(self, member: str) -> SendLimits:
        def send(receiver: str, message: LimitMessage) -> None:
            lost = self.random.random() < _LOSS
            if lost or self.apart(member, receiver, self.now_ms):
                return
            for _ in range(2 if self.random.random() < _TWICE else 1):
                arrives_ms = self.now_ms + self.random.uniform(0, _MAX_DELAY_MS)
                entry = (arrives_ms, next(self._numbers), member, receiver, message)
                heapq.heappush(self._datagrams, entry)

        return SendLimits(Holders(member, expects_members=True), send)

    def restart(self, member: str) -> None:
        self.nodes[member] = self._node(member)

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self._step()
            self.now_ms += _STEP_MS

    def _step(self) -> None:
        observing = self.now_ms % _OBSERVE_MS == 0
        for member in self._running():
            node = self.nodes[member]
            if observing:
                self._observe(member, node)
                self._hear(node)
            if not node.has_permit(ENDPOINT, self.now_ms):
                continue
            if self.random.random() < self.returning:
                node.reviewed(self.now_ms)
                self.returned += 1
            else:
                self._use(member, node)
        self._deliver()
        self._send_due()

    def _running(self) -> list[str]:
        return [m for m in self.members if self.joins_ms.get(m, 0.0) <= self.now_ms]

    def _observe(self, member: str, node: SendLimits) -> None:
        alive = self.alive(member, self.now_ms)
        others = [each for each in alive if each != member]
        node.holders.observe(alive, others, [], self.now_ms)

    def _hear(self, node: SendLimits) -> None:
        """The endpoint names its limit in every answer; its news aren't tested here."""
        word = NamedLimit(self.per_s)
        node.answered(ENDPOINT, word, self.now_ms, self.now_ms, tuple)

    def _use(self, member: str, node: SendLimits) -> None:
        lapses_ms = node.take(ENDPOINT, self.now_ms)
        assert lapses_ms is not None
        at_ms = self.random.uniform(self.now_ms, lapses_ms)
        heapq.heappush(self._uses, (at_ms, next(self._numbers), member, lapses_ms))

    def _deliver(self) -> None:
        while self._datagrams and self._datagrams[0][0] <= self.now_ms:
            _, _, sender, receiver, message = heapq.heappop(self._datagrams)
            if receiver in self.nodes and receiver in self._running():
                self.nodes[receiver].received(sender, message, self.now_ms)

    def _send_due(self) -> None:
        while self._uses and self._uses[0][0] <= self.now_ms:
            at_ms, _, member, lapses_ms = heapq.heappop(self._uses)
            if self.nodes[member].may_send(ENDPOINT, lapses_ms, at_ms):
                self.sent_ms.append(at_ms)


def most_sent(sent_ms: list[float]) -> int:
    """The most requests in any window of the rule."""
    times = sorted(sent_ms)
    return max(
        (sum(end - WINDOW_S * 1_000 < each <= end for each in times) for end in times),
        default=0,
    )


def allowed(per_s: float) -> float:
    """How many requests the rule allows in a window."""
    return ALLOWED_FACTOR * per_s * WINDOW_S + ALLOWED_EXTRA

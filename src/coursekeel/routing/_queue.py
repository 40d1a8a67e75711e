"""Queue of the requests that wait for one pool in one class, fair among teams.

Callers name the cost of their requests, so the time of each call is independent of it.
Owns the order in which they are granted. A core; only `expired` takes the time.
"""

import math
from collections import deque

from attrs import define, field

from coursekeel.routing._messages import PlacementRequest

__all__ = ["FairQueue"]

# Deficit added per turn, in the unit of `PlacementRequest.cost`. Small against a long
# prompt, so that turns pass often.
_QUANTUM_COST = 512.0
# The highest cost that is charged: quanta added to it count in full as floats.
_MAX_COST = 1e9


@define
class _TeamQueue:
    """One team's requests; ``deficit`` is the cost that may be granted to it now."""

    weight: float
    waiting: deque[PlacementRequest] = field(factory=deque)
    deficit: float = 0.0


@define
class FairQueue:
    """Deficit round robin over the teams of one class.

    Each turn adds a quantum to the team's deficit, and a request is granted once the
    deficit covers its cost. A team that floods the queue delays only itself.
    """

    _teams: dict[str, _TeamQueue] = field(factory=dict)
    _turns: deque[str] = field(factory=deque)
    waiting: int = 0

    def add(self, request: PlacementRequest) -> None:
        """Append a request to its team's queue."""
        team = self._teams.get(request.team)
        if team is None:
            team = self._teams[request.team] = _TeamQueue(request.weight)
            self._turns.append(request.team)
        team.waiting.append(request)
        self.waiting += 1

    def remove(self, number: int) -> PlacementRequest | None:
        """Remove and return a request by its number; None if it isn't queued."""
        for name, team in self._teams.items():
            for request in team.waiting:
                if request.number == number:
                    team.waiting.remove(request)
                    self._after_removal(name, request)
                    return request
        return None

    def requests(self) -> list[PlacementRequest]:
        """All waiting requests, team by team."""
        return [request for team in self._teams.values() for request in team.waiting]

    def head(self) -> PlacementRequest | None:
        """The request to grant next, the same until it is removed; None if empty."""
        self._pass_rounds()
        while self._turns:
            team = self._teams[self._turns[0]]
            request = team.waiting[0]
            if team.deficit >= _charged(request):
                return request
            team.deficit += _QUANTUM_COST * team.weight
            self._turns.rotate(-1)
        return None

    def _pass_rounds(self) -> None:
        """Add the quanta of all rounds in which no team's deficit covers a request."""
        rounds = min(map(_rounds_needed, self._teams.values()), default=0)
        if rounds > 0:
            for team in self._teams.values():
                team.deficit += rounds * _QUANTUM_COST * team.weight

    def pop(self, request: PlacementRequest) -> None:
        """Remove the request that `head` returned, and charge its team."""
        team = self._teams[request.team]
        team.waiting.popleft()
        team.deficit -= _charged(request)
        self._after_removal(request.team, request)

    def cost_ahead_of(self, team_name: str) -> float:
        """Estimate the cost that is served before a new request of this team.

        Each other team counts for at most the team's own waiting cost and a quantum,
        since turns are fair.
        """
        own_cost = self._waiting_cost(team_name)
        others_cost = sum(
            min(self._waiting_cost(name), own_cost + _QUANTUM_COST)
            for name in self._teams
            if name != team_name
        )
        return own_cost + others_cost

    def _waiting_cost(self, name: str) -> float:
        team = self._teams.get(name)
        return sum(request.cost for request in team.waiting) if team else 0.0

    def expired(self, now_ms: float) -> list[PlacementRequest]:
        """Requests whose deadline has passed; the caller removes them."""
        return [
            request
            for team in self._teams.values()
            for request in team.waiting
            if now_ms >= request.deadline_ms
        ]

    def _after_removal(self, name: str, request: PlacementRequest) -> None:
        self.waiting -= 1
        if not self._teams[name].waiting:
            del self._teams[name]
            self._turns.remove(name)


def _charged(request: PlacementRequest) -> float:
    return min(request.cost, _MAX_COST)


def _rounds_needed(team: _TeamQueue) -> int:
    """How many more quanta the team's first request needs."""
    missing = _charged(team.waiting[0]) - team.deficit
    return math.ceil(missing / (_QUANTUM_COST * team.weight))

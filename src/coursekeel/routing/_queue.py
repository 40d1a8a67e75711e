"""Queue of the requests that wait for one pool in one class, fair among teams.

Owns the order in which they are granted. A core; only `expired` takes the time.
"""

from collections import deque

from attrs import define, field

from coursekeel.routing._messages import PlacementRequest

__all__ = ["FairQueue"]

# Deficit added per turn, in the unit of `PlacementRequest.cost`. Small against a long
# prompt, so that turns pass often.
_QUANTUM_COST = 512.0


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
        while self._turns:
            team = self._teams[self._turns[0]]
            request = team.waiting[0]
            if team.deficit >= request.cost:
                return request
            team.deficit += _QUANTUM_COST * team.weight
            self._turns.rotate(-1)
        return None

    def pop(self, request: PlacementRequest) -> None:
        """Remove the request that `head` returned, and charge its team."""
        team = self._teams[request.team]
        team.waiting.popleft()
        team.deficit -= request.cost
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

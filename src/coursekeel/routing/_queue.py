"""The requests that wait for one pool in one class, fair among teams by their cost.

Owns the order in which they are granted. A core; only `expired` looks at the time.
"""

from collections import deque

from attrs import define, field

from coursekeel.routing._messages import PlacementRequest

__all__ = ["FairQueue"]

# What a team's turn gives it, in the cost of requests (tokens of a generation, 1 for a
# call): about a tenth of a long prompt, so that turns pass often.
_QUANTUM = 512.0


@define
class _TeamQueue:
    """One team's requests; ``deficit`` is the cost that it may be granted now."""

    weight: float
    waiting: deque[PlacementRequest] = field(factory=deque)
    deficit: float = 0.0


@define
class FairQueue:
    """Deficit round robin over the teams of one class.

    A team's turn gives it a quantum of cost; a request goes when the team's deficit
    covers its cost. A team that floods the class so delays itself, not the others.
    """

    _teams: dict[str, _TeamQueue] = field(factory=dict)
    _turns: deque[str] = field(factory=deque)
    waiting: int = 0

    def add(self, request: PlacementRequest) -> None:
        """Queue a request at the end of its team's line."""
        team = self._teams.get(request.team)
        if team is None:
            team = self._teams[request.team] = _TeamQueue(request.weight)
            self._turns.append(request.team)
        team.waiting.append(request)
        self.waiting += 1

    def remove(self, number: int) -> PlacementRequest | None:
        """Take a request out of the line; None if it isn't there."""
        for name, team in self._teams.items():
            for request in team.waiting:
                if request.number == number:
                    team.waiting.remove(request)
                    self._left(name, request)
                    return request
        return None

    def requests(self) -> list[PlacementRequest]:
        """All that wait, team by team."""
        return [each for team in self._teams.values() for each in team.waiting]

    def head(self) -> PlacementRequest | None:
        """The request whose turn it is; asking again gives the same one."""
        while self._turns:
            team = self._teams[self._turns[0]]
            request = team.waiting[0]
            if team.deficit >= request.cost:
                return request
            team.deficit += _QUANTUM * team.weight
            self._turns.rotate(-1)
        return None

    def pop(self, request: PlacementRequest) -> None:
        """Take the request that `head` gave."""
        team = self._teams[request.team]
        team.waiting.popleft()
        team.deficit -= request.cost
        self._left(request.team, request)

    def ahead_of(self, team_name: str) -> float:
        """The cost that is served before a new request of this team, about.

        Others' share is bounded by what the team itself has waiting: with fair turns a
        team that waits for little is soon served, however much another has queued.
        """
        own = self._waiting_cost(team_name)
        fair = sum(
            min(self._waiting_cost(name), own + _QUANTUM)
            for name in self._teams
            if name != team_name
        )
        return own + fair

    def _waiting_cost(self, name: str) -> float:
        team = self._teams.get(name)
        return sum(each.cost for each in team.waiting) if team else 0.0

    def expired(self, now_ms: float) -> list[PlacementRequest]:
        """Requests whose deadline has passed; they stay until removed."""
        return [
            request
            for team in self._teams.values()
            for request in team.waiting
            if now_ms >= request.deadline_ms
        ]

    def _left(self, name: str, request: PlacementRequest) -> None:
        self.waiting -= 1
        if not self._teams[name].waiting:
            del self._teams[name]
            self._turns.remove(name)

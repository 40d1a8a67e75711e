"""Waiting requests: classes in order, teams within a class fair by their cost."""

from collections import deque

from attrs import define, field

from coursekeel.routing._messages import Seek

__all__ = ["FairQueue"]

_QUANTUM_TOKENS = 512.0


@define
class _TeamQueue:
    weight: float
    waiting: deque[Seek] = field(factory=deque)
    deficit: float = 0.0


@define
class FairQueue:
    """Deficit round robin over the teams of one class.

    A team's turn gives it a quantum of tokens; a request goes when the team's deficit
    covers its cost. A team that floods the class so delays itself, not the others.
    """

    _teams: dict[str, _TeamQueue] = field(factory=dict)
    _turns: deque[str] = field(factory=deque)
    waiting: int = 0
    cost_tokens: float = 0.0

    def add(self, seek: Seek) -> None:
        """Queue a request at the end of its team's line."""
        team = self._teams.get(seek.team)
        if team is None:
            team = self._teams[seek.team] = _TeamQueue(seek.weight)
            self._turns.append(seek.team)
        team.waiting.append(seek)
        self.waiting += 1
        self.cost_tokens += seek.cost_tokens

    def remove(self, ticket: int) -> Seek | None:
        """Take a request out of the line; None if it isn't there."""
        for name, team in self._teams.items():
            for seek in team.waiting:
                if seek.ticket == ticket:
                    team.waiting.remove(seek)
                    self._left(name, seek)
                    return seek
        return None

    def head(self) -> Seek | None:
        """The request whose turn it is; asking again gives the same one."""
        while self._turns:
            team = self._teams[self._turns[0]]
            seek = team.waiting[0]
            if team.deficit >= seek.cost_tokens:
                return seek
            team.deficit += _QUANTUM_TOKENS * team.weight
            self._turns.rotate(-1)
        return None

    def pop(self, seek: Seek) -> None:
        """Take the request that `head` gave."""
        team = self._teams[seek.team]
        team.waiting.popleft()
        team.deficit -= seek.cost_tokens
        self._left(seek.team, seek)

    def ahead_of(self, team_name: str) -> float:
        """Tokens that are served before a new request of this team, about.

        Others' share is bounded by what the team itself has waiting: with fair turns a
        team that waits for little is soon served, however much another has queued.
        """
        own = self._waiting_cost(team_name)
        fair = sum(
            min(self._waiting_cost(name), own + _QUANTUM_TOKENS)
            for name in self._teams
            if name != team_name
        )
        return own + fair

    def _waiting_cost(self, name: str) -> float:
        team = self._teams.get(name)
        return sum(each.cost_tokens for each in team.waiting) if team else 0.0

    def expired(self, now_ms: float) -> list[Seek]:
        """Requests whose deadline has passed; they stay until removed."""
        return [
            seek
            for team in self._teams.values()
            for seek in team.waiting
            if now_ms >= seek.deadline_ms
        ]

    def _left(self, name: str, seek: Seek) -> None:
        self.waiting -= 1
        self.cost_tokens -= seek.cost_tokens
        if not self._teams[name].waiting:
            del self._teams[name]
            self._turns.remove(name)

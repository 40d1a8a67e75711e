"""One caller's request after admission: what is sent on, for whom, until when.

Owns no state. Relies on the route table's types and on what the caller's headers said.
"""

from functools import cached_property

from attrs import frozen

from coursekeel.forwarding import Route, Team
from coursekeel.gateway._adapters import CallerHeaders, HeaderPairs
from coursekeel.suspects import request_fingerprint

__all__ = ["AdmittedRequest"]

# A team's rank goes before its route's. The factor only has to be greater than any
# route's rank; those in use are single digits.
_ROUTE_RANKS = 100


@frozen
class AdmittedRequest:
    """A request that may be sent to an endpoint of ``pool``.

    ``received`` are the caller's headers, lower case. ``due_ms`` is the last moment for
    its answer, on this process's clock. ``copies`` says whether the pool's endpoints
    keep copies of runs.
    """

    method: bytes
    host: str
    target: bytes
    received: HeaderPairs
    body: bytes
    caller: CallerHeaders
    route: Route
    pool: str
    copies: bool
    team: Team | None
    arrived_ms: float
    due_ms: float

    @property
    def team_name(self) -> str:
        """The team's name, empty for an anonymous request."""
        return self.team.name if self.team else ""

    @property
    def rank(self) -> int:
        """The place among waiting requests, 0 first."""
        team_rank = self.team.rank if self.team else 0
        return team_rank * _ROUTE_RANKS + self.route.rank

    @cached_property
    def fingerprint(self) -> str:
        """The same for what the same team asks again, whatever its id and instance."""
        asked = (self.method, self.host.encode(), self.target, self.body)
        return request_fingerprint(self.team_name, *asked)

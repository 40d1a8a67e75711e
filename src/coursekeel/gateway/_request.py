"""One admitted request: what to forward, for which team, until when.

Owns no state. Relies on the types of routes and on the caller's parsed headers.
"""

from functools import cached_property

from attrs import define, field, frozen

from coursekeel.forwarding import Route, Team
from coursekeel.gateway._adapters import CallerHeaders, HeaderPairs
from coursekeel.suspects import part_fingerprints, request_fingerprint

__all__ = ["AdmittedRequest", "RequestBody"]

# Greater than any route's rank, so that the team's rank has precedence.
_TEAM_RANK_FACTOR = 100


@define
class RequestBody:
    """The body of a request, freed once the request has ended.

    The tasks of a request refer to it and to each other, and the garbage collector runs
    rarely.
    """

    data: bytes

    def free(self) -> None:
        """Forget the body."""
        self.data = b""


def _as_body(body: RequestBody | bytes) -> RequestBody:
    return body if isinstance(body, RequestBody) else RequestBody(body)


@frozen
class AdmittedRequest:
    """A request that may be sent to an endpoint of ``pool``.

    ``target`` is the request's path and query, ``received`` the caller's headers with
    lower-case names, ``caller`` those parsed. ``deadline_ms`` is the deadline of its
    answer, on this process's clock. ``copies``: whether the pool's endpoints keep
    copies of runs. ``relayed``: another instance got it from the caller, and sent it on
    because it doesn't reach the pool; such a request isn't relayed again.
    """

    method: bytes
    host: str
    target: bytes
    received: HeaderPairs
    body: RequestBody = field(converter=_as_body)
    caller: CallerHeaders
    route: Route
    pool: str
    copies: bool
    team: Team | None
    arrived_ms: float
    deadline_ms: float
    relayed: bool = False

    @property
    def team_name(self) -> str:
        """The team's name, empty for an anonymous request."""
        return self.team.name if self.team else ""

    @property
    def rank(self) -> int:
        """The priority among queued requests; 0 is served first."""
        team_rank = self.team.rank if self.team else 0
        return team_rank * _TEAM_RANK_FACTOR + self.route.rank

    @cached_property
    def fingerprint(self) -> str:
        """Hash of team and content; equal for a repeat with another id."""
        content = (self.method, self.host.encode(), self.target, self.body.data)
        return request_fingerprint(self.team_name, *content)

    @cached_property
    def part_fingerprints(self) -> tuple[str, ...]:
        """Hashes of the prompt's shared parts, for this pool and model."""
        caller = self.caller
        return part_fingerprints(self.pool, caller.model, caller.prompt_parts)

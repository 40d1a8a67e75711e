"""What a gateway is configured with: routes, pools of endpoints, teams and limits."""

from collections.abc import Iterable
from enum import Enum
from hashlib import blake2b
from random import Random

from attrs import field, frozen

__all__ = [
    "EndpointRecord",
    "ForwardingConfiguration",
    "Pool",
    "PoolShare",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RouteTable",
    "Team",
    "key_digest",
]

# Two keys of a site never share a digest of this length.
_DIGEST_BYTES = 16


class RouteKind(Enum):
    """What may be done again with a route's requests.

    A ``REPEATABLE`` request may run more than once, a ``SINGLE`` one at most once. A
    ``RESUMABLE`` answer is a stream of numbered events that another endpoint can take
    up after any of them; a ``STREAM`` can't be taken up, and runs at most once.
    """

    REPEATABLE = "repeatable"
    SINGLE = "single"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def streams(self) -> bool:
        """Say whether answers are event streams."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE)

    @property
    def idempotent(self) -> bool:
        """Say whether a second run does no harm."""
        return self in (RouteKind.REPEATABLE, RouteKind.RESUMABLE)


@frozen
class PoolShare:
    """A pool that a route sends to, with its weight among the route's pools."""

    pool: str
    weight: float = 1.0


@frozen
class Route:
    """Requests of one host below one path prefix, and what is asked of them.

    ``tries`` bounds the endpoints that are sent one request. ``timeout_ms`` is the time
    for the whole answer; ``target_ms`` is the latency that operators aim at, from which
    it follows how long a request may wait for an endpoint. ``rank`` 0 goes first.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    pools: tuple[PoolShare, ...]
    tries: int = 1
    timeout_ms: float = 30_000
    target_ms: float = 1_000
    rank: int = 0
    anonymous: bool = False

    def pick_pool(self, random: Random) -> str:
        """Choose one of the route's pools by weight; empty if it has none."""
        usable = [each for each in self.pools if each.weight > 0]
        if not usable:
            return ""
        weights = [each.weight for each in usable]
        return random.choices(usable, weights)[0].pool


@frozen
class Pool:
    """Endpoints that are alike.

    ``copies`` says whether they keep copies of runs; ``models`` are those that all of
    them serve, none for plain services.
    """

    name: str
    copies: bool = False
    models: frozenset[str] = frozenset()


@frozen
class Team:
    """A team, the digests of its keys and its rank (0 goes first)."""

    name: str
    keys: tuple[str, ...] = ()
    rank: int = 0


@frozen
class RequestLimits:
    """Bounds on what a caller may send, and on how long it may idle.

    The defaults hold until a configuration is known.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    idle_timeout_ms: float = 15_000


@frozen
class ForwardingConfiguration:
    """Everything that operators say of forwarding, as of one version."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: RequestLimits = field(factory=RequestLimits)
    keyed: bool = False


@frozen
class EndpointRecord:
    """One incarnation of an endpoint, as the list of endpoints tells of it.

    ``version`` is of its software, empty if it doesn't say.
    """

    endpoint_id: str
    pool: str
    host: str
    port: int
    zone: str = ""
    slots: int = 0
    leaving: bool = False
    version: str = ""

    @property
    def address(self) -> str:
        """Host and port in one text."""
        return f"{self.host}:{self.port}"


def key_digest(key: str) -> str:
    """What is kept and passed on of a key: enough to know it again."""
    return blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()


class RouteTable:
    """Looks routes and keys up; made once for each configuration.

    A path is looked up by its own prefixes, so the cost is that of its depth and not
    of the number of routes.
    """

    def __init__(self, configuration: ForwardingConfiguration) -> None:
        self.configuration = configuration
        self.pools = {pool.name: pool for pool in configuration.pools}
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self._keys = dict(_keys(configuration.teams))

    def route(self, host: str, path: str) -> Route | None:
        """The route of the host whose prefix of the path is the longest."""
        prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def team(self, key: str) -> Team | None:
        """The team that holds a key, which is given as its caller sent it."""
        return self._keys.get(key_digest(key))

    def pools_serving(self, models: frozenset[str]) -> list[str]:
        """The names of the pools whose endpoints serve one of these models."""
        return [each.name for each in self.pools.values() if each.models & models]


def _keys(teams: Iterable[Team]) -> Iterable[tuple[str, Team]]:
    return ((key, team) for team in teams for key in team.keys)

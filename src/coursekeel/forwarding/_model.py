"""Configuration of a gateway: routes, pools of endpoints, teams and limits."""

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

# Long enough that no two keys of a site share a digest.
_DIGEST_BYTES = 16


class RouteKind(Enum):
    """Whether a route's requests may be retried, and whether they stream.

    A ``REPEATABLE`` request may run more than once, a ``SINGLE`` one at most once. A
    ``RESUMABLE`` answer is a stream of numbered events that another endpoint can
    continue after any of them; a ``STREAM`` can't be continued, and runs at most once.
    """

    REPEATABLE = "repeatable"
    SINGLE = "single"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def streams(self) -> bool:
        """Whether answers are event streams."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE)

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in (RouteKind.REPEATABLE, RouteKind.RESUMABLE)


@frozen
class PoolShare:
    """A pool of a route, with its weight among the route's pools."""

    pool: str
    weight: float = 1.0


@frozen
class Route:
    """A route: one host and path prefix, and how its requests are served.

    ``tries`` is the most endpoints that one request is sent to. ``timeout_ms`` bounds
    the whole answer. ``target_ms`` is the latency that operators aim at; it determines
    how long a request may wait for an endpoint. ``rank`` 0 goes first. ``anonymous``
    requests need no key.
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
        usable = [share for share in self.pools if share.weight > 0]
        if not usable:
            return ""
        # Scaled, as the sum of the largest floats is infinite.
        largest = max(share.weight for share in usable)
        weights = [share.weight / largest for share in usable]
        return random.choices(usable, weights)[0].pool


@frozen
class Pool:
    """A pool of interchangeable endpoints.

    ``copies`` is set if they keep copies of runs. ``models`` are those that each of
    them serves; empty for plain services. ``reports`` is set if they answer requests
    for load reports, ``health_path`` is where they answer health checks, empty if they
    don't.
    """

    name: str
    copies: bool = False
    models: frozenset[str] = frozenset()
    reports: bool = False
    health_path: str = ""


@frozen
class Team:
    """A team, the digests of its keys, and its rank (0 goes first)."""

    name: str
    keys: tuple[str, ...] = ()
    rank: int = 0


@frozen
class RequestLimits:
    """Bounds on a caller's requests and on the idle time of its connection.

    The defaults apply until a configuration is read.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    idle_timeout_ms: float = 15_000


@frozen
class ForwardingConfiguration:
    """One version of the forwarding configuration.

    ``keyed`` is set if requests need a key.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: RequestLimits = field(factory=RequestLimits)
    keyed: bool = False


@frozen
class EndpointRecord:
    """One incarnation of an endpoint, as the store lists it.

    ``slots`` is how many requests it works on at once, 0 if unknown; ``version`` is
    that of its software, empty if unknown. A ``leaving`` one takes no new work.
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
        """``host:port``."""
        return f"{self.host}:{self.port}"


def key_digest(key: str) -> str:
    """The digest by which a key is stored, sent and compared."""
    return blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()


class RouteTable:
    """Index of routes and keys, built once for each configuration.

    A path is looked up by its own prefixes, so that the cost depends on its depth and
    not on the number of routes.
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
        """The host's route with the longest matching prefix; None without a match."""
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
        """The team of a key, which is passed in clear; None if it is unknown."""
        return self._keys.get(key_digest(key))

    def pools_serving(self, models: frozenset[str]) -> list[str]:
        """The names of the pools that serve at least one of these models."""
        return [pool.name for pool in self.pools.values() if pool.models & models]


def _keys(teams: Iterable[Team]) -> Iterable[tuple[str, Team]]:
    return ((key, team) for team in teams for key in team.keys)

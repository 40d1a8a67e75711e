"""Inputs and decisions of the router."""

from attrs import field, frozen

__all__ = ["Decision", "Grant", "LoadReport", "PlacementRequest", "Refuse"]


@frozen
class PlacementRequest:
    """A request that needs an endpoint of ``pool``.

    | field | meaning |
    | --- | --- |
    | number | identifies the request in its decision |
    | cost | share of the pool's work, for fairness among teams: prompt and output
      tokens of a generation, 1 for a call |
    | rank | order of the classes, 0 first |
    | continuing | has tokens already; placed before new requests |
    | prompt_key | hash of the prompt, salted by team, for prefix affinity |
    | excluded | endpoints to avoid |
    | queried | endpoints whose load was just queried; preferred while one has room |
    | avoided_zones | zones where an endpoint was lost under this request |
    | caller_resumes | the caller holds a part of the answer, so that some endpoint has
      the prompt cached |
    | prompt_cached_at | endpoints that confirmed that they have the prompt cached |
    """

    team: str
    request_class: str
    rank: int
    pool: str
    cost: float
    deadline_ms: float
    number: int = 0
    weight: float = 1.0
    continuing: bool = False
    held_tokens: int = 0
    prompt_tokens: int = 0
    prompt_key: str = ""
    excluded: frozenset[str] = field(factory=frozenset)
    queried: frozenset[str] = field(factory=frozenset)
    avoided_zones: frozenset[str] = field(factory=frozenset)
    caller_resumes: bool = False
    prompt_cached_at: frozenset[str] = field(factory=frozenset)


@frozen
class LoadReport:
    """An endpoint's own load report, as of ``queried_ms``.

    ``prefill_pending_runs`` is the number of requests there that are queued or in
    prefill, ``free_tokens`` the free cache memory in tokens; None if not reported.
    """

    endpoint_id: str
    running: int
    queued: int
    slots: int
    queried_ms: float
    prefill_pending_runs: int | None = None
    free_tokens: int | None = None


@frozen
class Grant:
    """The request may be sent to this endpoint, where a place is reserved for it.

    ``permit_lapses_ms`` is the time until which it may leave, if the endpoint limits
    its requests.
    """

    number: int
    endpoint_id: str
    permit_lapses_ms: float | None = None


@frozen
class Refuse:
    """The request can't be served before its deadline; final."""

    number: int
    code: str
    retry_after_ms: int


Decision = Grant | Refuse

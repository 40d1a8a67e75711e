"""What routing is told and what it answers."""

from attrs import field, frozen

__all__ = ["Decision", "Grant", "LoadReport", "Refuse", "Seek"]


@frozen
class Seek:
    """A request that needs an endpoint.

    ``cost_tokens`` is prompt and output together, as far as known. ``rank`` orders the
    classes. A continuing request has tokens already, and goes before new work.
    ``prompt_key`` names the prompt, salted by team, for prefix affinity.
    ``candidates`` are the endpoints whose load was asked for just now; while one of
    them has room, no other is chosen. ``shunned_zones`` are those where this request
    was lost; ``resumes`` says that the caller holds a part of the answer already, so
    that its prompt lies in some endpoint's cache.
    """

    ticket: int
    team: str
    request_class: str
    rank: int
    model: str
    cost_tokens: float
    deadline_ms: float
    weight: float = 1.0
    continuing: bool = False
    held_tokens: int = 0
    prompt_tokens: int = 0
    prompt_key: str = ""
    excluded: frozenset[str] = field(factory=frozenset)
    candidates: frozenset[str] = field(factory=frozenset)
    shunned_zones: frozenset[str] = field(factory=frozenset)
    resumes: bool = False


@frozen
class LoadReport:
    """An endpoint's own report of its load, which lags.

    ``unread_runs`` are requests that wait there or whose prompt is being read, and
    ``free_tokens`` is the memory for more; both are None if it doesn't say.
    """

    endpoint_id: str
    running: int
    queued: int
    slots: int
    asked_ms: float
    unread_runs: int | None = None
    free_tokens: int | None = None


@frozen
class Grant:
    """The request may go to this endpoint, where a place is taken for it."""

    ticket: int
    endpoint_id: str


@frozen
class Refuse:
    """The request can't be served in its time; final, and given at once."""

    ticket: int
    code: str
    retry_after_ms: int


Decision = Grant | Refuse

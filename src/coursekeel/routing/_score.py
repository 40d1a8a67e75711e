"""Scoring: which endpoint gets a request, of those that have room.

Rule: the one with the shortest expected time to the first token, a sum of terms in ms
(`FirstTokenScore`) from the endpoint's load report, from what this instance sent since,
and from recent failures. Endpoints whose load was just queried are all compared;
otherwise two at random, so that instances with the same old reports don't all choose
the same endpoint, and the prompt's preferred endpoint as a third.

Prompt affinity: rendezvous hashing names one preferred endpoint for each prompt, the
same at every instance, so that a repeated prompt meets its prefix cache.

A core: no clock, and the caller passes the random number generator.
"""

from collections.abc import Iterable
from random import Random

import xxhash
from attrs import frozen

from coursekeel.routing._load import EndpointLoad
from coursekeel.routing._messages import PlacementRequest

__all__ = [
    "FirstTokenScore",
    "affinity",
    "choose",
    "preferred",
    "score",
    "subset",
]

# First token from an idle endpoint. The same for all, so that it decides nothing; it
# keeps scores readable as times.
_BASE_MS = 50.0

# Share of a prefill's time that each other run at the endpoint loses: with chunked
# prefill a decode step takes 5 ms between chunks of 25 ms. Without the term all of 9
# endpoints with a free slot scored alike, and the mean worth was 0.008 lower (40 pairs
# of days with trouble, eight seeds).
_PREFILL_STALL_SHARE = 0.83

# Round trip to another zone; it only breaks ties.
_CROSS_ZONE_MS = 2.0

# A run that doesn't fit into memory waits for another to end, or evicts one: about
# the length of a stream.
_MEMORY_FULL_MS = 5_000.0

# Penalty of an endpoint that fails every run: more than a second try costs.
_ALL_FAILING_MS = 4_000.0

# Head start of a prompt's preferred endpoint, as a share of the prompt's prefill time:
# less than the cost of one run that is there already. 0.1 in place of 0.9 made no
# difference on quiet days (six seeds at two sites).
_AFFINITY_SHARE = 0.5

# The same for a caller that resumes an answer: its prompt is surely cached somewhere.
_RESUMED_AFFINITY_SHARE = 2.0

# Above this share of failed runs an endpoint counts as failing. If one does, a share of
# the choices is made at random, since an endpoint that is never tried can't recover.
_FAILING_SHARE = 0.3
_EXPLORATION_SHARE = 0.03


@frozen
class FirstTokenScore:
    """Expected time to a request's first token at one endpoint, by term, in ms.

    | term | from |
    | --- | --- |
    | base | the same everywhere |
    | queue | runs there beyond the slots, by the report and what was sent since |
    | memory | the reported free memory, less what was sent since, is too small |
    | failures | the share of recent runs that failed |
    | prefill | prompt tokens to be read first: this request's unless cached, and those
      of runs in prefill or queued |
    | stalled runs | delay to the runs there during this request's prefill |
    | zone | round trip to another zone |
    """

    base_ms: float
    queue_ms: float
    memory_ms: float
    failures_ms: float
    prefill_ms: float
    stalled_runs_ms: float
    zone_ms: float

    @property
    def total_ms(self) -> float:
        """The expected time to the first token, in ms."""
        waiting_ms = self.queue_ms + self.memory_ms + self.failures_ms
        prefill_ms = self.prefill_ms + self.stalled_runs_ms
        return self.base_ms + waiting_ms + prefill_ms + self.zone_ms


def score(load: EndpointLoad, request: PlacementRequest, zone: str) -> FirstTokenScore:
    """Score an endpoint for a request sent from ``zone``."""
    own_ms = _own_prefill_tokens(load, request) * load.reading.ms_per_token
    ahead_ms = _prefill_tokens_ahead(load, request) * load.reading.ms_per_token
    return FirstTokenScore(
        base_ms=_BASE_MS,
        queue_ms=_queue_ms(load),
        memory_ms=_MEMORY_FULL_MS if _lacks_memory(load, request) else 0.0,
        failures_ms=load.failing * _ALL_FAILING_MS,
        prefill_ms=own_ms + ahead_ms,
        stalled_runs_ms=_run_count(load) * own_ms * _PREFILL_STALL_SHARE,
        zone_ms=0.0 if load.zone == zone else _CROSS_ZONE_MS,
    )


def _own_prefill_tokens(load: EndpointLoad, request: PlacementRequest) -> int:
    """The request's tokens that need prefill: fewer if its prompt is cached there."""
    kept = load.endpoint_id in request.prompt_cached_at
    if kept or load.has_cached(request.prompt_key):
        return request.held_tokens
    return request.held_tokens + request.prompt_tokens


def _prefill_tokens_ahead(load: EndpointLoad, request: PlacementRequest) -> int:
    """Estimate the prompt tokens that the endpoint reads before this request's.

    The report doesn't give the lengths of other prompts; each counts like this one's.
    """
    if load.report is None or load.report.prefill_pending_runs is None:
        return 0
    return (
        load.report.prefill_pending_runs * request.prompt_tokens
        + load.prompt_tokens_since_report
    )


def _lacks_memory(load: EndpointLoad, request: PlacementRequest) -> bool:
    """Whether the request doesn't fit into the reported memory."""
    if load.report is None or load.report.free_tokens is None:
        return False
    return load.report.free_tokens - load.prompt_tokens_since_report < request.cost


def _run_count(load: EndpointLoad) -> int:
    """The runs at the endpoint, by the report and what was sent since."""
    report = load.report
    if report is None:
        return load.limit.running
    return max(0, report.running + report.queued + load.sent_since_report)


def _queue_ms(load: EndpointLoad) -> float:
    """The expected wait for a slot, in ms; almost 0 while slots are free."""
    report = load.report
    if report is None or report.slots <= 0:
        return load.limit.running * load.usual_run_ms / max(load.limit.limit, 1.0)
    runs = _run_count(load)
    over = runs + 1 - report.slots
    if over > 0:
        return over * load.usual_run_ms / report.slots
    # Larger batches are slower, so the emptier of two endpoints with free slots wins.
    return runs / report.slots


def choose(
    loads: list[EndpointLoad], request: PlacementRequest, zone: str, random: Random
) -> EndpointLoad:
    """Choose one of ``loads``, which have room and aren't empty.

    ``zone`` is that of the sender.
    """
    asked = [load for load in loads if load.endpoint_id in request.queried]
    if asked:
        return _best_of_queried(asked, request, zone)
    failing = any(load.failing > _FAILING_SHARE for load in loads)
    if failing and random.random() < _EXPLORATION_SHARE:
        return random.choice(loads)
    compared = random.sample(loads, 2) if len(loads) > 2 else list(loads)
    if request.prompt_key:
        compared.append(preferred(loads, request.prompt_key))
    return min(compared, key=lambda load: score(load, request, zone).total_ms)


def _best_of_queried(
    asked: list[EndpointLoad], request: PlacementRequest, zone: str
) -> EndpointLoad:
    """Compare all queried endpoints, with a head start for the preferred one.

    This leads a caller that resumes through another instance to the endpoint that has
    its prompt cached, unless that is busy.
    """
    own = _own_among(asked, request)
    resumes = request.caller_resumes
    share = _RESUMED_AFFINITY_SHARE if resumes else _AFFINITY_SHARE
    ms_per_token = asked[0].reading.ms_per_token
    head_start_ms = share * request.prompt_tokens * ms_per_token

    def expected_ms(load: EndpointLoad) -> float:
        total_ms = score(load, request, zone).total_ms
        return total_ms - head_start_ms if load is own else total_ms

    return min(asked, key=expected_ms)


def _own_among(
    asked: list[EndpointLoad], request: PlacementRequest
) -> EndpointLoad | None:
    """The prompt's preferred endpoint; None if it is known which have it cached."""
    if request.prompt_cached_at or not request.prompt_key:
        return None
    return preferred(asked, request.prompt_key)


def preferred(loads: Iterable[EndpointLoad], prompt_key: str) -> EndpointLoad:
    """The prompt's preferred endpoint among ``loads``, by rendezvous hashing."""
    return max(loads, key=lambda load: affinity(prompt_key, load.endpoint_id))


def affinity(prompt_key: str, endpoint_id: str) -> int:
    """Rendezvous hash of a prompt and an endpoint; the highest is preferred."""
    return xxhash.xxh64_intdigest(f"{prompt_key}/{endpoint_id}".encode())


def subset(
    endpoints: Iterable[tuple[str, str]], instance_id: str, zone: str, size: int
) -> list[str]:
    """The ids of up to ``size`` endpoints that an instance uses.

    ``endpoints`` are pairs of id and zone. Half of the subset is taken from the
    instance's own zone first. The instance's id is part of the hash, so that the
    subsets of all instances cover all endpoints.
    """
    ranked = sorted(
        endpoints,
        key=lambda pair: xxhash.xxh64_intdigest(f"{instance_id}/{pair[0]}".encode()),
    )
    near = [name for name, its_zone in ranked if its_zone == zone][: (size + 1) // 2]
    rest = [name for name, _ in ranked if name not in set(near)]
    return near + rest[: size - len(near)]

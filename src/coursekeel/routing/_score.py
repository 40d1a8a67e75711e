"""Choose: which endpoint gets a request, of those that have room.

Rule: the one where the first token is expected soonest. The expectation is a sum of
terms in milliseconds (`FirstTokenScore`), made from the endpoint's own report, from
what this instance sent since, and from how late runs ended there. Where loads were
asked for just now, all of those endpoints are compared; otherwise two at random, so
that instances with the same old reports don't all send to the same endpoint, and the
prompt's own endpoint as a third.

Prompt affinity: rendezvous hashing names one endpoint for each prompt, the same at
every instance, so that a prompt that comes again meets its cache. It is preferred by a
share of the time that reading the prompt takes.

A core: no clock, and the generator of random numbers is given.
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

# A first token from an endpoint that does nothing else. The same for all, so that it
# decides nothing; it keeps scores readable as times.
_BASE_MS = 50.0

# While an endpoint reads a prompt piece by piece, the runs beside it stand nearly
# still: of the time that reading takes, so much is lost to each of them. Worked out
# from steps of 5 ms between pieces of 25 ms. Without the term all of 9 engines with a
# free slot looked alike, and a mean worth was 0.008 lower (40 pairs of days with
# trouble, eight seeds; by half of them 0.012, between 0.003 and 0.020).
_HELD_UP_SHARE = 0.83

# Another zone's way there and back; it only breaks ties.
_OTHER_ZONE_MS = 2.0

# A run that doesn't fit waits for another to end, or pushes one out: about as long as a
# stream takes.
_MEMORY_FULL_MS = 5_000.0

# What an endpoint that fails every run is behind one that fails none: more than a
# second try costs.
_ALL_FAILING_MS = 4_000.0

# How much of a prompt's reading time its own endpoint may lie behind: less than one run
# that stands there already. 0.1 in place of 0.9 made no difference on quiet days (0.901
# and 0.867 against 0.900 and 0.865 over six seeds at two sites).
_AFFINITY_SHARE = 0.5

# The same for a caller that comes back with a part of its answer: its prompt was surely
# read, and its instance is gone.
_RESUMED_AFFINITY_SHARE = 2.0

# From this share of failed runs on an endpoint counts as failing, and then so many
# choices are made by lot: a failing endpoint is never the better one, and without a try
# now and then nobody would find out that it works again.
_FAILING_SHARE = 0.3
_EXPLORED_SHARE = 0.03  # see above


@frozen
class FirstTokenScore:
    """What a request waits for at one endpoint, term by term, in ms.

    | term | from |
    | --- | --- |
    | base | the same everywhere |
    | queue | the report's requests and own sends since, beyond the slots |
    | memory | the report's free memory less what was sent since, against the request |
    | failures | the share of late runs that failed |
    | reading | prompt tokens to be read before the first token: this request's unless
      cached, and those of runs that haven't begun |
    | others | what the runs there wait while this request's prompt is read |
    | zone | the way to another availability zone |
    """

    base_ms: float
    queue_ms: float
    memory_ms: float
    failures_ms: float
    reading_ms: float
    others_ms: float
    zone_ms: float

    @property
    def total_ms(self) -> float:
        """The expected time to the first token."""
        waiting_ms = self.queue_ms + self.memory_ms + self.failures_ms
        reading_ms = self.reading_ms + self.others_ms
        return self.base_ms + waiting_ms + reading_ms + self.zone_ms


def score(load: EndpointLoad, request: PlacementRequest, zone: str) -> FirstTokenScore:
    """Score an endpoint for a request that is sent from ``zone``."""
    own_ms = _unread_tokens(load, request) * load.reading.ms_per_token
    before_ms = _unread_before(load, request) * load.reading.ms_per_token
    return FirstTokenScore(
        base_ms=_BASE_MS,
        queue_ms=_queue_ms(load),
        memory_ms=_MEMORY_FULL_MS if _lacks_memory(load, request) else 0.0,
        failures_ms=load.failing * _ALL_FAILING_MS,
        reading_ms=own_ms + before_ms,
        others_ms=_present(load) * own_ms * _HELD_UP_SHARE,
        zone_ms=0.0 if load.zone == zone else _OTHER_ZONE_MS,
    )


def _unread_tokens(load: EndpointLoad, request: PlacementRequest) -> int:
    """This request's own tokens that the endpoint has to read."""
    kept = load.endpoint_id in request.kept_at
    if kept or load.has_cached(request.prompt_key):
        return request.held_tokens
    return request.held_tokens + request.prompt_tokens


def _unread_before(load: EndpointLoad, request: PlacementRequest) -> int:
    """Prompt tokens that are read before a new request's, as far as known.

    A report doesn't say how long the prompts are; they are taken to be like this one.
    """
    if load.report is None or load.report.unread_runs is None:
        return 0
    return load.report.unread_runs * request.prompt_tokens + load.unread_since_report


def _lacks_memory(load: EndpointLoad, request: PlacementRequest) -> bool:
    """Say whether the request surely doesn't fit into the endpoint's memory."""
    if load.report is None or load.report.free_tokens is None:
        return False
    return load.report.free_tokens - load.unread_since_report < request.cost


def _present(load: EndpointLoad) -> int:
    """How many runs are there, by the report and by what was sent since."""
    report = load.report
    if report is None:
        return load.limit.running
    return max(0, report.running + report.queued + load.sent_since_report)


def _queue_ms(load: EndpointLoad) -> float:
    """How long the requests ahead take: next to none while slots are free."""
    report = load.report
    if report is None or report.slots <= 0:
        return load.limit.running * load.usual_run_ms / max(load.limit.limit, 1.0)
    present = _present(load)
    over = present + 1 - report.slots
    if over > 0:
        return over * load.usual_run_ms / report.slots
    # Batches slow as they fill, so of two endpoints with room the emptier one wins.
    return present / report.slots


def choose(
    loads: list[EndpointLoad], request: PlacementRequest, zone: str, random: Random
) -> EndpointLoad:
    """Choose among endpoints that have room, at least one."""
    asked = [each for each in loads if each.endpoint_id in request.asked]
    if asked:
        return _best_of_asked(asked, request, zone)
    failing = any(each.failing > _FAILING_SHARE for each in loads)
    if failing and random.random() < _EXPLORED_SHARE:
        return random.choice(loads)
    compared = random.sample(loads, 2) if len(loads) > 2 else list(loads)
    if request.prompt_key:
        compared.append(preferred(loads, request.prompt_key))
    return min(compared, key=lambda each: score(each, request, zone).total_ms)


def _best_of_asked(
    asked: list[EndpointLoad], request: PlacementRequest, zone: str
) -> EndpointLoad:
    """All whose load is known compete; the prompt's own endpoint has a head start.

    A caller that lost its instance comes back through another, which can't know where
    the prompt was read; hashing sends it to the same endpoint unless that is busy.
    """
    own = _own_of(asked, request)
    resumes = request.caller_resumes
    share = _RESUMED_AFFINITY_SHARE if resumes else _AFFINITY_SHARE
    read_ms = asked[0].reading.ms_per_token
    head_start_ms = share * request.prompt_tokens * read_ms

    def expected_ms(load: EndpointLoad) -> float:
        total_ms = score(load, request, zone).total_ms
        return total_ms - head_start_ms if load is own else total_ms

    return min(asked, key=expected_ms)


def _own_of(
    asked: list[EndpointLoad], request: PlacementRequest
) -> EndpointLoad | None:
    """The prompt's own endpoint; none where it is known which keep the prompt."""
    if request.kept_at or not request.prompt_key:
        return None
    return preferred(asked, request.prompt_key)


def preferred(loads: Iterable[EndpointLoad], prompt_key: str) -> EndpointLoad:
    """The prompt's own endpoint of those given."""
    return max(loads, key=lambda each: affinity(prompt_key, each.endpoint_id))


def affinity(prompt_key: str, endpoint_id: str) -> int:
    """Rendezvous hashing: every instance sends a prompt to the same endpoint first."""
    return xxhash.xxh64_intdigest(f"{prompt_key}/{endpoint_id}".encode())


def subset(
    endpoints: Iterable[tuple[str, str]], instance_id: str, zone: str, size: int
) -> list[str]:
    """The endpoints that an instance talks to when there are more than ``size``.

    ``endpoints`` are pairs of id and zone. Half the places go to the instance's own
    zone first; each draws by its own hash, so that all endpoints are covered.
    """
    ranked = sorted(
        endpoints,
        key=lambda pair: xxhash.xxh64_intdigest(f"{instance_id}/{pair[0]}".encode()),
    )
    near = [name for name, at in ranked if at == zone][: (size + 1) // 2]
    rest = [name for name, _ in ranked if name not in set(near)]
    return near + rest[: size - len(near)]

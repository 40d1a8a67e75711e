"""Score endpoints by the time to first token that is to be expected of them."""

from collections.abc import Iterable
from random import Random

import xxhash
from attrs import define, field

from coursekeel.routing._limits import ConcurrencyLimit
from coursekeel.routing._messages import LoadReport, Seek

__all__ = [
    "EndpointLoad",
    "expected_first_token_ms",
    "pick",
    "preference",
    "subset",
]

_NEWEST_SHARE = 0.2
_REPORT_HOLD_MS = 1_000.0
_USUAL_FIRST_MS = 50.0
_USUAL_RUN_MS = 2_000.0
_CACHED_KEPT = 512
_PREFILL_MS_PER_TOKEN = 0.05
_OTHER_ZONE_MS = 2.0
_MEMORY_FULL_MS = 5_000.0
_KEEPER_SHARE = 0.9
_RESUMED_KEEPER_SHARE = 2.0
_FAILING_MS = 4_000.0
_FAILING_SHARE = 0.3
_EXPLORED_SHARE = 0.03


@define
class EndpointLoad:
    """What routing knows of one endpoint: its report, corrected by own sends."""

    endpoint_id: str
    zone: str = ""
    limit: ConcurrencyLimit = field(factory=ConcurrencyLimit)
    report: LoadReport | None = None
    sent_since_report: int = 0
    unread_since_report: int = 0
    usual_run_ms: float = _USUAL_RUN_MS
    failing: float = 0.0
    _prompts: dict[str, None] = field(factory=dict)

    def reported(self, report: LoadReport) -> None:
        """Take a report; what was sent and what ended since counts on top."""
        if self.report is not None and report.asked_ms < self.report.asked_ms:
            return
        self.report = report
        self.sent_since_report = 0
        self.unread_since_report = 0
        asked_ms = report.asked_ms
        self.limit.reported(report.slots, report.queued, asked_ms, _REPORT_HOLD_MS)

    def sent(self, prompt_key: str, prompt_tokens: int = 0) -> None:
        """A run was sent; its prompt will be in the endpoint's cache."""
        self.limit.started()
        self.sent_since_report += 1
        self.unread_since_report += prompt_tokens
        if prompt_key:
            self._prompts.pop(prompt_key, None)
            self._prompts[prompt_key] = None
            if len(self._prompts) > _CACHED_KEPT:
                del self._prompts[next(iter(self._prompts))]

    def ended(self, run_ms: float, failed: bool = False) -> None:
        """A run ended after ``run_ms``."""
        self.failing += _NEWEST_SHARE * (float(failed) - self.failing)
        self.limit.ended()
        self.sent_since_report -= 1
        self.usual_run_ms += _NEWEST_SHARE * (run_ms - self.usual_run_ms)

    def returned(self, prompt_tokens: int = 0) -> None:
        """A granted place wasn't used: nothing was sent after all."""
        self.limit.ended()
        self.sent_since_report -= 1
        self.unread_since_report -= prompt_tokens

    def has_cached(self, prompt_key: str) -> bool:
        """Say whether this entry sent the prompt there lately; a hint, no more."""
        return bool(prompt_key) and prompt_key in self._prompts


def expected_first_token_ms(load: EndpointLoad, seek: Seek, zone: str) -> float:
    """About how long the endpoint would take to give this request a token."""
    uncached = seek.held_tokens
    if not load.has_cached(seek.prompt_key):
        uncached += seek.prompt_tokens
    hop_ms = 0.0 if load.zone == zone else _OTHER_ZONE_MS
    wait_ms = _queue_ms(load) + _memory_ms(load, seek) + load.failing * _FAILING_MS
    uncached += _unread_tokens(load, seek)
    return _USUAL_FIRST_MS + wait_ms + uncached * _PREFILL_MS_PER_TOKEN + hop_ms


def _unread_tokens(load: EndpointLoad, seek: Seek) -> int:
    """Prompt tokens that are read before a new request's, as far as known.

    A report doesn't say how long the prompts are; they are taken to be like this one.
    """
    if load.report is None or load.report.unread_runs is None:
        return 0
    return load.report.unread_runs * seek.prompt_tokens + load.unread_since_report


def _memory_ms(load: EndpointLoad, seek: Seek) -> float:
    """A run that doesn't fit waits for another to end, or pushes one out."""
    if load.report is None or load.report.free_tokens is None:
        return 0.0
    short = load.report.free_tokens - load.unread_since_report < seek.cost_tokens
    return _MEMORY_FULL_MS if short else 0.0


def _queue_ms(load: EndpointLoad) -> float:
    """How long the requests ahead take: none while slots are free."""
    report = load.report
    if report is None or report.slots <= 0:
        return load.limit.running * load.usual_run_ms / max(load.limit.limit, 1.0)
    present = max(0, report.running + report.queued + load.sent_since_report)
    over = present + 1 - report.slots
    if over > 0:
        return over * load.usual_run_ms / report.slots
    # Batches slow as they fill, so of two endpoints with room the emptier one wins.
    return present / report.slots


def pick(
    loads: list[EndpointLoad], seek: Seek, zone: str, random: Random
) -> EndpointLoad:
    """Choose among endpoints that have room.

    Two at random and the better of them, so that entries with the same old reports
    don't run to the same endpoint; the prompt's own endpoint joins the two as a third
    when it isn't clearly busier. Of endpoints whose load was asked for just now all
    are compared.
    """
    asked = [each for each in loads if each.endpoint_id in seek.candidates]
    if asked:
        return min(asked, key=lambda each: _asked_ms(each, asked, seek, zone))
    failing = any(each.failing > _FAILING_SHARE for each in loads)
    if failing and random.random() < _EXPLORED_SHARE:
        # An endpoint that failed is never the better one; without a try now and then
        # nobody would find out that it works again.
        return random.choice(loads)
    chosen = random.sample(loads, 2) if len(loads) > 2 else list(loads)
    if seek.prompt_key:
        chosen.append(max(loads, key=lambda each: _weight(each, seek.prompt_key)))
    return min(chosen, key=lambda each: expected_first_token_ms(each, seek, zone))


def _asked_ms(
    load: EndpointLoad, asked: list[EndpointLoad], seek: Seek, zone: str
) -> float:
    """The expected wait; the prompt's own endpoint may have read the prompt before.

    A caller that lost its entry comes back through another, which can't know where
    the prompt was read; hashing sends it to the same endpoint unless that is busy.
    """
    wait_ms = expected_first_token_ms(load, seek, zone)
    if seek.prompt_key and load is max(
        asked, key=lambda each: _weight(each, seek.prompt_key)
    ):
        share = _RESUMED_KEEPER_SHARE if seek.resumes else _KEEPER_SHARE
        wait_ms -= share * seek.prompt_tokens * _PREFILL_MS_PER_TOKEN
    return wait_ms


def _weight(load: EndpointLoad, prompt_key: str) -> int:
    return preference(prompt_key, load.endpoint_id)


def preference(prompt_key: str, endpoint_id: str) -> int:
    """Rendezvous hashing: every entry sends a prompt to the same endpoint first."""
    return xxhash.xxh64_intdigest(f"{prompt_key}/{endpoint_id}".encode())


def subset(
    endpoint_ids: Iterable[tuple[str, str]], instance_id: str, zone: str, size: int
) -> list[str]:
    """The endpoints that an entry talks to when there are more than ``size``.

    ``endpoint_ids`` are pairs of id and zone. Half the places go to the entry's own
    zone first; each entry draws by its own hash, so that all endpoints are covered.
    """
    ranked = sorted(
        endpoint_ids,
        key=lambda pair: xxhash.xxh64_intdigest(f"{instance_id}/{pair[0]}".encode()),
    )
    near = [name for name, at in ranked if at == zone][: (size + 1) // 2]
    rest = [name for name, _ in ranked if name not in set(near)]
    return near + rest[: size - len(near)]

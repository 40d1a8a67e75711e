"""Load of one endpoint as this instance sees it.

Owns the endpoint's last report, the counts of what was sent to it since, and averages
over its runs. A core: the caller passes the time, in ms.
"""

from attrs import define, field

from coursekeel.routing._limits import ConcurrencyLimit
from coursekeel.routing._messages import LoadReport
from coursekeel.routing._reading import PrefillSpeed

__all__ = ["EndpointLoad"]

# Weight of the newest run in the averages of run time and failures. The second failure
# in a row takes an endpoint over `_FAILING_SHARE` of `_score`.
_NEWEST_WEIGHT = 0.2

# Minimum interval between shrinks of the limit by reports, since successive reports
# show the same queue. The same as `RouterSettings.refusal_hold_ms`.
_QUEUE_SHRINK_INTERVAL_MS = 1_000.0

# Expected run time before the first run has ended.
_INITIAL_RUN_MS = 2_000.0

# Bounds the prompt keys kept per endpoint to some 50 kB.
_MAX_PROMPTS = 512


@define
class EndpointLoad:
    """The endpoint's last report, and what this instance has sent since.

    ``reading`` is shared by the whole pool. ``failing`` is the moving average of the
    share of failed runs, ``usual_run_ms`` that of the run time.
    """

    endpoint_id: str
    zone: str = ""
    limit: ConcurrencyLimit = field(factory=ConcurrencyLimit)
    reading: PrefillSpeed = field(factory=PrefillSpeed)
    report: LoadReport | None = None
    sent_since_report: int = 0
    prompt_tokens_since_report: int = 0
    usual_run_ms: float = _INITIAL_RUN_MS
    failing: float = 0.0
    _recent_prompts: dict[str, None] = field(factory=dict)

    def reported(self, report: LoadReport) -> None:
        """Store a report and reset the counts; an older report is ignored."""
        if self.report is not None and report.queried_ms < self.report.queried_ms:
            return
        self.report = report
        self.sent_since_report = 0
        self.prompt_tokens_since_report = 0
        queried_ms = report.queried_ms
        self.limit.reported(
            report.slots, report.queued, queried_ms, _QUEUE_SHRINK_INTERVAL_MS
        )

    def sent(self, prompt_key: str, prompt_tokens: int = 0) -> None:
        """Count a run that was sent; the endpoint will have its prompt cached."""
        self.limit.started()
        self.sent_since_report += 1
        self.prompt_tokens_since_report += prompt_tokens
        if prompt_key:
            self._remember(prompt_key)

    def _remember(self, prompt_key: str) -> None:
        """Move the prompt to the end; drop the least recently sent beyond the bound."""
        self._recent_prompts.pop(prompt_key, None)
        self._recent_prompts[prompt_key] = None
        if len(self._recent_prompts) > _MAX_PROMPTS:
            del self._recent_prompts[next(iter(self._recent_prompts))]

    def ended(self, run_ms: float, failed: bool = False) -> None:
        """Count the end of a run that took ``run_ms``."""
        self.failing += _NEWEST_WEIGHT * (float(failed) - self.failing)
        self.limit.ended()
        self.sent_since_report -= 1
        self.usual_run_ms += _NEWEST_WEIGHT * (run_ms - self.usual_run_ms)

    def return_unused(self, prompt_tokens: int = 0) -> None:
        """Undo `sent` for a granted place to which nothing was sent."""
        self.limit.ended()
        self.sent_since_report -= 1
        self.prompt_tokens_since_report -= prompt_tokens

    def has_cached(self, prompt_key: str) -> bool:
        """Whether this instance recently sent the prompt there; only a hint."""
        return bool(prompt_key) and prompt_key in self._recent_prompts

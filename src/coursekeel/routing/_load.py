"""What routing knows of one endpoint's load.

Owns an endpoint's last report, what was sent to it since, and what its runs taught. A
core: each moment is given, in ms.
"""

from attrs import define, field

from coursekeel.routing._limits import ConcurrencyLimit
from coursekeel.routing._messages import LoadReport
from coursekeel.routing._reading import ReadingSpeed

__all__ = ["EndpointLoad"]

# How much the newest run counts in the averages of run length and of failures. An
# endpoint that fails every run passes the failing share of `_score` with its second
# one.
_NEWEST_SHARE = 0.2

# Reports with a queue shrink the limit once in so long: a queue outlives a report. The
# same as `RouterSettings.refusal_hold_ms`.
_REPORT_HOLD_MS = 1_000.0

# A run's length until the first has ended.
_USUAL_RUN_MS = 2_000.0

# How many prompts sent lately are remembered: some 50 kB an endpoint at the most.
_MAX_PROMPTS = 512


@define
class EndpointLoad:
    """The endpoint's report, corrected by what this instance has sent since.

    ``reading`` is its whole pool's. ``failing`` is the share of late runs that the
    endpoint failed. ``usual_run_ms`` is how long its runs take.
    """

    endpoint_id: str
    zone: str = ""
    limit: ConcurrencyLimit = field(factory=ConcurrencyLimit)
    reading: ReadingSpeed = field(factory=ReadingSpeed)
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
            self._remember(prompt_key)

    def _remember(self, prompt_key: str) -> None:
        """Keep the prompts sent last, the newest at the end."""
        self._prompts.pop(prompt_key, None)
        self._prompts[prompt_key] = None
        if len(self._prompts) > _MAX_PROMPTS:
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
        """Say whether this instance sent the prompt there lately; a hint, no more."""
        return bool(prompt_key) and prompt_key in self._prompts

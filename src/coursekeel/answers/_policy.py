"""Timeouts and limits that a request class sets for its answers."""

import math

from attrs import frozen

__all__ = ["AnswerPolicy"]


@frozen
class AnswerPolicy:
    """Timeouts and limits of one answer's attempts.

    ``patience_ms`` is the longest wait for a piece, at the start and after each loss.
    A stream is suspected after ``first_token_ms`` without a first piece
    (``copy_first_ms`` when it continues from a copy), later after ``silence_ms``
    without data. ``races`` keeps a suspected stream open beside its successor, which
    saves latency; cancelling it when its successor starts saves engine work. Without
    ``races`` it is cancelled once its successor's engine has accepted the run, at most
    ``handover_ms`` after that was opened, so that there is a run if it is refused.

    An answer is interrupted after ``deaths_before_stop`` lost runs in a row, not
    counting those before a run that streamed for ``reset_losses_after_ms``. An engine's
    run is read again up to ``reread_tries`` times before it counts as lost.

    No attempt is opened once ``max_runs`` may have run, whatever became of them: 1 for
    a request that may not be repeated.
    """

    patience_ms: float = 30_000
    first_token_ms: float = 10_000
    copy_first_ms: float = 1_500
    silence_ms: float = 1_000
    races: bool = True
    handover_ms: float = 0
    deaths_before_stop: int = 3
    reset_losses_after_ms: float = 1_000
    reread_tries: int = 2
    max_runs: float = math.inf
    retry_after_ms: int = 2_000

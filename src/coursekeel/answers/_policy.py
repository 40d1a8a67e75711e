"""The settings that a request class gives to its answers."""

from attrs import frozen

__all__ = ["AnswerPolicy"]


@frozen
class AnswerPolicy:
    """How long an answer waits, and what it spends on not waiting.

    ``silence_ms`` is how long one stream may be silent before it is doubted;
    ``races`` says whether a doubted stream keeps running beside its successor (head
    office buys latency) or is cancelled first (Paysandú saves engine work).
    ``copy_first_ms`` is the longest wait for the first piece from a copy, which has
    little left to read. ``deaths_before_stop`` lost runs, and none between that gave
    pieces for ``sound_after_ms``, mean that the request itself stops engines.
    ``own_stream_tries`` bounds how often an engine's own run is read again before it
    counts as lost.

    Classes set their own in the intent, the
    gateway in `StreamTask`. What silence costs is measured by `bench.resume`.
    """

    patience_ms: int = 30_000
    first_token_ms: float = 10_000
    copy_first_ms: float = 1_500
    silence_ms: float = 1_000
    races: bool = True
    deaths_before_stop: int = 3
    sound_after_ms: float = 1_000
    own_stream_tries: int = 2
    retry_after_ms: int = 2_000

"""Which endpoints name a limit on their requests, and which.

Rule: a limit is believed from the first answer that names it. It ends only with answers
to requests that were sent after it was last named: an answer to an earlier request may
have been written before the naming. One such answer ends it if none has named it for
a while, several do so at once, so that an endpoint that names its limit in some answers
only keeps it. Without answers a limit stays: the requests that it allows bring news.

Owns the limits in force, and when those that ended did. A core: the caller passes the
time, in ms.
"""

from collections.abc import Collection
from enum import Enum

from attrs import define, field, frozen

from coursekeel.limits._words import LimitWord, NamedLimit, UnreadableLimit

__all__ = ["LimitBook", "LimitEvent", "LimitEventKind", "LimitNews"]

# An answer without a limit ends it if no answer has named it for this time.
_NAMED_LATELY_MS = 1_000.0
# So many of them in a row end it at once.
_UNNAMED_TO_END = 3
# News of a member that is older than the end of a limit doesn't bring it back. Longer
# than any datagram takes.
_END_KEPT_MS = 60_000.0
# Bounds the memory that messages of members can use.
_MAX_LIMITS = 5_000


class LimitEventKind(Enum):
    """What became of an endpoint's limit."""

    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"


@frozen
class LimitEvent:
    """A change of an endpoint's limit; ``source`` is ``answer`` or a member.

    ``per_s`` is the new limit; when it ended, the last one.
    """

    kind: LimitEventKind
    endpoint_id: str
    per_s: float
    source: str


@frozen
class LimitNews:
    """An endpoint's limit as a member knows it, for the other members.

    ``per_s`` is None if it names none any more. ``age_ms`` is how long ago the endpoint
    said so. ``brittle`` as in `NamedLimit`.
    """

    endpoint_id: str
    per_s: float | None
    age_ms: float
    brittle: bool = False


@define
class _Limit:
    per_s: float
    named_ms: float
    unnamed: int = 0
    brittle: bool = False


@define(eq=False)
class LimitBook:
    """The limits that endpoints named; ``events`` are for the log.

    ``unreadable`` counts the answers whose limit couldn't be read.
    """

    events: list[LimitEvent] = field(factory=list)
    unreadable: int = 0
    _limits: dict[str, _Limit] = field(factory=dict)
    _ended_ms: dict[str, float] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._limits)

    @property
    def endpoints(self) -> Collection[str]:
        """The ids of the endpoints that name a limit."""
        return self._limits.keys()

    def per_s(self, endpoint_id: str) -> float | None:
        """The limit in force, in requests a second; None if there is none."""
        limit = self._limits.get(endpoint_id)
        return None if limit is None else limit.per_s

    def is_new(self, endpoint_id: str) -> bool:
        """Whether the endpoint has named no limit yet, nor answered without one."""
        return endpoint_id not in self._limits and endpoint_id not in self._ended_ms

    def is_brittle(self, endpoint_id: str) -> bool:
        """Whether the limit in force is on the requests that it turns away."""
        limit = self._limits.get(endpoint_id)
        return limit is not None and limit.brittle

    def news(self, endpoint_id: str, now_ms: float) -> LimitNews:
        """What this instance knows of an endpoint's limit, to tell the members."""
        limit = self._limits.get(endpoint_id)
        if limit is not None:
            age_ms = now_ms - limit.named_ms
            return LimitNews(endpoint_id, limit.per_s, age_ms, limit.brittle)
        ended_ms = self._ended_ms.get(endpoint_id, now_ms)
        return LimitNews(endpoint_id, None, now_ms - ended_ms)

    def answered(
        self, endpoint_id: str, word: LimitWord, sent_ms: float, now_ms: float
    ) -> None:
        """Apply the word of an answer to a request that was sent at ``sent_ms``."""
        if isinstance(word, UnreadableLimit):
            self.unreadable += 1
        elif isinstance(word, NamedLimit):
            self._named_by_answer(endpoint_id, word, sent_ms, now_ms)
        else:
            self._not_named(endpoint_id, sent_ms, now_ms)

    def _named_by_answer(
        self, endpoint_id: str, word: NamedLimit, sent_ms: float, now_ms: float
    ) -> None:
        per_s = word.per_s
        current = self._limits.get(endpoint_id)
        if current is not None and sent_ms <= current.named_ms:
            # Either answer may be the later one, so the lower limit counts.
            per_s = min(per_s, current.per_s)
        self._set(endpoint_id, NamedLimit(per_s, word.brittle), now_ms, "answer")

    def _not_named(self, endpoint_id: str, sent_ms: float, now_ms: float) -> None:
        limit = self._limits.get(endpoint_id)
        if limit is None or sent_ms <= limit.named_ms:
            return
        limit.unnamed += 1
        lately = now_ms - limit.named_ms < _NAMED_LATELY_MS
        if not lately or limit.unnamed >= _UNNAMED_TO_END:
            self._end(endpoint_id, now_ms, "answer")

    def told(self, news: LimitNews, source: str, now_ms: float) -> None:
        """Apply news of the member ``source``, unless this instance has later ones."""
        said_ms = now_ms - max(news.age_ms, 0.0)
        limit = self._limits.get(news.endpoint_id)
        if limit is not None and said_ms <= limit.named_ms:
            return
        if news.per_s is None:
            if limit is not None:
                self._end(news.endpoint_id, said_ms, source)
        elif said_ms > self._ended_ms.get(news.endpoint_id, float("-inf")):
            word = NamedLimit(news.per_s, news.brittle)
            self._set(news.endpoint_id, word, said_ms, source)

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Remove an endpoint that is gone."""
        self._limits.pop(endpoint_id, None)

    def forget_ends(self, now_ms: float) -> None:
        """Remove the times of limits that ended long ago."""
        for endpoint_id, ended_ms in list(self._ended_ms.items()):
            if now_ms - ended_ms >= _END_KEPT_MS:
                del self._ended_ms[endpoint_id]

    def _set(
        self, endpoint_id: str, word: NamedLimit, named_ms: float, source: str
    ) -> None:
        per_s = word.per_s
        limit = self._limits.get(endpoint_id)
        if limit is None:
            if len(self._limits) >= _MAX_LIMITS:
                return
            self._limits[endpoint_id] = _Limit(per_s, named_ms, brittle=word.brittle)
            self._note(LimitEventKind.NAMED, endpoint_id, per_s, source)
            return
        if limit.per_s != per_s:
            self._note(LimitEventKind.CHANGED, endpoint_id, per_s, source)
        limit.per_s, limit.named_ms, limit.unnamed = per_s, named_ms, 0
        limit.brittle = word.brittle

    def _end(self, endpoint_id: str, ended_ms: float, source: str) -> None:
        limit = self._limits.pop(endpoint_id)
        self._ended_ms[endpoint_id] = ended_ms
        self._note(LimitEventKind.ENDED, endpoint_id, limit.per_s, source)

    def _note(
        self, kind: LimitEventKind, endpoint_id: str, per_s: float, source: str
    ) -> None:
        self.events.append(LimitEvent(kind, endpoint_id, per_s, source))

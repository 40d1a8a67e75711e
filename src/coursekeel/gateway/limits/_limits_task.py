"""What this instance hears of limits on endpoints' requests, with its log lines.

Owns the rate of the log lines on limits that can't be read. Relies on `LimitBook` for
the limits in force, and on the site's dialect to read them.
"""

import logging

from attrs import define, field

from coursekeel.fetch import ExchangeHead
from coursekeel.gateway._adapters import EndpointDialect, HeadVerdict
from coursekeel.limits import LimitBook, NamedLimit, UnreadableLimit
from coursekeel.observe import log_event
from coursekeel.runtime import Clock

__all__ = ["LimitsTask"]

# Every answer of an endpoint may carry the same unreadable limit.
_UNREADABLE_LOG_INTERVAL_MS = 1_000.0


@define(eq=False)
class LimitsTask:
    """Keeps ``book`` up to date from the answers of endpoints."""

    clock: Clock
    dialect: EndpointDialect
    book: LimitBook = field(factory=LimitBook)
    _unreadable_logged_ms: float = float("-inf")

    def answered(
        self, endpoint_id: str, request_id: str, head: ExchangeHead, sent_ms: float
    ) -> None:
        """Apply the head of an answer to a request that was sent at ``sent_ms``.

        Only a head that is the endpoint's own can end a limit.
        """
        verdict = self.dialect.judge(head, request_id)
        if verdict is HeadVerdict.OTHER_INSTANCE:
            return
        word = self.dialect.limit_named(head)
        if verdict is not HeadVerdict.FOREIGN or isinstance(word, NamedLimit):
            self.book.answered(endpoint_id, word, sent_ms, self.clock.now_ms())
        self._log(endpoint_id, word)

    def probe_answered(
        self, endpoint_id: str, head: ExchangeHead, sent_ms: float
    ) -> None:
        """Apply the head of an answer to a probe, which can name a limit only."""
        word = self.dialect.limit_named(head)
        if isinstance(word, NamedLimit):
            self.book.answered(endpoint_id, word, sent_ms, self.clock.now_ms())
        self._log(endpoint_id, word)

    def _log(self, endpoint_id: str, word: object) -> None:
        if isinstance(word, UnreadableLimit):
            self._log_unreadable(endpoint_id, word)
        for event in self.book.events:
            log_event(
                f"limit_{event.kind.value}",
                endpoint=event.endpoint_id,
                per_s=event.per_s,
                source=event.source,
            )
        self.book.events.clear()

    def _log_unreadable(self, endpoint_id: str, word: UnreadableLimit) -> None:
        now_ms = self.clock.now_ms()
        if now_ms - self._unreadable_logged_ms < _UNREADABLE_LOG_INTERVAL_MS:
            return
        self._unreadable_logged_ms = now_ms
        log_event(
            "limit_unreadable",
            logging.WARNING,
            endpoint=endpoint_id,
            fault=word.fault,
            so_far=self.book.unreadable,
        )

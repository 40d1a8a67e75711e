"""Pools whose endpoints are brittle: a new endpoint of one counts as brittle at once.

Reason: requests wait at all instances while a pool has little room, and would all go to
an endpoint that is just back before its first answer says how few it may turn away.

Rule: a pool is brittle from when one of its endpoints is until none is and one has
ended its limit, also while it has no endpoints.

Owns what each pool's endpoints said last. A core: the caller passes the time, in ms.
"""

from collections.abc import Collection, Mapping

from attrs import define, field

from coursekeel.limits._book import LimitBook, LimitNews

__all__ = ["BrittlePools"]

# The source of limits that are expected, not named, in the log.
_SOURCE = "pool"


@define(eq=False)
class BrittlePools:
    """Expects new endpoints of brittle pools to be brittle, in ``book``."""

    book: LimitBook
    _allowed_per_s: dict[str, float] = field(factory=dict)

    def observe(self, pools: Mapping[str, Collection[str]], now_ms: float) -> None:
        """Apply the endpoints of each pool that has any."""
        for pool, endpoint_ids in pools.items():
            self._update(pool, endpoint_ids, now_ms)
            allowed_per_s = self._allowed_per_s.get(pool)
            if allowed_per_s is not None:
                self._expect(endpoint_ids, allowed_per_s, now_ms)

    def _update(self, pool: str, endpoint_ids: Collection[str], now_ms: float) -> None:
        news = [
            self.book.news(each, now_ms)
            for each in endpoint_ids
            if self.book.is_brittle(each)
        ]
        if news:
            latest = min(news, key=lambda each: each.age_ms)
            self._allowed_per_s[pool] = latest.per_s or 0.0
        elif not all(self.book.is_new(each) for each in endpoint_ids):
            self._allowed_per_s.pop(pool, None)

    def _expect(
        self, endpoint_ids: Collection[str], allowed_per_s: float, now_ms: float
    ) -> None:
        for endpoint_id in endpoint_ids:
            if self.book.is_new(endpoint_id):
                news = LimitNews(endpoint_id, allowed_per_s, 0.0, brittle=True)
                self.book.told(news, _SOURCE, now_ms)

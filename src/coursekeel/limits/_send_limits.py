"""One instance's part in keeping the limits that endpoints name.

Rule: a request to an endpoint that names a limit needs a permit of the endpoint's
holder, a member of the group. The holder gives them out so that the requests of all
instances keep the limit. An instance that first hears of a limit tells all members, so
that those hold it too that haven't heard it.

Reason: a limit of a few requests a second can't be divided among many instances; a part
each would let through too much at once or, spaced out, nothing where callers are.

Relies on `LimitBook`, `Holders`, `PermitIssuer` and `PermitStock`. A core: the caller
passes the time, in ms, and ``send`` sends a message to a member.
"""

from collections.abc import Callable, Collection

from attrs import define, field

from coursekeel.limits._book import LimitBook, LimitEventKind, LimitNews
from coursekeel.limits._brittle import BRITTLE_SETTLING_MS, BrittleRates
from coursekeel.limits._holders import SETTLING_MS, Holders
from coursekeel.limits._issuer import Issue, PermitIssuer
from coursekeel.limits._messages import (
    LimitMessage,
    PermitAnswer,
    PermitQuestion,
    PermitReturned,
    TurnedAway,
)
from coursekeel.limits._rate import holder_rate_per_s
from coursekeel.limits._stock import PermitStock
from coursekeel.limits._words import LimitWord
from coursekeel.routing import SendGate

__all__ = ["SendLimits"]

# An instance that isn't the holder, or isn't yet, gives no permit for so long.
_NOT_HOLDER_WAIT_MS = 500.0
# Askers of a brittle endpoint whose permits have stopped come again so soon.
_PAUSED_WAIT_MS = 100.0
# A permit for a brittle endpoint is used within this time of its question, which leaves
# a moment for the news of a request that is turned away (`limits/_brittle.py`).
_BRITTLE_VALID_MS = 100.0
# An endpoint whose last word is older than this is tried with the next permit.
_DUE_MS = 1_000.0


@define(eq=False)
class SendLimits(SendGate):
    """The limits in force, and the permits that this instance gives and gets."""

    holders: Holders
    send: Callable[[str, LimitMessage], None]
    book: LimitBook = field(factory=LimitBook)
    issuer: PermitIssuer = field(factory=PermitIssuer)
    stock: PermitStock = field(factory=PermitStock)
    brittle_rates: BrittleRates = field(factory=BrittleRates)
    _kept_until_ms: dict[str, float] = field(factory=dict)

    # What routing asks.

    @property
    def limited(self) -> Collection[str]:
        return self.book.endpoints

    def has_permit(self, endpoint_id: str, now_ms: float) -> bool:
        if self.stock.at_hand(endpoint_id, now_ms):
            return True
        self._ask(endpoint_id, now_ms)
        return self.stock.at_hand(endpoint_id, now_ms)

    def take(self, endpoint_id: str, now_ms: float) -> float | None:
        return self.stock.take(endpoint_id, now_ms)

    def is_due(self, endpoint_id: str, now_ms: float) -> bool:
        return self.book.news(endpoint_id, now_ms).age_ms >= _DUE_MS

    def turn_ms(self, endpoint_id: str, now_ms: float) -> float:
        return self.stock.turn_ms(endpoint_id, now_ms)

    def reviewed(self, now_ms: float) -> None:
        for endpoint_id in self.stock.at_hand_anywhere(now_ms):
            is_kept = now_ms < self._kept_until_ms.get(endpoint_id, 0.0)
            if not is_kept:
                self._return_permits(endpoint_id, now_ms)

    def keep(self, endpoint_id: str, until_ms: float) -> None:
        """Return no permit for the endpoint until then, as a send waits for it."""
        self._kept_until_ms[endpoint_id] = until_ms

    def may_send(
        self, endpoint_id: str, permit_lapses_ms: float | None, now_ms: float
    ) -> bool:
        """Whether a request may leave now; called right before it is written.

        Its permit may have lapsed, or the limit may be newer than the choice of the
        endpoint; then a permit at hand is taken.
        """
        if self.book.per_s(endpoint_id) is None:
            return True
        if permit_lapses_ms is not None and now_ms < permit_lapses_ms:
            return True
        return self.stock.take(endpoint_id, now_ms) is not None

    # Permits.

    def _ask(self, endpoint_id: str, now_ms: float) -> None:
        if not self.stock.may_ask(endpoint_id, now_ms):
            return
        holder = self.holders.holder(endpoint_id)
        number = self.stock.asked(endpoint_id, now_ms)
        if holder in ("", self.holders.own):
            issue = self._issue(endpoint_id, self.holders.own, number, now_ms)
            self._take_issue(endpoint_id, number, issue, now_ms)
            return
        news = self.book.news(endpoint_id, now_ms)
        self.send(holder, PermitQuestion(number, news, self.holders.known))

    def _take_issue(
        self, endpoint_id: str, number: int, issue: Issue, now_ms: float
    ) -> None:
        if self.book.is_brittle(endpoint_id):
            self.stock.answered(endpoint_id, number, issue, now_ms, _BRITTLE_VALID_MS)
        else:
            self.stock.answered(endpoint_id, number, issue, now_ms)

    def _return_permits(self, endpoint_id: str, now_ms: float) -> None:
        """Give the holder back what no request needs, so that others may have it."""
        holder = self.holders.holder(endpoint_id)
        for number in self.stock.drop(endpoint_id, now_ms):
            if holder in ("", self.holders.own):
                self._returned(endpoint_id, self.holders.own, number, now_ms)
            else:
                news = self.book.news(endpoint_id, now_ms)
                self.send(holder, PermitReturned(news, number))

    def _returned(
        self, endpoint_id: str, asker: str, number: int, now_ms: float
    ) -> None:
        if self.book.is_brittle(endpoint_id):
            self.issuer.returned(endpoint_id)
            self.brittle_rates.returned(endpoint_id)
        else:
            self.issuer.returned_by(endpoint_id, asker, number, now_ms)

    def _issue(self, endpoint_id: str, asker: str, number: int, now_ms: float) -> Issue:
        per_s = self.book.per_s(endpoint_id)
        if per_s is None:
            return Issue(0)
        is_brittle = self.book.is_brittle(endpoint_id)
        settling_ms = BRITTLE_SETTLING_MS if is_brittle else SETTLING_MS
        if not self.holders.may_give(endpoint_id, now_ms, settling_ms):
            return Issue(0, _NOT_HOLDER_WAIT_MS, _NOT_HOLDER_WAIT_MS)
        share = self.holders.share(now_ms)
        if is_brittle:
            rate_per_s = self.brittle_rates.per_s(endpoint_id, per_s, now_ms) * share
            if not rate_per_s:
                return Issue(0, _PAUSED_WAIT_MS, _PAUSED_WAIT_MS)
        else:
            rate_per_s = holder_rate_per_s(per_s, share)
        issue = self.issuer.issue(endpoint_id, asker, number, rate_per_s, now_ms)
        if issue.given:
            self.brittle_rates.given(endpoint_id, now_ms)
        return issue

    # What endpoints and members say.

    def answered(
        self,
        endpoint_id: str,
        word: LimitWord,
        sent_ms: float,
        now_ms: float,
        others: Callable[[], Collection[str]],
    ) -> None:
        """Apply an answer's word; tell the members ``others()`` what changed by it."""
        before = len(self.book.events)
        self.book.answered(endpoint_id, word, sent_ms, now_ms)
        for event in self.book.events[before:]:
            self._apply_end(event.kind, endpoint_id)
            news = self.book.news(endpoint_id, now_ms)
            for member in others():
                self.send(member, news)

    def turned_away(self, endpoint_id: str, now_ms: float) -> None:
        """Tell the holder that a brittle endpoint turned a request away."""
        if not self.book.is_brittle(endpoint_id):
            return
        holder = self.holders.holder(endpoint_id)
        if holder in ("", self.holders.own):
            self.brittle_rates.turned_away(endpoint_id, now_ms)
        else:
            self.send(holder, TurnedAway(self.book.news(endpoint_id, now_ms)))

    def received(self, sender: str, message: LimitMessage, now_ms: float) -> None:
        """Handle a member's message; answers a question."""
        before = len(self.book.events)
        news = message if isinstance(message, LimitNews) else message.news
        self.book.told(news, sender, now_ms)
        for event in self.book.events[before:]:
            self._apply_end(event.kind, news.endpoint_id)
        match message:
            case TurnedAway():
                self.brittle_rates.turned_away(news.endpoint_id, now_ms)
            case PermitQuestion():
                self.holders.told_known(message.known, now_ms)
                issue = self._issue(news.endpoint_id, sender, message.number, now_ms)
                own_news = self.book.news(news.endpoint_id, now_ms)
                self.send(sender, PermitAnswer(message.number, own_news, issue))
            case PermitAnswer() if self.book.per_s(news.endpoint_id) is not None:
                self._take_issue(
                    news.endpoint_id, message.number, message.issue, now_ms
                )
            case PermitReturned():
                self._returned(news.endpoint_id, sender, message.number, now_ms)

    def _apply_end(self, kind: LimitEventKind, endpoint_id: str) -> None:
        if kind is LimitEventKind.ENDED:
            self.stock.forget(endpoint_id)
            self.brittle_rates.forget(endpoint_id)

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone."""
        self.book.forget_endpoint(endpoint_id)
        self.brittle_rates.forget(endpoint_id)
        self.stock.forget(endpoint_id)

    def forget_old(self, now_ms: float) -> None:
        """Forget what no longer bears on any decision."""
        kept = self._kept_until_ms.items()
        self._kept_until_ms = {name: at for name, at in kept if now_ms < at}
        self.book.forget_ends(now_ms)
        self.issuer.forget_old(now_ms)

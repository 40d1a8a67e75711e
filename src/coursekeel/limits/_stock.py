"""Permits that this instance got and hasn't used, and what it has asked for.

Rule: one question for an endpoint is open at a time. After a refusal the holder's wait
passes before the next; a question without an answer counts as refused once a permit for
it would have lapsed. A permit lapses a fixed time after the question was sent, which is
before it was given, so that no clock but this instance's own counts. One for a brittle
endpoint lapses sooner. What waiting requests don't need is returned.

Owns the permits and the open questions. A core: the caller passes the time, in ms.
"""

from attrs import define, field, frozen

from coursekeel.limits._issuer import Issue
from coursekeel.limits._rate import PERMIT_VALID_S
from coursekeel.units import MS_PER_SECOND

__all__ = ["PermitStock"]

_PERMIT_VALID_MS = PERMIT_VALID_S * MS_PER_SECOND


@frozen
class _Permit:
    """``number`` is that of the question that it answers."""

    lapses_ms: float
    number: int


@define
class _Account:
    """One endpoint's permits, open question and refusal."""

    permits: list[_Permit] = field(factory=list)
    question: int | None = None
    asked_ms: float = float("-inf")
    not_before_ms: float = float("-inf")
    turn_ms: float = float("-inf")


@define(eq=False)
class PermitStock:
    """The permits at hand; ``used`` counts those that were taken."""

    used: int = 0
    _accounts: dict[str, _Account] = field(factory=dict)
    _last_question: int = 0

    def at_hand(self, endpoint_id: str, now_ms: float) -> bool:
        """Whether there is a permit that hasn't lapsed."""
        account = self._accounts.get(endpoint_id)
        if account is None:
            return False
        account.permits = [x for x in account.permits if x.lapses_ms > now_ms]
        return bool(account.permits)

    def take(self, endpoint_id: str, now_ms: float) -> float | None:
        """Take a permit; returns when it lapses, None if there is none."""
        if not self.at_hand(endpoint_id, now_ms):
            return None
        self.used += 1
        return self._accounts[endpoint_id].permits.pop(0).lapses_ms

    def at_hand_anywhere(self, now_ms: float) -> list[str]:
        """The endpoints for which a permit is at hand."""
        return [each for each in self._accounts if self.at_hand(each, now_ms)]

    def drop(self, endpoint_id: str, now_ms: float) -> list[int]:
        """Give up the permits at hand; returns the numbers of their questions."""
        if not self.at_hand(endpoint_id, now_ms):
            return []
        dropped = self._accounts[endpoint_id].permits
        self._accounts[endpoint_id].permits = []
        return [each.number for each in dropped]

    def may_ask(self, endpoint_id: str, now_ms: float) -> bool:
        """Whether a question is due: none is open, and no refusal stands."""
        account = self._account(endpoint_id)
        is_overdue = now_ms - account.asked_ms >= _PERMIT_VALID_MS
        if account.question is not None and is_overdue:
            account.question = None
            account.not_before_ms = account.turn_ms = now_ms + _PERMIT_VALID_MS
        return account.question is None and not _is_refused(account, now_ms)

    def asked(self, endpoint_id: str, now_ms: float) -> int:
        """Open a question; returns its number."""
        self._last_question += 1
        account = self._account(endpoint_id)
        account.question, account.asked_ms = self._last_question, now_ms
        return self._last_question

    def answered(
        self,
        endpoint_id: str,
        number: int,
        issue: Issue,
        now_ms: float,
        valid_ms: float = _PERMIT_VALID_MS,
    ) -> None:
        """Apply the holder's answer; one to another question is ignored."""
        account = self._accounts.get(endpoint_id)
        if account is None or account.question != number:
            return
        account.question = None
        if issue.given:
            account.permits.append(_Permit(account.asked_ms + valid_ms, number))
        account.not_before_ms = now_ms + issue.wait_ms
        account.turn_ms = now_ms + max(issue.wait_ms, issue.turn_ms)

    def turn_ms(self, endpoint_id: str, now_ms: float) -> float:
        """When a request may expect its turn; 0 while a question is open or due."""
        account = self._accounts.get(endpoint_id)
        if account is None or account.question is not None:
            return 0.0
        return account.turn_ms - now_ms if _is_refused(account, now_ms) else 0.0

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that names no limit any more, or is gone."""
        self._accounts.pop(endpoint_id, None)

    def _account(self, endpoint_id: str) -> _Account:
        return self._accounts.setdefault(endpoint_id, _Account())


def _is_refused(account: _Account, now_ms: float) -> bool:
    return now_ms < account.not_before_ms

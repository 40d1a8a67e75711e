"""Whether endpoints may take new work: fresh evidence that they aren't leaving.

Rule: only the endpoint's own status reports count for it, because the platform's list
lags by an unknown time. The list and the leaving marks of other entries only count
against it. A leaving mark on an incarnation is never removed; a missing registration
marks none, since it may have lapsed.
"""

from collections.abc import Iterable

from attrs import define, field, frozen

from coursekeel.charts import Machine, load_chart

__all__ = ["EvidenceBook", "LeavingMark"]

# Former incarnations that are remembered, so that their late reports are recognized.
_MAX_FORMER_INCARNATIONS = 8


@frozen
class LeavingMark:
    """An incarnation of an endpoint that is leaving and takes no new work."""

    endpoint_id: str
    incarnation: str


@define
class _Evidence:
    machine: Machine = field(factory=lambda: load_chart("endpoint").machine())
    incarnation: str = ""
    seen_ms: float = float("-inf")
    listed_leaving: bool = False
    unlisted: bool = False
    former: list[str] = field(factory=list)
    marked: set[str] = field(factory=set)


@define
class EvidenceBook:
    """An entry's evidence on whether endpoints may take new work.

    ``fresh_ms`` is the greatest age of an endpoint's own status at which it still
    counts for new work.
    """

    fresh_ms: float
    _evidence: dict[str, _Evidence] = field(factory=dict)

    def record_status(
        self, endpoint_id: str, incarnation: str, leaving: bool, asked_ms: float
    ) -> bool:
        """Record the endpoint's own status, which was requested at ``asked_ms``.

        The time of the request counts, not that of the response, which may have waited
        in a buffer while this process was paused. Returns False for the status of an
        incarnation that another has replaced.
        """
        evidence = self._evidence.setdefault(endpoint_id, _Evidence())
        if incarnation in evidence.former:
            return False
        if incarnation != evidence.incarnation:
            self._replace(evidence, incarnation)
        evidence.seen_ms = max(evidence.seen_ms, asked_ms)
        if leaving or evidence.listed_leaving:
            evidence.marked.add(incarnation)
        marked = incarnation in evidence.marked
        evidence.machine.feed("seen_leaving" if marked else "seen_serving")
        return True

    def _replace(self, evidence: _Evidence, incarnation: str) -> None:
        if evidence.incarnation:
            evidence.former.append(evidence.incarnation)
            del evidence.former[:-_MAX_FORMER_INCARNATIONS]
            evidence.machine.feed("returned")
        evidence.incarnation = incarnation

    def record_listed(self, endpoint_id: str, leaving: bool) -> None:
        """Record the platform list's state, which only counts against the endpoint."""
        evidence = self._evidence.setdefault(endpoint_id, _Evidence())
        evidence.listed_leaving = leaving
        evidence.unlisted = False
        if leaving and evidence.incarnation:
            evidence.marked.add(evidence.incarnation)
            evidence.machine.feed("seen_leaving")

    def record_unlisted(self, endpoint_id: str) -> None:
        """Record that the platform's list lacks the endpoint.

        It takes no new work until it is listed again.
        """
        evidence = self._evidence.setdefault(endpoint_id, _Evidence())
        evidence.listed_leaving = False
        evidence.unlisted = True

    def record_mark(self, mark: LeavingMark) -> None:
        """Record another entry's report that an incarnation is leaving."""
        evidence = self._evidence.setdefault(mark.endpoint_id, _Evidence())
        evidence.marked.add(mark.incarnation)
        if mark.incarnation == evidence.incarnation:
            evidence.machine.feed("seen_leaving")

    def record_refused(self, endpoint_id: str) -> None:
        """Record a refused connection: no new work until the next status."""
        evidence = self._evidence.setdefault(endpoint_id, _Evidence())
        evidence.seen_ms = float("-inf")
        evidence.machine.feed("lost")

    def may_take_new_work(self, endpoint_id: str, now_ms: float) -> bool:
        """Whether fresh evidence shows that the endpoint takes new work."""
        evidence = self._evidence.get(endpoint_id)
        if evidence is None or self.is_leaving(endpoint_id):
            return False
        return now_ms - evidence.seen_ms <= self.fresh_ms

    def is_leaving(self, endpoint_id: str) -> bool:
        """Whether it counts as leaving: by the list, a mark, or a missing entry."""
        evidence = self._evidence.get(endpoint_id)
        if evidence is None:
            return False
        if evidence.unlisted or evidence.listed_leaving:
            return True
        return evidence.incarnation in evidence.marked

    def state(self, endpoint_id: str, now_ms: float) -> str:
        """The endpoint's state, as shown to operators."""
        evidence = self._evidence.get(endpoint_id)
        if evidence is None:
            return "unseen"
        stale = now_ms - evidence.seen_ms > self.fresh_ms
        if evidence.machine.state == "serving" and stale:
            return "evidence_old"
        return evidence.machine.state

    def incarnation(self, endpoint_id: str) -> str:
        """The endpoint's current incarnation, empty without a status so far."""
        evidence = self._evidence.get(endpoint_id)
        return evidence.incarnation if evidence else ""

    def leaving_marks(self) -> list[LeavingMark]:
        """The marks on current incarnations, to be sent to other entries."""
        return [
            LeavingMark(endpoint_id, evidence.incarnation)
            for endpoint_id, evidence in self._evidence.items()
            if evidence.incarnation in evidence.marked
        ]

    def keep_only(self, endpoint_ids: Iterable[str]) -> None:
        """Remove all endpoints except these, which the configuration names."""
        configured = set(endpoint_ids)
        for endpoint_id in [e for e in self._evidence if e not in configured]:
            del self._evidence[endpoint_id]

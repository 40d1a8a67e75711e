"""What lets new work go to an endpoint: fresh evidence that it isn't leaving.

Only the endpoint's own word counts as evidence for it, because the platform's list
lags by an unknown time. The list, and what other entries tell, count against it. A
leaving mark sticks to an incarnation: nothing said later about that incarnation
removes it.
"""

from collections.abc import Iterable

from attrs import define, field, frozen

from coursekeel.charts import Machine, load_chart

__all__ = ["EvidenceBook", "LeavingMark"]

# How many incarnations before the present one are remembered, so that a late report of
# one isn't taken for news. More restarts than a minute brings.
_FORMER_KEPT = 8


@frozen
class LeavingMark:
    """An incarnation of an endpoint that takes no new work."""

    endpoint_id: str
    incarnation: str


@define
class _Known:
    machine: Machine = field(factory=lambda: load_chart("endpoint").machine())
    incarnation: str = ""
    seen_ms: float = float("-inf")
    listed_leaving: bool = False
    former: list[str] = field(factory=list)
    marked: set[str] = field(factory=set)


@define
class EvidenceBook:
    """Everything an entry knows of whether endpoints may take new work.

    ``fresh_ms`` is how old the endpoint's own word may be before new work stops.
    """

    fresh_ms: float
    _known: dict[str, _Known] = field(factory=dict)

    def saw(
        self, endpoint_id: str, incarnation: str, leaving: bool, asked_ms: float
    ) -> bool:
        """Take the endpoint's own word, asked for at ``asked_ms``.

        The time of asking counts, not that of the answer: an answer can sit in a
        buffer for long while its reader is paused. Returns False for the word of an
        incarnation that another has replaced.
        """
        known = self._known.setdefault(endpoint_id, _Known())
        if incarnation in known.former:
            return False
        if incarnation != known.incarnation:
            self._replace(known, incarnation)
        known.seen_ms = max(known.seen_ms, asked_ms)
        if leaving or known.listed_leaving:
            known.marked.add(incarnation)
        marked = incarnation in known.marked
        known.machine.feed("seen_leaving" if marked else "seen_serving")
        return True

    def _replace(self, known: _Known, incarnation: str) -> None:
        if known.incarnation:
            known.former.append(known.incarnation)
            del known.former[:-_FORMER_KEPT]
            known.machine.feed("returned")
        known.incarnation = incarnation

    def listed(self, endpoint_id: str, leaving: bool) -> None:
        """Take the platform's word, which can only count against the endpoint."""
        known = self._known.setdefault(endpoint_id, _Known())
        known.listed_leaving = leaving
        if leaving and known.incarnation:
            known.marked.add(known.incarnation)
            known.machine.feed("seen_leaving")

    def hinted(self, mark: LeavingMark) -> None:
        """Take another entry's word that an incarnation is leaving."""
        known = self._known.setdefault(mark.endpoint_id, _Known())
        known.marked.add(mark.incarnation)
        if mark.incarnation == known.incarnation:
            known.machine.feed("seen_leaving")

    def lost(self, endpoint_id: str) -> None:
        """The endpoint refused a connection: it serves nobody until seen again."""
        known = self._known.setdefault(endpoint_id, _Known())
        known.seen_ms = float("-inf")
        known.machine.feed("lost")

    def may_take_new_work(self, endpoint_id: str, now_ms: float) -> bool:
        """Say whether there is fresh evidence that new work is welcome."""
        known = self._known.get(endpoint_id)
        if known is None or self.is_leaving(endpoint_id):
            return False
        return now_ms - known.seen_ms <= self.fresh_ms

    def is_leaving(self, endpoint_id: str) -> bool:
        """Say whether somebody said that the endpoint, as it is now, leaves."""
        known = self._known.get(endpoint_id)
        if known is None:
            return False
        return known.listed_leaving or known.incarnation in known.marked

    def state(self, endpoint_id: str, now_ms: float) -> str:
        """The endpoint's state in a word, for operators."""
        known = self._known.get(endpoint_id)
        if known is None:
            return "unseen"
        stale = now_ms - known.seen_ms > self.fresh_ms
        if known.machine.state == "serving" and stale:
            return "evidence_old"
        return known.machine.state

    def incarnation(self, endpoint_id: str) -> str:
        """The incarnation last seen, empty if none was."""
        known = self._known.get(endpoint_id)
        return known.incarnation if known else ""

    def leaving_marks(self) -> list[LeavingMark]:
        """The marks on present incarnations, to be passed on to other entries."""
        return [
            LeavingMark(endpoint_id, known.incarnation)
            for endpoint_id, known in self._known.items()
            if known.incarnation in known.marked
        ]

    def keep_only(self, endpoint_ids: Iterable[str]) -> None:
        """Forget endpoints that no configuration names."""
        keep = set(endpoint_ids)
        for endpoint_id in [each for each in self._known if each not in keep]:
            del self._known[endpoint_id]

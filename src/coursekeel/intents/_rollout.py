"""From committed to accepted: who must have applied a revision before it is in force.

A revision is accepted when every instance that may be serving has acknowledged it.
Accepting on commit would call a change in force while a cut-off instance still runs
the old one; waiting for a majority would be a consensus group by another name.
"""

from collections.abc import Iterable

from attrs import define, field, frozen

from coursekeel.charts import Machine, load_chart

__all__ = ["PeerEvidence", "Rollout", "waits_for"]


@frozen
class PeerEvidence:
    """What is known of one instance while a revision spreads.

    ``refused_connection`` means that its address refused: it serves nobody, and reads
    the store before it is ready again.
    """

    instance_id: str
    applied_revision: int
    refused_connection: bool = False


def waits_for(
    revision: int,
    listed: Iterable[str],
    evidence: dict[str, PeerEvidence],
    known_stopped: frozenset[str] = frozenset(),
) -> list[str]:
    """The listed instances that may still serve with a lower revision."""
    return [
        instance_id
        for instance_id in sorted(set(listed))
        if instance_id not in known_stopped
        and not _cannot_serve_older(revision, evidence.get(instance_id))
    ]


def _cannot_serve_older(revision: int, evidence: PeerEvidence | None) -> bool:
    if evidence is None:
        return False
    return evidence.applied_revision >= revision or evidence.refused_connection


@define
class Rollout:
    """One revision's way to being accepted, followed by the instance that confirmed."""

    revision: int
    plan_id: str
    machine: Machine = field(factory=lambda: load_chart("plan").machine())
    known_stopped: frozenset[str] = frozenset()
    waiting: list[str] = field(factory=list)

    @property
    def state(self) -> str:
        """The plan's state, as its chart names it."""
        return self.machine.state

    def committed(self) -> None:
        """The table holds the revision."""
        self.machine.feed("confirmed")

    def review(
        self, listed: Iterable[str], evidence: dict[str, PeerEvidence]
    ) -> list[str]:
        """Look at the evidence; accept when nobody is waited for."""
        self.waiting = waits_for(self.revision, listed, evidence, self.known_stopped)
        if not self.waiting and self.machine.state == "committed":
            self.machine.feed("acknowledged")
        return self.waiting

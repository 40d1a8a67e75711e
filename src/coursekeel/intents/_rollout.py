"""Rollout of a configuration revision from committed to accepted.

Rule: a revision is accepted once every instance that may be serving has applied it. A
commit or a majority isn't enough, because a partitioned instance may still serve with
the old revision.
"""

from collections.abc import Iterable

from attrs import define, field, frozen

from coursekeel.charts import Machine, load_chart

__all__ = ["InstanceEvidence", "Rollout", "instances_to_wait_for"]


@frozen
class InstanceEvidence:
    """The last state of one instance that the observer has seen.

    ``refused_connection`` says that its address refuses connections. Such an instance
    serves no requests and reads the store before it becomes ready again.
    """

    instance_id: str
    applied_revision: int
    refused_connection: bool = False


def instances_to_wait_for(
    revision: int,
    listed: Iterable[str],
    evidence: dict[str, InstanceEvidence],
    known_stopped: frozenset[str] = frozenset(),
) -> list[str]:
    """The listed instances that may still serve with a revision below ``revision``.

    ``evidence`` is by instance id; operators report ``known_stopped`` instances.
    """
    return [
        instance_id
        for instance_id in sorted(set(listed))
        if instance_id not in known_stopped
        and not _cannot_serve_older(revision, evidence.get(instance_id))
    ]


def _cannot_serve_older(revision: int, evidence: InstanceEvidence | None) -> bool:
    """Whether an instance surely serves no revision below ``revision``."""
    if evidence is None:
        return False
    return evidence.applied_revision >= revision or evidence.refused_connection


@define
class Rollout:
    """Progress of one revision, tracked by the entry that confirmed its plan.

    ``waiting`` has the ids of the instances that may still serve an older revision.
    """

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
        """Record that the table holds the revision."""
        self.machine.feed("confirmed")

    def review(
        self, listed: Iterable[str], evidence: dict[str, InstanceEvidence]
    ) -> list[str]:
        """Update `waiting` and return it; accept the revision if it is empty."""
        self.waiting = instances_to_wait_for(
            self.revision, listed, evidence, self.known_stopped
        )
        if not self.waiting and self.machine.state == "committed":
            self.machine.feed("acknowledged")
        return self.waiting

"""Gauges of an entry's metrics, read from its parts when the metrics are requested."""

from coursekeel.entry.answers._adoption_task import AdoptionTask
from coursekeel.entry.answers._answer_registry import AnswerRegistry
from coursekeel.fetch import MALFORMED, OVERRUNS
from coursekeel.observe import Metrics
from coursekeel.quarantine import Quarantine
from coursekeel.routing import Router
from coursekeel.storage import StoreCounters

__all__ = ["add_gauges"]


def add_gauges(
    metrics: Metrics,
    counters: StoreCounters,
    router: Router,
    registry: AnswerRegistry,
    adoption: AdoptionTask,
    quarantine: Quarantine,
) -> None:
    """Register the gauges; each reads its part whenever the metrics are rendered."""
    gauge = metrics.gauge
    gauge("coursekeel_store_reads", "Store reads so far", lambda: counters.reads)
    gauge("coursekeel_store_writes", "Store writes so far", lambda: counters.writes)
    gauge("coursekeel_waiting", "Requests that wait", lambda: router.waiting)
    gauge("coursekeel_refused", "Requests refused so far", lambda: router.refused)
    gauge("coursekeel_adopted", "Answers adopted so far", lambda: adoption.adopted)
    gauge(
        "coursekeel_open_answers",
        "Answers at work",
        lambda: sum(not each.ended for each in registry.tasks.values()),
    )
    gauge(
        "coursekeel_responses_overrun",
        "Responses so far that were given up because they exceed a bound",
        lambda: OVERRUNS.total,
    )
    gauge(
        "coursekeel_responses_malformed",
        "Responses so far that were given up because their heads are not valid",
        lambda: MALFORMED.total,
    )
    gauge(
        "coursekeel_suspect_requests",
        "Requests under which endpoints ended",
        lambda: len(quarantine),
    )
    gauge(
        "coursekeel_barred_requests",
        "Requests that get nothing because of it",
        lambda: quarantine.barred,
    )

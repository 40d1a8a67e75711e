"""Gauges of a gateway: values read from its components when metrics are rendered."""

from coursekeel.gateway._dispatcher import Dispatcher
from coursekeel.gateway._metrics import GatewayMetrics
from coursekeel.gateway.admission._start_hold import StartHold
from coursekeel.gateway.members._group import Group
from coursekeel.gateway.site._follow_task import TableWatchTask
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.routing import Router
from coursekeel.units import MS_PER_SECOND

__all__ = ["add_gauges"]


def add_gauges(
    metrics: GatewayMetrics,
    group: Group,
    router: Router,
    site: SiteState,
    start_hold: StartHold,
    dispatcher: Dispatcher,
    configuration_task: TableWatchTask,
) -> None:
    """Add the gauges; ``configuration_task`` follows the configuration."""
    gauge = metrics.gauge
    gauge(
        "coursekeel_store_reads",
        "Store reads so far",
        lambda: group.source.store_calls,
    )
    gauge(
        "coursekeel_member_reads",
        "Responses with table data received from other members so far",
        lambda: group.source.relayed,
    )
    gauge(
        "coursekeel_answers_cut",
        "Responses of the store or a member abandoned during the transfer",
        lambda: group.source.answers_cut,
    )
    gauge(
        "coursekeel_store_restores",
        "Times that the store was restored from an older copy",
        lambda: configuration_task.restores,
    )
    gauge(
        "coursekeel_members",
        "Members of the group that are alive and not suspected",
        lambda: len(group.swim.alive()),
    )
    gauge(
        "coursekeel_suspect_requests",
        "Requests recorded as suspects after crashes of endpoints",
        lambda: len(group.quarantine),
    )
    gauge(
        "coursekeel_barred_requests",
        "Requests that are barred because they crash endpoints",
        lambda: group.quarantine.barred,
    )
    gauge(
        "coursekeel_waiting",
        "Requests that wait for an endpoint",
        lambda: router.waiting,
    )
    gauge(
        "coursekeel_refused",
        "Requests refused so far",
        lambda: router.refused,
    )
    gauge(
        "coursekeel_belief_age_seconds",
        "Age of the cached routes and keys since their last confirmation",
        lambda: site.routes_age_ms / MS_PER_SECOND,
    )
    gauge(
        "coursekeel_held_requests",
        "Requests that wait for the first read of routes and endpoints",
        lambda: len(start_hold),
    )
    gauge(
        "coursekeel_open_requests",
        "Requests in progress",
        lambda: dispatcher.open_requests,
    )

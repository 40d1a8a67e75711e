"""Gauges of a gateway: values read from its components when metrics are rendered."""

from collections.abc import Sequence

from coursekeel.fetch import MALFORMED, OVERRUNS
from coursekeel.gateway._dispatcher import Dispatcher
from coursekeel.gateway._http import OpenConnections
from coursekeel.gateway._metrics import GatewayMetrics
from coursekeel.gateway.admission._start_hold import StartHold
from coursekeel.gateway.limits._limits_task import LimitsTask
from coursekeel.gateway.members._group import Group
from coursekeel.gateway.relay._reach_task import ReachTask
from coursekeel.gateway.relay._relay_client import RelayClient
from coursekeel.gateway.relay._relay_server import RelayServer
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
    follow_tasks: Sequence[TableWatchTask],
    limits: LimitsTask,
    reach: ReachTask,
    relays: RelayClient,
    relay_server: RelayServer,
    connections: OpenConnections,
) -> None:
    """Add the gauges; the first of ``follow_tasks`` follows the configuration."""
    gauge = metrics.gauge
    gauge(
        "coursekeel_store_reads",
        "Store reads so far",
        lambda: group.source.store_calls,
    )
    gauge(
        "coursekeel_member_reads",
        "Readings that members of the group gave so far",
        lambda: group.source.relayed,
    )
    gauge(
        "coursekeel_answers_cut",
        "Answers of the store or a member given up while they were coming",
        lambda: group.source.answers_cut,
    )
    gauge(
        "coursekeel_store_restores",
        "Times that the store came back from an older copy",
        lambda: follow_tasks[0].restores,
    )
    gauge(
        "coursekeel_table_faults",
        "Queries of tables so far that ended with an exception of this program",
        lambda: sum(task.faults for task in follow_tasks),
    )
    gauge(
        "coursekeel_reads_behind",
        "Responses so far that were behind what this instance knew",
        lambda: sum(task.reads_behind for task in follow_tasks),
    )
    gauge(
        "coursekeel_endpoints_age_seconds",
        "Age of what is known of the list of endpoints",
        lambda: site.endpoint_list_age().age_ms / MS_PER_SECOND,
    )
    gauge(
        "coursekeel_streams_waiting_for_retry",
        "Streams that have begun and wait for a retry",
        lambda: dispatcher.context.retry_queues.waiting,
    )
    gauge(
        "coursekeel_members",
        "Members of the group that nothing speaks against",
        lambda: len(group.swim.alive()),
    )
    gauge(
        "coursekeel_suspect_requests",
        "Requests that are remembered because endpoints ended under them",
        lambda: len(group.quarantine),
    )
    gauge(
        "coursekeel_barred_requests",
        "Requests that are barred because they end endpoints",
        lambda: group.quarantine.barred,
    )
    gauge(
        "coursekeel_waiting",
        "Requests that wait",
        lambda: router.waiting,
    )
    gauge(
        "coursekeel_refused",
        "Requests refused so far",
        lambda: router.refused,
    )
    gauge(
        "coursekeel_belief_age_seconds",
        "Age of what is known of routes and keys",
        lambda: site.routes_age_ms / MS_PER_SECOND,
    )
    gauge(
        "coursekeel_held_requests",
        "Requests that wait for the first routes and endpoints",
        lambda: len(start_hold),
    )
    gauge(
        "coursekeel_open_requests",
        "Requests at work",
        lambda: dispatcher.open_requests,
    )
    gauge(
        "coursekeel_unreached_pools",
        "Pools whose endpoints this instance can't connect to",
        lambda: len(reach.reach.unreached),
    )
    gauge(
        "coursekeel_times_unreached",
        "Times so far that a pool became unreached",
        lambda: reach.times_unreached,
    )
    gauge(
        "coursekeel_relays_sent",
        "Requests so far that this instance relayed to members, repeats included",
        lambda: relays.sent,
    )
    gauge(
        "coursekeel_relays_taken",
        "Requests so far that members relayed to this instance",
        lambda: relay_server.taken,
    )
    gauge(
        "coursekeel_relays_open",
        "Requests at work that members relayed to this instance",
        lambda: relay_server.open_requests,
    )
    gauge(
        "coursekeel_relays_refused",
        "Requests so far that weren't taken: no member's, malformed, or too many",
        lambda: relay_server.refused,
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
    bodies = dispatcher.context.bodies
    gauge(
        "coursekeel_collected_bytes",
        "Bytes of whole answers that are being received",
        lambda: bodies.total_bytes,
    )
    gauge(
        "coursekeel_bodies_given_up",
        "Answers so far that were given up for the memory of all of them",
        lambda: bodies.given_up,
    )
    gauge(
        "coursekeel_requests_without_room",
        "Requests so far that were refused for the memory of their bodies",
        lambda: connections.turned_away + relay_server.connections.turned_away,
    )
    gauge(
        "coursekeel_replies_dropped",
        "Connections so far that were closed with replies that nobody read",
        lambda: connections.dropped + relay_server.connections.dropped,
    )
    core = limits.limits
    gauge(
        "coursekeel_limited_endpoints",
        "Endpoints that name a limit on their requests",
        lambda: len(core.book),
    )
    gauge(
        "coursekeel_limits_unreadable",
        "Answers so far whose limit could not be read",
        lambda: core.book.unreadable,
    )
    gauge(
        "coursekeel_limit_permits_given",
        "Permits that this instance gave out so far, to itself and to members",
        lambda: core.issuer.given,
    )
    gauge(
        "coursekeel_limit_permits_used",
        "Permits that this instance took for requests so far",
        lambda: core.stock.used,
    )
    gauge(
        "coursekeel_limit_requests_held",
        "Requests so far that were refused or withheld because of limits",
        lambda: limits.requests_held,
    )

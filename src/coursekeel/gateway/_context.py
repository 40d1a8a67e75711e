"""The components that the tasks of one gateway share.

Owns no state itself: each component owns its own. `Gateway` creates it.
"""

from collections.abc import Callable
from random import Random

from attrs import define, field

from coursekeel.gateway._deadlines import DeadlineTimers
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway._metrics import GatewayMetrics
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway._retry_budgets import RetryBudgets, SendAccount
from coursekeel.gateway._retry_queue import RetryQueues
from coursekeel.gateway.admission._stream_lengths import StreamDurations
from coursekeel.gateway.endpoints._crash_watch import CrashWatch
from coursekeel.gateway.endpoints._endpoint_client import EndpointClient
from coursekeel.gateway.endpoints._endpoint_health import EndpointHealth
from coursekeel.gateway.relay._reach_task import ReachTask
from coursekeel.gateway.relay._relay_client import RelayClient
from coursekeel.gateway.rollouts._version_choice import VersionChoice
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.gateway.whole._collected_body import CollectedBodies
from coursekeel.reactor import Reactor
from coursekeel.routing import ENDPOINT_LIMIT_CODE, Refuse
from coursekeel.runtime import Clock, RoutingTask
from coursekeel.suspects import QuarantineGate

__all__ = ["GatewayContext"]


@define(eq=False)
class GatewayContext:
    """Clock, state and clients that a request's task needs."""

    reactor: Reactor
    clock: Clock
    random: Random
    settings: LiveSettings
    site: SiteState
    routing: RoutingTask
    endpoints: EndpointClient
    health: EndpointHealth
    budgets: RetryBudgets
    metrics: GatewayMetrics
    quarantine: QuarantineGate
    crashes: CrashWatch
    reach: ReachTask
    relays: RelayClient
    versions: VersionChoice = field(factory=VersionChoice)
    lengths: StreamDurations = field(factory=StreamDurations)
    unsent_bytes: Callable[[], int] = lambda: 0
    deadlines: DeadlineTimers = field(init=False)
    bodies: CollectedBodies = field(init=False)
    retry_queues: RetryQueues = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.retry_queues = RetryQueues(self.reactor, self.clock, self.budgets)
        self.deadlines = DeadlineTimers(self.reactor, self.clock)
        self.bodies = CollectedBodies(
            self.reactor,
            lambda: self.settings.now.answers.max_held_bytes,
            self.unsent_bytes,
        )

    def send_account(self, pool: str) -> SendAccount:
        """Return the account of a request whose retries go to a pool."""
        queue = self.retry_queues.of(pool)
        return SendAccount(self.budgets.of(pool), lambda: len(queue) > 0)

    def log_if_limited(self, call: AdmittedRequest, refused: Refuse) -> None:
        """Log a refusal whose cause is that the pool's endpoints limit requests."""
        if refused.code != ENDPOINT_LIMIT_CODE:
            return
        request_id, pool = call.caller.request_id, call.pool
        limited = self.routing.router.endpoints.limited(pool)
        wait_ms = refused.retry_after_ms
        self.endpoints.limits.log_held(request_id, limited, "refused", wait_ms)

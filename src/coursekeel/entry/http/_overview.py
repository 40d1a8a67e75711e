"""The state of an entry, as operators see it."""

from collections import Counter
from typing import Any

from attrs import define

from coursekeel.entry.answers._answer_registry import AnswerRegistry
from coursekeel.entry.control._configuration_task import ConfigurationTask
from coursekeel.entry.control._endpoints_task import EndpointsTask
from coursekeel.entry.control._orders_task import OrdersTask
from coursekeel.entry.control._peers_task import PeersTask
from coursekeel.routing import Router
from coursekeel.runtime import Clock
from coursekeel.settings import EntrySettings
from coursekeel.storage import HttpPlatform

__all__ = ["Overview"]

# Limit of the troubled answers listed in one status reply.
_MAX_TROUBLED = 50


@define(eq=False)
class Overview:
    """Builds status replies from the tasks' states; read-only."""

    settings: EntrySettings
    clock: Clock
    configuration: ConfigurationTask
    endpoints_task: EndpointsTask
    orders: OrdersTask
    registry: AnswerRegistry
    peers: PeersTask
    platform: HttpPlatform
    router: Router

    @property
    def known_endpoints(self) -> frozenset[str]:
        """The endpoints that the platform lists."""
        return self.endpoints_task.known_endpoints

    @property
    def running(self) -> dict[str, int]:
        """Number of requests that each endpoint reported last, by endpoint id."""
        return {
            name: facts.running for name, facts in self.endpoints_task.facts.items()
        }

    def endpoints(self) -> list[dict[str, Any]]:
        """The state of every endpoint of the intent."""
        return [
            self._endpoint_state(each.endpoint_id)
            for each in self.configuration.intent.endpoints
        ]

    def _endpoint_state(self, endpoint_id: str) -> dict[str, Any]:
        now_ms = self.clock.now_ms()
        task = self.endpoints_task
        load = self.router.load(endpoint_id)
        facts = task.facts.get(endpoint_id)
        listed = task.listed.get(endpoint_id)
        return {
            "endpoint_id": endpoint_id,
            "zone": listed.zone if listed else "",
            "address": listed.address if listed else "",
            "state": task.evidence.state(endpoint_id, now_ms),
            "takes_new_work": task.may_take_new_work(endpoint_id, now_ms),
            "incarnation": task.evidence.incarnation(endpoint_id),
            "serves": [str(each) for each in facts.serves] if facts else [],
            "role": facts.role if facts else "",
            "running_here": load.limit.running if load else 0,
            "limit_here": int(load.limit.limit) if load else 0,
        }

    def status(self) -> dict[str, Any]:
        """The state of this entry, with its troubled answers."""
        tasks = list(self.registry.tasks.values())
        now_ms = self.clock.now_ms()
        return {
            "instance_id": self.settings.instance_id,
            "incarnation": self.registry.journal.incarnation,
            "zone": self.settings.zone,
            "ready": self.configuration.ready,
            "isolated": self.endpoints_task.isolation.isolated(now_ms),
            "store_out": self.registry.journal.store_out,
            "lease_held": self.registry.journal.held,
            "applied_revision": self.configuration.current.revision,
            "answers": dict(Counter(each.core.state for each in tasks)),
            "troubled": [
                self._troubled_answer(each)
                for each in tasks
                if each.core.state in ("recovering", "interrupted", "waiting")
            ][:_MAX_TROUBLED],
            "waiting_for_endpoints": self.router.waiting,
            "refused": self.router.refused,
            "slow_downs": self.endpoints_task.silence.slow_downs,
            "group_leases": {
                group: lease.epoch
                for group, lease in self.orders.leases.items()
                if lease.state == "held"
            },
            "peers": self.peers.book.names,
            "peers_without_address": self.peers.book.without_address,
            "peer_bytes": self.peers.sent_bytes + self.peers.received_bytes,
            "store": {
                "reads": self.platform.counters.reads,
                "writes": self.platform.counters.writes,
                "failures": self.platform.counters.failures,
            },
        }

    def _troubled_answer(self, task: Any) -> dict[str, Any]:
        refusal = task.refusal
        return {
            "team": task.request.team.name,
            "request_id": task.request.request_id,
            "state": task.core.state,
            "reason": refusal.code if refusal else "",
            "held_tokens": task.ledger.next_position,
            "attempts": len(task.core.attempts),
        }

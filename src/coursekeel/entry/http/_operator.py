"""HTTP interface for operators: plans, their confirmation, and the entry's state."""

from typing import Any

import attrs
import cattrs
import json5
from attrs import define
from klein import Klein

from coursekeel.answers import RunState
from coursekeel.entry.answers._sinks import Refusal
from coursekeel.entry.control._configuration_task import ConfigurationTask
from coursekeel.entry.control._rollout_task import RolloutTask
from coursekeel.entry.http._common import not_run, operator_of, refuse, send_json
from coursekeel.entry.http._overview import Overview
from coursekeel.errors import RequestInvalid
from coursekeel.intents import (
    Confirmed,
    Intent,
    Stale,
    StoreUnavailable,
    UnknownPlan,
    intent_from_json,
    intent_to_json,
)
from coursekeel.settings import EntrySettings, OperatorKey

__all__ = ["OperatorApi"]

# Sent while the store is unavailable.
_RETRY_AFTER_MS = 1_000


@define(eq=False)
class OperatorApi:
    """Authenticates operators and serves their requests."""

    settings: EntrySettings
    configuration: ConfigurationTask
    rollouts: RolloutTask
    overview: Overview

    def routes(self, app: Klein) -> None:
        """Add the operators' routes."""
        app.route("/operator/plans", methods=["POST"])(self.plan)
        app.route("/operator/plans/<plan_id>/confirm", methods=["POST"])(self.confirm)
        app.route("/operator/intent", methods=["GET"])(self.show)
        app.route("/operator/endpoints", methods=["GET"])(self.endpoints)
        app.route("/operator/status", methods=["GET"])(self.status)

    def _authenticate(
        self, request: Any, confirms: bool = False
    ) -> OperatorKey | bytes:
        operator = operator_of(request, self.settings)
        if operator is None:
            text = "the bearer key belongs to no operator"
            return refuse(request, not_run("bad_key", text))
        if confirms and not operator.may_confirm:
            text = f"operator {operator.name} may look but not confirm"
            return refuse(request, not_run("forbidden", text))
        return operator

    async def plan(self, request: Any) -> bytes:
        """Make a plan for an intent; the configuration doesn't change."""
        operator = self._authenticate(request)
        if isinstance(operator, bytes):
            return operator
        try:
            intent = _parse_intent(request.content.getvalue())
            plan = await self.configuration.plan(
                intent, self.overview.known_endpoints, self.overview.running
            )
        except RequestInvalid as fault:
            return refuse(request, not_run("bad_request", str(fault)))
        if isinstance(plan, StoreUnavailable):
            return refuse(request, _store_refusal(plan))
        return send_json(request, 200, plan.to_json())

    async def confirm(self, request: Any, plan_id: str) -> bytes:
        """Commit a plan; idempotent."""
        operator = self._authenticate(request, confirms=True)
        if isinstance(operator, bytes):
            return operator
        try:
            stopped = _parse_known_stopped(request.content.getvalue())
        except RequestInvalid as fault:
            return refuse(request, not_run("bad_request", str(fault)))
        outcome = await self.configuration.confirm(plan_id, stopped)
        match outcome:
            case Confirmed():
                self.rollouts.review_now()
                return send_json(request, 200, self._rollout_state(outcome.revision))
            case Stale():
                return self._stale_reply(request, outcome)
            case UnknownPlan():
                text = f"there is no plan {plan_id!r}; plan again"
                return refuse(request, not_run("not_found", text))
            case StoreUnavailable():
                return refuse(request, _store_refusal(outcome))

    def _stale_reply(self, request: Any, stale: Stale) -> bytes:
        text = f"revision {stale.in_force} came after the plan was made; plan again"
        body = {
            "error": {"code": "stale_plan", "message": text, "run": "not_run"},
            "in_force": stale.in_force,
            "changed_since": [cattrs.unstructure(each) for each in stale.changes],
        }
        return send_json(request, 409, body)

    def _rollout_state(self, revision: int) -> dict[str, Any]:
        """The rollout state of a revision: accepted once the newest revision is."""
        rollout = self.configuration.rollout_of_current()
        accepted = rollout.state == "accepted"
        return {
            "revision": revision,
            "state": "accepted" if accepted else "committed",
            "waiting_for": [] if accepted else rollout.waiting,
            "waiting": [attrs.asdict(each) for each in self.rollouts.waiting()],
        }

    async def show(self, request: Any) -> bytes:
        """The configuration applied here, and the entries the newest one waits for."""
        operator = self._authenticate(request)
        if isinstance(operator, bytes):
            return operator
        await self.rollouts.review_current()
        current = self.configuration.current
        rollout = self.configuration.rollout_of_current()
        body = {
            "applied_revision": current.revision,
            "plan_id": current.plan_id,
            **self._rollout_state(rollout.revision),
            "intent": intent_to_json(current.intent),
        }
        return send_json(request, 200, body)

    async def endpoints(self, request: Any) -> bytes:
        """The state of every endpoint of the intent."""
        operator = self._authenticate(request)
        if isinstance(operator, bytes):
            return operator
        return send_json(request, 200, {"endpoints": self.overview.endpoints()})

    async def status(self, request: Any) -> bytes:
        """The state of this entry."""
        operator = self._authenticate(request)
        if isinstance(operator, bytes):
            return operator
        return send_json(request, 200, self.overview.status())


def _parse_intent(body: bytes) -> Intent:
    """Parse an intent from JSON5, so that operators' files may have comments."""
    try:
        raw = json5.loads(body.decode("utf-8"))
    except ValueError as failure:
        text = f"the body is not JSON with comments: {failure}"
        raise RequestInvalid("", text) from failure
    return intent_from_json(raw)


def _parse_known_stopped(body: bytes) -> frozenset[str]:
    if not body:
        return frozenset()
    try:
        names = json5.loads(body.decode("utf-8")).get("known_stopped", [])
    except (ValueError, AttributeError) as failure:
        raise RequestInvalid("", "expected a JSON object") from failure
    if not all(isinstance(each, str) for each in names):
        raise RequestInvalid("known_stopped", "expected a list of instance ids")
    return frozenset(names)


def _store_refusal(outcome: StoreUnavailable) -> Refusal:
    if not outcome.unsure:
        text = f"the store can't be asked: {outcome.reason}"
        return not_run("store_unavailable", text, _RETRY_AFTER_MS)
    text = (
        "the store didn't say whether the plan took effect; confirm the same plan "
        f"again to learn it: {outcome.reason}"
    )
    return Refusal("unsure", text, RunState.UNKNOWN, _RETRY_AFTER_MS)

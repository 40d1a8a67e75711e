"""A plan: what a new intent would change, and what it would cost.

Planning is pure: it looks at the configuration in force and at what is known of the
endpoints, and refuses an intent that can't work before anything has changed.
"""

import math
from typing import Any

import cattrs
from attrs import field, frozen

from coursekeel.errors import RequestInvalid
from coursekeel.intents._codec import intent_from_json, intent_to_json
from coursekeel.intents._model import EndpointIntent, EndpointKind, Intent
from coursekeel.units import SECONDS_PER_MINUTE

__all__ = ["Change", "Configuration", "Plan", "check_intent", "make_plan"]


@frozen
class Configuration:
    """The intent in force, with the revision that grows by one at each change."""

    revision: int = 0
    intent: Intent = field(factory=Intent)
    plan_id: str = ""

    def to_json(self) -> dict[str, Any]:
        """The form in which a configuration is kept in the table."""
        return {
            "revision": self.revision,
            "plan_id": self.plan_id,
            "intent": intent_to_json(self.intent),
        }

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "Configuration":
        """Read a configuration back."""
        intent = intent_from_json(value["intent"])
        return cls(value["revision"], intent, value["plan_id"])


@frozen
class Change:
    """One line of a plan: ``action`` on ``subject``."""

    action: str
    subject: str
    detail: str = ""


@frozen
class Plan:
    """What confirming would do, on the revision that the plan was made on."""

    plan_id: str
    on_revision: int
    intent: Intent
    changes: tuple[Change, ...]
    loads: int
    load_time_s: int

    def to_json(self) -> dict[str, Any]:
        """The plan as the operator and the table see it."""
        return {
            "plan_id": self.plan_id,
            "on_revision": self.on_revision,
            "changes": [cattrs.unstructure(each) for each in self.changes],
            "loads": self.loads,
            "load_time_s": self.load_time_s,
            "intent": intent_to_json(self.intent),
        }

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "Plan":
        """Read a plan back from the table."""
        return cls(
            value["plan_id"],
            value["on_revision"],
            intent_from_json(value["intent"]),
            tuple(cattrs.structure(each, Change) for each in value["changes"]),
            value["loads"],
            value["load_time_s"],
        )


def check_intent(
    intent: Intent, known_endpoints: frozenset[str], now: Configuration
) -> list[str]:
    """Every reason why the intent can't work, each with the path to its field."""
    return [
        *_doubled(intent),
        *_endpoint_faults(intent, known_endpoints),
        *_service_faults(intent),
        *_team_faults(intent),
        *_class_faults(intent),
        *_orphaned_models(intent, now.intent),
    ]


def _doubled(intent: Intent) -> list[str]:
    named = {
        "models": [each.name for each in intent.models],
        "endpoints": [each.endpoint_id for each in intent.endpoints],
        "services": [each.name for each in intent.services],
        "classes": [each.name for each in intent.classes],
        "teams": [each.name for each in intent.teams],
    }
    return [
        f"{path}[{index}]: {name!r} is named twice"
        for path, names in named.items()
        for index, name in enumerate(names)
        if name in names[:index]
    ]


def _endpoint_faults(intent: Intent, known: frozenset[str]) -> list[str]:
    faults = []
    for index, each in enumerate(intent.endpoints):
        path = f"endpoints[{index}]"
        if each.endpoint_id not in known:
            faults.append(f"{path}.endpoint_id: {each.endpoint_id!r} is not listed")
        if each.kind is EndpointKind.ENGINE and not each.models:
            faults.append(f"{path}.models: an engine needs at least one model")
        faults += [
            f"{path}.models: unknown model {name!r}"
            for name in each.models
            if intent.model(name) is None
        ]
    return faults


def _service_faults(intent: Intent) -> list[str]:
    faults = []
    for index, service in enumerate(intent.services):
        path = f"services[{index}]"
        if not service.endpoints:
            faults.append(f"{path}.endpoints: a service needs at least one endpoint")
        faults += [
            f"{path}.endpoints: {name!r} is not among the intent's endpoints"
            for name in service.endpoints
            if intent.endpoint(name) is None
        ]
    return faults


def _team_faults(intent: Intent) -> list[str]:
    faults = []
    for index, team in enumerate(intent.teams):
        path = f"teams[{index}]"
        if not team.models and not team.services:
            faults.append(f"{path}: team {team.name!r} has no model and no service")
        if not team.key_hashes:
            faults.append(f"{path}.key_hashes: team {team.name!r} has no key")
        if team.open_answers_limit < 1:
            faults.append(f"{path}.open_answers_limit: must be at least 1")
        for name in team.models:
            if not intent.engines_of(name):
                faults.append(f"{path}.models: no engine serves {name!r}")
        faults += [
            f"{path}.services: unknown service {name!r}"
            for name in team.services
            if intent.service(name) is None
        ]
    return faults


def _class_faults(intent: Intent) -> list[str]:
    numbers = ("patience_ms", "first_token_ms", "silence_ms", "queue_limit")
    return [
        f"classes[{index}].{name}: must be above 0, got {getattr(each, name)}"
        for index, each in enumerate(intent.classes)
        for name in (*numbers, "deaths_before_stop", "body_limit_bytes")
        if getattr(each, name) <= 0
    ]


def _orphaned_models(intent: Intent, before: Intent) -> list[str]:
    """The last endpoint of a model that a team still uses can't be removed."""
    used = {name for team in intent.teams for name in team.models}
    return [
        f"endpoints: {name!r} is in use and would lose its last endpoint"
        for name in sorted(used)
        if before.engines_of(name) and not intent.engines_of(name)
    ]


def make_plan(
    plan_id: str,
    intent: Intent,
    now: Configuration,
    known_endpoints: frozenset[str],
    running: dict[str, int],
) -> Plan:
    """Plan a change; raises `RequestInvalid` with every reason why it can't work.

    ``running`` tells how many requests run on each endpoint, which the plan names
    where they have to be waited for.
    """
    faults = check_intent(intent, known_endpoints, now)
    if faults:
        raise RequestInvalid("", "; ".join(faults))
    changes = (
        *_endpoint_changes(intent, now.intent, running),
        *_named_changes("model", now.intent.models, intent.models),
        *_named_changes("service", now.intent.services, intent.services),
        *_named_changes("team", now.intent.teams, intent.teams),
        *_named_changes("class", now.intent.classes, intent.classes),
    )
    loads = sum(1 for each in changes if each.action == "load")
    rate = max(intent.loads_per_minute, 1)
    load_time_s = math.ceil(loads * SECONDS_PER_MINUTE / rate)
    return Plan(plan_id, now.revision, intent, changes, loads, load_time_s)


def _endpoint_changes(
    intent: Intent, before: Intent, running: dict[str, int]
) -> list[Change]:
    changes: list[Change] = []
    for each in intent.endpoints:
        old = before.endpoint(each.endpoint_id)
        changes += _one_endpoint(each, old, intent, before, running)
    for old in before.endpoints:
        if intent.endpoint(old.endpoint_id) is None:
            count = running.get(old.endpoint_id, 0)
            detail = f"{count} requests in progress are waited for"
            changes.append(Change("drain", old.endpoint_id, detail))
    return changes


def _one_endpoint(
    new: EndpointIntent,
    old: EndpointIntent | None,
    intent: Intent,
    before: Intent,
    running: dict[str, int],
) -> list[Change]:
    wanted = {str(m.serves) for m in intent.models if m.name in new.models}
    held = {str(m.serves) for m in before.models if old and m.name in old.models}
    changes = [Change("load", new.endpoint_id, name) for name in sorted(wanted - held)]
    changes += [
        Change("unload", new.endpoint_id, name) for name in sorted(held - wanted)
    ]
    if old is None:
        changes.insert(0, Change("add", new.endpoint_id, new.kind.value))
    elif old.role != new.role:
        count = running.get(new.endpoint_id, 0)
        detail = (
            f"{old.role} to {new.role}, {count} requests in progress are waited for"
        )
        changes.append(Change("role", new.endpoint_id, detail))
    return changes


def _named_changes(
    subject: str, before: tuple[Any, ...], after: tuple[Any, ...]
) -> list[Change]:
    old = {each.name: each for each in before}
    new = {each.name: each for each in after}
    added = [Change("add", f"{subject} {name}") for name in new if name not in old]
    removed = [Change("remove", f"{subject} {name}") for name in old if name not in new]
    changed = [
        Change("change", f"{subject} {name}", _differences(old[name], new[name]))
        for name in new
        if name in old and new[name] != old[name]
    ]
    return [*added, *removed, *changed]


def _differences(old: Any, new: Any) -> str:
    before, after = cattrs.unstructure(old), cattrs.unstructure(new)
    return ", ".join(
        f"{key}: {before[key]!r} to {after[key]!r}"
        for key in after
        if before.get(key) != after[key] and key != "key_hashes"
    )

"""Plans: the changes that a new intent makes, and the time that its loads take.

Planning has no side effects. It compares the intent with the configuration in force
and the listed endpoints, and rejects an intent that can't work.
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
    """The intent in force; ``revision`` grows by one with each change."""

    revision: int = 0
    intent: Intent = field(factory=Intent)
    plan_id: str = ""

    def to_json(self) -> dict[str, Any]:
        """The configuration as the table stores it."""
        return {
            "revision": self.revision,
            "plan_id": self.plan_id,
            "intent": intent_to_json(self.intent),
        }

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "Configuration":
        """Decode a stored configuration."""
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
    """The changes that confirming makes to revision ``on_revision``.

    ``loads`` counts the models to load, which together take about ``load_time_s``.
    """

    plan_id: str
    on_revision: int
    intent: Intent
    changes: tuple[Change, ...]
    loads: int
    load_time_s: int

    def to_json(self) -> dict[str, Any]:
        """The plan as operators receive it and the table stores it."""
        return {
            "plan_id": self.plan_id,
            "on_revision": self.on_revision,
            "changes": [cattrs.unstructure(change) for change in self.changes],
            "loads": self.loads,
            "load_time_s": self.load_time_s,
            "intent": intent_to_json(self.intent),
        }

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "Plan":
        """Decode a stored plan."""
        return cls(
            value["plan_id"],
            value["on_revision"],
            intent_from_json(value["intent"]),
            tuple(cattrs.structure(change, Change) for change in value["changes"]),
            value["loads"],
            value["load_time_s"],
        )


def check_intent(
    intent: Intent, known_endpoints: frozenset[str], in_force: Configuration
) -> list[str]:
    """All reasons why the intent can't work, each with the path of its field.

    ``known_endpoints`` are the ids of the listed endpoints.
    """
    return [
        *_duplicate_faults(intent),
        *_endpoint_faults(intent, known_endpoints),
        *_service_faults(intent),
        *_team_faults(intent),
        *_class_faults(intent),
        *_orphaned_model_faults(intent, in_force.intent),
    ]


def _duplicate_faults(intent: Intent) -> list[str]:
    """Names that are used twice in one list."""
    names_by_path = {
        "models": [model.name for model in intent.models],
        "endpoints": [endpoint.endpoint_id for endpoint in intent.endpoints],
        "services": [service.name for service in intent.services],
        "classes": [policy.name for policy in intent.classes],
        "teams": [team.name for team in intent.teams],
    }
    return [
        f"{path}[{index}]: {name!r} is named twice"
        for path, names in names_by_path.items()
        for index, name in enumerate(names)
        if name in names[:index]
    ]


def _endpoint_faults(intent: Intent, listed: frozenset[str]) -> list[str]:
    faults = []
    for index, endpoint in enumerate(intent.endpoints):
        path = f"endpoints[{index}]"
        if endpoint.endpoint_id not in listed:
            faults.append(f"{path}.endpoint_id: {endpoint.endpoint_id!r} is not listed")
        if endpoint.kind is EndpointKind.ENGINE and not endpoint.models:
            faults.append(f"{path}.models: an engine needs at least one model")
        faults += [
            f"{path}.models: unknown model {name!r}"
            for name in endpoint.models
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
    positive_fields = ("patience_ms", "first_token_ms", "silence_ms", "queue_limit")
    return [
        f"classes[{index}].{name}: must be above 0, got {getattr(policy, name)}"
        for index, policy in enumerate(intent.classes)
        for name in (*positive_fields, "deaths_before_stop", "body_limit_bytes")
        if getattr(policy, name) <= 0
    ]


def _orphaned_model_faults(intent: Intent, before: Intent) -> list[str]:
    """Models that a team still uses but whose last engine would be removed."""
    used = {name for team in intent.teams for name in team.models}
    return [
        f"endpoints: {name!r} is in use and would lose its last endpoint"
        for name in sorted(used)
        if before.engines_of(name) and not intent.engines_of(name)
    ]


def make_plan(
    plan_id: str,
    intent: Intent,
    in_force: Configuration,
    known_endpoints: frozenset[str],
    running: dict[str, int],
) -> Plan:
    """Plan a change; raises `RequestInvalid` with all reasons why it can't work.

    ``known_endpoints`` are the ids of the listed endpoints. ``running`` has the number
    of running requests by endpoint id, which the plan states for endpoints that have to
    be drained.
    """
    faults = check_intent(intent, known_endpoints, in_force)
    if faults:
        raise RequestInvalid("", "; ".join(faults))
    changes = (
        *_endpoint_changes(intent, in_force.intent, running),
        *_named_changes("model", in_force.intent.models, intent.models),
        *_named_changes("service", in_force.intent.services, intent.services),
        *_named_changes("team", in_force.intent.teams, intent.teams),
        *_named_changes("class", in_force.intent.classes, intent.classes),
    )
    loads = sum(1 for change in changes if change.action == "load")
    rate = max(intent.loads_per_minute, 1)
    load_time_s = math.ceil(loads * SECONDS_PER_MINUTE / rate)
    return Plan(plan_id, in_force.revision, intent, changes, loads, load_time_s)


def _endpoint_changes(
    intent: Intent, before: Intent, running: dict[str, int]
) -> list[Change]:
    """Changes of all endpoints; ``before`` is the intent in force."""
    changes: list[Change] = []
    for new in intent.endpoints:
        old = before.endpoint(new.endpoint_id)
        changes += _changes_of_endpoint(new, old, intent, before, running)
    for old in before.endpoints:
        if intent.endpoint(old.endpoint_id) is None:
            count = running.get(old.endpoint_id, 0)
            detail = f"{count} requests in progress are waited for"
            changes.append(Change("drain", old.endpoint_id, detail))
    return changes


def _changes_of_endpoint(
    new: EndpointIntent,
    old: EndpointIntent | None,
    intent: Intent,
    before: Intent,
    running: dict[str, int],
) -> list[Change]:
    """Changes of one endpoint; ``old`` is None if it is added."""
    new_models = {
        str(model.serves) for model in intent.models if model.name in new.models
    }
    old_models = {
        str(model.serves) for model in before.models if old and model.name in old.models
    }
    changes = [
        Change("load", new.endpoint_id, name)
        for name in sorted(new_models - old_models)
    ]
    changes += [
        Change("unload", new.endpoint_id, name)
        for name in sorted(old_models - new_models)
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
    """Items that were added, removed or changed between two lists, by name."""
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    added = [Change("add", f"{subject} {name}") for name in new if name not in old]
    removed = [Change("remove", f"{subject} {name}") for name in old if name not in new]
    changed = [
        Change("change", f"{subject} {name}", _differences(old[name], new[name]))
        for name in new
        if name in old and new[name] != old[name]
    ]
    return [*added, *removed, *changed]


def _differences(old: Any, new: Any) -> str:
    """The changed fields of an item; key hashes aren't shown."""
    before, after = cattrs.unstructure(old), cattrs.unstructure(new)
    return ", ".join(
        f"{key}: {before[key]!r} to {after[key]!r}"
        for key in after
        if before.get(key) != after[key] and key != "key_hashes"
    )

"""Intents, plans and the configuration in force."""

from coursekeel.intents._codec import intent_from_json, intent_to_json
from coursekeel.intents._model import (
    CLASS_PROFILES,
    ClassPolicy,
    Delivery,
    EndpointIntent,
    EndpointKind,
    Intent,
    ModelIntent,
    ModelName,
    RouteIntent,
    ServiceIntent,
    TeamIntent,
)
from coursekeel.intents._plan import (
    Change,
    Configuration,
    Plan,
    check_intent,
    make_plan,
)
from coursekeel.intents._rollout import InstanceEvidence, Rollout, instances_to_wait_for
from coursekeel.intents._store import (
    CONFIGURATION_KEY,
    ConfigurationStore,
    Confirmed,
    Stale,
    StoreUnavailable,
    UnknownPlan,
    plan_key,
)

__all__ = [
    "CLASS_PROFILES",
    "CONFIGURATION_KEY",
    "Change",
    "ClassPolicy",
    "Configuration",
    "ConfigurationStore",
    "Confirmed",
    "Delivery",
    "EndpointIntent",
    "EndpointKind",
    "InstanceEvidence",
    "Intent",
    "ModelIntent",
    "ModelName",
    "Plan",
    "Rollout",
    "RouteIntent",
    "ServiceIntent",
    "Stale",
    "StoreUnavailable",
    "TeamIntent",
    "UnknownPlan",
    "check_intent",
    "instances_to_wait_for",
    "intent_from_json",
    "intent_to_json",
    "make_plan",
    "plan_key",
]

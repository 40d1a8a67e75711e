"""Convert intents from and to JSON; errors list every fault with its path."""

from typing import Any

from coursekeel.errors import RequestInvalid
from coursekeel.intents._model import (
    CLASS_PROFILES,
    ClassPolicy,
    EndpointIntent,
    Intent,
    ModelIntent,
    ModelName,
    RouteIntent,
    ServiceIntent,
    TeamIntent,
)
from coursekeel.strict import faults_of, strict_converter

__all__ = ["intent_from_json", "intent_to_json"]

_INTENT_CLASSES = (
    ModelName,
    ModelIntent,
    EndpointIntent,
    RouteIntent,
    ServiceIntent,
    ClassPolicy,
    TeamIntent,
    Intent,
)
_CONVERTER = strict_converter(*_INTENT_CLASSES)


def intent_from_json(value: Any) -> Intent:
    """Parse an intent; raises `RequestInvalid` with every fault.

    A class may name a ``profile``, whose values are the defaults of its other fields.
    """
    if not isinstance(value, dict):
        raise RequestInvalid("", f"an intent is a JSON object, got {value!r:.40}")
    expanded = {
        **value,
        "classes": [_expand_profile(raw) for raw in value.get("classes", [])],
    }
    try:
        return _CONVERTER.structure(expanded, Intent)
    except Exception as failure:
        raise RequestInvalid("", "; ".join(faults_of(failure))) from failure


def _expand_profile(value: Any) -> Any:
    """Add the values of a class's profile that the class doesn't set itself."""
    if not isinstance(value, dict) or "profile" not in value:
        return value
    own_values = {key: item for key, item in value.items() if key != "profile"}
    profile = CLASS_PROFILES.get(value["profile"])
    if profile is None:
        profile_names = ", ".join(CLASS_PROFILES)
        raise RequestInvalid(
            "classes",
            f"unknown profile {value['profile']!r}; expected one of: {profile_names}",
        )
    return {**_CONVERTER.unstructure(profile), **own_values}


def intent_to_json(intent: Intent) -> dict[str, Any]:
    """The JSON form of an intent, which `intent_from_json` parses."""
    raw: dict[str, Any] = _CONVERTER.unstructure(intent)
    return {key: item for key, item in raw.items() if not key.startswith("_")}

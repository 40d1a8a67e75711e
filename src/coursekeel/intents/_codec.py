"""Read intents from JSON, with every fault found at once and named by its path."""

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

_INNER = (
    ModelName,
    ModelIntent,
    EndpointIntent,
    RouteIntent,
    ServiceIntent,
    ClassPolicy,
    TeamIntent,
    Intent,
)
_CONVERTER = strict_converter(*_INNER)


def intent_from_json(value: Any) -> Intent:
    """Read an intent; raises `RequestInvalid` that names every fault.

    A class may name a ``profile``, whose values stand where it gives none.
    """
    if not isinstance(value, dict):
        raise RequestInvalid("", f"an intent is a JSON object, got {value!r:.40}")
    filled = {**value, "classes": [_filled(each) for each in value.get("classes", [])]}
    try:
        return _CONVERTER.structure(filled, Intent)
    except Exception as failure:
        raise RequestInvalid("", "; ".join(faults_of(failure))) from failure


def _filled(value: Any) -> Any:
    if not isinstance(value, dict) or "profile" not in value:
        return value
    rest = {key: each for key, each in value.items() if key != "profile"}
    profile = CLASS_PROFILES.get(value["profile"])
    if profile is None:
        known = ", ".join(CLASS_PROFILES)
        raise RequestInvalid(
            "classes", f"unknown profile {value['profile']!r}; expected one of: {known}"
        )
    return {**_CONVERTER.unstructure(profile), **rest}


def intent_to_json(intent: Intent) -> dict[str, Any]:
    """The JSON form of an intent, which `intent_from_json` reads back."""
    raw: dict[str, Any] = _CONVERTER.unstructure(intent)
    return {key: each for key, each in raw.items() if not key.startswith("_")}

"""Read intents from JSON, with every fault found at once and named by its path."""

from enum import Enum
from typing import Any

import attrs
import cattrs
from cattrs import transform_error
from cattrs.gen import make_dict_structure_fn

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

__all__ = ["faults_of", "intent_from_json", "intent_to_json", "strict_converter"]

_FACTORS = (int, float, bool, str)


def _strict_scalar(value: Any, kind: type) -> Any:
    """Take a scalar only if it has the type that is expected: "5" is no number."""
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError(f"got {value!r}, expected {kind.__name__}")
    return value


def _enum_member(value: Any, kind: type[Enum]) -> Enum:
    try:
        return kind(value)
    except ValueError as failure:
        allowed = ", ".join(str(each.value) for each in kind)
        raise ValueError(f"got {value!r}, expected one of: {allowed}") from failure


def strict_converter(*classes: type) -> cattrs.Converter:
    """A converter that forbids unknown keys and silent conversions."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in _FACTORS:
        converter.register_structure_hook(kind, _strict_scalar)
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, Enum), _enum_member
    )
    for each in classes:
        converter.register_structure_hook(each, make_dict_structure_fn(each, converter))
    return converter


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


def _fault_text(failure: BaseException, _type: type | None) -> str:
    if isinstance(failure, cattrs.errors.ForbiddenExtraKeysError):
        extra = ", ".join(sorted(failure.extra_fields))
        known = ", ".join(each.name for each in attrs.fields(failure.cl) if each.init)
        return f"unknown key {extra}; expected only: {known}"
    if isinstance(failure, KeyError):
        return "required key is missing"
    return str(failure)


def faults_of(failure: BaseException) -> list[str]:
    """Every fault in a value that could not be structured, each with its path."""
    found = transform_error(failure, format_exception=_fault_text)
    return [_readable(each) for each in found]


def _readable(fault: str) -> str:
    text, _, path = fault.rpartition(" @ ")
    return f"{path.removeprefix('$').lstrip('.') or 'file'}: {text}"


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

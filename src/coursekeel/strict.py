"""Read JSON values into attrs classes; silent conversions are faults.

`strict_converter` is for what people write (settings, intents): an unknown key is a
fault too. `message_converter` is for what other programs send: a key that isn't read
is passed over, since their next version may have more. Owns no state; relies on cattrs
alone, and stands apart from what reads with it, so that a gateway doesn't load the
intents.
"""

from enum import Enum
from typing import Any, get_args, get_origin

import attrs
import cattrs
from cattrs import transform_error
from cattrs.gen import make_dict_structure_fn, override

__all__ = ["faults_of", "message_converter", "strict_converter"]

_SCALARS = (int, float, bool, str)


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


def _converter(forbid_extra_keys: bool) -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    for kind in _SCALARS:
        converter.register_structure_hook(kind, _strict_scalar)
    return converter


def strict_converter(*classes: type) -> cattrs.Converter:
    """A converter that forbids unknown keys and silent conversions."""
    converter = _converter(forbid_extra_keys=True)
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, Enum), _enum_member
    )
    for each in classes:
        converter.register_structure_hook(each, make_dict_structure_fn(each, converter))
    return converter


def message_converter(*classes: type) -> cattrs.Converter:
    """A converter for messages whose keys are written with hyphens.

    An attribute whose key is written otherwise names it in its metadata, as ``key``. A
    key that is missing or null counts as absent, and one that no attribute reads is
    passed over. Inner classes must come before those that hold them.
    """
    converter = _converter(forbid_extra_keys=False)
    converter.register_structure_hook_func(
        _is_tuple,
        lambda value, kind: _items(value, get_args(kind)[0], converter),
    )
    for each in classes:
        converter.register_structure_hook(each, _message_hook(each, converter))
    return converter


def _is_tuple(kind: Any) -> bool:
    origin: Any = get_origin(kind)
    return origin is tuple


def _message_hook(kind: type, converter: cattrs.Converter) -> Any:
    keys: Any = {
        each.name: override(rename=each.metadata.get("key") or _hyphened(each.name))
        for each in attrs.fields(kind)
    }
    structure: Any = make_dict_structure_fn(kind, converter, **keys)

    def hook(value: Any, _: type) -> Any:
        if not isinstance(value, dict):
            raise TypeError(f"got {value!r}, expected an object")
        present = {key: each for key, each in value.items() if each is not None}
        return structure(present, kind)

    return hook


def _hyphened(name: str) -> str:
    return name.replace("_", "-")


def _items(value: Any, kind: type, converter: cattrs.Converter) -> tuple[Any, ...]:
    """Read a list; a text is none, though Python can walk through its characters."""
    if not isinstance(value, list):
        raise TypeError(f"got {value!r}, expected a list")
    if kind is Any:
        return tuple(value)
    return tuple(converter.structure(value, list[kind]))  # type: ignore[valid-type]


def _fault_text(failure: BaseException, _type: type | None) -> str:
    if isinstance(failure, cattrs.errors.ForbiddenExtraKeysError):
        extra = ", ".join(sorted(failure.extra_fields))
        known = ", ".join(each.name for each in attrs.fields(failure.cl) if each.init)
        return f"unknown key {extra}; expected only: {known}"
    if isinstance(failure, KeyError):
        return "required key is missing"
    return str(failure)


def faults_of(failure: BaseException, whole: str = "file") -> list[str]:
    """Every fault in a value that could not be structured, each with its path.

    ``whole`` is what a fault of the value itself is said of.
    """
    found = transform_error(failure, format_exception=_fault_text)
    return [_readable(each, whole) for each in found]


def _readable(fault: str, whole: str) -> str:
    text, _, path = fault.rpartition(" @ ")
    return f"{path.removeprefix('$').lstrip('.') or whole}: {text}"

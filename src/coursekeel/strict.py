"""Read JSON values into attrs classes: unknown keys and silent conversions are faults.

It stands apart from what reads with it, so that a gateway doesn't load the intents.
"""

from enum import Enum
from typing import Any

import attrs
import cattrs
from cattrs import transform_error
from cattrs.gen import make_dict_structure_fn

__all__ = ["faults_of", "strict_converter"]

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

"""Structure JSON values into attrs classes, without implicit type conversions.

`strict_converter` is for files that people write (settings, intents) and rejects
unknown keys. `message_converter` is for messages of other programs and ignores unknown
keys, since a newer sender may add some. Owns no state; relies on cattrs alone. It is a
module of its own so that a gateway doesn't import the intents.
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
    """Accept a scalar only if it has the expected type: "5" is no number."""
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError(f"got {value!r}, expected {kind.__name__}")
    return value


def _read_enum(value: Any, kind: type[Enum]) -> Enum:
    try:
        return kind(value)
    except ValueError as failure:
        allowed = ", ".join(str(member.value) for member in kind)
        raise ValueError(f"got {value!r}, expected one of: {allowed}") from failure


def _scalar_converter(forbid_extra_keys: bool) -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    for kind in _SCALARS:
        converter.register_structure_hook(kind, _strict_scalar)
    return converter


def strict_converter(*classes: type) -> cattrs.Converter:
    """Return a converter that rejects unknown keys and implicit conversions."""
    converter = _scalar_converter(forbid_extra_keys=True)
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, Enum), _read_enum
    )
    for cls in classes:
        converter.register_structure_hook(cls, make_dict_structure_fn(cls, converter))
    return converter


def message_converter(*classes: type) -> cattrs.Converter:
    """Return a converter for messages whose keys are attribute names with hyphens.

    An attribute with another key names it in its metadata, as ``key``. A null value
    counts as absent, and unknown keys are ignored. In ``classes``, a nested class must
    precede the classes that contain it.
    """
    converter = _scalar_converter(forbid_extra_keys=False)
    converter.register_structure_hook_func(
        _is_tuple_type,
        lambda value, kind: _read_list(value, get_args(kind)[0], converter),
    )
    for cls in classes:
        converter.register_structure_hook(cls, _message_structure_hook(cls, converter))
    return converter


def _is_tuple_type(kind: Any) -> bool:
    origin: Any = get_origin(kind)
    return origin is tuple


def _message_structure_hook(kind: type, converter: cattrs.Converter) -> Any:
    keys: Any = {
        attribute.name: override(
            rename=attribute.metadata.get("key") or _hyphenated(attribute.name)
        )
        for attribute in attrs.fields(kind)
    }
    structure: Any = make_dict_structure_fn(kind, converter, **keys)

    def hook(value: Any, _: type) -> Any:
        if not isinstance(value, dict):
            raise TypeError(f"got {value!r}, expected an object")
        present = {key: item for key, item in value.items() if item is not None}
        return structure(present, kind)

    return hook


def _hyphenated(name: str) -> str:
    return name.replace("_", "-")


def _read_list(value: Any, kind: type, converter: cattrs.Converter) -> tuple[Any, ...]:
    """Structure a list; a string is rejected, although Python can iterate over it."""
    if not isinstance(value, list):
        raise TypeError(f"got {value!r}, expected a list")
    if kind is Any:
        return tuple(value)
    return tuple(converter.structure(value, list[kind]))  # type: ignore[valid-type]


def _fault_text(failure: BaseException, _type: type | None) -> str:
    if isinstance(failure, cattrs.errors.ForbiddenExtraKeysError):
        extra = ", ".join(sorted(failure.extra_fields))
        known = ", ".join(
            attribute.name for attribute in attrs.fields(failure.cl) if attribute.init
        )
        return f"unknown key {extra}; expected only: {known}"
    if isinstance(failure, KeyError):
        return "required key is missing"
    return str(failure)


def faults_of(failure: BaseException, whole: str = "file") -> list[str]:
    """List the faults in a value that could not be structured, each with its path.

    ``whole`` stands in place of the path where the fault is in the value itself.
    """
    faults = transform_error(failure, format_exception=_fault_text)
    return [_with_path_first(fault, whole) for fault in faults]


def _with_path_first(fault: str, whole: str) -> str:
    text, _, path = fault.rpartition(" @ ")
    return f"{path.removeprefix('$').lstrip('.') or whole}: {text}"

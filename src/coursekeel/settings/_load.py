"""Read settings from JSON with comments, and report all faults at once.

Owns no state; relies on `coursekeel.strict` for types and on json5 for the syntax.
"""

from collections.abc import Mapping
from pathlib import Path
from string import hexdigits
from typing import Any, TypeVar

import attrs
import json5

from coursekeel.errors import SettingsInvalid
from coursekeel.numbers import parse_whole
from coursekeel.settings._gateway import (
    AnswerSettings,
    CanarySettings,
    GatewayListen,
    GatewaySettings,
    GatewayTimers,
    RetryBudgetSettings,
)
from coursekeel.settings._model import (
    PROFILES,
    EntrySettings,
    Limits,
    ListenSettings,
    OperatorKey,
    PlatformSettings,
    Timers,
)
from coursekeel.strict import faults_of, strict_converter

__all__ = [
    "check_settings",
    "load_gateway_settings",
    "load_settings",
    "parse_gateway_settings",
    "parse_settings",
    "read_json_with_comments",
]

_UNITS = ("_ms", "_s", "_bytes", "_tokens")
_HASH_CHARACTERS = 64  # SHA-256 in hexadecimal
_MAX_PORT = 65_535  # RFC 9293
_Settings = TypeVar("_Settings")
# The settings classes of each role, inner classes first. A converter takes some ms to
# build, so each process builds only its own role's.
_CLASSES: dict[type, tuple[type, ...]] = {
    EntrySettings: (
        ListenSettings,
        PlatformSettings,
        OperatorKey,
        Timers,
        Limits,
        EntrySettings,
    ),
    GatewaySettings: (
        GatewayListen,
        GatewayTimers,
        RetryBudgetSettings,
        CanarySettings,
        AnswerSettings,
        GatewaySettings,
    ),
}


def read_json_with_comments(path: Path) -> Any:
    """Parse a JSON file with comments; raises `SettingsInvalid`."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as failure:
        raise SettingsInvalid(f"{path}: can't be read: {failure.strerror}") from failure
    try:
        return json5.loads(text)
    except ValueError as failure:
        raise SettingsInvalid(f"{path}: not JSON with comments: {failure}") from failure


def load_settings(path: Path) -> EntrySettings:
    """Read an entry's settings file; raises `SettingsInvalid` with all faults."""
    return parse_settings(read_json_with_comments(path), str(path))


def parse_settings(value: Any, source: str) -> EntrySettings:
    """Convert and validate an entry's settings; raises `SettingsInvalid`.

    ``source`` names the value in error messages. The key ``profile`` selects defaults
    for the keys that ``timers`` omits.
    """
    if not isinstance(value, dict):
        raise SettingsInvalid(f"{source}: expected an object, got {value!r:.40}")
    filled, faults = _with_profile(dict(value))
    # Bounds are checked in the raw value, so that a wrong type elsewhere doesn't hide
    # them.
    faults += _range_faults(filled, EntrySettings, "")
    faults += _operator_faults(filled)
    return _structured(filled, EntrySettings, faults, source)


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read a gateway's settings file; raises `SettingsInvalid` with all faults."""
    return parse_gateway_settings(read_json_with_comments(path), str(path))


def parse_gateway_settings(value: Any, source: str) -> GatewaySettings:
    """Convert and validate a gateway's settings; raises `SettingsInvalid`.

    ``source`` names the value in error messages.
    """
    if not isinstance(value, dict):
        raise SettingsInvalid(f"{source}: expected an object, got {value!r:.40}")
    faults = _range_faults(value, GatewaySettings, "")
    faults += _address_faults(value)
    return _structured(value, GatewaySettings, faults, source)


def check_settings(path: Path) -> EntrySettings | GatewaySettings:
    """Read a settings file of either role; raises `SettingsInvalid`.

    Only a gateway's file has the key ``listen``.
    """
    value = read_json_with_comments(path)
    if isinstance(value, dict) and "listen" in value:
        return parse_gateway_settings(value, str(path))
    return parse_settings(value, str(path))


def _structured(
    value: dict[str, Any], kind: type[_Settings], faults: list[str], source: str
) -> _Settings:
    try:
        settings = strict_converter(*_CLASSES[kind]).structure(value, kind)
    except Exception as failure:
        faults += [_with_unit_hint(fault) for fault in faults_of(failure)]
    if faults:
        raise SettingsInvalid("\n".join(f"{source}: {fault}" for fault in faults))
    return settings


def _address_faults(raw: dict[str, Any]) -> list[str]:
    listen = raw.get("listen")
    addresses = {"store": raw.get("store")}
    if isinstance(listen, dict):
        addresses |= {f"listen.{name}": text for name, text in listen.items()}
    return [
        f"{name}: got {text!r}, expected an address such as 127.0.0.1:8080"
        for name, text in addresses.items()
        if isinstance(text, str) and text and not _is_address(text)
    ]


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and parse_whole(port, _MAX_PORT) is not None


def _with_profile(value: dict[str, Any]) -> tuple[dict[str, Any], list[str]]:
    name = value.pop("profile", None)
    if name is None:
        return value, []
    profile = PROFILES.get(name) if isinstance(name, str) else None
    if profile is None:
        names = ", ".join(PROFILES)
        return value, [f"profile: got {name!r}, expected one of: {names}"]
    timers = value.get("timers", {})
    if isinstance(timers, dict):
        value["timers"] = {**attrs.asdict(profile), **timers}
    return value, []


def _with_unit_hint(fault: str) -> str:
    """Add the key with its unit to a fault of a key that lacks only the unit."""
    path, _, text = fault.partition(": ")
    if not text.startswith("unknown key "):
        return fault
    unknown_keys = text.removeprefix("unknown key ").partition(";")[0]
    expected_keys = text.rpartition("expected only: ")[2].split(", ")
    hints = [
        f"{key} has no unit, write {key}{unit}"
        for key in unknown_keys.split(", ")
        for unit in _UNITS
        if f"{key}{unit}" in expected_keys
    ]
    return f"{path}: {'; '.join(hints)}; {text}" if hints else fault


def _range_faults(raw: dict[str, Any], kind: type, path: str) -> list[str]:
    faults: list[str] = []
    for setting in attrs.fields(kind):
        value = raw.get(setting.name)
        setting_path = f"{path}.{setting.name}".lstrip(".")
        if attrs.has(setting.type) and isinstance(value, dict):
            faults += _range_faults(value, setting.type, setting_path)
        if isinstance(value, int | float) and not isinstance(value, bool):
            faults += _bound_faults(value, setting.metadata, setting_path)
    return faults


def _bound_faults(value: float, metadata: Mapping[str, int], path: str) -> list[str]:
    least, most = metadata.get("least"), metadata.get("most")
    if least is not None and value < least:
        return [f"{path}: got {value}, expected at least {least}"]
    if most is not None and value > most:
        return [f"{path}: got {value}, expected at most {most}"]
    return []


def _operator_faults(raw: dict[str, Any]) -> list[str]:
    operators = raw.get("operators", [])
    if not isinstance(operators, list):
        return []
    return [
        f"operators[{index}].key_hash: expected the SHA-256 of the key, "
        f"{_HASH_CHARACTERS} hexadecimal digits"
        for index, operator in enumerate(operators)
        if isinstance(operator, dict) and not _is_hash(operator.get("key_hash"))
    ]


def _is_hash(value: Any) -> bool:
    return (
        isinstance(value, str)
        and len(value) == _HASH_CHARACTERS
        and set(value) <= set(hexdigits)
    )

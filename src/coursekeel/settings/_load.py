"""Read settings from JSON with comments, and name every fault at once.

Owns no state; relies on `coursekeel.strict` for types and on json5 for the file's form.
"""

from collections.abc import Mapping
from pathlib import Path
from string import hexdigits
from typing import Any, TypeVar

import attrs
import json5

from coursekeel.errors import SettingsInvalid
from coursekeel.settings._gateway import (
    CanaryShare,
    GatewayListen,
    GatewaySettings,
    GatewayTimers,
    RetryShare,
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
# A converter takes some ms to make, so that each role makes only its own, when it reads
# its settings. Inner classes come before those that hold them.
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
        RetryShare,
        CanaryShare,
        GatewaySettings,
    ),
}


def read_json_with_comments(path: Path) -> Any:
    """Read a JSON file that may hold comments; raises `SettingsInvalid`."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as failure:
        raise SettingsInvalid(f"{path}: can't be read: {failure.strerror}") from failure
    try:
        return json5.loads(text)
    except ValueError as failure:
        raise SettingsInvalid(f"{path}: not JSON with comments: {failure}") from failure


def load_settings(path: Path) -> EntrySettings:
    """Read an entry's settings; raises `SettingsInvalid` with every fault found."""
    return parse_settings(read_json_with_comments(path), str(path))


def parse_settings(value: Any, source: str) -> EntrySettings:
    """Check a settings value; ``source`` names it in faults.

    ``profile`` names a set of timers, whose values stand where ``timers`` gives none.
    """
    if not isinstance(value, dict):
        raise SettingsInvalid(f"{source}: expected an object, got {value!r:.40}")
    filled, faults = _with_profile(dict(value))
    # Ranges are looked at in the raw value, so that a wrong type elsewhere doesn't
    # hide them until the next try.
    faults += _out_of_range(filled, EntrySettings, "")
    faults += _operator_faults(filled)
    return _structured(filled, EntrySettings, faults, source)


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read a gateway's settings; raises `SettingsInvalid` with every fault found."""
    return parse_gateway_settings(read_json_with_comments(path), str(path))


def parse_gateway_settings(value: Any, source: str) -> GatewaySettings:
    """Check a gateway's settings value; ``source`` names it in faults."""
    if not isinstance(value, dict):
        raise SettingsInvalid(f"{source}: expected an object, got {value!r:.40}")
    faults = _out_of_range(value, GatewaySettings, "")
    faults += _address_faults(value)
    return _structured(value, GatewaySettings, faults, source)


def check_settings(path: Path) -> EntrySettings | GatewaySettings:
    """Read the settings of whichever role the file is for; only a gateway's have
    ``listen``.
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
        faults += [_with_unit_hint(each) for each in faults_of(failure)]
    if faults:
        raise SettingsInvalid("\n".join(f"{source}: {each}" for each in faults))
    return settings


def _address_faults(raw: dict[str, Any]) -> list[str]:
    listen = raw.get("listen")
    given = {"store": raw.get("store")}
    if isinstance(listen, dict):
        given |= {f"listen.{name}": text for name, text in listen.items()}
    return [
        f"{name}: got {text!r}, expected an address such as 127.0.0.1:8080"
        for name, text in given.items()
        if isinstance(text, str) and text and not _is_address(text)
    ]


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and int(port) <= _MAX_PORT


def _with_profile(value: dict[str, Any]) -> tuple[dict[str, Any], list[str]]:
    name = value.pop("profile", None)
    if name is None:
        return value, []
    profile = PROFILES.get(name) if isinstance(name, str) else None
    if profile is None:
        known = ", ".join(PROFILES)
        return value, [f"profile: got {name!r}, expected one of: {known}"]
    timers = value.get("timers", {})
    if isinstance(timers, dict):
        value["timers"] = {**attrs.asdict(profile), **timers}
    return value, []


def _with_unit_hint(fault: str) -> str:
    """A key that lacks only its unit is a common slip; say which one was meant."""
    path, _, text = fault.partition(": ")
    if not text.startswith("unknown key "):
        return fault
    given = text.removeprefix("unknown key ").partition(";")[0]
    known = text.rpartition("expected only: ")[2].split(", ")
    meant = [
        f"{key} has no unit, write {key}{unit}"
        for key in given.split(", ")
        for unit in _UNITS
        if f"{key}{unit}" in known
    ]
    return f"{path}: {'; '.join(meant)}; {text}" if meant else fault


def _out_of_range(raw: dict[str, Any], kind: type, path: str) -> list[str]:
    faults: list[str] = []
    for each in attrs.fields(kind):
        given = raw.get(each.name)
        at = f"{path}.{each.name}".lstrip(".")
        if attrs.has(each.type) and isinstance(given, dict):
            faults += _out_of_range(given, each.type, at)
        if isinstance(given, int | float) and not isinstance(given, bool):
            faults += _bounds(given, each.metadata, at)
    return faults


def _bounds(given: float, metadata: Mapping[str, int], at: str) -> list[str]:
    least, most = metadata.get("least"), metadata.get("most")
    if least is not None and given < least:
        return [f"{at}: got {given}, expected at least {least}"]
    if most is not None and given > most:
        return [f"{at}: got {given}, expected at most {most}"]
    return []


def _operator_faults(raw: dict[str, Any]) -> list[str]:
    operators = raw.get("operators", [])
    if not isinstance(operators, list):
        return []
    return [
        f"operators[{index}].key_hash: expected the SHA-256 of the key, "
        f"{_HASH_CHARACTERS} hexadecimal digits"
        for index, each in enumerate(operators)
        if isinstance(each, dict) and not _is_hash(each.get("key_hash"))
    ]


def _is_hash(given: Any) -> bool:
    return (
        isinstance(given, str)
        and len(given) == _HASH_CHARACTERS
        and set(given) <= set(hexdigits)
    )

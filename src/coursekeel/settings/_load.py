"""Read settings from JSON with comments, and name every fault at once."""

from pathlib import Path
from typing import Any

import attrs
import json5

from coursekeel.errors import SettingsInvalid
from coursekeel.intents import faults_of, strict_converter
from coursekeel.settings._model import (
    PROFILES,
    EntrySettings,
    Limits,
    ListenSettings,
    OperatorKey,
    PlatformSettings,
    Timers,
)

__all__ = ["load_settings", "parse_settings", "read_json_with_comments"]

_UNITS = ("_ms", "_s", "_bytes", "_tokens")
_HASH_CHARACTERS = 64
_CONVERTER = strict_converter(
    ListenSettings, PlatformSettings, OperatorKey, Timers, Limits, EntrySettings
)


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
    settings = None
    try:
        settings = _CONVERTER.structure(filled, EntrySettings)
    except Exception as failure:
        faults += [_with_unit_hint(each) for each in faults_of(failure)]
    if settings is not None:
        faults += _out_of_range(settings, "")
        faults += _operator_faults(settings)
    if faults or settings is None:
        raise SettingsInvalid("\n".join(f"{source}: {each}" for each in faults))
    return settings


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


def _out_of_range(value: Any, path: str) -> list[str]:
    faults: list[str] = []
    for each in attrs.fields(type(value)):
        inner = getattr(value, each.name)
        at = f"{path}.{each.name}".lstrip(".")
        if attrs.has(type(inner)):
            faults += _out_of_range(inner, at)
            continue
        least, most = each.metadata.get("least"), each.metadata.get("most")
        if least is not None and inner < least:
            faults.append(f"{at}: got {inner}, expected at least {least}")
        if most is not None and inner > most:
            faults.append(f"{at}: got {inner}, expected at most {most}")
    return faults


def _operator_faults(settings: EntrySettings) -> list[str]:
    return [
        f"operators[{index}].key_hash: expected the SHA-256 of the key, "
        f"{_HASH_CHARACTERS} hexadecimal digits"
        for index, each in enumerate(settings.operators)
        if len(each.key_hash) != _HASH_CHARACTERS
    ]

"""An entry's settings: one checked, frozen value read from JSON with comments."""

from coursekeel.settings._load import (
    load_settings,
    parse_settings,
    read_json_with_comments,
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

__all__ = [
    "PROFILES",
    "EntrySettings",
    "Limits",
    "ListenSettings",
    "OperatorKey",
    "PlatformSettings",
    "Timers",
    "load_settings",
    "parse_settings",
    "read_json_with_comments",
]

"""Settings of gateways and entries, read from JSON with comments and validated."""

from coursekeel.settings._gateway import (
    AnswerSettings,
    CanarySettings,
    GatewayListen,
    GatewaySettings,
    GatewayTimers,
    RelaySettings,
    RetryBudgetSettings,
)
from coursekeel.settings._load import (
    check_settings,
    load_gateway_settings,
    load_settings,
    parse_gateway_settings,
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
    "AnswerSettings",
    "CanarySettings",
    "EntrySettings",
    "GatewayListen",
    "GatewaySettings",
    "GatewayTimers",
    "Limits",
    "ListenSettings",
    "OperatorKey",
    "PlatformSettings",
    "RelaySettings",
    "RetryBudgetSettings",
    "Timers",
    "check_settings",
    "load_gateway_settings",
    "load_settings",
    "parse_gateway_settings",
    "parse_settings",
    "read_json_with_comments",
]

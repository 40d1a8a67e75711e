"""Logs: one line of key=value pairs an event."""

import logging
import sys
from typing import Any

__all__ = ["log_event", "set_up_logging"]

_LOGGER = logging.getLogger("coursekeel")
_NEEDS_QUOTES = frozenset(' "=\n\r\t')


def set_up_logging(instance_id: str, level: str = "INFO") -> None:
    """Write events to standard error, each line with time, level and instance."""
    handler = logging.StreamHandler(sys.stderr)
    form = f"time=%(asctime)s level=%(levelname)s instance={instance_id} %(message)s"
    handler.setFormatter(logging.Formatter(form, "%Y-%m-%dT%H:%M:%S%z"))
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(level)
    _LOGGER.propagate = False


def log_event(event: str, level: int = logging.INFO, **fields: Any) -> None:
    """Log one event; values with spaces or quotes are quoted, so lines stay one."""
    if _LOGGER.isEnabledFor(level):
        pairs = (f"{key}={_text(value)}" for key, value in fields.items())
        _LOGGER.log(level, " ".join([f"event={event}", *pairs]))


def _text(value: Any) -> str:
    text = str(value)
    if text and not _NEEDS_QUOTES & set(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'

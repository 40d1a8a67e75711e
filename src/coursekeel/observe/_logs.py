"""Logs: one line of key=value pairs an event, written without ever blocking."""

import logging
import os
import sys
import time
from typing import Any

from coursekeel.observe._queue import LogQueue

__all__ = ["flush_logs", "log_event", "set_up_logging"]

_LOGGER = logging.getLogger("coursekeel")
_NEEDS_QUOTES = frozenset(" \"'\\=\n\r\t")
# What may wait for a slow reader: some thousand lines, a small part of an instance's
# 128 MB.
_MOST_BYTES = 256 * 1024


class _UnblockedHandler(logging.Handler):
    """Writes lines to a descriptor as far as it takes them; the rest waits.

    What is left is written at the next event or by `flush_logs`. A reader that stops
    reading costs lines, and says so itself once it reads again.
    """

    def __init__(self, descriptor: int, most_bytes: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._queue = LogQueue(most_bytes)
        self._begun = b""

    def emit(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        self._queue.add(record.levelno, line)
        self.flush()

    def flush(self) -> None:
        while self._begun or not self._queue.empty:
            self._begun = self._begun or self._queue.take()
            try:
                written = os.write(self._descriptor, self._begun)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read this descriptor again.
                self._begun = b""
                continue
            self._begun = self._begun[written:]
        self._tell_dropped()

    def _tell_dropped(self) -> None:
        dropped = self._queue.take_dropped()
        if dropped:
            log_event("log_lines_dropped", logging.WARNING, lines=dropped)


def set_up_logging(
    instance_id: str, level: str = "INFO", most_bytes: int = _MOST_BYTES
) -> None:
    """Write events to standard output, each line with time, level and instance."""
    handler = _UnblockedHandler(sys.stdout.fileno(), most_bytes)
    form = (
        "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s "
        f"instance={instance_id} %(message)s"
    )
    formatter = logging.Formatter(form, "%Y-%m-%dT%H:%M:%S")
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(level)
    _LOGGER.propagate = False


def flush_logs() -> None:
    """Write what waits, as far as the reader takes it now."""
    for handler in _LOGGER.handlers:
        handler.flush()


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

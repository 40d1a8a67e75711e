"""Logs events as lines of key=value pairs and never blocks on the output."""

import logging
import os
import sys
import time
from collections import deque
from typing import Any

from coursekeel.observe._queue import LogQueue

__all__ = ["flush_logs", "log_event", "set_up_logging"]

_LOGGER = logging.getLogger("coursekeel")
_QUOTED_CHARACTERS = frozenset(" \"'\\=\n\r\t")
# Limit of the lines that wait for a slow reader: a few thousand lines.
_MAX_WAITING_BYTES = 256 * 1024


class _NonBlockingHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor; queues what it doesn't accept.

    The queue is written at the next event or by `flush_logs`. If the reader stalls,
    lines are dropped, and their number is logged once it reads again. A line that is
    logged while another one is written, as by a finalizer, is written after it.
    """

    def __init__(self, descriptor: int, max_waiting_bytes: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._queue = LogQueue(max_waiting_bytes)
        self._partial_line = b""
        self._logged: deque[tuple[int, bytes]] = deque()
        self._is_writing = False

    def emit(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        self._logged.append((record.levelno, line))
        self.flush()

    def flush(self) -> None:
        if self._is_writing:
            return
        self._is_writing = True
        try:
            self._write_queued()
        finally:
            self._is_writing = False

    def _write_queued(self) -> None:
        while self._logged or self._partial_line or not self._queue.empty:
            while self._logged:
                self._queue.add(*self._logged.popleft())
            self._partial_line = self._partial_line or self._queue.pop()
            try:
                written = os.write(self._descriptor, self._partial_line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the descriptor.
                self._partial_line = b""
                continue
            self._partial_line = self._partial_line[written:]
            if self._queue.empty and not self._partial_line:
                self._log_dropped()

    def _log_dropped(self) -> None:
        dropped = self._queue.pop_dropped_count()
        if dropped:
            log_event("log_lines_dropped", logging.WARNING, lines=dropped)


def set_up_logging(
    instance_id: str, level: str = "INFO", max_waiting_bytes: int = _MAX_WAITING_BYTES
) -> None:
    """Log to standard output; each line begins with time, level and instance.

    ``max_waiting_bytes`` limits the lines that wait for a slow reader.
    """
    handler = _NonBlockingHandler(sys.stdout.fileno(), max_waiting_bytes)
    line_format = (
        "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s "
        f"instance={instance_id} %(message)s"
    )
    formatter = logging.Formatter(line_format, "%Y-%m-%dT%H:%M:%S")
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(level)
    _LOGGER.propagate = False


def flush_logs() -> None:
    """Write the queued lines, as far as the output accepts them."""
    for handler in _LOGGER.handlers:
        handler.flush()


def log_event(event: str, level: int = logging.INFO, **fields: Any) -> None:
    """Log one event as one line; values are quoted and escaped where needed."""
    if _LOGGER.isEnabledFor(level):
        pairs = (f"{key}={_text(value)}" for key, value in fields.items())
        _LOGGER.log(level, " ".join([f"event={event}", *pairs]))


def _text(value: Any) -> str:
    text = str(value)
    if text and not _QUOTED_CHARACTERS & set(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'

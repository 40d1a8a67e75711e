"""Logs and metrics."""

from coursekeel.observe._labels import LabelSets
from coursekeel.observe._logs import flush_logs, log_event, set_up_logging
from coursekeel.observe._metrics import Metrics
from coursekeel.observe._queue import LogQueue

__all__ = [
    "LabelSets",
    "LogQueue",
    "Metrics",
    "flush_logs",
    "log_event",
    "set_up_logging",
]

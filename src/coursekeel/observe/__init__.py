"""Logs and metrics."""

from coursekeel.observe._logs import log_event, set_up_logging
from coursekeel.observe._metrics import Metrics

__all__ = ["Metrics", "log_event", "set_up_logging"]

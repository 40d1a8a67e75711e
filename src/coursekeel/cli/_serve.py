"""Run an entry until SIGTERM or SIGINT."""

from pathlib import Path

from coursekeel.observe import set_up_logging
from coursekeel.runtime import install_reactor, run_role
from coursekeel.settings import load_settings

__all__ = ["serve"]


def serve(settings_file: Path, log_level: str) -> int:
    """Serve until SIGTERM or SIGINT; returns the exit code."""
    settings = load_settings(settings_file)
    set_up_logging(settings.instance_id, log_level)
    reactor = install_reactor()
    from coursekeel.entry import Entry

    return run_role(reactor, Entry(reactor, settings))

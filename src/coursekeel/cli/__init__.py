"""The command line, for serving and for operating."""

from coursekeel.cli._main import main

__all__ = ["main"]

"""The command line: one program for serving and for operating."""

from coursekeel.cli._main import main

__all__ = ["main"]

"""The role that serves: tasks that own sockets, around the cores that decide."""

from coursekeel.entry._entry import Entry

__all__ = ["Entry"]

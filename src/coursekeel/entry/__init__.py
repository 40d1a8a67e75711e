"""The entry role: serves callers; its tasks do the I/O for the pure decision code."""

from coursekeel.entry._entry import Entry

__all__ = ["Entry"]

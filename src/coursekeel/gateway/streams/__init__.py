"""Answers that are streams: their runs, where these go, and what callers get."""

__all__: list[str] = []

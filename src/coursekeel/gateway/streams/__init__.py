"""Streamed answers: their runs, the placement of runs, and the reply to the caller."""

__all__: list[str] = []

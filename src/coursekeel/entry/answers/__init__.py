"""Answers of an entry: tasks, readers, journal, and adoption from lost entries."""

__all__: list[str] = []

"""Limits that endpoints name on their requests: heard in answers, kept in the group."""

__all__: list[str] = []

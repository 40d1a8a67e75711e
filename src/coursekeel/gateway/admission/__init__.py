"""Admission of requests: rules, refusals and time limits."""

__all__: list[str] = []

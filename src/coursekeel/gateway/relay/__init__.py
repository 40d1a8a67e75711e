"""Requests that pass through another instance, which reaches their endpoints."""

__all__: list[str] = []

"""Entries' quarantine of requests that crash the engines and services that run them."""

__all__: list[str] = []

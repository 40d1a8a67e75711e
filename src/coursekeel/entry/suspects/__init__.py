"""Requests that end the engines and services that run them, as entries bar them."""

__all__: list[str] = []

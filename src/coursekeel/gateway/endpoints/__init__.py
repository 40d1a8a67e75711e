"""Connections to endpoints, probes, and detection of failed endpoints."""

__all__: list[str] = []

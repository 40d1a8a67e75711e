"""Membership of the group, and store tables shared between its instances."""

__all__: list[str] = []

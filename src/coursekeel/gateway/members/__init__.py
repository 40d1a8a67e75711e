"""What instances tell each other: who is there, and what the store said."""

__all__: list[str] = []

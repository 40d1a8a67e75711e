"""The entry's HTTP interfaces, for callers and for operators."""

__all__: list[str] = []

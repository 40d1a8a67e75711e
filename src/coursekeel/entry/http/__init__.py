"""The entry's HTTP interfaces for callers, operators, balancers and metrics."""

__all__: list[str] = []

"""How endpoints are reached, asked, and found dead."""

__all__: list[str] = []

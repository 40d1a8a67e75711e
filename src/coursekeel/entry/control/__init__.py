"""What an entry does beside answers: configuration, endpoints, orders, its peers."""

__all__: list[str] = []

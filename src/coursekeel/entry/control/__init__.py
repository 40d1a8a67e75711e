"""Control tasks of an entry: configuration, endpoints, orders, peers, rollouts."""

__all__: list[str] = []
